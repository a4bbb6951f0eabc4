"""Synchronization of the machine type record with the cloud's catalog."""

from sandladder import clock
from sandladder.autoscaling.cloud_client import CloudClient
from sandladder.state import (
    PRIORITY_JOB,
    GroupCommitter,
    PendingChange,
    StateCache,
    Transaction,
    put_machine_types,
)


class MachineTypeUpdater:
    """Writes the machine types to the store, initially and whenever they change."""

    def __init__(
        self, cache: StateCache, cloud: CloudClient, committer: GroupCommitter, interval_s: float
    ) -> None:
        """Initialize the updater.

        Args:
            cache: the records.
            cloud: provides the catalog.
            committer: writes the record.
            interval_s: the interval between reads of the catalog, in seconds.
        """
        self._cache = cache
        self._cloud = cloud
        self._committer = committer
        self._interval_s = interval_s
        self._next_read_at = 0.0

    async def update(self, is_autoscaler: bool) -> None:
        """Read the catalog if due, and write it if it has changed.

        On cancellation the record holds either the old or the new catalog.

        Args:
            is_autoscaler: whether this controller is the autoscaler; other controllers read the
                catalog only while no record of it exists.

        Raises:
            CloudError: the catalog cannot be read.
            PreconditionFailedError: the record cannot be written.
        """
        if not self._cache.fencing_token:
            return  # keeps a new store empty until the first controller sets its schema version
        due = is_autoscaler and clock.now() >= self._next_read_at
        if self._cache.machine_types and not due:
            return
        types = await self._cloud.machine_types()
        self._next_read_at = clock.now() + self._interval_s
        if types == self._cache.machine_types:
            return

        def apply(transaction: Transaction) -> bool:
            put_machine_types(transaction, types)
            return True

        await self._committer.add(PendingChange("machine types", PRIORITY_JOB, 1, apply)).wait()
