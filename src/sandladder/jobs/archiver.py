"""Archiving of the records of finished jobs."""

from functools import partial
from itertools import islice
from zlib import crc32

from sandladder.jobs.transitions import archive_job
from sandladder.membership import ControllerLease
from sandladder.peers import PeerService
from sandladder.state import (
    PRIORITY_BACKGROUND,
    GroupCommitter,
    PendingChange,
    StateCache,
    StoreClient,
    StoreLimits,
)

_OPERATIONS_PER_JOB = 2  # puts and deletes in a transaction


class JobArchiver:
    """Moves the records of finished jobs to the archive while the store is idle.

    Each job is assigned to one live controller by a hash of its ID, which avoids write conflicts.
    """

    def __init__(
        self,
        node: str,
        cache: StateCache,
        store: StoreClient,
        committer: GroupCommitter,
        limits: StoreLimits,
        controller_lease: ControllerLease,
        peers: PeerService,
    ) -> None:
        self._node = node
        self._cache = cache
        self._store = store
        self._committer = committer
        self._limits = limits
        self._controller_lease = controller_lease
        self._peers = peers

    def archive_when_idle(self) -> None:
        """Queue the archiving of finished jobs if the store is idle, at most one transaction.

        Only jobs that are assigned to this controller are queued.  Does not wait for the commit; a
        later call retries the jobs whose change was not committed.
        """
        unarchived = self._cache.unarchived
        if not unarchived or not self._is_idle():
            return
        live_nodes = self._peers.live_nodes()
        assigned = (
            job_id
            for job_id in unarchived
            if live_nodes[crc32(job_id.encode()) % len(live_nodes)] == self._node
        )
        for job_id in list(islice(assigned, max(1, self._limits.txn_ops // _OPERATIONS_PER_JOB))):
            self._committer.add(
                PendingChange(
                    f"archive {job_id}",
                    PRIORITY_BACKGROUND,
                    _OPERATIONS_PER_JOB,
                    partial(archive_job, job_id=job_id),
                )
            )

    def _is_idle(self) -> bool:
        """Return whether no write is pending and this controller's lease is valid."""
        return self._committer.idle and self._store.writes.idle and self._controller_lease.alive()
