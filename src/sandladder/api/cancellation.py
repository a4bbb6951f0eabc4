"""Cancellations: committed first, made known to the other controllers, and only then answered."""

from collections.abc import Callable

import anyio

from sandladder.api.answers import Answer, KnownJob, RetryLater, UnknownJob
from sandladder.api.job_lookup import JobLookup
from sandladder.jobs import cancel
from sandladder.model import CANCELLED, DONE, FinishedJob, Job
from sandladder.peers import PeerService
from sandladder.protocol.job_messages import is_job_id
from sandladder.scheduling import ClusterView
from sandladder.state import (
    PRIORITY_REQUEST,
    GroupCommitter,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    Transaction,
)

# Puts and deletes that a cancellation takes at most.
_CHANGES_OF_A_CANCELLATION = 2


class CancellationService:
    """Cancels jobs.

    A cancellation is an idempotent request: one of a job that is over is answered with what the job
    came to.
    """

    def __init__(
        self,
        *,
        lookup: JobLookup,
        cache: StateCache,
        cluster_view: ClusterView,
        committer: GroupCommitter,
        peers: PeerService,
        wall: Callable[[], float],
        timeout_s: float,
    ) -> None:
        """`wall`: the time of day; `timeout_s`: how long a commit is waited for, in seconds."""
        self._lookup = lookup
        self._cache = cache
        self._cluster_view = cluster_view
        self._committer = committer
        self._peers = peers
        self._wall = wall
        self._timeout_s = timeout_s

    async def cancel(self, job_id: str) -> Answer:
        """Answer a cancellation: with `cancelled` or `done`, or that it cannot be done now.

        Cancelled itself while the commit is under way, the job may be cancelled all the same: the
        user's next attempt shows it.

        Raises:
            StoreRequestError: the records cannot be read or changed now.
            TimeoutError: that took too long; the job may be cancelled or not.
        """
        if not is_job_id(job_id):
            return UnknownJob()
        found = await self._lookup.find(job_id)
        if found is None:
            return UnknownJob()
        if isinstance(found, FinishedJob):
            return KnownJob(job_id, found.state)
        if self._lookup.state(found) == CANCELLED:
            return self._cancelled(job_id)
        reporting_controllers = self._reporting_controllers(found)
        try:
            await self._commit(job_id)
        except PreconditionFailedError:
            over = await self._lookup.find(job_id)
            if over is None or over.state not in (DONE, CANCELLED):
                return RetryLater()
            if over.state == DONE:
                return KnownJob(job_id, DONE)
        self._peers.notify(reporting_controllers)
        return self._cancelled(job_id)

    async def _commit(self, job_id: str) -> None:
        def apply(transaction: Transaction) -> bool:
            cancel(transaction, job_id, self._wall())
            return True

        change = PendingChange(
            f"cancel {job_id}", PRIORITY_REQUEST, _CHANGES_OF_A_CANCELLATION, apply
        )
        with anyio.fail_after(self._timeout_s):
            await self._committer.add(change).wait()

    def _reporting_controllers(self, job: Job) -> set[str]:
        """The reporting controllers of the machines on which the job has a start."""
        controllers = set()
        for attempt in job.live.values():
            observation = self._cluster_view.observation(attempt.machine)
            if observation is not None:
                controllers.add(observation.reporting_controller)
        return controllers

    def _cancelled(self, job_id: str) -> KnownJob:
        """Answer that a job is cancelled, once that is on its way to the other controllers.

        Also where another controller's commit, or one of ours whose answer was lost, did it.
        """
        if job_id in self._cache.cancelled:
            self._peers.announce_cancellations()
        return KnownJob(job_id, CANCELLED)
