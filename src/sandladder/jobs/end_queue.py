"""Proved ends that wait to be committed."""

from collections.abc import Collection

from sandladder.model import (
    ARRAY,
    AttemptKey,
    AttemptOutcome,
    EndedAttempt,
    Job,
    TeamUsage,
    headroom,
    nearly_exhausted,
)
from sandladder.scheduling import Planner

# A team is near its limit when less than this share of it is left.
_NEAR_LIMIT = 0.1


class EndQueue:
    """The proved ends of each job that wait to be committed, and by when they must be.

    The store takes few changes, so an end that nothing waits for is kept back until others share
    its commit.  What the attempt used is given away before that.  Pure: no I/O, no clock.
    """

    def __init__(self, planner: Planner, max_wait_s: float) -> None:
        """`max_wait_s`: how long an end may be kept back, in seconds."""
        self._planner = planner
        self._cluster_view = planner.cluster_view
        self._cache = planner.cluster_view.cache
        self._max_wait_s = max_wait_s
        self._ends: dict[str, dict[AttemptKey, EndedAttempt]] = {}
        self._due: dict[str, float] = {}

    def add(self, ended: EndedAttempt, now: float) -> bool:
        """Add an end; whether its job must be committed at once.

        An end that waits already is passed over.
        """
        waiting = self._ends.setdefault(ended.job, {})
        key = AttemptKey(ended.job, ended.task, ended.attempt.attempt)
        if key in waiting:
            return False
        waiting[key] = ended
        due = now if self._is_urgent(ended) else now + self._max_wait_s
        self._due[ended.job] = min(due, self._due.get(ended.job, due))
        return due <= now

    def of(self, job_id: str) -> Collection[EndedAttempt]:
        """The ends of a job that wait."""
        return self._ends.get(job_id, {}).values()

    def pop(self, job_id: str) -> Collection[EndedAttempt]:
        """Take out the ends of a job."""
        self._due.pop(job_id, None)
        return self._ends.pop(job_id, {}).values()

    def due_jobs(self, now: float) -> list[str]:
        """The jobs with ends that may be kept back no longer."""
        return [job_id for job_id, due in self._due.items() if due <= now]

    def end_all(self, job: Job) -> bool:
        """Whether the ends that wait are those of all live attempts of a job."""
        return 0 < len(job.live) <= len(self.of(job.id))

    def _is_urgent(self, ended: EndedAttempt) -> bool:
        """Whether something waits for this end to be committed."""
        job = self._cache.jobs.get(ended.job)
        if job is None or ended.outcome != AttemptOutcome.DONE or job.spec.kind != ARRAY:
            return True
        if len(self._ends[ended.job]) >= len(job.live):
            return True
        limits = self._cluster_view.team_limits.get(job.spec.team)
        usage = self._cache.usage.get(job.spec.team, TeamUsage())
        if nearly_exhausted(limits, usage, _NEAR_LIMIT):
            return True  # some job of the team may wait for this
        record_full = len(job.live) >= self._planner.max_live_tasks(job.spec)
        return job.waiting > 0 and (record_full or not headroom(limits, usage).covers(job.spec))
