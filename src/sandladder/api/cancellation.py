"""Cancellation of jobs: committed, announced to the other controllers, then answered."""

from collections.abc import Callable

import anyio

from sandladder.api.answers import Answer, KnownJob, RetryLater, UnknownJob
from sandladder.api.job_lookup import JobLookup
from sandladder.jobs import cancellation
from sandladder.model import CANCELLED, DONE, FinishedJob
from sandladder.peers import PeerService
from sandladder.protocol.job_messages import is_job_id
from sandladder.scheduling import ClusterView
from sandladder.state import GroupCommitter, PreconditionFailedError, StateCache


class CancellationService:
    """Cancels jobs.

    A cancellation is an idempotent request: for a finished job the answer is the job's final state.
    """

    def __init__(
        self,
        *,
        lookup: JobLookup,
        cache: StateCache,
        cluster_view: ClusterView,
        committer: GroupCommitter,
        peers: PeerService,
        wall_clock: Callable[[], float],
        timeout_s: float,
    ) -> None:
        """Create the service.

        Args:
            wall_clock: returns the time of day, in seconds.
            timeout_s: timeout of a commit, in seconds.
        """
        self._lookup = lookup
        self._cache = cache
        self._cluster_view = cluster_view
        self._committer = committer
        self._peers = peers
        self._wall_clock = wall_clock
        self._timeout_s = timeout_s

    async def cancel(self, job_id: str) -> Answer:
        """Cancel a job and return its state, or `RetryLater` if it cannot be cancelled now.

        If this call is cancelled during the commit, the job may still be cancelled; a retry of the
        request returns its state.

        Raises:
            StoreRequestError: the records cannot be read or changed now.
            TimeoutError: the operation timed out; the job may be cancelled or not.
        """
        if not is_job_id(job_id):
            return UnknownJob()
        job = await self._lookup.find(job_id)
        if job is None:
            return UnknownJob()
        if isinstance(job, FinishedJob):
            return KnownJob(job_id, job.state)
        if self._lookup.state(job) == CANCELLED:
            return self._cancelled_answer(job_id)
        try:
            with anyio.fail_after(self._timeout_s):
                await self._committer.add(cancellation(job_id, self._wall_clock)).wait()
        except PreconditionFailedError:
            current = await self._lookup.find(job_id)
            state = None if current is None else self._lookup.state(current)
            if state == DONE:
                return KnownJob(job_id, DONE)
            if state != CANCELLED:
                return RetryLater()
        self._peers.notify(self._reporting_controllers(job_id))
        return self._cancelled_answer(job_id)

    def _reporting_controllers(self, job_id: str) -> set[str]:
        """Return the reporting controllers of the machines on which a job has a start."""
        job = self._cache.jobs.get(job_id)
        controllers = set()
        for attempt in job.live.values() if job is not None else ():
            observation = self._cluster_view.observation(attempt.machine)
            if observation is not None:
                controllers.add(observation.reporting_controller)
        return controllers

    def _cancelled_answer(self, job_id: str) -> KnownJob:
        """Return the answer for a cancelled job, after announcing the cancellation to the peers.

        This also covers a cancellation committed by another controller, or by a commit of this one
        whose response was lost.
        """
        if job_id in self._cache.cancelled:
            self._peers.announce_cancellations()
        return KnownJob(job_id, CANCELLED)
