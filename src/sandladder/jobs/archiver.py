"""Archiving of finished jobs."""

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

# Puts and deletes that the archiving of one job takes.
_CHANGES_PER_JOB = 2


class JobArchiver:
    """Moves the records of finished jobs out of the live jobs' place, in the store's idle time.

    Each finished job is one controller's to archive, so that they do not collide.
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
        """Have one transaction's worth of our finished jobs archived, if nothing else is written.

        Returns at once; a change that is not committed is made again by a later call.
        """
        unarchived = self._cache.unarchived
        if not unarchived or not self._is_idle():
            return
        live = self._peers.live_nodes()
        ours = (
            job_id
            for job_id in unarchived
            if live[crc32(job_id.encode()) % len(live)] == self._node
        )
        for job_id in list(islice(ours, max(1, self._limits.txn_ops // _CHANGES_PER_JOB))):
            self._committer.add(
                PendingChange(
                    f"archive {job_id}",
                    PRIORITY_BACKGROUND,
                    _CHANGES_PER_JOB,
                    partial(archive_job, job_id=job_id),
                )
            )

    def _is_idle(self) -> bool:
        """Whether nothing waits to be written, and we may write."""
        return (
            not self._committer.queued
            and self._store.writes.idle
            and self._controller_lease.alive()
        )
