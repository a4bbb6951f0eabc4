"""Writes what changes in the records of instances."""

from collections.abc import Mapping

from sandladder import clock
from sandladder.autoscaling.instance_states import GONE
from sandladder.model import Machine
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

# The share of a value that instances are put into; the rest is for what they have in common.
_FILLED_SHARE = 0.9
# A record of instances may take so many values, where values are short.
_VALUES_PER_RECORD = 4


class InstanceRecordWriter:
    """Collects changes of instances' records and writes them together."""

    def __init__(
        self,
        cache: StateCache,
        committer: GroupCommitter,
        limits: StoreLimits,
        value_bytes: float,
        interval_s: float,
    ) -> None:
        """
        Args:
            cache: the records.
            committer: writes the changes.
            limits: how large a transaction may be.
            value_bytes: how long a value may be by the platform's settings.
            interval_s: how often changes that can wait are written, in seconds.
        """
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._interval_s = interval_s
        self._next_at = 0.0
        self._unwritten: dict[str, Machine | None] = {}
        # How many instances share a record.
        self.chunk_size = max(1, int(_FILLED_SHARE * value_bytes / INSTANCE_RECORD_BYTES))

    @property
    def unwritten(self) -> Mapping[str, Machine | None]:
        """The changes that are still to be written; None for a record that is to go."""
        return self._unwritten

    def record(self, machine: str) -> Machine | None:
        """An instance's record, with what is about to be written."""
        return self._unwritten.get(machine, self._cache.instances.get(machine))

    def note(self, records: Mapping[str, Machine | None]) -> None:
        """Change records with the next writing; None removes an instance's record."""
        self._unwritten.update(records)

    def discard(self) -> None:
        """Drop all changes that are not written."""
        self._unwritten.clear()

    async def flush(self) -> None:
        """Write the changes, if that is due, as long as this controller is the autoscaler.

        The store takes few changes: what is learnt in a while goes together, as much as fits
        one transaction; at once goes what proves that tasks are lost.

        Raises:
            PreconditionFailedError: this controller is no longer the autoscaler, or a record
                cannot be read; the changes are kept.

        Cancelled, changes that were being written are dropped; the cloud's list shows them again.
        """
        now = clock.now()
        if not self._prove_losses() and now < self._next_at:
            return
        self._next_at = now + self._interval_s
        while self._unwritten:
            await self._commit_some()

    def _prove_losses(self) -> bool:
        """Whether a change says that an instance is gone on which tasks are recorded."""
        on_machine = self._cache.attempts_by_machine
        return any(
            record is not None and record.state == GONE and machine in on_machine
            for machine, record in self._unwritten.items()
        )

    async def _commit_some(self) -> None:
        """Write as many changes as fit one transaction."""
        chunks = sorted({self._chunk(machine) for machine in self._unwritten})
        chosen = set(chunks[: max(1, self._limits.txn_ops // _VALUES_PER_RECORD)])
        records = {
            machine: record
            for machine, record in self._unwritten.items()
            if self._chunk(machine) in chosen
        }
        for machine in records:
            del self._unwritten[machine]

        def apply(transaction: Transaction) -> bool:
            return change_instances(transaction, records, self.chunk_size)

        # Capacity for others' work and proofs of loss wait for it.
        change = PendingChange("instance records", PRIORITY_REQUEST, len(chosen), apply)
        try:
            await self._committer.add(change).wait()
        except PreconditionFailedError:
            self._unwritten = records | self._unwritten
            raise

    def _chunk(self, machine: str) -> int:
        """The number of the record that an instance is in."""
        return machine_number(machine) // self.chunk_size
