"""The choice of a machine for each waiting task.

Decided on the picture as it is, and checked again before it is committed (see premises).
Pure: no I/O, no clock; randomness comes from a seeded generator.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby, islice
from random import Random

import msgspec

from sandladder.model import GANG, HIGH, LOW, SERVICE, Job, JobSpec, Placement, TeamUsage
from sandladder.scheduling.cluster_view import (
    ClusterView,
    allowed,
    beside_gpus,
    holds,
    less,
    likeness,
)
from sandladder.scheduling.premises import FreeCapacity, PendingStart
from sandladder.scheduling.reservation import Reservation
from sandladder.state import StoreLimits

# The share of the time to start within that a task waits for a machine with its image.
_INSIST = 0.7
# To how many times its first size the sample of machines for a task grows for a better fit.
_MOST_SAMPLES = 32
# Jobs with pending starts at a time, in changes that one full commit may carry.
_FULL_COMMITS = 2


class Planner:
    """Chooses machines for the waiting tasks of the jobs that are ours to place."""

    def __init__(self, cluster_view: ClusterView, limits: StoreLimits, rng: Random) -> None:
        self.cluster_view = cluster_view
        self.rng = rng
        self.avoid: dict[str, set[str]] = {}  # by job, the machines it failed on
        self.waits = cluster_view.settings.waits
        self.limits = limits
        self.again_s = math.inf  # after so long a plan may look different by itself
        self.urgent = False  # whether work that must start at once waited in the last round
        self.reservation = Reservation(cluster_view)

    def plan(
        self, owned: Iterable[Job], backing_off: dict[str, float], least: int = LOW
    ) -> list[PendingStart]:
        """Admit pending starts for as many waiting tasks as fit; `backing_off` jobs back off.

        Only for jobs of the priority `least` or more.  Seen in a measured day: with the store
        as the bottleneck, twenty starts were planned for each that could be written.

        More urgent jobs of other controllers are placed on paper only: the room that they
        are about to take, or that was made for them, is not given to lesser work.
        """
        cluster_view = self.cluster_view
        self.again_s = math.inf
        ready = cluster_view.cache.dependency_index.ready
        mine = {
            job.id
            for job in owned
            if job.waiting > 0
            and backing_off.get(job.id, 0.0) <= cluster_view.now
            and cluster_view.outlook(job).priority >= least
            and ready(job)
        }
        urgent = (cluster_view.outlook(cluster_view.cache.jobs[job_id]) for job_id in mine)
        self.urgent = any(outlook.priority >= HIGH for outlook in urgent)
        pending: dict[str, list[PendingStart]] = {}
        spent: dict[str, TeamUsage] = {}
        for pending_start in cluster_view.gate.pending.values():
            pending.setdefault(pending_start.spec.id, []).append(pending_start)
            used = spent.get(pending_start.spec.team, TeamUsage())
            spent[pending_start.spec.team] = used.plus(pending_start.spec, 1)
        left = _FULL_COMMITS * self.limits.txn_ops - len(pending)
        if not mine or left <= 0:
            return []  # more than can be committed soon would only grow stale
        # So are gangs that have waited long: all controllers hold the same room back for them.
        aged = self.reservation.aged
        jobs = [
            job
            for job in cluster_view.cache.jobs.values()
            if job.id in mine
            or (
                job.waiting > 0
                and (
                    cluster_view.outlook(job).priority >= HIGH
                    or (job.spec.kind == GANG and aged(job))
                )
                and ready(job)
            )
        ]
        jobs.sort(key=cluster_view.order_key)
        self.reservation.review(jobs)
        capacities = cluster_view.usable_capacities(min(job.spec.cpus for job in jobs))
        admitted: list[PendingStart] = []
        fitting = _FittingRooms(capacities, cluster_view)
        held = _HeldRooms(self.reservation, fitting, cluster_view)
        for job, at_hand in _rounds(jobs, cluster_view):
            if left <= 0:
                break
            held.turn(job)
            known = pending.setdefault(job.id, [])
            found = self._place(job, fitting, known, spent, at_hand)
            if not found:
                if not (known or at_hand) and self.reservation.may_hold(job):
                    self._reserve(job, spent)
                continue
            if job.id in mine:
                left -= bool(found and not known)
                for pending_start in found:
                    cluster_view.gate.admit(pending_start, cluster_view)
                admitted += found
            known += found
        return admitted

    def _reserve(self, job: Job, spent: dict[str, TeamUsage]) -> None:
        """Hold room back for an aged job that found none, unless its team's limit keeps it."""
        left = self.cluster_view.team_left(job.spec.team).less(
            spent.get(job.spec.team, TeamUsage())
        )
        need = job.waiting if job.spec.kind == GANG else 1
        if left.covers(job.spec, need):
            self.reservation.make(job)

    def most_live(self, spec: JobSpec) -> int:
        """How many tasks of a job may be live, for its record to fit the store."""
        return min(spec.tasks, self.limits.most_live(len(msgspec.json.encode(spec))))

    def _place(
        self,
        job: Job,
        fitting: "_FittingRooms",
        waiting: list[PendingStart],
        spent: dict[str, TeamUsage],
        at_hand: bool,
    ) -> list[PendingStart]:
        """Places for waiting tasks of a job, only where its image is at hand if so asked."""
        cluster_view, spec = self.cluster_view, job.spec
        capacities = fitting.of(job)
        if not capacities:
            return []
        taken = {pending_start.placement.task for pending_start in waiting}
        if spec.kind == GANG and (job.live or taken):
            return []
        used = spent.get(spec.team, TeamUsage())
        most = cluster_view.team_left(spec.team).less(used).tasks(spec, job.waiting)
        if spec.kind == GANG:
            if most < job.waiting:
                return []
        else:
            most = min(most, self.most_live(spec) - len(job.live) - len(taken))
        count = min(most, job.waiting - len(taken))
        if count <= 0:
            return []
        zones = [a.zone for a in job.live.values()] + [i.placement.zone for i in waiting]
        if cluster_view.avoids_gpus(spec) and not cluster_view.keeps_gpus_free(job):
            count = 1  # it is starved: one task at a time may use what is kept for GPU work
        in_time = self.in_time(job)
        if at_hand:
            may_have = cluster_view.may_have(spec.image)
            capacities = {
                machine: capacities[machine] for machine in may_have if machine in capacities
            }

        def suits(capacity: FreeCapacity) -> bool:
            if at_hand and cluster_view.fetch_s(spec, capacity) > 0:
                return False
            return in_time is None or in_time(capacity)

        chosen = self.choose(spec, capacities, zones, count, suits)
        if not chosen or (spec.kind == GANG and len(chosen) < job.waiting):
            return []
        # Which tasks they are is looked up for those alone that found a place.  Seen in a measured
        # day: all waiting tasks of arrays of two thousand were listed in each round.
        tasks = islice((task for task in job.pending() if task not in taken), len(chosen))
        found = []
        for task, capacity in zip(tasks, chosen, strict=True):
            fitting.take(capacity.id, spec)
            placement = Placement(task, capacity.id, capacity.zone, capacity.session)
            found.append(
                PendingStart(spec, placement, capacity.reporting_controller, job.dependencies)
            )
        spent[spec.team] = used.plus(spec, len(found))
        return found

    def in_time(self, job: Job) -> Callable[[FreeCapacity], bool] | None:
        """Where the job's tasks would start in time, images and all, while that is insisted on.

        Room comes free all the while: a task that is started a moment later where its image
        is starts earlier than one that waits for the fetch.
        """
        cluster_view, spec = self.cluster_view, job.spec
        within = self.waits.get(spec.cls)
        if within is None:
            return None
        age_s = cluster_view.wall - cluster_view.since(job)
        left_s = _INSIST * within - age_s
        if left_s <= 0:
            return None
        self.again_s = min(self.again_s, left_s)
        return lambda capacity: age_s + cluster_view.fetch_s(spec, capacity) <= within

    def choose(
        self,
        spec: JobSpec,
        capacities: dict[str, FreeCapacity],
        zones: list[str],
        count: int,
        suits: Callable[[FreeCapacity], bool] | None = None,
    ) -> list[FreeCapacity]:
        """The best fits for so many tasks among sampled machines that have room for one.

        The sample is in proportion to the tasks, and grows until the fits are good, up to
        `_MOST_SAMPLES` times if there are any: the best of so many is hardly worse.  Only what
        is sampled is looked at: seen in a measured day, each job that was placed went several
        times through all machines.  `suits`: what else a machine must be.
        """
        able = list(capacities.values())
        shunned = self.avoid.get(spec.id)
        if shunned:
            able = [capacity for capacity in able if capacity.id not in shunned] or able
        if spec.one_zone:
            if suits is not None:
                able = [capacity for capacity in able if suits(capacity)]
            able, suits = _one_zone(spec, able, zones), None
        there = Counter(zones)
        most = (spec.tasks + 1) // 2 if spec.spread else len(zones) + count
        size = self.cluster_view.settings.operator.sample * count
        # Look further while the best is not a close fit with its image at hand, if any has it.
        close = 0.1 * self._run_s(spec)
        if not any(machine in capacities for machine in self.cluster_view.may_have(spec.image)):
            close += self.cluster_view.least_fetch_s(spec)
        most_looked = _MOST_SAMPLES * size
        heap: list[tuple[float, int, FreeCapacity]] = []
        looked = 0
        chosen: list[FreeCapacity] = []
        while len(chosen) < count:
            wanting = not heap or (heap[0][0] > close and looked < most_looked)
            if looked < len(able) and wanting:
                for index in range(looked, min(len(able), looked + size)):
                    other = self.rng.randrange(index, len(able))
                    able[index], able[other] = able[other], able[index]
                    if suits is not None and not suits(able[index]):
                        continue
                    cost = self._cost(spec, able[index], there)
                    heapq.heappush(heap, (cost, index, able[index]))
                looked += size
                size = looked
                continue
            if not heap:
                break
            cost, index, capacity = heapq.heappop(heap)
            if there[capacity.zone] >= most:
                continue
            if spec.kind == SERVICE and there:
                # What was chosen since may have made this zone less wanted.
                now = self._cost(spec, capacity, there)
                if now > cost + 1e-9 and heap and now > heap[0][0]:
                    heapq.heappush(heap, (now, index, capacity))
                    continue
            chosen.append(capacity)
            there[capacity.zone] += 1
            capacity = less(capacity, spec)
            if holds(capacity, spec):
                heapq.heappush(heap, (self._cost(spec, capacity, there), index, capacity))
        return chosen

    def _run_s(self, spec: JobSpec) -> float:
        return spec.estimate_s or self.cluster_view.settings.platform.deployment.workers.lease_s

    def _cost(self, spec: JobSpec, capacity: FreeCapacity, there: Counter[str]) -> float:
        """What placing it there costs, in seconds of a task's time."""
        kind = self.cluster_view.cache.types[capacity.type]
        cost = self.cluster_view.fetch_s(spec, capacity)
        run_s = self._run_s(spec)
        if cost > 0.5 * self.waits.get(spec.cls, math.inf):
            # The fetch alone would spend the time within which the task should start.
            cost += 2 * run_s
        if spec.spot and not capacity.spot:
            # Ordinary machines are dearer, and work that may not use others needs them.
            cost += 0.5 * run_s
        cost += 0.2 * run_s * (capacity.cpus - spec.cpus) / max(kind.cpus, 1.0)
        if spec.kind == SERVICE:
            if there:
                cost += run_s * there[capacity.zone] / there.total()
            # It stays for long: a large machine would have to be kept for its sake.
            largest = max(t.cpus for t in self.cluster_view.cache.types.values())
            cost += run_s * (capacity.cpus - spec.cpus) / largest
        return cost


class _Fitting:
    """The machines that have room for a task like one, as they are offered to it."""

    def __init__(self, job: Job, cluster_view: ClusterView) -> None:
        self._spec = job.spec
        self._patient = cluster_view.can_wait_for_boot(job)
        self._keeps_gpus = cluster_view.keeps_gpus_free(job)
        self._types = cluster_view.cache.types
        self.capacities: dict[str, FreeCapacity] = {}

    def note(self, capacity: FreeCapacity) -> None:
        """Take in how much room a machine has now."""
        if not allowed(self._spec, capacity) or (self._patient and not capacity.spot):
            return
        offered = (
            beside_gpus(capacity, self._types[capacity.type]) if self._keeps_gpus else capacity
        )
        if holds(offered, self._spec):
            self.capacities[capacity.id] = offered
        else:
            self.capacities.pop(capacity.id, None)


class _FittingRooms:
    """What room is left in a round of planning, and by likeness of tasks which machines fit.

    All machines are gone through once for each likeness; after that only what changed is looked
    at again.  Seen in a measured step: with 1,300 workers each job that was placed cost a look at
    every one of them.
    """

    def __init__(self, capacities: dict[str, FreeCapacity], cluster_view: ClusterView) -> None:
        self._capacities, self._picture = capacities, cluster_view
        self._alike: dict[tuple[object, ...], _Fitting] = {}

    def of(self, job: Job) -> dict[str, FreeCapacity]:
        """The machines that have room for a task of a job."""
        cluster_view = self._picture
        like = (
            *likeness(job.spec, cluster_view.can_wait_for_boot(job)),
            cluster_view.keeps_gpus_free(job),
        )
        fitting = self._alike.get(like)
        if fitting is None:
            fitting = self._alike[like] = _Fitting(job, cluster_view)
            for capacity in self._capacities.values():
                fitting.note(capacity)
        return fitting.capacities

    def take(self, machine: str, spec: JobSpec) -> None:
        """A task of a job is put on a machine."""
        self.put_back(less(self._capacities[machine], spec))

    def put_back(self, capacity: FreeCapacity) -> None:
        """A machine has this room now."""
        self._capacities[capacity.id] = capacity
        for fitting in self._alike.values():
            fitting.note(capacity)

    def remove(self, machine: str) -> FreeCapacity | None:
        """Offer a machine to nobody; the room that it had."""
        for fitting in self._alike.values():
            fitting.capacities.pop(machine, None)
        return self._capacities.pop(machine, None)


class _HeldRooms:
    """Keeps the rooms of reservations from the jobs that come after those that have them."""

    def __init__(
        self,
        reservation: Reservation,
        fitting: "_FittingRooms",
        cluster_view: ClusterView,
    ) -> None:
        self._reservation, self._picture = reservation, cluster_view
        self._fitting = fitting
        self._out: dict[str, FreeCapacity] = {}

    def turn(self, job: Job) -> None:
        """It is this job's turn to be placed: it sees all rooms but those held before it."""
        held = self._reservation.held
        if not held and not self._out:
            return
        kept = self._kept_from(job, held)
        for machine in sorted(kept - self._out.keys()):
            capacity = self._fitting.remove(machine)
            if capacity is not None:
                self._out[machine] = capacity
        for machine in sorted(self._out.keys() - kept):
            self._fitting.put_back(self._out.pop(machine))

    def _kept_from(self, job: Job, held: dict[str, frozenset[str]]) -> set[str]:
        """The machines that are held for others whose claim is no lesser than this job's."""
        jobs, rank = self._picture.cache.jobs, self._picture.order_key
        claim = rank(job)[:2]
        kept: set[str] = set()
        for assignee, machines in held.items():
            if assignee != job.id and claim >= rank(jobs[assignee])[:2]:
                kept |= machines
        return kept


def _rounds(jobs: list[Job], cluster_view: ClusterView) -> Iterator[tuple[Job, bool]]:
    """The order in which jobs get room, and whether only where their image is at hand.

    Among jobs of one priority, whoever has its image somewhere goes there first: a place
    serves twice as many short tasks when it need not fetch an image for each.
    """
    for _, group in groupby(jobs, lambda job: cluster_view.outlook(job).priority):
        alike = list(group)
        if len({job.spec.image for job in alike}) > 1:
            yield from ((job, True) for job in alike if job.spec.kind != GANG)
        yield from ((job, False) for job in alike)


def _one_zone(spec: JobSpec, able: list[FreeCapacity], zones: list[str]) -> list[FreeCapacity]:
    """The machines of the zone that the job is in, or of the one with the most room."""
    places: Counter[str] = Counter()
    for capacity in able:
        number = min(capacity.cpus / spec.cpus, capacity.memory_gb / max(spec.memory_gb, 1e-9))
        if spec.gpus > 0:
            number = min(number, capacity.gpus / spec.gpus)
        places[capacity.zone] += int(number + 1e-6)
    if not places:
        return []
    chosen = zones[0] if zones else max(places, key=lambda zone: places[zone])
    return [capacity for capacity in able if capacity.zone == chosen]
