"""The planning loop, which places waiting tasks and selects running tasks to stop."""

import logging
from collections.abc import Callable, Iterable

import anyio

from sandladder import clock
from sandladder.concurrency import BackgroundTasks, Signal
from sandladder.jobs import JobCommitter, stop
from sandladder.membership import ControllerLease
from sandladder.model import HIGH, LOW, Job
from sandladder.peers import PeerService
from sandladder.scheduling import ClusterView, Planner, PreemptionPolicy, PreemptionVictim
from sandladder.state import (
    PRIORITY_JOB,
    GroupCommitter,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreWatch,
    Transaction,
)

log = logging.getLogger(__name__)

# Pauses as shares of the agents' heartbeat interval: while planning is not possible; the minimum
# after a round; and the maximum wait for urgent work after a round that had none.
_IDLE_PAUSE_SHARE = 1 / 10
_MIN_PAUSE_SHARE = 1 / 32
_NON_URGENT_PAUSE_SHARE = 1 / 12
# Non-urgent work is planned only if it can be written within this share of the heartbeat interval.
_MAX_WRITE_DELAY_SHARE = 1 / 16
# Minimum pause after a round, as a multiple of its duration.
_PAUSE_ROUND_RATIO = 3


class PlanningTriggers:
    """Signals that request a planning round."""

    def __init__(self) -> None:
        self.due = Signal()
        self.urgent = Signal()  # high-priority work is waiting


class PlanningLoop:
    """Runs planning rounds for the teams that are assigned to this controller."""

    def __init__(
        self,
        *,
        triggers: PlanningTriggers,
        teams: Iterable[str],
        report_s: float,
        cache: StateCache,
        watch: StoreWatch,
        committer: GroupCommitter,
        controller_lease: ControllerLease,
        peers: PeerService,
        cluster_view: ClusterView,
        planner: Planner,
        preemption: PreemptionPolicy,
        job_committer: JobCommitter,
        background: BackgroundTasks,
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the loop.

        Args:
            teams: the names of all teams in the settings.
            report_s: the agents' heartbeat interval, in seconds.
            wall_clock: returns the time of day, in seconds.
        """
        self._triggers = triggers
        self._teams = list(teams)
        self._report_s = report_s
        self._cache = cache
        self._watch = watch
        self._committer = committer
        self._controller_lease = controller_lease
        self._peers = peers
        self._cluster_view = cluster_view
        self._planner = planner
        self._preemption = preemption
        self._job_committer = job_committer
        self._background = background
        self._wall_clock = wall_clock

    async def run(self) -> None:
        """Plan until cancelled: on request, periodically, and when time may change the plan."""
        while True:
            await self._triggers.due.wait(min(self._report_s, self._planner.next_change_s))
            if not self._may_plan():
                await anyio.sleep(self._report_s * _IDLE_PAUSE_SHARE)
                continue
            started_at = clock.now()
            self._plan_once(started_at)
            # Limits planning to a quarter of the time.  Without urgent work the next round is
            # delayed further, so that many small changes do not each cause a round: fifteen rounds
            # a second took a sixth of the processor time.
            elapsed_s = clock.now() - started_at
            await anyio.sleep(
                max(self._report_s * _MIN_PAUSE_SHARE, _PAUSE_ROUND_RATIO * elapsed_s)
            )
            if not self._planner.urgent:
                await self._triggers.urgent.wait(self._report_s * _NON_URGENT_PAUSE_SHARE)

    def _may_plan(self) -> bool:
        return (
            self._controller_lease.alive()
            and self._watch.loaded
            and bool(self._cache.machine_types)
        )

    def _plan_once(self, now: float) -> None:
        """Run one round as of `now` (steady clock): starts, then preemptions and evictions."""
        self._cluster_view.now = now
        self._cluster_view.wall_offset_s = self._wall_clock() - now
        jobs = self._assigned_jobs()
        backing_off = self._job_committer.backing_off
        # A start that cannot be written soon goes stale if another controller takes the capacity.
        can_write_soon = self._committer.write_delay_s <= self._report_s * _MAX_WRITE_DELAY_SHARE
        min_priority = LOW if can_write_soon else HIGH
        self._job_committer.commit_starts(self._planner.plan(jobs, backing_off, min_priority))
        victims = self._preemption.preempt(jobs, backing_off)
        victims += self._preemption.graceful_evictions(jobs)
        victims += self._preemption.excess_evictions(jobs)
        for victim in victims:
            self._commit_stop(victim)

    def _assigned_jobs(self) -> list[Job]:
        """Return the live jobs of the teams that are assigned to this controller."""
        assigned = {team for team in self._teams if self._peers.is_assigned(team)}
        return [job for job in self._cache.jobs.values() if job.spec.team in assigned]

    def _commit_stop(self, victim: PreemptionVictim) -> None:
        """Commit the stop of a task that is preempted or evicted."""
        log.info("preempting %s/%d: %s", victim.job, victim.task, victim.reason)

        def apply(transaction: Transaction) -> bool:
            return stop(transaction, victim.job, [victim.task], victim.grace_s)

        change = self._committer.add(PendingChange(f"stop in {victim.job}", PRIORITY_JOB, 1, apply))
        self._background.start_soon(self._notify_after_stop, change, victim)

    async def _notify_after_stop(self, change: PendingChange, victim: PreemptionVictim) -> None:
        """Wait until the stop is committed or rejected; notify the reporting controller."""
        try:
            await change.wait()
        except PreconditionFailedError as rejection:
            log.debug("%s was rejected: %s", change.name, rejection)
        finally:
            self._preemption.stop_settled(victim)
        observation = self._cluster_view.observation(victim.machine)
        if observation is not None:
            self._peers.notify({observation.reporting_controller})
