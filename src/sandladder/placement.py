"""The picture of the machines, and the choice of one for each waiting task.

The picture is late by nature: it joins the records, the other controllers' summaries and
the reports that came to us.  What is decided on it is checked again before it is committed
(see premises).  Pure: no I/O, no clock; randomness comes from a seeded generator.
"""

import heapq
import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from itertools import islice
from random import Random
from typing import NamedTuple

from sandladder.delivery import Delivery, Dialogue
from sandladder.lifecycle import Ended, LossProof, Placement, zones_allowed
from sandladder.model import (
    ARRAY,
    GANG,
    HIGH,
    JOB,
    PRODUCTION,
    SERVICE,
    TEAM,
    Attempt,
    Job,
    JobSpec,
    Machine,
    MachineType,
    Mirror,
    Seen,
    Summary,
    Team,
)
from sandladder.premises import Gate, Intent, Resource, Room
from sandladder.settings import Settings, TeamLimits

# A machine on which so many different jobs failed in a row is not trusted with more.  One
# job alone proves nothing: it may fail everywhere.
SICK_ERRORS = 2
# Jobs with pending starts at a time, in changes that one full commit may carry.
_FULL_COMMITS = 2
# What a task alone on its machine takes of its job's record, with holes in what is done.
_ITEM_BYTES = 32
# The share of a job's record that is for what is live; the rest is for the job itself.
_LIVE_SHARE = 0.7
SPEC_SHARE = 0.28


class Sight(NamedTuple):
    """The best word on a machine: what it is, who says so, and as of when."""

    seen: Seen
    clerk: str
    at: float


class Victim(NamedTuple):
    """A running task that is to make room."""

    job: str
    task: int
    machine: str
    grace_s: float
    reason: str


class Images:
    """Which images a machine has, from the starts that the records show."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, int], OrderedDict[str, tuple[float, float]]] = {}

    def touch(
        self, machine: str, session: int, spec: JobSpec, rate: float, cache_gb: float, now: float
    ) -> None:
        """A task that needs this image was put there."""
        held = self._held.setdefault((machine, session), OrderedDict())
        if spec.image in held:
            held.move_to_end(spec.image)
            return
        held[spec.image] = (spec.image_gb, now + spec.image_gb / max(rate, 1e-6))
        while len(held) > 1 and sum(gb for gb, _ in held.values()) > cache_gb:
            held.popitem(last=False)

    def wait_s(self, machine: str, session: int, image: str, now: float) -> float | None:
        """How long until the image is there, or None if it must be fetched first."""
        held = self._held.get((machine, session))
        if held is None or image not in held:
            return None
        return max(0.0, held[image][1] - now)

    def names(self, machine: str, session: int) -> list[str]:
        return list(self._held.get((machine, session), ()))

    def keep(self, machines: Iterable[str]) -> None:
        """Forget machines that are gone."""
        known = set(machines)
        for key in [k for k in self._held if k[0] not in known]:
            del self._held[key]


class Picture:
    """The current picture; evidence for the gate and ground for planning."""

    def __init__(
        self, settings: Settings, mirror: Mirror, delivery: Delivery, loss: LossProof, gate: Gate
    ) -> None:
        self.settings = settings
        self.mirror = mirror
        self.delivery = delivery
        self.loss = loss
        self.gate = gate
        gate.on_move = self._moved
        self.images = Images()
        self.now = 0.0
        self.limits = {t.name: t for t in settings.platform.deployment.teams}
        self._touched: dict[str, int] = {}
        self._sights: dict[str, Sight] = {}
        self._doubts: dict[str, float] = {}  # machines that refused a start, and until when
        self._told: dict[str, Summary] = {}  # the summaries that were taken in
        # What is left on machines, worked out again only where something changed.
        self._left: dict[str, tuple[float, float, float]] = {}
        # Attempts that are surely over while their end is not committed yet: their room is free.
        self.over: dict[str, set[tuple[str, int, int]]] = {}
        workers = settings.platform.deployment.workers
        # A report may be a quarter late; past two of them the machine is in doubt.
        self.fresh_s = 2.5 * workers.report_s
        self.summary_s = summary_period_s(settings)
        self.late_s = self.fresh_s + self.summary_s

    # Evidence

    def heard(self, dialogue: Dialogue) -> None:
        """Take in what a machine reported to us."""
        report, notice = dialogue.report, dialogue.notice_at
        seen = Seen(
            type=report.type,
            zone=report.zone,
            spot=report.spot,
            session=report.session,
            age_s=0.0,
            notice_s=None if notice is None else notice - self.now,
            errors=len(dialogue.failed),
        )
        self._see(report.machine, Sight(seen, self.settings.node, dialogue.heard_at))

    def observe(self) -> None:
        """Take in the summaries that are new."""
        for node, summary, observed in self.loss.statements():
            if self._told.get(node) is summary:
                continue
            self._told[node] = summary
            for machine, seen in summary.machines.items():
                self._see(machine, Sight(seen, node, observed - seen.age_s))

    def tell(self, node: str, machine: str, seen: Seen) -> None:
        """Take in a peer's word on one machine."""
        self._see(machine, Sight(seen, node, self.now - seen.age_s))

    def _see(self, machine: str, new: Sight) -> None:
        old = self._sights.get(machine)
        if old is not None:
            if (new.seen.session, new.at) < (old.seen.session, old.at):
                return
            if not new.seen.images and new.seen.session == old.seen.session:
                new = new._replace(seen=new.seen._replace(images=old.seen.images))
        self._sights[machine] = new

    def sight(self, machine: str) -> Sight | None:
        """The freshest word on a machine."""
        return self._sights.get(machine)

    def age_s(self, sight: Sight) -> float:
        return self.now - sight.at

    def machines(self) -> Iterable[str]:
        """All machines that anyone has heard of lately."""
        return self._sights.keys()

    def room(self, machine: str) -> Room | None:
        sight = self._sights.get(machine)
        if sight is None:
            return None
        seen = sight.seen
        kind = self.mirror.types.get(seen.type)
        if kind is None:
            return None
        left = self._left.get(machine)
        if left is None:
            left = self._left[machine] = self._count(machine, kind)
        late = self.fresh_s if sight.clerk == self.settings.node else self.late_s
        listed = self.mirror.fleet.get(machine)
        usable = (
            self.now - sight.at <= late
            and seen.notice_s is None
            and seen.errors < SICK_ERRORS
            and self._doubts.get(machine, 0.0) <= self.now
            and (listed is None or listed.state not in ("draining", "gone"))
        )
        return Room(
            machine, seen.type, seen.zone, seen.spot, seen.session, sight.clerk, *left, usable
        )

    def _count(self, machine: str, kind: MachineType) -> tuple[float, float, float]:
        """What is left there next to committed and pending starts."""
        cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
        over = self.over.get(machine, ())
        for job, task, attempt in self.mirror.attempts_on(machine):
            if (job.id, task, attempt.attempt) in over:
                continue
            cpus -= job.spec.cpus
            gpus -= job.spec.gpus
            memory -= job.spec.memory_gb
        for intent in self.gate.on_machine(machine):
            cpus -= intent.spec.cpus
            gpus -= intent.spec.gpus
            memory -= intent.spec.memory_gb
        return cpus, gpus, memory

    def _moved(self, machine: str) -> None:
        self._left.pop(machine, None)

    def recount(self) -> None:
        """What machines can hold may have changed."""
        self._left.clear()

    def note_over(self, item: Ended) -> None:
        """An attempt is surely over: what it held can be given away before that is committed."""
        machine = item.attempt.machine
        key = (item.job, item.task, item.attempt.attempt)
        if key not in self.over.setdefault(machine, set()):
            self.over[machine].add(key)
            self.touch(machine)

    def doubt(self, machine: str, for_s: float) -> None:
        """It refused a start for want of room: something is there that we do not know of.

        Seen in a measured day: the same machine was chosen again a dozen times.
        """
        self._doubts[machine] = self.now + for_s

    def freed(self, machine: str) -> bool:
        """Whether nothing runs there any more, committed or not."""
        over = self.over.get(machine, ())
        return all(
            (job.id, task, attempt.attempt) in over
            for job, task, attempt in self.mirror.attempts_on(machine)
        )

    def usable_rooms(self) -> dict[str, Room]:
        """All machines that can be given work."""
        rooms = {}
        for machine in self._sights:
            room = self.room(machine)
            if room is not None and room.usable:
                rooms[machine] = room
        return rooms

    def leaving(self, machine: str) -> str:
        """Why a machine is about to go, or an empty text."""
        listed = self.mirror.fleet.get(machine)
        if listed is not None and listed.state == "draining":
            return "draining"
        sight = self.sight(machine)
        return "notice" if sight is not None and sight.seen.notice_s is not None else ""

    def job(self, job_id: str) -> Job | None:
        return self.mirror.jobs.get(job_id)

    def team_left(self, team: str) -> tuple[float, float]:
        limits = self.limits.get(team, TeamLimits(team))
        held = self.mirror.teams.get(team, Team())
        return limits.cpus_max - held.cpus, limits.gpus_max - held.gpus

    def version(self, resource: Resource) -> int:
        kind, name = resource
        if kind == "machine":
            return self._touched.get(name, 0)
        if kind == "team":
            return self.mirror.version(TEAM + name)
        return self.mirror.version(JOB + name.partition("/")[0])

    # Changes

    def touch(self, machine: str) -> None:
        """Something about this machine changed."""
        self._touched[machine] = self._touched.get(machine, 0) + 1
        self._left.pop(machine, None)

    def note_start(self, spec: JobSpec, attempt: Attempt) -> None:
        """Learn from a committed start which image its machine has or fetches."""
        known = self.mirror.fleet.get(attempt.machine)
        sight = self.sight(attempt.machine)
        name = sight.seen.type if sight else known.type if known else ""
        kind = self.mirror.types.get(name)
        if kind is not None:
            self.images.touch(
                attempt.machine,
                attempt.session,
                spec,
                kind.fetch_gb_per_s,
                kind.cache_gb,
                self.now,
            )

    def forget(self) -> None:
        """Drop what is known of machines that nobody speaks of any more."""
        longest = 4 * self.settings.platform.deployment.workers.lease_s
        for machine in [m for m, s in self._sights.items() if self.now - s.at > longest]:
            del self._sights[machine]
        known = self._sights.keys() | self.mirror.fleet.keys() | self.mirror.on_machine.keys()
        self.images.keep(known)
        self._touched = {m: v for m, v in self._touched.items() if m in known}
        self._left = {m: v for m, v in self._left.items() if m in known}
        self._doubts = {m: t for m, t in self._doubts.items() if t > self.now}
        for machine in list(self.over):
            held = {(j.id, task, a.attempt) for j, task, a in self.mirror.attempts_on(machine)}
            self.over[machine] &= held
            if not self.over[machine]:
                del self.over[machine]

    def fetch_wait_s(self, spec: JobSpec, placement: Placement) -> float:
        """How long a placed task still waits for its image."""
        wait = self.images.wait_s(placement.machine, placement.session, spec.image, self.now)
        return 0.0 if wait is None else wait

    def fetch_s(self, spec: JobSpec, room: Room) -> float:
        """How long a task would wait for its image there."""
        wait = self.images.wait_s(room.id, room.session, spec.image, self.now)
        if wait is not None:
            return wait
        sight = self.sight(room.id)
        if sight is not None and spec.image in sight.seen.images:
            return 0.0
        kind = self.mirror.types[room.type]
        return spec.image_gb / max(kind.fetch_gb_per_s, 1e-6)


def summary_period_s(settings: Settings) -> float:
    """How often a controller writes its room summary.

    All summaries together may take a twentieth of what the store accepts.
    """
    deployment = settings.platform.deployment
    least = len(settings.node_names) / (deployment.state.write_rps / 20)
    return max(settings.operator.summary_reports * deployment.workers.report_s, least)


def allowed(spec: JobSpec, room: Room | Machine) -> bool:
    """Whether the job's own wishes allow this machine."""
    return (
        (spec.types is None or room.type in spec.types)
        and (spec.zone is None or room.zone == spec.zone)
        and (spec.spot or not room.spot)
    )


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Whether a task fits into this much room."""
    slack = 1e-6
    return (
        spec.cpus <= cpus + slack
        and spec.gpus <= gpus + slack
        and spec.memory_gb <= memory_gb + slack
    )


def order_key(job: Job, held: Team, limits: TeamLimits) -> tuple[int, int, float]:
    """Who goes first: priority, then teams within their guarantee, then the most urgent."""
    spec = job.spec
    within = held.cpus + spec.cpus <= limits.cpus + 1e-6
    due = job.submitted + (spec.deadline_s if spec.deadline_s is not None else 1e9)
    return -spec.priority, 0 if within else 1, min(due, job.submitted + 1e9)


class Planner:
    """Chooses machines for the waiting tasks of the jobs that are ours to place."""

    def __init__(self, picture: Picture, rng: Random) -> None:
        self.picture = picture
        self.rng = rng
        self.avoid: dict[str, set[str]] = {}  # by job, the machines it failed on
        self._claims: dict[tuple[str, int], float] = {}  # stops are under way for these
        self.waits = picture.settings.waits
        value_bytes = picture.settings.platform.deployment.state.value_kb * 1024
        # A job's record holds an item for each batch of starts on a machine; what is live
        # at a time is bounded such that the record stays within the store's limit.
        self.most_live = max(8, int(value_bytes * _LIVE_SHARE / _ITEM_BYTES))

    def plan(self, owned: Iterable[Job], barred: dict[str, float]) -> list[Intent]:
        """Admit pending starts for as many waiting tasks as fit; `barred` jobs back off.

        More urgent jobs of other controllers are placed on paper only: the room that they
        are about to take, or that was made for them, is not given to lesser work.
        """
        picture = self.picture
        mine = {
            job.id for job in owned if job.waiting > 0 and barred.get(job.id, 0.0) <= picture.now
        }
        if not mine:
            return []
        jobs = [
            job
            for job in picture.mirror.jobs.values()
            if job.id in mine or (job.waiting > 0 and job.spec.priority >= HIGH)
        ]
        jobs.sort(
            key=lambda job: order_key(
                job,
                picture.mirror.teams.get(job.spec.team, Team()),
                picture.limits.get(job.spec.team, TeamLimits(job.spec.team)),
            )
        )
        rooms = picture.usable_rooms()
        pending: dict[str, list[Intent]] = {}
        spent: dict[str, tuple[float, float]] = {}
        for intent in picture.gate.pending.values():
            pending.setdefault(intent.spec.id, []).append(intent)
            cpus, gpus = spent.get(intent.spec.team, (0.0, 0.0))
            spent[intent.spec.team] = cpus + intent.spec.cpus, gpus + intent.spec.gpus
        admitted: list[Intent] = []
        # By likeness of tasks, the machines that had room for one: it only gets less.
        able: dict[tuple[object, ...], dict[str, Room]] = {}
        left = max(0, _FULL_COMMITS * picture.settings.platform.deployment.state.txn_ops)
        left -= len(pending)
        for job in jobs:
            if left <= 0:
                break  # more than can be committed soon would only grow stale
            like = _likeness(job.spec)
            if like in able and not able[like]:
                continue
            found = self._place(job, rooms, able, pending.get(job.id, []), spent)
            if job.id in mine:
                left -= bool(found)
                for intent in found:
                    picture.gate.admit(intent, picture)
                admitted += found
        return admitted

    def _place(
        self,
        job: Job,
        rooms: dict[str, Room],
        able: dict[tuple[object, ...], dict[str, Room]],
        waiting: list[Intent],
        spent: dict[str, tuple[float, float]],
    ) -> list[Intent]:
        """Places for waiting tasks of a job."""
        picture, spec = self.picture, job.spec
        taken = {intent.placement.task for intent in waiting}
        if spec.kind == GANG and (job.live or taken):
            return []
        left_cpus, left_gpus = picture.team_left(spec.team)
        used_cpus, used_gpus = spent.get(spec.team, (0.0, 0.0))
        left_cpus, left_gpus = left_cpus - used_cpus, left_gpus - used_gpus
        most = int((left_cpus + 1e-6) / spec.cpus)
        if spec.gpus > 0:
            most = min(most, int((left_gpus + 1e-6) / spec.gpus))
        if spec.kind == GANG:
            if most < job.waiting:
                return []
        else:
            most = min(most, self.most_live - len(job.live) - len(taken))
        tasks = list(islice((t for t in job.pending() if t not in taken), max(0, most)))
        if not tasks:
            return []
        zones = [a.zone for a in job.live.values()] + [i.placement.zone for i in waiting]
        like = _likeness(spec)
        known = able.get(like)
        like_rooms = able[like] = (
            {m: room for m, room in rooms.items() if allowed(spec, room) and _holds(room, spec)}
            if known is None
            else {m: rooms[m] for m in known if _holds(rooms[m], spec)}
        )
        chosen = self._choose(spec, like_rooms, zones, len(tasks))
        if not chosen or (spec.kind == GANG and len(chosen) < job.waiting):
            return []
        found = []
        for task, room in zip(tasks, chosen, strict=False):
            rooms[room.id] = _less(rooms[room.id], spec)
            placement = Placement(task, room.id, room.zone, room.session)
            found.append(Intent(spec, placement, room.clerk))
        spent[spec.team] = (
            used_cpus + len(found) * spec.cpus,
            used_gpus + len(found) * spec.gpus,
        )
        return found

    def preempt(self, owned: Iterable[Job], barred: dict[str, float]) -> list[Victim]:
        """Running tasks of lower priority to stop for work that must start at once."""
        picture = self.picture
        report_s = picture.settings.platform.deployment.workers.report_s
        self._claims = {k: until for k, until in self._claims.items() if until > picture.now}
        if not picture.mirror.types:
            return []
        boot_s = min(kind.boot_s for kind in picture.mirror.types.values())
        victims: list[Victim] = []
        chosen: set[tuple[str, int]] = set()
        for job in sorted(owned, key=lambda j: (-j.spec.priority, j.submitted)):
            spec = job.spec
            within = self.waits.get(spec.cls)
            # Where a machine boots in time for the aim, nothing is stopped.
            urgent = spec.priority >= PRODUCTION and within is not None and within < boot_s
            if not urgent or within is None or spec.kind == GANG or not job.waiting:
                continue
            if barred.get(job.id, 0.0) > picture.now:
                continue
            left_cpus, left_gpus = picture.team_left(spec.team)
            for task in job.pending():
                key = (job.id, task)
                if left_cpus < spec.cpus or left_gpus < spec.gpus:
                    break
                left_cpus -= spec.cpus
                left_gpus -= spec.gpus
                if key in self._claims or key in picture.gate.pending:
                    continue
                found = self._victims(job, within, chosen)
                if found is None:
                    break
                self._claims[key] = picture.now + 2 * report_s
                chosen.update((v.job, v.task) for v in found)
                victims += found
        return victims

    def moves(self, owned: Iterable[Job]) -> list[Victim]:
        """Replicas to move off machines that are about to go, once there is room elsewhere."""
        picture = self.picture
        report_s = picture.settings.platform.deployment.workers.report_s
        rooms: dict[str, Room] | None = None
        found: list[Victim] = []
        for job in owned:
            spec = job.spec
            if spec.kind != SERVICE or job.cancelled:
                continue
            for task, attempt in job.live.items():
                key = (job.id, task)
                if attempt.stop is not None or key in self._claims:
                    continue
                sight = picture.sight(attempt.machine)
                if sight is None or picture.age_s(sight) > picture.late_s:
                    # Silent: it cannot be told, and is returned with all that is on it.  Seen
                    # in a measured day: a change of the store for each replica there.
                    continue
                reason = picture.leaving(attempt.machine)
                # Draining can take its time: one replica of a service after the other.
                if not reason or (reason == "draining" and any(v.reason == reason for v in found)):
                    continue
                if rooms is None:
                    rooms = picture.usable_rooms()
                zones = [a.zone for t, a in job.live.items() if t != task]
                places = self._choose(spec, rooms, zones, 1)
                if not places:
                    continue
                rooms[places[0].id] = _less(places[0], spec)
                self._claims[key] = picture.now + 2 * report_s
                grace = 1.5 * spec.save_s
                found.append(Victim(job.id, task, attempt.machine, grace, reason))
        return found

    def _victims(
        self, job: Job, within_s: float, chosen: set[tuple[str, int]]
    ) -> list[Victim] | None:
        """The cheapest set of tasks on one machine whose end makes room for a task."""
        picture, spec = self.picture, job.spec
        zones = [attempt.zone for attempt in job.live.values()]
        best: tuple[float, list[Victim]] | None = None
        for machine, room in picture.usable_rooms().items():
            if not allowed(spec, room):
                continue
            if not zones_allowed(spec, [*zones, room.zone]):
                continue
            cpus, gpus, memory = room.cpus, room.gpus, room.memory_gb
            if any(a.stop is not None for _, _, a in picture.mirror.attempts_on(machine)):
                continue  # room is being made there already
            cost = 2 * picture.fetch_s(spec, room)
            found: list[Victim] = []
            running = sorted(
                picture.mirror.attempts_on(machine),
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
                found.append(Victim(other.id, task, machine, grace, job.id))
            if found and fits(spec, cpus, gpus, memory) and (best is None or cost < best[0]):
                best = cost, found
        return best[1] if best else None

    def _choose(
        self, spec: JobSpec, rooms: dict[str, Room], zones: list[str], count: int
    ) -> list[Room]:
        """The best fits for so many tasks among sampled machines.

        The sample is in proportion to the tasks, and grows until the fits are good.
        """
        able = [room for room in rooms.values() if allowed(spec, room) and _holds(room, spec)]
        shunned = self.avoid.get(spec.id)
        if shunned:
            able = [room for room in able if room.id not in shunned] or able
        if spec.one_zone:
            able = _one_zone(spec, able, zones)
        self.rng.shuffle(able)
        there = Counter(zones)
        most = (spec.tasks + 1) // 2 if spec.spread else len(zones) + count
        size = self.picture.settings.operator.sample * count
        # Look further while the best is not a close fit with its image at hand.
        close = 0.1 * self._run_s(spec)
        heap: list[tuple[float, int, Room]] = []
        looked = 0
        chosen: list[Room] = []
        while len(chosen) < count:
            if looked < len(able) and (not heap or heap[0][0] > close):
                for index in range(looked, min(len(able), looked + size)):
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
            room = _less(room, spec)
            if _holds(room, spec):
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


def _likeness(spec: JobSpec) -> tuple[object, ...]:
    """What decides which machines have room for a task."""
    return spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot


def _holds(room: Room, spec: JobSpec) -> bool:
    return fits(spec, room.cpus, room.gpus, room.memory_gb)


def _less(room: Room, spec: JobSpec) -> Room:
    """What is left of a machine's room with one task more."""
    return room._replace(
        cpus=room.cpus - spec.cpus,
        gpus=room.gpus - spec.gpus,
        memory_gb=room.memory_gb - spec.memory_gb,
    )


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
