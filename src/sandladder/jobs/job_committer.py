"""Commits of what happens to jobs: proved ends and released starts, one change a job at a time.

The store takes few changes.  So whatever waits to be committed of a job goes in one: the ends
that are proved by then, and the starts that pass the gate by then.
"""

import logging
from collections.abc import Callable, Iterable, Mapping

from sandladder import clock
from sandladder.agents import AgentService
from sandladder.concurrency import BackgroundTasks, Signal
from sandladder.config import AgentSettings
from sandladder.jobs.archiver import JobArchiver
from sandladder.jobs.backoff import JobBackoff
from sandladder.jobs.end_announcer import EndAnnouncer, ProvedEnd
from sandladder.jobs.end_queue import EndQueue
from sandladder.jobs.start_queue import StartQueue
from sandladder.jobs.starts import record_done_dependencies, start
from sandladder.jobs.transitions import end, same_attempt
from sandladder.membership import ControllerLease, MembershipService
from sandladder.model import HIGH, AttemptKey, EndedAttempt, Job
from sandladder.peers import PeerService
from sandladder.scheduling import ClusterView, PendingStart, Planner
from sandladder.state import (
    JOB_PREFIX,
    PRIORITY_JOB,
    PRIORITY_URGENT_START,
    GroupCommitter,
    PendingChange,
    PreconditionFailedError,
    Transaction,
    job_priority,
)

log = logging.getLogger(__name__)

# Puts and deletes that a job's change takes at most: its record, its team's and, in the first
# schema, that of the finished job.
_MOST_CHANGES = 3


class JobCommitter:
    """Commits what happens to the jobs of the teams that are assigned to this controller.

    It owns the ends and starts that wait to be committed, and which jobs have a change under way:
    one at a time each.  What comes in meanwhile is committed with the next.  The routines that
    await the commits run in the background; cancelled, they leave what waits to the records, from
    which it is found again.
    """

    def __init__(
        self,
        workers: AgentSettings,
        planner: Planner,
        committer: GroupCommitter,
        controller_lease: ControllerLease,
        membership: MembershipService,
        peers: PeerService,
        agent_service: AgentService,
        archiver: JobArchiver,
        background: BackgroundTasks,
        plan_due: Signal,
        wall: Callable[[], float],
    ) -> None:
        """`plan_due` is raised when planning may come to something new; `wall`: the time of day."""
        self._lease_s = workers.lease_s
        self._cluster_view = planner.cluster_view
        self._cache = planner.cluster_view.cache
        self._limits = planner.store_limits
        self._committer = committer
        self._controller_lease = controller_lease
        self._membership = membership
        self._peers = peers
        self._agent_service = agent_service
        self._archiver = archiver
        self._background = background
        self._plan_due = plan_due
        self._wall = wall
        max_wait_s = workers.lease_s / 3
        self._announcer = EndAnnouncer(
            membership.node, planner.cluster_view, peers, plan_due, max_wait_s, self._enqueue_end
        )
        self._ends = EndQueue(planner, max_wait_s)
        self._starts = StartQueue(planner.cluster_view)
        self._backoff = JobBackoff(planner, workers)
        # By job, the starts that were added to its change when that was last evaluated.
        self._released: dict[str, list[PendingStart]] = {}
        self._under_way: set[str] = set()
        self._forget_at = 0.0

    @property
    def backing_off(self) -> dict[str, float]:
        """By job that backs off, until when, on the steady clock in seconds."""
        return self._backoff.until

    @property
    def proved_ends(self) -> Mapping[AttemptKey, ProvedEnd]:
        """The ends that were proved here of late."""
        return self._announcer.proved

    def collect_ends(self, ends: Iterable[EndedAttempt]) -> None:
        """Take in ends that were proved here: what they leave is free at once.

        The controllers to which the jobs' teams are assigned commit them.
        """
        self._announcer.collect_ends(ends)

    def handle_peer_end(self, ended: EndedAttempt) -> None:
        """Take in an end that a peer has proved."""
        self._announcer.receive(ended)

    def commit_starts(self, pending_starts: Iterable[PendingStart]) -> None:
        """Have pending starts committed if they pass the gate by then."""
        for job_id in self._starts.add(pending_starts):
            self._commit(job_id)

    def sweep(self) -> None:
        """Commit what has waited long enough, archive, and forget what is over."""
        now = clock.now()
        for job_id in self._ends.due_jobs(now):
            self._commit(job_id)
        self._archiver.archive_when_idle()
        if now >= self._forget_at:
            # Seldom: each time goes through all that ended in some leases.
            self._forget_at = now + self._lease_s
            self._announcer.forget(now, 4 * self._lease_s)
        self._backoff.forget_expired(now)

    # The change of a job

    def _enqueue_end(self, ended: EndedAttempt) -> None:
        if self._ends.add(ended, clock.now()):
            self._commit(ended.job)

    def _commit(self, job_id: str) -> None:
        """Have a job's change committed, unless one is under way."""
        if job_id in self._under_way:
            return
        self._under_way.add(job_id)
        change = PendingChange(
            f"ends and starts of {job_id}",
            self._priority(job_id),
            _MOST_CHANGES,
            lambda transaction: self._apply(transaction, job_id),
            added_operations=lambda transaction: self._count_changes(transaction, job_id),
            on_commit=lambda: self._committed(job_id),
        )
        self._committer.add(change)
        self._background.start_soon(self._finish, change, job_id)

    def _priority(self, job_id: str) -> float:
        """More urgent jobs first; first starts of urgent jobs don't wait for the write budget."""
        job = self._cache.jobs.get(job_id)
        if job is None:
            return PRIORITY_JOB
        priority = self._cluster_view.scheduling_priority(job).priority
        untouched = not job.live and not job.done.count
        if untouched and priority >= HIGH and job_id in self._starts:
            return PRIORITY_URGENT_START
        if self._teams_unblocked_by(job_id):
            return PRIORITY_URGENT_START
        return job_priority(priority)

    def _teams_unblocked_by(self, job_id: str) -> list[str]:
        """The teams of a job's dependents, when its last ends are to be committed."""
        job = self._cache.jobs.get(job_id)
        if job is None or job.waiting or not self._ends.end_all(job):
            return []
        dependents = self._cache.dependency_index.dependents(job_id)
        return [dependent.spec.team for dependent in dependents]

    def _count_changes(self, transaction: Transaction, job_id: str) -> int:
        """How many puts and deletes a job's change adds: its team's record is often in already."""
        job = self._cache.jobs.get(job_id)
        if job is None:
            return 0
        if not transaction.is_schema_v1:
            return 1
        return 1 + (job.spec.team not in transaction.teams) + self._ends.end_all(job)

    def _apply(self, transaction: Transaction, job_id: str) -> bool:
        """Add a job's ends, and its starts that pass the gate, to a transaction."""
        self._cluster_view.now = clock.now()
        self._released[job_id] = []
        changed = end(transaction, self._ends.of(job_id), self._wall())
        passed = self._starts.release(job_id)
        job = self._cache.jobs.get(job_id)
        if not passed or job is None or not self._controller_lease.alive():
            return changed
        return self._apply_starts(transaction, job, passed) or changed

    def _apply_starts(self, transaction: Transaction, job: Job, passed: list[PendingStart]) -> bool:
        """Add starts that passed the gate; those that are refused are withdrawn."""
        most_dependencies = self._limits.conditions // 2
        if len(job.dependencies) > most_dependencies:
            # More than a commit can be bound to: some are recorded ahead of the start.
            self._starts.withdraw(passed)
            return record_done_dependencies(transaction, job.id, most_dependencies)
        placements = [pending_start.placement for pending_start in passed]
        limits = self._cluster_view.team_limits.get(job.spec.team)
        try:
            start(transaction, job.id, placements, limits, self._membership.own)
        except PreconditionFailedError as refusal:
            log.debug("starts of %s: %s", job.id, refusal)
            self._starts.withdraw(passed)
            return False
        self._released[job.id] = passed
        for pending_start in passed:
            pending_start.commit_in_flight = True
        return True

    def _committed(self, job_id: str) -> None:
        """Withdraw what was committed, and notify who is to act on it.

        It is called before the commit shows in the cache: what has started is pending no more, so
        its own commit must not be held against it.
        """
        released = self._released.get(job_id, [])
        self._starts.withdraw(released)
        concerned = {pending_start.reporting_controller for pending_start in released}
        # The assignees of the job's dependents should know of its end at once.
        concerned |= {self._peers.assignee(team) for team in self._teams_unblocked_by(job_id)}
        self._peers.notify(concerned)

    async def _finish(self, change: PendingChange, job_id: str) -> None:
        """Await a job's change, and have what came in meanwhile committed with the next."""
        try:
            await change.wait()
        except PreconditionFailedError as refusal:
            log.error("the change %s was refused: %s", change.name, refusal)
        self._under_way.discard(job_id)
        released = self._released.pop(job_id, [])
        job = self._cache.jobs.get(job_id)
        if released and change.error is None and job is not None:
            _log_starts(self._cluster_view, job, released, self._wall())
        left = self._starts.pop(job_id, committed=released)
        for ended in self._ends.pop(job_id):
            self._finish_end(ended)
        if change.error is not None or not released:
            # Nothing of it could be released: asking again at once could go on for ever
            # (seen in the simulation).  The next round of planning takes it up.
            self._starts.withdraw(left)
        elif left:
            self.commit_starts(left)
        self._plan_due.set()

    def _finish_end(self, ended: EndedAttempt) -> None:
        """See to what follows from an end, and to its commit if that has not been made."""
        self._backoff.note(ended)
        job = self._cache.jobs.get(ended.job)
        if job is not None and same_attempt(job.live.get(ended.task), ended.attempt):
            self._enqueue_end(ended)  # it came while the others were being committed
        agent = self._cluster_view.reconciler.agents.get(ended.attempt.machine)
        if agent is not None:
            self._agent_service.send_commands(agent)


def _log_starts(
    cluster_view: ClusterView, job: Job, started: list[PendingStart], time_of_day: float
) -> None:
    """Log how long committed starts waited, and how long they still wait for their images."""
    waits_s = [cluster_view.fetch_wait_s(i.spec, i.placement) for i in started]
    log.info(
        "starts of %s (%s): %d tasks after %.1f s, images in %.1f s, %d without a fetch, "
        "at revision %d",
        job.id,
        job.spec.job_class,
        len(started),
        time_of_day - cluster_view.waiting_since(job),
        max(waits_s),
        sum(wait_s <= 0 for wait_s in waits_s),
        cluster_view.cache.version(JOB_PREFIX + job.id),
    )
