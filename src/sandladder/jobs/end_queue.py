"""Queue of ended attempts that wait for their commit."""

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

# A team is near its limit when less than this share of the limit is left.
_NEAR_LIMIT_SHARE = 0.1


class EndQueue:
    """The uncommitted ends of each job, and the time by which they must be committed.

    The store's write rate is limited, so an end that is not urgent is delayed and committed
    together with others.  The attempt's capacity is released earlier, when the end is proved.
    Performs no I/O and reads no clock.
    """

    def __init__(self, planner: Planner, max_wait_s: float) -> None:
        """Create the queue; `max_wait_s` is the longest delay of an end, in seconds."""
        self._planner = planner
        self._cluster_view = planner.cluster_view
        self._cache = planner.cluster_view.cache
        self._max_wait_s = max_wait_s
        self._ends: dict[str, dict[AttemptKey, EndedAttempt]] = {}
        self._due_at: dict[str, float] = {}  # by job ID, on the steady clock

    def add(self, ended: EndedAttempt, now: float) -> bool:
        """Add an end and return whether its job must be committed at once.

        An end that is already queued is ignored.
        """
        queued = self._ends.setdefault(ended.job, {})
        key = AttemptKey(ended.job, ended.task, ended.attempt.attempt)
        if key in queued:
            return False
        queued[key] = ended
        due_at = now if self._is_urgent(ended) else now + self._max_wait_s
        self._due_at[ended.job] = min(due_at, self._due_at.get(ended.job, due_at))
        return due_at <= now

    def queued_ends(self, job_id: str) -> Collection[EndedAttempt]:
        """Return the queued ends of a job."""
        return self._ends.get(job_id, {}).values()

    def pop(self, job_id: str) -> Collection[EndedAttempt]:
        """Remove and return the queued ends of a job."""
        self._due_at.pop(job_id, None)
        return self._ends.pop(job_id, {}).values()

    def due_jobs(self, now: float) -> list[str]:
        """Return the IDs of the jobs whose queued ends are due for a commit."""
        return [job_id for job_id, due_at in self._due_at.items() if due_at <= now]

    def covers_all_live(self, job: Job) -> bool:
        """Return whether the ends of all live attempts of a job are queued."""
        return 0 < len(job.live) <= len(self.queued_ends(job.id))

    def _is_urgent(self, ended: EndedAttempt) -> bool:
        """Return whether a start or a job's completion depends on the commit of this end."""
        job = self._cache.jobs.get(ended.job)
        if job is None or ended.outcome != AttemptOutcome.DONE or job.spec.kind != ARRAY:
            return True
        if len(self._ends[ended.job]) >= len(job.live):
            return True
        limits = self._cluster_view.team_limits.get(job.spec.team)
        usage = self._cache.usage.get(job.spec.team, TeamUsage())
        if nearly_exhausted(limits, usage, _NEAR_LIMIT_SHARE):
            return True  # another job of the team may need the quota
        record_full = len(job.live) >= self._planner.max_live_tasks(job.spec)
        return job.waiting > 0 and (record_full or not headroom(limits, usage).covers(job.spec))
