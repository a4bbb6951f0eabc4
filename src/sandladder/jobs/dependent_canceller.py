"""Cancellation of jobs that can never start, because one of their dependencies is cancelled."""

import logging
from collections.abc import Callable

from sandladder import clock
from sandladder.concurrency import BackgroundTasks
from sandladder.config import AgentSettings
from sandladder.jobs.transitions import cancel
from sandladder.peers import PeerService
from sandladder.state import (
    PRIORITY_REQUEST,
    GroupCommitter,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    Transaction,
)

log = logging.getLogger(__name__)

# Puts and deletes that a cancellation takes at most.
_MOST_CHANGES = 2


class DependentCanceller:
    """Commits the cancellations that follow from the records.

    The controller to which a job's team is assigned does it at once, any other when it is not done
    in good time.  It owns since when the jobs are to be cancelled, and which cancellations are
    under way; either is found again from the records after a crash.
    """

    def __init__(
        self,
        node: str,
        workers: AgentSettings,
        cache: StateCache,
        committer: GroupCommitter,
        peers: PeerService,
        background: BackgroundTasks,
        wall: Callable[[], float],
    ) -> None:
        """`wall`: the time of day, in seconds."""
        self._node = node
        self._cache = cache
        self._committer = committer
        self._peers = peers
        self._background = background
        self._wall = wall
        # How long the assignee has before any other controller cancels a job.
        self._assignee_s = workers.cancel_s / 8
        self._found_at: dict[str, float] = {}
        self._under_way: set[str] = set()

    def cancel_dependents(self) -> None:
        """Start to cancel what is ours to cancel by now.  Returns at once."""
        now = clock.now()
        teams = {job.id: job.spec.team for job in self._cache.dependency_index.jobs_to_cancel()}
        self._found_at = {job_id: self._found_at.get(job_id, now) for job_id in teams}
        for job_id, team in teams.items():
            if job_id in self._under_way:
                continue
            overdue = now - self._found_at[job_id] > self._assignee_s
            if overdue or self._peers.assignee(team) == self._node:
                self._under_way.add(job_id)
                self._background.start_soon(self._cancel, job_id)

    async def _cancel(self, job_id: str) -> None:
        """Commit one cancellation; one that is refused is looked for again if it is still due."""
        log.info("%s is cancelled, as one of its dependencies is", job_id)

        def apply(transaction: Transaction) -> bool:
            cancel(transaction, job_id, self._wall())
            return True

        change = PendingChange(f"cancel {job_id}", PRIORITY_REQUEST, _MOST_CHANGES, apply)
        try:
            await self._committer.add(change).wait()
        except PreconditionFailedError as refusal:
            log.debug("%s: %s", job_id, refusal)
        finally:
            self._under_way.discard(job_id)
