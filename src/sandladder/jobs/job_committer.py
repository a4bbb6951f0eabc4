"""Commits of ended attempts and of starts, one change per job at a time.

The store's write rate is limited, so all uncommitted ends of a job, and its starts that pass the
gate, are combined into one change.
"""

import logging
from collections.abc import Callable, Iterable, Mapping

import anyio

from sandladder import clock
from sandladder.agents import AgentService
from sandladder.concurrency import BackgroundTasks, Signal
from sandladder.config import AgentSettings
from sandladder.jobs.archiver import JobArchiver
from sandladder.jobs.backoff import JobBackoff
from sandladder.jobs.end_announcer import EndAnnouncer, ProvedEnd
from sandladder.jobs.end_queue import EndQueue
from sandladder.jobs.job_changes import JobChanges
from sandladder.jobs.start_queue import StartQueue
from sandladder.jobs.transitions import same_attempt
from sandladder.membership import ControllerLease, MembershipService
from sandladder.model import AttemptKey, EndedAttempt, Job
from sandladder.peers import PeerService
from sandladder.scheduling import ClusterView, PendingStart, Planner
from sandladder.state import JOB_PREFIX, GroupCommitter, PendingChange, PreconditionFailedError

log = logging.getLogger(__name__)


class JobCommitter:
    """Commits the ends and starts of the jobs whose teams are assigned to this controller.

    Each job has at most one change in flight; ends and starts that arrive in the meantime go into
    the next one.  Background tasks await the commits.  If these are cancelled, the uncommitted ends
    and starts are derived again from the records.
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
        wall_clock_s: Callable[[], float],
    ) -> None:
        """Create the committer.

        Args:
            workers: the agents' settings.
            planner: provides the cluster view and the store's limits.
            committer: commits the changes.
            controller_lease: starts are committed only while it is valid.
            membership: provides this controller's name and process.
            peers: the other controllers, and the assignment of teams.
            agent_service: sends commands after an end is committed.
            archiver: archives finished jobs.
            background: runs the tasks that await the commits.
            plan_due: set when a new planning round may start more tasks.
            wall_clock_s: returns the time of day in seconds.
        """
        self._lease_s = workers.lease_s
        self._cluster_view = planner.cluster_view
        self._cache = planner.cluster_view.cache
        self._committer = committer
        self._peers = peers
        self._agent_service = agent_service
        self._archiver = archiver
        self._background = background
        self._plan_due = plan_due
        self._wall_clock_s = wall_clock_s
        self._retry_delay_s = workers.report_s / 2
        max_wait_s = workers.lease_s / 3
        self._announcer = EndAnnouncer(
            membership.node, planner.cluster_view, peers, plan_due, max_wait_s, self._enqueue_end
        )
        self._ends = EndQueue(planner, max_wait_s)
        self._starts = StartQueue(planner.cluster_view)
        self._changes = JobChanges(
            planner, self._ends, self._starts, controller_lease, membership, wall_clock_s
        )
        self._backoff = JobBackoff(planner, workers)
        self._in_flight: set[str] = set()
        self._next_forget_at = 0.0

    @property
    def backing_off(self) -> dict[str, float]:
        """By ID of a job in backoff, the earliest next planning, on the steady clock in seconds."""
        return self._backoff.not_before

    @property
    def proved_ends(self) -> Mapping[AttemptKey, ProvedEnd]:
        """The ends that this controller proved recently."""
        return self._announcer.proved

    def record_ended_attempts(self, ends: Iterable[EndedAttempt]) -> None:
        """Process ends that this controller has proved.

        The capacity is released at once; the controllers to which the jobs' teams are assigned
        commit the ends.
        """
        self._announcer.record_ended_attempts(ends)

    def handle_peer_end(self, ended: EndedAttempt) -> None:
        """Process an end that a peer has proved."""
        self._announcer.handle_peer_end(ended)

    def commit_starts(self, pending_starts: Iterable[PendingStart]) -> None:
        """Queue pending starts for commit, subject to their revalidation by the gate."""
        for job_id in self._starts.add(pending_starts):
            self._commit(job_id)

    def sweep(self) -> None:
        """Commit the ends that are due, archive finished jobs and drop expired entries."""
        now = clock.now()
        for job_id in self._ends.due_jobs(now):
            self._commit(job_id)
        self._archiver.archive_when_idle()
        if now >= self._next_forget_at:
            # Done once per lease, as it scans all recent ends.
            self._next_forget_at = now + self._lease_s
            self._announcer.forget(now, 4 * self._lease_s)
        self._backoff.forget_expired(now)

    # Changes of jobs

    def _enqueue_end(self, ended: EndedAttempt) -> None:
        if self._ends.add(ended, clock.now()):
            self._commit(ended.job)

    def _commit(self, job_id: str) -> None:
        """Queue a job's change for commit unless one is in flight."""
        if job_id in self._in_flight:
            return
        self._in_flight.add(job_id)
        change = self._changes.make(job_id, on_commit=lambda: self._handle_commit(job_id))
        self._committer.add(change)
        self._background.start_soon(self._await_commit, change, job_id)

    def _handle_commit(self, job_id: str) -> None:
        """Withdraw the committed starts from the gate and notify the controllers concerned.

        Called before the cache contains the commit; once it does, the premises of these starts
        fail.
        """
        released = self._changes.released(job_id)
        self._starts.withdraw(released)
        controllers = {pending_start.reporting_controller for pending_start in released}
        # The assignees of the job's dependents may now start them.
        controllers |= {
            self._peers.assignee(team) for team in self._changes.teams_unblocked_by(job_id)
        }
        self._peers.notify(controllers)

    async def _await_commit(self, change: PendingChange, job_id: str) -> None:
        """Await a job's change, then queue the ends and starts that arrived in the meantime."""
        try:
            await change.wait()
        except PreconditionFailedError as refusal:
            log.error("change refused: %s: %s", change.name, refusal)
            # An immediate retry on the same records would be refused again, in an endless loop.
            await anyio.sleep(self._retry_delay_s)
        self._in_flight.discard(job_id)
        released = self._changes.pop_released(job_id)
        job = self._cache.jobs.get(job_id)
        if released and change.error is None and job is not None:
            _log_starts(self._cluster_view, job, released, self._wall_clock_s())
        remaining = self._starts.pop(job_id, committed=released)
        for ended in self._ends.pop(job_id):
            self._process_end(ended)
        if change.error is not None or not released:
            # No start was committed: an immediate retry could loop indefinitely.  The next planning
            # round places the tasks again.
            self._starts.withdraw(remaining)
        elif remaining:
            self.commit_starts(remaining)
        self._plan_due.set()

    def _process_end(self, ended: EndedAttempt) -> None:
        """Update the backoff, send the agent its commands, and requeue an uncommitted end."""
        self._backoff.record_end(ended)
        job = self._cache.jobs.get(ended.job)
        if job is not None and same_attempt(job.live.get(ended.task), ended.attempt):
            self._enqueue_end(ended)  # arrived while the change was in flight
        agent = self._cluster_view.reconciler.agents.get(ended.attempt.machine)
        if agent is not None:
            self._agent_service.send_commands(agent)


def _log_starts(
    cluster_view: ClusterView, job: Job, started: list[PendingStart], time_of_day_s: float
) -> None:
    """Log how long committed starts waited, and the remaining wait for their images."""
    image_waits_s = [
        cluster_view.fetch_wait_s(pending_start.spec, pending_start.placement)
        for pending_start in started
    ]
    log.info(
        "job %s (%s): started %d tasks after waiting %.1f s, images ready in %.1f s, "
        "%d without an image fetch, at revision %d",
        job.id,
        job.spec.job_class,
        len(started),
        time_of_day_s - cluster_view.waiting_since(job),
        max(image_waits_s),
        sum(wait_s <= 0 for wait_s in image_waits_s),
        cluster_view.cache.version(JOB_PREFIX + job.id),
    )
