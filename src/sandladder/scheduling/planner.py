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

from sandladder.model.jobs import GANG, HIGH, LOW, SERVICE, Job, JobSpec, Placement
from sandladder.model.quota import TeamUsage
from sandladder.scheduling.cluster_view import Picture, allowed, beside_gpus, holds, less, likeness
from sandladder.scheduling.premises import Intent, Room
from sandladder.scheduling.reservation import Reservation
from sandladder.state.store_limits import Limits

# The share of the time to start within that a task waits for a machine with its image.
_INSIST = 0.7
# To how many times its first size the sample of machines for a task grows for a better fit.
_MOST_SAMPLES = 32
# Jobs with pending starts at a time, in changes that one full commit may carry.
_FULL_COMMITS = 2


class Planner:
    """Chooses machines for the waiting tasks of the jobs that are ours to place."""

    def __init__(self, picture: Picture, limits: Limits, rng: Random) -> None:
        self.picture = picture
        self.rng = rng
        self.avoid: dict[str, set[str]] = {}  # by job, the machines it failed on
        self.waits = picture.settings.waits
        self.limits = limits
        self.again_s = math.inf  # after so long a plan may look different by itself
        self.urgent = False  # whether work that must start at once waited in the last round
        self.reservation = Reservation(picture)

    def plan(
        self, owned: Iterable[Job], barred: dict[str, float], least: int = LOW
    ) -> list[Intent]:
        """Admit pending starts for as many waiting tasks as fit; `barred` jobs back off.

        Only for jobs of the priority `least` or more.  Seen in a measured day: with the store
        as the bottleneck, twenty starts were planned for each that could be written.

        More urgent jobs of other controllers are placed on paper only: the room that they
        are about to take, or that was made for them, is not given to lesser work.
        """
        picture = self.picture
        self.again_s = math.inf
        ready = picture.mirror.pipelines.ready
        mine = {
            job.id
            for job in owned
            if job.waiting > 0
            and barred.get(job.id, 0.0) <= picture.now
            and picture.outlook(job).priority >= least
            and ready(job)
        }
        urgent = (picture.outlook(picture.mirror.jobs[job_id]) for job_id in mine)
        self.urgent = any(outlook.priority >= HIGH for outlook in urgent)
        pending: dict[str, list[Intent]] = {}
        spent: dict[str, TeamUsage] = {}
        for intent in picture.gate.pending.values():
            pending.setdefault(intent.spec.id, []).append(intent)
            used = spent.get(intent.spec.team, TeamUsage())
            spent[intent.spec.team] = used.plus(intent.spec, 1)
        left = _FULL_COMMITS * self.limits.txn_ops - len(pending)
        if not mine or left <= 0:
            return []  # more than can be committed soon would only grow stale
        # So are gangs that have waited long: all controllers hold the same room back for them.
        aged = self.reservation.aged
        jobs = [
            job
            for job in picture.mirror.jobs.values()
            if job.id in mine
            or (
                job.waiting > 0
                and (picture.outlook(job).priority >= HIGH or (job.spec.kind == GANG and aged(job)))
                and ready(job)
            )
        ]
        jobs.sort(key=picture.order_key)
        self.reservation.review(jobs)
        rooms = picture.usable_rooms(min(job.spec.cpus for job in jobs))
        admitted: list[Intent] = []
        fitting = _FittingRooms(rooms, picture)
        held = _HeldRooms(self.reservation, fitting, picture)
        for job, at_hand in _rounds(jobs, picture):
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
                for intent in found:
                    picture.gate.admit(intent, picture)
                admitted += found
            known += found
        return admitted

    def _reserve(self, job: Job, spent: dict[str, TeamUsage]) -> None:
        """Hold room back for an aged job that found none, unless its team's limit keeps it."""
        left = self.picture.team_left(job.spec.team).less(spent.get(job.spec.team, TeamUsage()))
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
        waiting: list[Intent],
        spent: dict[str, TeamUsage],
        at_hand: bool,
    ) -> list[Intent]:
        """Places for waiting tasks of a job, only where its image is at hand if so asked."""
        picture, spec = self.picture, job.spec
        rooms = fitting.of(job)
        if not rooms:
            return []
        taken = {intent.placement.task for intent in waiting}
        if spec.kind == GANG and (job.live or taken):
            return []
        used = spent.get(spec.team, TeamUsage())
        most = picture.team_left(spec.team).less(used).tasks(spec, job.waiting)
        if spec.kind == GANG:
            if most < job.waiting:
                return []
        else:
            most = min(most, self.most_live(spec) - len(job.live) - len(taken))
        count = min(most, job.waiting - len(taken))
        if count <= 0:
            return []
        zones = [a.zone for a in job.live.values()] + [i.placement.zone for i in waiting]
        if picture.avoids_gpus(spec) and not picture.keeps_gpus_free(job):
            count = 1  # it is starved: one task at a time may use what is kept for GPU work
        in_time = self.in_time(job)
        if at_hand:
            may_have = picture.may_have(spec.image)
            rooms = {machine: rooms[machine] for machine in may_have if machine in rooms}

        def suits(room: Room) -> bool:
            if at_hand and picture.fetch_s(spec, room) > 0:
                return False
            return in_time is None or in_time(room)

        chosen = self.choose(spec, rooms, zones, count, suits)
        if not chosen or (spec.kind == GANG and len(chosen) < job.waiting):
            return []
        # Which tasks they are is looked up for those alone that found a place.  Seen in a measured
        # day: all waiting tasks of arrays of two thousand were listed in each round.
        tasks = islice((task for task in job.pending() if task not in taken), len(chosen))
        found = []
        for task, room in zip(tasks, chosen, strict=True):
            fitting.take(room.id, spec)
            placement = Placement(task, room.id, room.zone, room.session)
            found.append(Intent(spec, placement, room.clerk, job.awaits))
        spent[spec.team] = used.plus(spec, len(found))
        return found

    def in_time(self, job: Job) -> Callable[[Room], bool] | None:
        """Where the job's tasks would start in time, images and all, while that is insisted on.

        Room comes free all the while: a task that is started a moment later where its image
        is starts earlier than one that waits for the fetch.
        """
        picture, spec = self.picture, job.spec
        within = self.waits.get(spec.cls)
        if within is None:
            return None
        age_s = picture.wall - picture.since(job)
        left_s = _INSIST * within - age_s
        if left_s <= 0:
            return None
        self.again_s = min(self.again_s, left_s)
        return lambda room: age_s + picture.fetch_s(spec, room) <= within

    def choose(
        self,
        spec: JobSpec,
        rooms: dict[str, Room],
        zones: list[str],
        count: int,
        suits: Callable[[Room], bool] | None = None,
    ) -> list[Room]:
        """The best fits for so many tasks among sampled machines that have room for one.

        The sample is in proportion to the tasks, and grows until the fits are good, up to
        `_MOST_SAMPLES` times if there are any: the best of so many is hardly worse.  Only what
        is sampled is looked at: seen in a measured day, each job that was placed went several
        times through all machines.  `suits`: what else a machine must be.
        """
        able = list(rooms.values())
        shunned = self.avoid.get(spec.id)
        if shunned:
            able = [room for room in able if room.id not in shunned] or able
        if spec.one_zone:
            if suits is not None:
                able = [room for room in able if suits(room)]
            able, suits = _one_zone(spec, able, zones), None
        there = Counter(zones)
        most = (spec.tasks + 1) // 2 if spec.spread else len(zones) + count
        size = self.picture.settings.operator.sample * count
        # Look further while the best is not a close fit with its image at hand, if any has it.
        close = 0.1 * self._run_s(spec)
        if not any(machine in rooms for machine in self.picture.may_have(spec.image)):
            close += self.picture.least_fetch_s(spec)
        most_looked = _MOST_SAMPLES * size
        heap: list[tuple[float, int, Room]] = []
        looked = 0
        chosen: list[Room] = []
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
            cost, index, room = heapq.heappop(heap)
            if there[room.zone] >= most:
                continue
            if spec.kind == SERVICE and there:
                # What was chosen since may have made this zone less wanted.
                now = self._cost(spec, room, there)
                if now > cost + 1e-9 and heap and now > heap[0][0]:
                    heapq.heappush(heap, (now, index, room))
                    continue
            chosen.append(room)
            there[room.zone] += 1
            room = less(room, spec)
            if holds(room, spec):
                heapq.heappush(heap, (self._cost(spec, room, there), index, room))
        return chosen

    def _run_s(self, spec: JobSpec) -> float:
        return spec.estimate_s or self.picture.settings.platform.deployment.workers.lease_s

    def _cost(self, spec: JobSpec, room: Room, there: Counter[str]) -> float:
        """What placing it there costs, in seconds of a task's time."""
        kind = self.picture.mirror.types[room.type]
        cost = self.picture.fetch_s(spec, room)
        run_s = self._run_s(spec)
        if cost > 0.5 * self.waits.get(spec.cls, math.inf):
            # The fetch alone would spend the time within which the task should start.
            cost += 2 * run_s
        if spec.spot and not room.spot:
            # Ordinary machines are dearer, and work that may not use others needs them.
            cost += 0.5 * run_s
        cost += 0.2 * run_s * (room.cpus - spec.cpus) / max(kind.cpus, 1.0)
        if spec.kind == SERVICE:
            if there:
                cost += run_s * there[room.zone] / there.total()
            # It stays for long: a large machine would have to be kept for its sake.
            largest = max(t.cpus for t in self.picture.mirror.types.values())
            cost += run_s * (room.cpus - spec.cpus) / largest
        return cost


class _Fitting:
    """The machines that have room for a task like one, as they are offered to it."""

    def __init__(self, job: Job, picture: Picture) -> None:
        self._spec = job.spec
        self._patient = picture.patient(job)
        self._keeps_gpus = picture.keeps_gpus_free(job)
        self._types = picture.mirror.types
        self.rooms: dict[str, Room] = {}

    def note(self, room: Room) -> None:
        """Take in how much room a machine has now."""
        if not allowed(self._spec, room) or (self._patient and not room.spot):
            return
        offered = beside_gpus(room, self._types[room.type]) if self._keeps_gpus else room
        if holds(offered, self._spec):
            self.rooms[room.id] = offered
        else:
            self.rooms.pop(room.id, None)


class _FittingRooms:
    """What room is left in a round of planning, and by likeness of tasks which machines fit.

    All machines are gone through once for each likeness; after that only what changed is looked
    at again.  Seen in a measured step: with 1,300 workers each job that was placed cost a look at
    every one of them.
    """

    def __init__(self, rooms: dict[str, Room], picture: Picture) -> None:
        self._rooms, self._picture = rooms, picture
        self._alike: dict[tuple[object, ...], _Fitting] = {}

    def of(self, job: Job) -> dict[str, Room]:
        """The machines that have room for a task of a job."""
        picture = self._picture
        like = (*likeness(job.spec, picture.patient(job)), picture.keeps_gpus_free(job))
        fitting = self._alike.get(like)
        if fitting is None:
            fitting = self._alike[like] = _Fitting(job, picture)
            for room in self._rooms.values():
                fitting.note(room)
        return fitting.rooms

    def take(self, machine: str, spec: JobSpec) -> None:
        """A task of a job is put on a machine."""
        self.put_back(less(self._rooms[machine], spec))

    def put_back(self, room: Room) -> None:
        """A machine has this room now."""
        self._rooms[room.id] = room
        for fitting in self._alike.values():
            fitting.note(room)

    def remove(self, machine: str) -> Room | None:
        """Offer a machine to nobody; the room that it had."""
        for fitting in self._alike.values():
            fitting.rooms.pop(machine, None)
        return self._rooms.pop(machine, None)


class _HeldRooms:
    """Keeps the rooms of reservations from the jobs that come after those that have them."""

    def __init__(
        self,
        reservation: Reservation,
        fitting: "_FittingRooms",
        picture: Picture,
    ) -> None:
        self._reservation, self._picture = reservation, picture
        self._fitting = fitting
        self._out: dict[str, Room] = {}

    def turn(self, job: Job) -> None:
        """It is this job's turn to be placed: it sees all rooms but those held before it."""
        held = self._reservation.held
        if not held and not self._out:
            return
        kept = self._kept_from(job, held)
        for machine in sorted(kept - self._out.keys()):
            room = self._fitting.remove(machine)
            if room is not None:
                self._out[machine] = room
        for machine in sorted(self._out.keys() - kept):
            self._fitting.put_back(self._out.pop(machine))

    def _kept_from(self, job: Job, held: dict[str, frozenset[str]]) -> set[str]:
        """The machines that are held for others whose claim is no lesser than this job's."""
        jobs, rank = self._picture.mirror.jobs, self._picture.order_key
        claim = rank(job)[:2]
        kept: set[str] = set()
        for owner, machines in held.items():
            if owner != job.id and claim >= rank(jobs[owner])[:2]:
                kept |= machines
        return kept


def _rounds(jobs: list[Job], picture: Picture) -> Iterator[tuple[Job, bool]]:
    """The order in which jobs get room, and whether only where their image is at hand.

    Among jobs of one priority, whoever has its image somewhere goes there first: a place
    serves twice as many short tasks when it need not fetch an image for each.
    """
    for _, group in groupby(jobs, lambda job: picture.outlook(job).priority):
        alike = list(group)
        if len({job.spec.image for job in alike}) > 1:
            yield from ((job, True) for job in alike if job.spec.kind != GANG)
        yield from ((job, False) for job in alike)


def _one_zone(spec: JobSpec, able: list[Room], zones: list[str]) -> list[Room]:
    """The machines of the zone that the job is in, or of the one with the most room."""
    places: Counter[str] = Counter()
    for room in able:
        number = min(room.cpus / spec.cpus, room.memory_gb / max(spec.memory_gb, 1e-9))
        if spec.gpus > 0:
            number = min(number, room.gpus / spec.gpus)
        places[room.zone] += int(number + 1e-6)
    if not places:
        return []
    chosen = zones[0] if zones else max(places, key=lambda zone: places[zone])
    return [room for room in able if room.zone == chosen]
