"""Running tasks to stop: lesser work for services that must start at once, and replicas to move.

Pure: no I/O, no clock.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sandladder.model import (
    ARRAY,
    GANG,
    NO_USAGE,
    PRODUCTION,
    SERVICE,
    Attempt,
    Job,
    JobSpec,
    zones_allowed,
)
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity, allowed, fits
from sandladder.scheduling.machine_observations import MachineDeparture
from sandladder.scheduling.machine_selection import MachineSelector

# A stopped task may take so many times as long as its checkpoint takes.
_GRACE = 1.5
# What the loss of a task costs where it writes a checkpoint first, as a share of its run.
_CHECKPOINTED_LOSS = 0.2
# After so many heartbeat intervals a victim that did not come to an end is chosen again.
_CLAIM_HEARTBEATS = 2


class WaitingTask(NamedTuple):
    """A task for which another is preempted."""

    job: str
    task: int

    def __str__(self) -> str:
        return f"{self.job}/{self.task}"


class PreemptionVictim(NamedTuple):
    """A running task that is to be stopped, and for what: more urgent work, or its move."""

    job: str
    task: int
    machine: str
    grace_s: float
    reason: WaitingTask | MachineDeparture


class _Running(NamedTuple):
    """A running task on a machine."""

    job: Job
    task: int
    attempt: Attempt


class PreemptionPolicy:
    """Chooses the tasks that are to be preempted or moved."""

    def __init__(self, cluster_view: ClusterView, selector: MachineSelector) -> None:
        self._cluster_view = cluster_view
        self._selector = selector
        self._report_s = cluster_view.settings.platform.deployment.workers.report_s
        # Waiting tasks that others are stopped for, and replicas that are moved, until when.
        self._claims: dict[tuple[str, int], float] = {}
        # Running tasks whose stop was decided and waits to be committed, by job and task.
        self._stopping: dict[tuple[str, int], PreemptionVictim] = {}

    def settled(self, victim: PreemptionVictim) -> None:
        """The stop of a task was committed, or is not needed any more."""
        self._stopping.pop((victim.job, victim.task), None)

    # Preemption

    def preempt(
        self, owned: Iterable[Job], backing_off: dict[str, float]
    ) -> list[PreemptionVictim]:
        """Running tasks of lower priority to stop for work that must start at once.

        Args:
            owned: the jobs that this controller schedules.
            backing_off: jobs that nothing is stopped for, until when on the steady clock.
        """
        cluster_view = self._cluster_view
        self._expire_claims()
        if not cluster_view.cache.types:
            return []
        victims: list[PreemptionVictim] = []
        # Capacity that is to come on a machine counts once (see `_expire_claims`).
        emptied = frozenset(victim.machine for victim in self._stopping.values())
        chosen: set[tuple[str, int]] = set()
        waiting = (job for job in owned if job.spec.priority >= PRODUCTION and job.waiting)
        for job in sorted(waiting, key=lambda job: (-job.spec.priority, job.submitted)):
            within_s = self._within_s(job)
            if within_s is None or not cluster_view.cache.dependency_index.ready(job):
                continue
            if backing_off.get(job.id, 0.0) > cluster_view.now:
                continue
            for task in self._unclaimed(job):
                found = self._victims(job, task, within_s, chosen, emptied)
                if found is None:
                    break
                self._claims[job.id, task] = cluster_view.now + _CLAIM_HEARTBEATS * self._report_s
                chosen.update((victim.job, victim.task) for victim in found)
                self._stopping.update({(victim.job, victim.task): victim for victim in found})
                victims += found
        return victims

    def _expire_claims(self) -> None:
        """Drop the claims that are over.

        A claim lasts as long as a stop for it waits to be committed.  Seen in a measured day:
        while the store's write rate delayed them, the same victims were chosen for job after job.
        """
        waited_for = {victim.reason for victim in self._stopping.values()}
        self._claims = {
            claim: until
            for claim, until in self._claims.items()
            if until > self._cluster_view.now or claim in waited_for
        }

    def _within_s(self, job: Job) -> float | None:
        """Within which time a job must start, if no machine boots in that time.

        None if nothing is stopped for it: machines boot in time, it is a gang, or it has no
        such objective.
        """
        within_s = self._selector.waits.get(job.spec.cls)
        if within_s is None or job.spec.kind == GANG:
            return None
        boot_s = min(kind.boot_s for kind in self._cluster_view.cache.types.values())
        return within_s if within_s < boot_s else None

    def _unclaimed(self, job: Job) -> Iterator[int]:
        """The waiting tasks of a job, within its team's limit, for which nothing was done yet."""
        cluster_view, spec = self._cluster_view, job.spec
        left = cluster_view.team_left(spec.team)
        for task in job.pending():
            if not left.covers(spec):
                return
            left = left.less(NO_USAGE.plus(spec, 1))
            key = job.id, task
            if key not in self._claims and key not in cluster_view.gate.pending:
                yield task

    def _victims(
        self,
        job: Job,
        task: int,
        within_s: float,
        chosen: set[tuple[str, int]],
        emptied: frozenset[str],
    ) -> list[PreemptionVictim] | None:
        """The cheapest set of tasks on one machine whose end frees enough for a waiting task.

        Args:
            job: the job of the waiting task.
            task: the waiting task.
            within_s: within which time it must start.
            chosen: tasks that are to be stopped for others.
            emptied: machines on which tasks are to be stopped for others.

        Returns:
            None if there is no such set, or if none is needed.
        """
        cluster_view, spec = self._cluster_view, job.spec
        zones = [attempt.zone for attempt in job.live.values()]
        in_time = self._selector.in_time(job)
        waiting_task = WaitingTask(job.id, task)
        best: tuple[float, list[PreemptionVictim]] | None = None
        for machine, capacity in cluster_view.usable_capacities().items():
            if machine in emptied or not allowed(spec, capacity):
                continue
            if not zones_allowed(spec, [*zones, capacity.zone]):
                continue
            if in_time is not None and not in_time(capacity):
                continue
            found = self._victims_on(capacity, spec, waiting_task, within_s, chosen)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best[1] if best else None

    def _victims_on(
        self,
        capacity: FreeCapacity,
        spec: JobSpec,
        waiting_task: WaitingTask,
        within_s: float,
        chosen: set[tuple[str, int]],
    ) -> tuple[float, list[PreemptionVictim]] | None:
        """The tasks on one machine whose end frees enough for a waiting task, and their cost."""
        running = [_Running(*item) for item in self._cluster_view.cache.attempts_on(capacity.id)]
        if any(item.attempt.stop is not None for item in running):
            return None  # tasks are being stopped there already
        cpus, gpus, memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
        cost = 2 * self._cluster_view.fetch_s(spec, capacity)
        victims: list[PreemptionVictim] = []
        running.sort(key=lambda item: (item.job.spec.priority, -item.attempt.attempt, -item.task))
        for item in running:
            if fits(spec, cpus, gpus, memory_gb):
                break
            lesser = item.job.spec
            if lesser.priority >= spec.priority or lesser.kind != ARRAY:
                continue
            if (item.job.id, item.task) in chosen:
                continue
            cpus += lesser.cpus
            gpus += lesser.gpus
            memory_gb += lesser.memory_gb
            saves = lesser.checkpoint_s > 0 and 2 * lesser.save_s < within_s
            loss = _CHECKPOINTED_LOSS if saves else 1.0
            cost += (lesser.estimate_s * lesser.cpus / spec.cpus) * loss
            grace_s = _GRACE * lesser.save_s if saves else 0.0
            victims.append(
                PreemptionVictim(item.job.id, item.task, capacity.id, grace_s, waiting_task)
            )
        if not victims or not fits(spec, cpus, gpus, memory_gb):
            return None
        return cost, victims

    # Moves

    def moves(self, owned: Iterable[Job]) -> list[PreemptionVictim]:
        """Replicas to move off machines that are about to leave, once others can take them."""
        cluster_view = self._cluster_view
        leaving = cluster_view.observations.leaving_machines()
        if not leaving:
            return []
        services = {job.id for job in owned if job.spec.kind == SERVICE and not job.cancelled}
        capacities: dict[str, FreeCapacity] | None = None
        moves: list[PreemptionVictim] = []
        for machine in leaving:
            for job, task, attempt in cluster_view.cache.attempts_on(machine):
                if job.id not in services:
                    continue
                if attempt.stop is not None or (job.id, task) in self._claims:
                    continue
                reason = self._reason_to_move(machine, moves)
                if reason is None:
                    continue
                if capacities is None:
                    capacities = cluster_view.usable_capacities()
                target = self._target(job, task, capacities)
                if target is None:
                    continue
                capacities[target.id] = target.minus(job.spec)
                until = cluster_view.now + _CLAIM_HEARTBEATS * self._report_s
                self._claims[job.id, task] = until
                grace_s = _GRACE * job.spec.save_s
                moves.append(PreemptionVictim(job.id, task, machine, grace_s, reason))
        return moves

    def _reason_to_move(
        self, machine: str, moves: list[PreemptionVictim]
    ) -> MachineDeparture | None:
        """Why a replica is to move off a machine now, next to other moves, or None."""
        cluster_view = self._cluster_view
        observation = cluster_view.observation(machine)
        if observation is None or cluster_view.age_s(observation) > cluster_view.late_s:
            # Silent: its agent cannot be sent a stop, and it is returned with all that is on it.
            # Seen in a measured day: a change of the store for each replica there.
            return None
        reason = cluster_view.observations.departure(machine)
        # Draining can take its time: one replica of a service after the other.
        if reason is MachineDeparture.DRAINING and any(move.reason is reason for move in moves):
            return None
        return reason

    def _target(
        self, job: Job, task: int, capacities: dict[str, FreeCapacity]
    ) -> FreeCapacity | None:
        """The machine that a replica would move to, or None."""
        spec = job.spec
        zones = [attempt.zone for other, attempt in job.live.items() if other != task]
        fitting = {
            name: capacity
            for name, capacity in capacities.items()
            if allowed(spec, capacity) and capacity.can_take(spec)
        }
        chosen = self._selector.choose(spec, fitting, zones, 1)
        return chosen[0] if chosen else None
