"""The picture of the machines, and the choice of one for each waiting task.

The picture is late by nature: it joins the records, the other controllers' summaries and
the reports that came to us.  What is decided on it is checked again before it is committed
(see premises).  Pure: no I/O, no clock; randomness comes from a seeded generator.
"""

from collections import OrderedDict
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from sandladder.delivery import Delivery
from sandladder.lifecycle import LossProof, Placement, zones_allowed
from sandladder.model import (
    ARRAY,
    GANG,
    HIGH,
    JOB,
    PRODUCTION,
    SERVICE,
    TEAM,
    Job,
    JobSpec,
    Machine,
    Mirror,
    Seen,
    Team,
)
from sandladder.premises import Gate, Intent, Resource, Room
from sandladder.settings import Settings, TeamLimits

# A machine on which so many different jobs failed in a row is not trusted with more.  One
# job alone proves nothing: it may fail everywhere.
SICK_ERRORS = 2


class Sight(NamedTuple):
    """The best word on a machine: what it is, who says so, and how old that is."""

    seen: Seen
    clerk: str
    age_s: float


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
        self.images = Images()
        self.now = 0.0
        self.limits = {t.name: t for t in settings.platform.deployment.teams}
        self._touched: dict[str, int] = {}
        workers = settings.platform.deployment.workers
        # A report may be a quarter late; past two of them the machine is in doubt.
        self.fresh_s = 2.5 * workers.report_s
        self.summary_s = settings.operator.summary_reports * workers.report_s

    # Evidence

    def sight(self, machine: str) -> Sight | None:
        """The freshest word on a machine."""
        best: Sight | None = None
        dialogue = self.delivery.machines.get(machine)
        if dialogue is not None:
            report = dialogue.report
            notice = dialogue.notice_at
            best = Sight(
                Seen(
                    type=report.type,
                    zone=report.zone,
                    spot=report.spot,
                    session=report.session,
                    age_s=0.0,
                    notice_s=None if notice is None else notice - self.now,
                    errors=len(dialogue.failed),
                ),
                self.settings.node,
                self.now - dialogue.heard_at,
            )
        for node, summary, observed in self.loss.statements():
            seen = summary.machines.get(machine)
            if seen is None:
                continue
            age = seen.age_s + self.now - observed
            if best is None or (seen.session, -age) > (best.seen.session, -best.age_s):
                best = Sight(seen, node, age)
        return best

    def machines(self) -> set[str]:
        """All machines that anyone has heard of lately."""
        found = set(self.delivery.machines)
        for _, summary, _ in self.loss.statements():
            found.update(summary.machines)
        return found

    def room(self, machine: str) -> Room | None:
        sight = self.sight(machine)
        if sight is None:
            return None
        seen = sight.seen
        kind = self.mirror.types.get(seen.type)
        if kind is None:
            return None
        cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
        for job, _, _ in self.mirror.attempts_on(machine):
            cpus -= job.spec.cpus
            gpus -= job.spec.gpus
            memory -= job.spec.memory_gb
        for intent in self.gate.on_machine(machine):
            cpus -= intent.spec.cpus
            gpus -= intent.spec.gpus
            memory -= intent.spec.memory_gb
        late = self.fresh_s + (0.0 if sight.clerk == self.settings.node else self.summary_s)
        listed = self.mirror.fleet.get(machine)
        usable = (
            sight.age_s <= late
            and seen.notice_s is None
            and seen.errors < SICK_ERRORS
            and (listed is None or listed.state not in ("draining", "gone"))
        )
        return Room(
            machine,
            seen.type,
            seen.zone,
            seen.spot,
            seen.session,
            sight.clerk,
            cpus,
            gpus,
            memory,
            usable,
        )

    def usable_rooms(self) -> dict[str, Room]:
        """All machines that can be given work."""
        rooms = {}
        for machine in sorted(self.machines()):
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

    def note_starts(self, job: Job) -> None:
        """Learn from a job's record which images machines have or fetch."""
        for attempt in job.live.values():
            sight = self.sight(attempt.machine)
            kind = self.mirror.types.get(sight.seen.type) if sight else None
            if kind is not None:
                self.images.touch(
                    attempt.machine,
                    attempt.session,
                    job.spec,
                    kind.fetch_gb_per_s,
                    kind.cache_gb,
                    self.now,
                )

    def forget(self) -> None:
        """Drop what is known of machines that nobody speaks of any more."""
        known = self.machines() | set(self.mirror.fleet) | set(self.mirror.on_machine)
        self.images.keep(known)
        self._touched = {m: v for m, v in self._touched.items() if m in known}

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
        deployment = picture.settings.platform.deployment
        self.waits = {
            o.cls: o.within_s
            for o in deployment.objectives
            if o.kind == "wait" and o.cls is not None and o.within_s is not None
        }
        value_bytes = picture.settings.platform.deployment.state.value_kb * 1024
        # A job's record holds an item for each batch of starts on a machine; what is live
        # at a time is bounded such that the record stays within the store's limit.
        self.most_live = max(8, int(value_bytes * 0.6 / 56))

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
        for intent in picture.gate.pending.values():
            pending.setdefault(intent.spec.id, []).append(intent)
        spent: dict[str, tuple[float, float]] = {}
        for intent in picture.gate.pending.values():
            cpus, gpus = spent.get(intent.spec.team, (0.0, 0.0))
            spent[intent.spec.team] = cpus + intent.spec.cpus, gpus + intent.spec.gpus
        admitted: list[Intent] = []
        for job in jobs:
            found = self._place(job, rooms, pending.get(job.id, []), spent)
            if job.id in mine:
                for intent in found:
                    picture.gate.admit(intent, picture)
                admitted += found
        return admitted

    def _place(
        self,
        job: Job,
        rooms: dict[str, Room],
        waiting: list[Intent],
        spent: dict[str, tuple[float, float]],
    ) -> list[Intent]:
        picture, spec = self.picture, job.spec
        taken = {intent.placement.task for intent in waiting}
        if spec.kind == GANG and (job.live or taken):
            return []
        left_cpus, left_gpus = picture.team_left(spec.team)
        used_cpus, used_gpus = spent.get(spec.team, (0.0, 0.0))
        left_cpus, left_gpus = left_cpus - used_cpus, left_gpus - used_gpus
        zones = [a.zone for a in job.live.values()] + [i.placement.zone for i in waiting]
        most = self.most_live - len(job.live) - len(taken)
        trial = dict(rooms)
        found: list[Intent] = []
        for task in job.pending():
            if task in taken:
                continue
            if len(found) >= most and spec.kind != GANG:
                break
            if spec.cpus > left_cpus + 1e-6 or spec.gpus > left_gpus + 1e-6:
                break
            room = self._choose(spec, trial, zones)
            if room is None:
                break
            trial[room.id] = room._replace(
                cpus=room.cpus - spec.cpus,
                gpus=room.gpus - spec.gpus,
                memory_gb=room.memory_gb - spec.memory_gb,
            )
            zones.append(room.zone)
            left_cpus -= spec.cpus
            left_gpus -= spec.gpus
            placement = Placement(task, room.id, room.zone, room.session)
            found.append(Intent(spec, placement, room.clerk))
        if not found or (spec.kind == GANG and len(found) < job.waiting):
            return []
        rooms.update(trial)
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
                reason = picture.leaving(attempt.machine)
                # Draining can take its time: one replica of a service after the other.
                if not reason or (reason == "draining" and any(v.reason == reason for v in found)):
                    continue
                if rooms is None:
                    rooms = picture.usable_rooms()
                zones = [a.zone for t, a in job.live.items() if t != task]
                room = self._choose(spec, rooms, zones)
                if room is None:
                    continue
                rooms[room.id] = room._replace(cpus=room.cpus - spec.cpus)
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
        for machine in sorted(picture.machines()):
            room = picture.room(machine)
            if room is None or not room.usable or not allowed(spec, room):
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

    def _choose(self, spec: JobSpec, rooms: dict[str, Room], zones: list[str]) -> Room | None:
        """The best fit among sampled machines; the sample grows until one fits well."""
        able = [
            room
            for room in rooms.values()
            if allowed(spec, room) and fits(spec, room.cpus, room.gpus, room.memory_gb)
        ]
        shunned = self.avoid.get(spec.id)
        if shunned:
            able = [room for room in able if room.id not in shunned] or able
        if spec.one_zone or spec.spread:
            able = [room for room in able if zones_allowed(spec, [*zones, room.zone])]
        size = self.picture.settings.operator.sample
        self.rng.shuffle(able)
        best: tuple[float, Room] | None = None
        looked = 0
        while looked < len(able):
            for room in able[looked : looked + size]:
                cost = self._cost(spec, room, zones)
                if best is None or cost < best[0]:
                    best = cost, room
            looked += size
            # Look further, in ever larger samples, while the best is not a close fit with
            # its image at hand.
            if best is not None and best[0] <= 0.1 * self._run_s(spec):
                break
            size = looked
        return best[1] if best else None

    def _run_s(self, spec: JobSpec) -> float:
        return spec.estimate_s or self.picture.settings.platform.deployment.workers.lease_s

    def _cost(self, spec: JobSpec, room: Room, zones: list[str]) -> float:
        """What placing it there costs, in seconds of a task's time."""
        kind = self.picture.mirror.types[room.type]
        cost = self.picture.fetch_s(spec, room)
        run_s = self._run_s(spec)
        if spec.spot and not room.spot:
            # Ordinary machines are dearer, and work that may not use others needs them.
            cost += 0.5 * run_s
        cost += 0.2 * run_s * (room.cpus - spec.cpus) / max(kind.cpus, 1.0)
        if spec.kind == SERVICE and zones:
            cost += run_s * zones.count(room.zone) / len(zones)
        if spec.kind == SERVICE:
            # It stays for long: a large machine would have to be kept for its sake.
            largest = max(t.cpus for t in self.picture.mirror.types.values())
            cost += run_s * (room.cpus - spec.cpus) / largest
        return cost
