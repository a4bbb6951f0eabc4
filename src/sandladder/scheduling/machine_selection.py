"""Machine selection for a job's tasks: bin packing over a random sample of machines.

The best of a small sample fits nearly as well as the best of all machines, at a cost that does not
grow with the cluster.  Pure: no I/O, no clock; randomness comes from a seeded generator.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable
from random import Random

from sandladder.model import SERVICE, Job, JobSpec
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity
from sandladder.scheduling.placement_cost import PlacementCost

# Until this share of its start objective has passed, a job uses only machines on which it meets the
# objective.
_IN_TIME_ONLY_SHARE = 0.7
# The sample grows to at most this multiple of its initial size.
_MAX_SAMPLE_GROWTH = 32

MachineFilter = Callable[[FreeCapacity], bool]
# Cost, position in the list that the sample is drawn from, and the machine.
_Candidate = tuple[float, int, FreeCapacity]


class MachineSelector:
    """Selects machines for the tasks of a job."""

    def __init__(self, cluster_view: ClusterView, rng: Random) -> None:
        self._cluster_view = cluster_view
        self._rng = rng
        # By job class, the objective for the time to start, in seconds.
        self.start_within_s = cluster_view.settings.start_objectives_s
        # The time, in seconds, after which a selection may differ without any other change.
        self.next_change_s = math.inf

    def in_time_filter(self, job: Job) -> MachineFilter | None:
        """Return a filter for machines on which a job meets its start objective, or None.

        None once `_IN_TIME_ONLY_SHARE` of the objective has passed, or if there is no objective.
        Until then, waiting for a machine that has the image beats a long image fetch.
        """
        cluster_view, spec = self._cluster_view, job.spec
        within_s = self.start_within_s.get(spec.job_class)
        if within_s is None:
            return None
        waited_s = cluster_view.priorities.waited_s(job)
        remaining_s = _IN_TIME_ONLY_SHARE * within_s - waited_s
        if remaining_s <= 0:
            return None
        self.next_change_s = min(self.next_change_s, remaining_s)
        return lambda capacity: waited_s + cluster_view.fetch_s(spec, capacity) <= within_s

    def select(
        self,
        spec: JobSpec,
        capacities: dict[str, FreeCapacity],
        zones: list[str],
        count: int,
        is_suitable: MachineFilter | None = None,
    ) -> list[FreeCapacity]:
        """Return the best fits for some tasks of a job among sampled machines.

        Args:
            spec: the job.
            capacities: the machines that can take one of its tasks, by name.
            zones: the zones of its live tasks and of its pending starts.
            count: the number of tasks to place.
            is_suitable: a further condition on machines, or None.

        Returns:
            A machine for each placed task, with its free capacity before the placement.
        """
        zone_counts = Counter(zones)
        sample = self._sample(spec, capacities, zones, count, is_suitable, zone_counts)
        max_in_zone = (spec.tasks + 1) // 2 if spec.spread else len(zones) + count
        return _pack(spec, sample, zone_counts, count, max_in_zone)

    def _sample(
        self,
        spec: JobSpec,
        capacities: dict[str, FreeCapacity],
        zones: list[str],
        count: int,
        is_suitable: MachineFilter | None,
        zone_counts: Counter[str],
    ) -> "_Sample":
        """Return a sample of the machines that a job may use; arguments as in `select`."""
        cluster_view = self._cluster_view
        machines = self._without_failed(spec, list(capacities.values()))
        if spec.one_zone:
            if is_suitable is not None:
                machines = [capacity for capacity in machines if is_suitable(capacity)]
            machines, is_suitable = _machines_of_one_zone(spec, machines, zones), None
        cost = PlacementCost(spec, cluster_view, self.start_within_s.get(spec.job_class))
        close_fit = cost.close_fit
        if not any(name in capacities for name in cluster_view.images.candidates(spec.image)):
            close_fit += cluster_view.priorities.min_fetch_s(spec)
        size = cluster_view.settings.operator.sample * count
        return _Sample(machines, is_suitable, cost, zone_counts, close_fit, size, self._rng)

    def _without_failed(self, spec: JobSpec, machines: list[FreeCapacity]) -> list[FreeCapacity]:
        """Return the machines on which a job has not failed, or all if it failed on each."""
        failed_on = self._cluster_view.job_failures.machines.get(spec.id)
        if not failed_on:
            return machines
        return [capacity for capacity in machines if capacity.id not in failed_on] or machines


class _Sample:
    """A heap of machines drawn at random, the cheapest first.

    Its initial size is proportional to the number of tasks.  It grows, to at most
    `_MAX_SAMPLE_GROWTH` times that size, while its best machine is not a close fit.  Machines
    outside the sample are not examined, so placing a job does not cost a scan of the cluster.
    """

    def __init__(
        self,
        machines: list[FreeCapacity],
        is_suitable: MachineFilter | None,
        cost: PlacementCost,
        zone_counts: Counter[str],
        close_fit: float,
        size: int,
        rng: Random,
    ) -> None:
        self._machines = machines  # the drawn ones first
        self._is_suitable = is_suitable
        self._cost = cost
        self._zone_counts = zone_counts
        self._close_fit = close_fit
        self._next_draw = size  # the number of machines to draw next
        self._max_drawn = _MAX_SAMPLE_GROWTH * size
        self._rng = rng
        self._drawn = 0
        self._heap: list[_Candidate] = []

    def needs_more(self) -> bool:
        """Return whether more machines should be drawn to find a better fit."""
        if self._drawn >= len(self._machines):
            return False
        heap = self._heap
        return not heap or (heap[0][0] > self._close_fit and self._drawn < self._max_drawn)

    def grow(self) -> None:
        """Draw more machines: the initial number first, then as many as were drawn so far."""
        machines, is_suitable, randrange = self._machines, self._is_suitable, self._rng.randrange
        total = len(machines)
        for index in range(self._drawn, min(total, self._drawn + self._next_draw)):
            other_index = randrange(index, total)
            machines[index], machines[other_index] = machines[other_index], machines[index]
            if is_suitable is None or is_suitable(machines[index]):
                self.push(index, machines[index])
        self._drawn += self._next_draw
        self._next_draw = self._drawn

    def push(self, index: int, capacity: FreeCapacity) -> None:
        """Add a machine at its current cost."""
        cost = self._cost.cost_of(capacity, self._zone_counts)
        heapq.heappush(self._heap, (cost, index, capacity))

    def pop_best(self) -> _Candidate | None:
        """Remove and return the cheapest machine, or None if none is left."""
        return heapq.heappop(self._heap) if self._heap else None

    def put_back_if_outdated(self, best: _Candidate) -> bool:
        """Put a removed machine back if another one is cheaper now; return whether it was put back.

        Later choices in the same zone may have raised its cost since it was added.
        """
        cost, index, capacity = best
        cost_now = self._cost.cost_of(capacity, self._zone_counts)
        if cost_now > cost + 1e-9 and self._heap and cost_now > self._heap[0][0]:
            heapq.heappush(self._heap, (cost_now, index, capacity))
            return True
        return False


def _pack(
    spec: JobSpec, sample: _Sample, zone_counts: Counter[str], count: int, max_in_zone: int
) -> list[FreeCapacity]:
    """Place tasks one by one on the machine that is cheapest at that point; return the machines."""
    chosen: list[FreeCapacity] = []
    while len(chosen) < count:
        if sample.needs_more():
            sample.grow()
            continue
        best = sample.pop_best()
        if best is None:
            break
        _, index, capacity = best
        if zone_counts[capacity.zone] >= max_in_zone:
            continue
        if spec.kind == SERVICE and zone_counts and sample.put_back_if_outdated(best):
            continue
        chosen.append(capacity)
        zone_counts[capacity.zone] += 1
        remaining = capacity.minus(spec)
        if remaining.can_take(spec):
            sample.push(index, remaining)
    return chosen


def _machines_of_one_zone(
    spec: JobSpec, machines: list[FreeCapacity], zones: list[str]
) -> list[FreeCapacity]:
    """Return the machines of the job's zone, or else of the zone that can take most tasks."""
    tasks_by_zone: Counter[str] = Counter()
    for capacity in machines:
        tasks_by_zone[capacity.zone] += capacity.count_fitting(spec)
    if not tasks_by_zone:
        return []
    chosen = zones[0] if zones else max(tasks_by_zone, key=lambda zone: tasks_by_zone[zone])
    return [capacity for capacity in machines if capacity.zone == chosen]
