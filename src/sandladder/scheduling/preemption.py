"""Running tasks to stop: lesser work for services that must start at once, and replicas to move.

Pure: no I/O, no clock.
"""

from collections.abc import Iterable, Iterator

from sandladder.model import GANG, NO_USAGE, PRODUCTION, SERVICE, Job
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity, machine_allowed
from sandladder.scheduling.machine_observations import MachineDeparture
from sandladder.scheduling.machine_selection import MachineSelector
from sandladder.scheduling.victim_selection import GRACE, PreemptionVictim, VictimSelector

# After so many heartbeat intervals a victim that did not come to an end is chosen again.
_CLAIM_HEARTBEATS = 2


class PreemptionPolicy:
    """Chooses the tasks that are to be preempted or moved."""

    def __init__(self, cluster_view: ClusterView, selector: MachineSelector) -> None:
        self._cluster_view = cluster_view
        self._selector = selector
        self._victim_selector = VictimSelector(cluster_view, selector)
        self._report_s = cluster_view.settings.platform.deployment.workers.report_s
        # Waiting tasks that others are stopped for, and replicas that are moved, until when.
        self._claims: dict[tuple[str, int], float] = {}
        # Running tasks whose stop was decided and waits to be committed, by job and task.
        self._stopping: dict[tuple[str, int], PreemptionVictim] = {}

    def stop_settled(self, victim: PreemptionVictim) -> None:
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
        if not cluster_view.cache.machine_types:
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
                found = self._victim_selector.select(job, task, within_s, chosen, emptied)
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
        within_s = self._selector.start_within_s.get(job.spec.job_class)
        if within_s is None or job.spec.kind == GANG:
            return None
        boot_s = min(kind.boot_s for kind in self._cluster_view.cache.machine_types.values())
        return within_s if within_s < boot_s else None

    def _unclaimed(self, job: Job) -> Iterator[int]:
        """The waiting tasks of a job, within its team's limit, for which nothing was done yet."""
        cluster_view, spec = self._cluster_view, job.spec
        left = cluster_view.team_headroom(spec.team)
        for task in job.pending():
            if not left.covers(spec):
                return
            left = left.minus(NO_USAGE.plus(spec, 1))
            key = job.id, task
            if key not in self._claims and key not in cluster_view.gate.pending:
                yield task

    # Moves

    def graceful_evictions(self, owned: Iterable[Job]) -> list[PreemptionVictim]:
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
                    capacities = cluster_view.usable_free_capacities()
                target = self._target(job, task, capacities)
                if target is None:
                    continue
                capacities[target.id] = target.minus(job.spec)
                until = cluster_view.now + _CLAIM_HEARTBEATS * self._report_s
                self._claims[job.id, task] = until
                grace_s = GRACE * job.spec.save_s
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
            if machine_allowed(spec, capacity) and capacity.can_take(spec)
        }
        chosen = self._selector.select(spec, fitting, zones, 1)
        return chosen[0] if chosen else None
