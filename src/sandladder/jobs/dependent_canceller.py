"""Cancellation of jobs that cannot start because one of their dependencies was cancelled."""

import logging
from collections.abc import Callable

from sandladder import clock
from sandladder.concurrency import BackgroundTasks
from sandladder.config import AgentSettings
from sandladder.jobs.cancellation import cancellation
from sandladder.peers import PeerService
from sandladder.state import GroupCommitter, PreconditionFailedError, StateCache

log = logging.getLogger(__name__)


class DependentCanceller:
    """Cancels the dependents of cancelled jobs.

    The controller to which a job's team is assigned cancels it at once; any other controller
    cancels it after a timeout.  All state is in memory and is rebuilt from the records after a
    crash.
    """

    def __init__(
        self,
        node: str,
        workers: AgentSettings,
        cache: StateCache,
        committer: GroupCommitter,
        peers: PeerService,
        background: BackgroundTasks,
        wall_clock_s: Callable[[], float],
    ) -> None:
        """Create the canceller; `wall_clock_s` returns the time of day in seconds."""
        self._node = node
        self._cache = cache
        self._committer = committer
        self._peers = peers
        self._background = background
        self._wall_clock_s = wall_clock_s
        # Any other controller cancels a job that its assignee did not cancel within this time.
        self._assignee_timeout_s = workers.cancel_s / 8
        self._due_since: dict[str, float] = {}  # by job ID, on the steady clock
        self._in_flight: set[str] = set()

    def cancel_dependents(self) -> None:
        """Start the cancellations that are due on this controller, without waiting for them."""
        now = clock.now()
        teams = {job.id: job.spec.team for job in self._cache.dependency_index.jobs_to_cancel()}
        self._due_since = {job_id: self._due_since.get(job_id, now) for job_id in teams}
        for job_id, team in teams.items():
            if job_id in self._in_flight:
                continue
            overdue = now - self._due_since[job_id] > self._assignee_timeout_s
            if overdue or self._peers.assignee(team) == self._node:
                self._in_flight.add(job_id)
                self._background.start_soon(self._cancel, job_id)

    async def _cancel(self, job_id: str) -> None:
        """Commit one cancellation; a later round retries it if it is refused and still due."""
        log.info("cancelling job %s: one of its dependencies was cancelled", job_id)
        try:
            await self._committer.add(cancellation(job_id, self._wall_clock_s)).wait()
        except PreconditionFailedError as refusal:
            log.debug("cancellation of job %s refused: %s", job_id, refusal)
        finally:
            self._in_flight.discard(job_id)
