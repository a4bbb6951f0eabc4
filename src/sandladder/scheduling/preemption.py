"""Running tasks to stop: lesser work for services that need room at once, and replicas to move.

Pure: no I/O, no clock.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.model import ARRAY, GANG, PRODUCTION, SERVICE, Job, TeamUsage, zones_allowed
from sandladder.scheduling.cluster_view import allowed, fits, holds, less
from sandladder.scheduling.planner import Planner
from sandladder.scheduling.premises import FreeCapacity


class PreemptionVictim(NamedTuple):
    """A running task that is to make room."""

    job: str
    task: int
    machine: str
    grace_s: float
    reason: str
    claim: tuple[str, int] | None = None  # the job and task that gets the room


class PreemptionPolicy:
    """Chooses the tasks that are to make room or to move."""

    def __init__(self, planner: Planner) -> None:
        self._planner = planner
        self._claims: dict[tuple[str, int], float] = {}  # stops are under way for these
        # Running tasks whose stop was decided and waits to be committed, by job and task.
        self._stopping: dict[tuple[str, int], PreemptionVictim] = {}

    def settled(self, victim: PreemptionVictim) -> None:
        """The stop of a task was committed, or fell away."""
        self._stopping.pop((victim.job, victim.task), None)

    def preempt(
        self, owned: Iterable[Job], backing_off: dict[str, float]
    ) -> list[PreemptionVictim]:
        """Running tasks of lower priority to stop for work that must start at once."""
        cluster_view = self._planner.cluster_view
        report_s = cluster_view.settings.platform.deployment.workers.report_s
        # A claim lasts as long as a stop for it waits to be committed, and room that is to come
        # on a machine counts once.  Seen in a measured day: while the store's write rate held them
        # up, the same victims were chosen for job after job.
        waited_for = {victim.claim for victim in self._stopping.values()}
        self._claims = {
            claim: until
            for claim, until in self._claims.items()
            if until > cluster_view.now or claim in waited_for
        }
        if not cluster_view.cache.types:
            return []
        boot_s = min(kind.boot_s for kind in cluster_view.cache.types.values())
        victims: list[PreemptionVictim] = []
        emptied = frozenset(victim.machine for victim in self._stopping.values())
        chosen: set[tuple[str, int]] = set()
        waiting = (job for job in owned if job.spec.priority >= PRODUCTION and job.waiting)
        for job in sorted(waiting, key=lambda j: (-j.spec.priority, j.submitted)):
            spec = job.spec
            within = self._planner.waits.get(spec.cls)
            # Where a machine boots in time for the aim, nothing is stopped.
            urgent = spec.priority >= PRODUCTION and within is not None and within < boot_s
            if not urgent or within is None or spec.kind == GANG or not job.waiting:
                continue
            if not cluster_view.cache.dependency_index.ready(job):
                continue
            if backing_off.get(job.id, 0.0) > cluster_view.now:
                continue
            left = cluster_view.team_left(spec.team)
            for task in job.pending():
                key = (job.id, task)
                if not left.covers(spec):
                    break
                left = left.less(TeamUsage().plus(spec, 1))
                if key in self._claims or key in cluster_view.gate.pending:
                    continue
                found = self._victims(job, task, within, chosen, emptied)
                if found is None:
                    break
                self._claims[key] = cluster_view.now + 2 * report_s
                chosen.update((v.job, v.task) for v in found)
                self._stopping.update({(v.job, v.task): v for v in found})
                victims += found
        return victims

    def moves(self, owned: Iterable[Job]) -> list[PreemptionVictim]:
        """Replicas to move off machines that are about to go, once there is room elsewhere."""
        cluster_view = self._planner.cluster_view
        report_s = cluster_view.settings.platform.deployment.workers.report_s
        capacities: dict[str, FreeCapacity] | None = None
        found: list[PreemptionVictim] = []
        leaving = cluster_view.leaving_machines()
        if not leaving:
            return found
        ours = {job.id for job in owned if job.spec.kind == SERVICE and not job.cancelled}
        for machine in leaving:
            for job, task, attempt in cluster_view.cache.attempts_on(machine):
                spec = job.spec
                if job.id not in ours:
                    continue
                key = (job.id, task)
                if attempt.stop is not None or key in self._claims:
                    continue
                observation = cluster_view.observation(attempt.machine)
                if observation is None or cluster_view.age_s(observation) > cluster_view.late_s:
                    # Silent: it cannot be told, and is returned with all that is on it.  Seen
                    # in a measured day: a change of the store for each replica there.
                    continue
                reason = cluster_view.leaving(attempt.machine)
                # Draining can take its time: one replica of a service after the other.
                if not reason or (reason == "draining" and any(v.reason == reason for v in found)):
                    continue
                if capacities is None:
                    capacities = cluster_view.usable_capacities()
                zones = [a.zone for t, a in job.live.items() if t != task]
                fitting = {
                    name: capacity
                    for name, capacity in capacities.items()
                    if allowed(spec, capacity) and holds(capacity, spec)
                }
                places = self._planner.choose(spec, fitting, zones, 1)
                if not places:
                    continue
                capacities[places[0].id] = less(places[0], spec)
                self._claims[key] = cluster_view.now + 2 * report_s
                grace = 1.5 * spec.save_s
                found.append(PreemptionVictim(job.id, task, attempt.machine, grace, reason))
        return found

    def _victims(
        self,
        job: Job,
        waiting: int,
        within_s: float,
        chosen: set[tuple[str, int]],
        emptied: frozenset[str],
    ) -> list[PreemptionVictim] | None:
        """The cheapest set of tasks on one machine whose end makes room for a task."""
        cluster_view, spec = self._planner.cluster_view, job.spec
        zones = [attempt.zone for attempt in job.live.values()]
        in_time = self._planner.in_time(job)
        best: tuple[float, list[PreemptionVictim]] | None = None
        for machine, capacity in cluster_view.usable_capacities().items():
            if machine in emptied or not allowed(spec, capacity):
                continue
            if not zones_allowed(spec, [*zones, capacity.zone]):
                continue
            if in_time is not None and not in_time(capacity):
                continue
            cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory_gb
            if any(a.stop is not None for _, _, a in cluster_view.cache.attempts_on(machine)):
                continue  # room is being made there already
            cost = 2 * cluster_view.fetch_s(spec, capacity)
            found: list[PreemptionVictim] = []
            running = sorted(
                cluster_view.cache.attempts_on(machine),
                key=lambda item: (item[0].spec.priority, -item[2].attempt, -item[1]),
            )
            for other, task, _ in running:
                if fits(spec, cpus, gpus, memory):
                    break
                lesser = other.spec
                if lesser.priority >= spec.priority or lesser.kind != ARRAY:
                    continue
                if (other.id, task) in chosen:
                    continue
                cpus += lesser.cpus
                gpus += lesser.gpus
                memory += lesser.memory_gb
                saves = lesser.checkpoint_s > 0 and 2 * lesser.save_s < within_s
                grace = 1.5 * lesser.save_s if saves else 0.0
                cost += (lesser.estimate_s * lesser.cpus / spec.cpus) * (0.2 if saves else 1.0)
                claim = job.id, waiting
                found.append(PreemptionVictim(other.id, task, machine, grace, job.id, claim))
            if found and fits(spec, cpus, gpus, memory) and (best is None or cost < best[0]):
                best = cost, found
        return best[1] if best else None
