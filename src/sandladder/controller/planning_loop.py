"""The loop that plans: which waiting tasks start where, and which running ones are preempted."""

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

# Shares of the agents' report interval: how long a pause is while nothing may be planned, and the
# shortest and the longest pause between two rounds without urgent work.
_IDLE_PAUSE = 1 / 10
_SHORTEST_PAUSE = 1 / 32
_PAUSE_WITHOUT_URGENT_WORK = 1 / 12
# Work that is not urgent is planned only if it can be written within this share of the interval.
_WRITTEN_SOON = 1 / 16
# Planning may take one part in so many of the time, plus one.
_PAUSE_PER_ROUND = 3


class PlanningTriggers:
    """What asks for a round of planning."""

    def __init__(self) -> None:
        self.due = Signal()
        self.urgent = Signal()  # something that must start at once waits


class PlanningLoop:
    """Plans again and again for the teams that this controller schedules."""

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
        wall: Callable[[], float],
    ) -> None:
        """`teams`: all teams of the settings; `report_s`: the agents' report interval in seconds;
        `wall`: the time of day in seconds.
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
        self._wall = wall

    async def run(self) -> None:
        """Plan whenever something asks for it, until cancelled."""
        while True:
            await self._triggers.due.wait(min(self._report_s, self._planner.next_change_s))
            if not self._may_plan():
                await anyio.sleep(self._report_s * _IDLE_PAUSE)
                continue
            began = clock.now()
            self._plan_once(began)
            # Planning may take a quarter of our time; the more there is to do, the more
            # is done at once.  Without urgent work the next round can wait for more of it: seen
            # in a measured day, where a sixth of the processor time went into fifteen a second.
            took = clock.now() - began
            await anyio.sleep(max(self._report_s * _SHORTEST_PAUSE, _PAUSE_PER_ROUND * took))
            if not self._planner.urgent:
                await self._triggers.urgent.wait(self._report_s * _PAUSE_WITHOUT_URGENT_WORK)

    def _may_plan(self) -> bool:
        return (
            self._controller_lease.alive()
            and self._watch.loaded
            and bool(self._cache.machine_types)
        )

    def _plan_once(self, now: float) -> None:
        """One round, as of a moment on the steady clock: starts, then preemptions and moves."""
        self._cluster_view.now = now
        self._cluster_view.wall_offset_s = self._wall() - now
        jobs = self._assigned_jobs()
        backing_off = self._job_committer.backing_off
        # What cannot be written yet would only grow stale: another controller takes the capacity.
        written_soon = self._committer.write_delay_s <= self._report_s * _WRITTEN_SOON
        least_priority = LOW if written_soon else HIGH
        self._job_committer.commit_starts(self._planner.plan(jobs, backing_off, least_priority))
        victims = self._preemption.preempt(jobs, backing_off) + self._preemption.graceful_evictions(
            jobs
        )
        for victim in victims:
            self._commit_stop(victim)

    def _assigned_jobs(self) -> list[Job]:
        """The live jobs of the teams that are assigned to this controller."""
        assigned = {team for team in self._teams if self._peers.is_assigned(team)}
        return [job for job in self._cache.jobs.values() if job.spec.team in assigned]

    def _commit_stop(self, victim: PreemptionVictim) -> None:
        """Have a running task stopped so that more urgent work gets its capacity."""
        log.info("preempting %s/%d: %s", victim.job, victim.task, victim.reason)

        def apply(transaction: Transaction) -> bool:
            return stop(transaction, victim.job, [victim.task], victim.grace_s)

        change = self._committer.add(PendingChange(f"stop in {victim.job}", PRIORITY_JOB, 1, apply))
        self._background.start_soon(self._after_stop, change, victim)

    async def _after_stop(self, change: PendingChange, victim: PreemptionVictim) -> None:
        """Once the stop is committed, have the agent's controller send it."""
        try:
            await change.wait()
        except PreconditionFailedError as refusal:
            log.debug("%s: %s", change.name, refusal)
        finally:
            self._preemption.stop_settled(victim)
        observation = self._cluster_view.observation(victim.machine)
        if observation is not None:
            self._peers.notify({observation.reporting_controller})
