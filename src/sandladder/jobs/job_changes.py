"""The change of one job: its queued ends and its starts that pass the gate."""

import logging
from collections.abc import Callable

from sandladder import clock
from sandladder.jobs.end_queue import EndQueue
from sandladder.jobs.start_queue import StartQueue
from sandladder.jobs.starts import record_done_dependencies, start
from sandladder.jobs.transitions import end
from sandladder.membership import ControllerLease, MembershipService
from sandladder.model import HIGH, Job
from sandladder.scheduling import PendingStart, Planner
from sandladder.state import (
    PRIORITY_JOB,
    PRIORITY_URGENT_START,
    PendingChange,
    PreconditionFailedError,
    Transaction,
    job_priority,
)

log = logging.getLogger(__name__)

# Puts and deletes of a job's change: its record, its team's record and, in schema version 1, the
# finished job's record.
_MAX_OPERATIONS = 3


class JobChanges:
    """Makes the changes of jobs and evaluates each on the records of its transaction.

    A change has no content of its own: whatever is queued for the job at an evaluation is part of
    it.  Awaits nothing.
    """

    def __init__(
        self,
        planner: Planner,
        ends: EndQueue,
        starts: StartQueue,
        controller_lease: ControllerLease,
        membership: MembershipService,
        wall_clock_s: Callable[[], float],
    ) -> None:
        """Create the changes.

        Args:
            planner: provides the cluster view and the store's limits.
            ends: the uncommitted ends of each job.
            starts: the pending starts of each job.
            controller_lease: starts are added only while it is valid.
            membership: provides this controller's name and process.
            wall_clock_s: returns the time of day in seconds.
        """
        self._cluster_view = planner.cluster_view
        self._cache = planner.cluster_view.cache
        self._limits = planner.store_limits
        self._ends = ends
        self._starts = starts
        self._controller_lease = controller_lease
        self._membership = membership
        self._wall_clock_s = wall_clock_s
        # By job ID, the starts in its change as of the change's last evaluation.
        self._released: dict[str, list[PendingStart]] = {}

    def make(self, job_id: str, on_commit: Callable[[], None]) -> PendingChange:
        """Return a job's change; `on_commit` is called after its commit."""
        return PendingChange(
            f"ends and starts of {job_id}",
            self._priority(job_id),
            _MAX_OPERATIONS,
            lambda transaction: self._apply(transaction, job_id),
            added_operations=lambda transaction: self._count_operations(transaction, job_id),
            on_commit=on_commit,
        )

    def released(self, job_id: str) -> list[PendingStart]:
        """Return the starts in a job's change as of its last evaluation."""
        return self._released.get(job_id, [])

    def pop_released(self, job_id: str) -> list[PendingStart]:
        """Remove and return the starts in a job's change as of its last evaluation."""
        return self._released.pop(job_id, [])

    def teams_unblocked_by(self, job_id: str) -> list[str]:
        """Return the teams of a job's dependents if its last ends are queued, else none."""
        job = self._cache.jobs.get(job_id)
        if job is None or job.waiting or not self._ends.covers_all_live(job):
            return []
        dependents = self._cache.dependency_index.dependents(job_id)
        return [dependent.spec.team for dependent in dependents]

    def _priority(self, job_id: str) -> float:
        """Return the commit priority of a job's change.

        First starts of urgent jobs and ends that unblock dependents bypass the write budget.
        """
        job = self._cache.jobs.get(job_id)
        if job is None:
            return PRIORITY_JOB
        priority = self._cluster_view.scheduling_priority(job).priority
        never_started = not job.live and not job.done.count
        if never_started and priority >= HIGH and job_id in self._starts:
            return PRIORITY_URGENT_START
        if self.teams_unblocked_by(job_id):
            return PRIORITY_URGENT_START
        return job_priority(priority)

    def _count_operations(self, transaction: Transaction, job_id: str) -> int:
        """Return the number of puts and deletes that a job's change adds to a transaction.

        The team's record counts only if the transaction does not contain it.
        """
        job = self._cache.jobs.get(job_id)
        if job is None:
            return 0
        if not transaction.is_schema_v1:
            return 1
        return 1 + (job.spec.team not in transaction.teams) + self._ends.covers_all_live(job)

    def _apply(self, transaction: Transaction, job_id: str) -> bool:
        """Add a job's ends and its starts that pass the gate to a transaction."""
        self._cluster_view.now = clock.now()
        self._released[job_id] = []
        changed = end(transaction, self._ends.queued_ends(job_id), self._wall_clock_s())
        passed = self._starts.release(job_id)
        job = self._cache.jobs.get(job_id)
        if not passed or job is None or not self._controller_lease.alive():
            return changed
        return self._apply_starts(transaction, job, passed) or changed

    def _apply_starts(self, transaction: Transaction, job: Job, passed: list[PendingStart]) -> bool:
        """Add starts that passed the gate, or withdraw them if the rules forbid them."""
        max_dependencies = self._limits.conditions // 2
        if len(job.dependencies) > max_dependencies:
            # Too many conditions for one transaction: record some dependencies before the start.
            self._starts.withdraw(passed)
            return record_done_dependencies(transaction, job.id, max_dependencies)
        placements = [pending_start.placement for pending_start in passed]
        limits = self._cluster_view.team_limits.get(job.spec.team)
        try:
            start(transaction, job.id, placements, limits, self._membership.own)
        except PreconditionFailedError as refusal:
            log.debug("starts of job %s refused: %s", job.id, refusal)
            self._starts.withdraw(passed)
            return False
        self._released[job.id] = passed
        for pending_start in passed:
            pending_start.commit_in_flight = True
        return True
