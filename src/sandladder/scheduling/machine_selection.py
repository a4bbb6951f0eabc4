"""Which of the machines that can take a job's tasks get them: bin packing over a random sample.

The best of a few machines drawn at random is nearly as good a fit as the best of all, at a cost
that does not grow with the cluster.  Pure: no I/O, no clock; randomness comes from a seeded
generator.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable
from random import Random

from sandladder.model import SERVICE, Job, JobSpec
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity, count_fitting
from sandladder.scheduling.placement_cost import PlacementCost

# The share of the time to start within that a task waits for a machine with its image.
_INSIST_SHARE = 0.7
# To how many times its first size the sample of machines for a task grows for a better fit.
_MOST_SAMPLES = 32

Suits = Callable[[FreeCapacity], bool]
# Cost, position in the list that the sample is drawn from, and the machine; a plain tuple, as
# the heap compares them.
_Candidate = tuple[float, int, FreeCapacity]


class MachineSelector:
    """Selects machines for the tasks of a job."""

    def __init__(self, cluster_view: ClusterView, rng: Random) -> None:
        self._cluster_view = cluster_view
        self._rng = rng
        # By class, the time within which its tasks should start, in seconds.
        self.start_within_s = cluster_view.settings.start_objectives_s
        self.failed_machines: dict[str, set[str]] = {}  # by job, the machines that it failed on
        self.next_change_s = math.inf  # after so long the selection may look different by itself

    def starts_in_time(self, job: Job) -> Suits | None:
        """Where a job's tasks would start in time, images and all, while that is insisted on.

        Capacity comes free all the while: a task that is started a moment later where its image
        is starts earlier than one that waits for the fetch.
        """
        cluster_view, spec = self._cluster_view, job.spec
        within_s = self.start_within_s.get(spec.job_class)
        if within_s is None:
            return None
        waited_s = cluster_view.priorities.waited_s(job)
        left_s = _INSIST_SHARE * within_s - waited_s
        if left_s <= 0:
            return None
        self.next_change_s = min(self.next_change_s, left_s)
        return lambda capacity: waited_s + cluster_view.fetch_s(spec, capacity) <= within_s

    def select(
        self,
        spec: JobSpec,
        capacities: dict[str, FreeCapacity],
        zones: list[str],
        count: int,
        suits: Suits | None = None,
    ) -> list[FreeCapacity]:
        """The best fits for some tasks of a job among sampled machines.

        Args:
            spec: the job.
            capacities: the machines that can take one of its tasks, by name.
            zones: the zone of each of its tasks that is started or about to.
            count: how many tasks are to be placed.
            suits: what else a machine must be, or None.

        Returns:
            A machine for each task that found one, with what was free on it before.
        """
        zone_counts = Counter(zones)
        sample = self._sample(spec, capacities, zones, count, suits, zone_counts)
        most_in_zone = (spec.tasks + 1) // 2 if spec.spread else len(zones) + count
        return _pack(spec, sample, zone_counts, count, most_in_zone)

    def _sample(
        self,
        spec: JobSpec,
        capacities: dict[str, FreeCapacity],
        zones: list[str],
        count: int,
        suits: Suits | None,
        zone_counts: Counter[str],
    ) -> "_Sample":
        """A sample of the machines that a job may use; arguments as in `select`."""
        cluster_view = self._cluster_view
        machines = self._without_failed(spec, list(capacities.values()))
        if spec.one_zone:
            if suits is not None:
                machines = [capacity for capacity in machines if suits(capacity)]
            machines, suits = _of_one_zone(spec, machines, zones), None
        cost = PlacementCost(spec, cluster_view, self.start_within_s.get(spec.job_class))
        close_fit = cost.close_fit
        if not any(name in capacities for name in cluster_view.images.candidates(spec.image)):
            close_fit += cluster_view.priorities.least_fetch_s(spec)
        size = cluster_view.settings.operator.sample * count
        return _Sample(machines, suits, cost, zone_counts, close_fit, size, self._rng)

    def _without_failed(self, spec: JobSpec, machines: list[FreeCapacity]) -> list[FreeCapacity]:
        """The machines on which a job has not failed, or all if it failed on each."""
        failed_on = self.failed_machines.get(spec.id)
        if not failed_on:
            return machines
        return [capacity for capacity in machines if capacity.id not in failed_on] or machines


class _Sample:
    """Machines drawn at random, the cheapest first.

    Its size is in proportion to the tasks, and it grows while the best is not a close fit with its
    image at hand, up to `_MOST_SAMPLES` times: the best of so many is hardly worse than the best of
    all.  Only what is sampled is looked at: seen in a measured day, each job that was placed went
    several times through all machines.
    """

    def __init__(
        self,
        machines: list[FreeCapacity],
        suits: Suits | None,
        cost: PlacementCost,
        zone_counts: Counter[str],
        close_fit: float,
        size: int,
        rng: Random,
    ) -> None:
        self._machines = machines  # those that were drawn first
        self._suits = suits
        self._cost = cost
        self._zone_counts = zone_counts
        self._close_fit = close_fit
        self._size = size  # by how many machines it grows next
        self._most_drawn = _MOST_SAMPLES * size
        self._rng = rng
        self._drawn = 0
        self._heap: list[_Candidate] = []

    def is_wanting(self) -> bool:
        """Whether there may be a better fit than the best one so far."""
        if self._drawn >= len(self._machines):
            return False
        heap = self._heap
        return not heap or (heap[0][0] > self._close_fit and self._drawn < self._most_drawn)

    def grow(self) -> None:
        """Draw as many machines as there are in it, at first `size`."""
        machines, suits, randrange = self._machines, self._suits, self._rng.randrange
        total = len(machines)
        for index in range(self._drawn, min(total, self._drawn + self._size)):
            other = randrange(index, total)
            machines[index], machines[other] = machines[other], machines[index]
            if suits is None or suits(machines[index]):
                self.push(index, machines[index])
        self._drawn += self._size
        self._size = self._drawn

    def push(self, index: int, capacity: FreeCapacity) -> None:
        """Put a machine in by what it costs now."""
        cost = self._cost.of(capacity, self._zone_counts)
        heapq.heappush(self._heap, (cost, index, capacity))

    def pop_best(self) -> _Candidate | None:
        """Take out the cheapest machine, or None if there is none left."""
        return heapq.heappop(self._heap) if self._heap else None

    def is_outdated(self, best: _Candidate) -> bool:
        """Whether another machine is cheaper by now than the one taken out; it is put back then.

        What was chosen since it was put in may have made its zone less wanted.
        """
        cost, index, capacity = best
        cost_now = self._cost.of(capacity, self._zone_counts)
        if cost_now > cost + 1e-9 and self._heap and cost_now > self._heap[0][0]:
            heapq.heappush(self._heap, (cost_now, index, capacity))
            return True
        return False


def _pack(
    spec: JobSpec, sample: _Sample, zone_counts: Counter[str], count: int, most_in_zone: int
) -> list[FreeCapacity]:
    """Put each of so many tasks on the machine that is cheapest then; the machines."""
    chosen: list[FreeCapacity] = []
    while len(chosen) < count:
        if sample.is_wanting():
            sample.grow()
            continue
        best = sample.pop_best()
        if best is None:
            break
        _, index, capacity = best
        if zone_counts[capacity.zone] >= most_in_zone:
            continue
        if spec.kind == SERVICE and zone_counts and sample.is_outdated(best):
            continue
        chosen.append(capacity)
        zone_counts[capacity.zone] += 1
        remaining = capacity.minus(spec)
        if remaining.can_take(spec):
            sample.push(index, remaining)
    return chosen


def _of_one_zone(
    spec: JobSpec, machines: list[FreeCapacity], zones: list[str]
) -> list[FreeCapacity]:
    """The machines of the zone that the job is in, or of the one that can take most tasks."""
    tasks_by_zone: Counter[str] = Counter()
    for capacity in machines:
        tasks = count_fitting(spec, capacity.cpus, capacity.gpus, capacity.memory_gb)
        tasks_by_zone[capacity.zone] += tasks
    if not tasks_by_zone:
        return []
    chosen = zones[0] if zones else max(tasks_by_zone, key=lambda zone: tasks_by_zone[zone])
    return [capacity for capacity in machines if capacity.zone == chosen]
