"""Batched writes of the instance records."""

from collections.abc import Mapping

from sandladder import clock
from sandladder.model import GONE, Machine
from sandladder.state import (
    INSTANCE_RECORD_BYTES,
    PRIORITY_REQUEST,
    GroupCommitter,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreLimits,
    Transaction,
    change_instances,
    machine_number,
)

# The share of a stored value that instances fill; the rest is for their common fields.
_CHUNK_FILL_SHARE = 0.9
# Maximum number of stored values that a chunk is split into if the store allows only short values.
_MAX_VALUES_PER_CHUNK = 4


class InstanceRecordWriter:
    """Queues changes of instance records and writes them in batches."""

    def __init__(
        self,
        cache: StateCache,
        committer: GroupCommitter,
        limits: StoreLimits,
        value_bytes: float,
        interval_s: float,
    ) -> None:
        """Initialize a writer with no queued changes.

        Args:
            cache: the records.
            committer: writes the changes.
            limits: the limits on the size of a transaction.
            value_bytes: the maximum length of a stored value in the platform's settings, in bytes.
            interval_s: the interval between writes of changes that are not urgent, in seconds.
        """
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._interval_s = interval_s
        self._next_write_at = 0.0
        self._unwritten: dict[str, Machine | None] = {}
        # Number of instances per chunk, which is stored as one record.
        self.chunk_size = max(1, int(_CHUNK_FILL_SHARE * value_bytes / INSTANCE_RECORD_BYTES))

    @property
    def unwritten(self) -> Mapping[str, Machine | None]:
        """The queued changes, by machine; None marks a record to remove."""
        return self._unwritten

    def record(self, machine: str) -> Machine | None:
        """Return an instance's record, including any queued change."""
        return self._unwritten.get(machine, self._cache.instances.get(machine))

    def queue(self, records: Mapping[str, Machine | None]) -> None:
        """Queue changes for the next write; None removes an instance's record."""
        self._unwritten.update(records)

    def discard(self) -> None:
        """Drop all queued changes."""
        self._unwritten.clear()

    async def flush(self) -> None:
        """Write the queued changes, if due, while this controller is the autoscaler.

        Changes are batched, because the store's write rate is low; proof that tasks are lost is
        written at once.  On cancellation the changes in flight are dropped; the next
        reconciliation with the cloud's list restores them.

        Raises:
            PreconditionFailedError: this controller is no longer the autoscaler, or a record
                cannot be read; the changes stay queued.
        """
        now = clock.now()
        if not self._has_loss_proof() and now < self._next_write_at:
            return
        self._next_write_at = now + self._interval_s
        while self._unwritten:
            await self._commit_batch()

    def _has_loss_proof(self) -> bool:
        """Return whether a queued change marks an instance with recorded attempts as gone."""
        attempts_by_machine = self._cache.attempts_by_machine
        return any(
            record is not None and record.state == GONE and machine in attempts_by_machine
            for machine, record in self._unwritten.items()
        )

    async def _commit_batch(self) -> None:
        """Write as many changes as one transaction can hold."""
        chunks = sorted({self._chunk(machine) for machine in self._unwritten})
        max_chunks = min(self._limits.txn_ops // _MAX_VALUES_PER_CHUNK, self._limits.max_values)
        chunk_batch = set(chunks[: max(1, max_chunks)])
        records = {
            machine: record
            for machine, record in self._unwritten.items()
            if self._chunk(machine) in chunk_batch
        }
        for machine in records:
            del self._unwritten[machine]

        def apply(transaction: Transaction) -> bool:
            return change_instances(transaction, records, self.chunk_size)

        # New capacity and proof of lost tasks depend on this write, hence the priority.
        change = PendingChange("instance records", PRIORITY_REQUEST, len(chunk_batch), apply)
        try:
            await self._committer.add(change).wait()
        except PreconditionFailedError:
            self._unwritten = records | self._unwritten
            raise

    def _chunk(self, machine: str) -> int:
        """Return the number of the chunk that holds an instance's record."""
        return machine_number(machine) // self.chunk_size
