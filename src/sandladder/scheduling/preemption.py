"""Choice of running tasks to stop, by preemption or by graceful eviction.

Lower-priority tasks are preempted for jobs that must start before a machine could boot; service
replicas are evicted from machines that are about to leave, and tasks from machines that have too
many.  Pure: no I/O, no clock.
"""

from collections.abc import Iterable, Iterator
from itertools import islice

from sandladder.model import GANG, NO_USAGE, PRODUCTION, SERVICE, Job
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity, machine_allowed
from sandladder.scheduling.machine_observations import MachineDeparture
from sandladder.scheduling.machine_selection import MachineSelector
from sandladder.scheduling.overfull_machines import excess_attempts
from sandladder.scheduling.victim_selection import (
    GRACE_SAVE_TIME_FACTOR,
    MachineExcess,
    PreemptionVictim,
    VictimSelector,
)

# A claim expires after this time unless a stop for it still waits for its commit.
_CLAIM_HEARTBEAT_INTERVALS = 2
# The tasks evicted in a round from machines that have too many: each stop is a change to write.
_MAX_EXCESS_EVICTIONS = 32


class PreemptionPolicy:
    """Chooses the tasks to preempt or evict."""

    def __init__(self, cluster_view: ClusterView, selector: MachineSelector) -> None:
        self._cluster_view = cluster_view
        self._selector = selector
        self._victim_selector = VictimSelector(cluster_view, selector)
        self._report_s = cluster_view.settings.platform.deployment.workers.report_s
        # Waiting tasks for which others are stopped, and evicted replicas, with the time on the
        # steady clock at which the claim expires.
        self._claims: dict[tuple[str, int], float] = {}
        # Running tasks whose stop is decided but not committed yet, by job and task.
        self._stopping: dict[tuple[str, int], PreemptionVictim] = {}

    def stop_settled(self, victim: PreemptionVictim) -> None:
        """Record that a task's stop was committed or is no longer needed."""
        self._stopping.pop((victim.job, victim.task), None)

    # Preemption

    def preempt(
        self, owned: Iterable[Job], backing_off: dict[str, float]
    ) -> list[PreemptionVictim]:
        """Return running tasks of lower priority to stop for jobs that must start at once.

        Args:
            owned: the jobs that this controller schedules.
            backing_off: by job, the time on the steady clock before which nothing is stopped
                for it.
        """
        cluster_view = self._cluster_view
        self._expire_claims()
        if not cluster_view.cache.machine_types:
            return []
        victims: list[PreemptionVictim] = []
        # Capacity that pending stops will free must not be counted for a second task.
        machines_with_stops = frozenset(victim.machine for victim in self._stopping.values())
        chosen: set[tuple[str, int]] = set()
        waiting = (job for job in owned if job.spec.priority >= PRODUCTION and job.waiting)
        for job in sorted(waiting, key=lambda job: (-job.spec.priority, job.submitted)):
            within_s = self._start_within_s(job)
            if within_s is None or not cluster_view.cache.dependency_index.ready(job):
                continue
            if backing_off.get(job.id, 0.0) > cluster_view.now:
                continue
            for task in self._unclaimed_tasks(job):
                task_victims = self._victim_selector.select(
                    job, task, within_s, chosen, machines_with_stops
                )
                if task_victims is None:
                    break
                self._claim(job.id, task)
                chosen.update((victim.job, victim.task) for victim in task_victims)
                self._stopping.update(
                    {(victim.job, victim.task): victim for victim in task_victims}
                )
                victims += task_victims
        return victims

    def _expire_claims(self) -> None:
        """Drop the expired claims.

        A claim does not expire while a stop for it waits for its commit; otherwise a slow store
        would cause the same victims to be chosen repeatedly.
        """
        claims_in_commit = {victim.reason for victim in self._stopping.values()}
        self._claims = {
            claim: until
            for claim, until in self._claims.items()
            if until > self._cluster_view.now or claim in claims_in_commit
        }

    def _start_within_s(self, job: Job) -> float | None:
        """Return a job's objective for the time to start, in seconds, if it may preempt others.

        None if the job is a gang or has no objective, or if a machine boots within the objective.
        """
        within_s = self._selector.start_within_s.get(job.spec.job_class)
        if within_s is None or job.spec.kind == GANG:
            return None
        boot_s = min(kind.boot_s for kind in self._cluster_view.cache.machine_types.values())
        return within_s if within_s < boot_s else None

    def _unclaimed_tasks(self, job: Job) -> Iterator[int]:
        """Yield a job's waiting tasks within its team's limit, without claim or pending start."""
        cluster_view, spec = self._cluster_view, job.spec
        headroom = cluster_view.team_headroom(spec.team)
        for task in job.pending():
            if not headroom.covers(spec):
                return
            headroom = headroom.minus(NO_USAGE.plus(spec, 1))
            key = job.id, task
            if key not in self._claims and key not in cluster_view.gate.pending:
                yield task

    # Eviction

    def excess_evictions(self, owned: Iterable[Job]) -> list[PreemptionVictim]:
        """Return tasks to evict from machines whose heartbeats cannot list all of their tasks."""
        job_ids = {job.id for job in owned if not job.cancelled}
        excess = (
            (job, task, attempt)
            for job, task, attempt in excess_attempts(self._cluster_view.cache)
            if job.id in job_ids
            and attempt.stop_grace_s is None
            and (job.id, task) not in self._claims
        )
        evictions = []
        for job, task, attempt in islice(excess, _MAX_EXCESS_EVICTIONS):
            self._claim(job.id, task)
            grace_s = GRACE_SAVE_TIME_FACTOR * job.spec.save_s
            reason = MachineExcess.TASKS
            evictions.append(PreemptionVictim(job.id, task, attempt.machine, grace_s, reason))
        return evictions

    def _claim(self, job_id: str, task: int) -> None:
        """Claim a task, so that nothing else is stopped for it or in its place for a while."""
        self._claims[job_id, task] = (
            self._cluster_view.now + _CLAIM_HEARTBEAT_INTERVALS * self._report_s
        )

    def graceful_evictions(self, owned: Iterable[Job]) -> list[PreemptionVictim]:
        """Return replicas to evict from machines about to leave; each fits on another machine."""
        cluster_view = self._cluster_view
        leaving = cluster_view.observations.leaving_machines()
        if not leaving:
            return []
        services = {job.id for job in owned if job.spec.kind == SERVICE and not job.cancelled}
        capacities: dict[str, FreeCapacity] | None = None
        evictions: list[PreemptionVictim] = []
        for machine in leaving:
            for job, task, attempt in cluster_view.cache.attempts_on(machine):
                if job.id not in services:
                    continue
                if attempt.stop_grace_s is not None or (job.id, task) in self._claims:
                    continue
                reason = self._eviction_reason(machine, evictions)
                if reason is None:
                    continue
                if capacities is None:
                    capacities = cluster_view.usable_free_capacities()
                target = self._target_machine(job, task, capacities)
                if target is None:
                    continue
                capacities[target.id] = target.minus(job.spec)
                self._claim(job.id, task)
                grace_s = GRACE_SAVE_TIME_FACTOR * job.spec.save_s
                evictions.append(PreemptionVictim(job.id, task, machine, grace_s, reason))
        return evictions

    def _eviction_reason(
        self, machine: str, evictions: list[PreemptionVictim]
    ) -> MachineDeparture | None:
        """Return why a replica is to be evicted from a machine now, or None if it is not."""
        cluster_view = self._cluster_view
        observation = cluster_view.observation(machine)
        if observation is None or cluster_view.age_s(observation) > cluster_view.peer_fresh_s:
            # A silent machine cannot receive a stop and is returned with everything on it, so
            # stops would only cost writes to the store.
            return None
        reason = cluster_view.observations.departure(machine)
        # Draining is not urgent: at most one replica is evicted in each round.
        if reason is MachineDeparture.DRAINING and any(
            eviction.reason is reason for eviction in evictions
        ):
            return None
        return reason

    def _target_machine(
        self, job: Job, task: int, capacities: dict[str, FreeCapacity]
    ) -> FreeCapacity | None:
        """Return the machine on which an evicted replica would be placed, or None."""
        spec = job.spec
        zones = [attempt.zone for other, attempt in job.live.items() if other != task]
        fitting = {
            name: capacity
            for name, capacity in capacities.items()
            if machine_allowed(spec, capacity) and capacity.can_take(spec)
        }
        chosen = self._selector.select(spec, fitting, zones, 1)
        return chosen[0] if chosen else None
