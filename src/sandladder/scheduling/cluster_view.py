"""The picture of the machines: what is known of each, how old that is, and what room it leaves.

The picture is late by nature: it joins the records, the other controllers' summaries and
the reports that came to us.  What is decided on it is checked again before it is committed
(see premises).  Pure: no I/O, no clock.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from sandladder.agents import AgentSession, LeaseExpiryProof, Reconciler
from sandladder.config import Settings
from sandladder.model import (
    ARRAY,
    SERVICE,
    Attempt,
    EndedAttempt,
    FinishedJob,
    Headroom,
    Job,
    JobSpec,
    Machine,
    MachineInventory,
    MachineStatus,
    MachineType,
    Placement,
    SchedulingPriority,
    TeamUsage,
    headroom,
    within_guarantee,
)
from sandladder.scheduling.premises import FreeCapacity, Gate, Resource
from sandladder.state import JOB, TEAM, StateCache

# A machine on which so many different jobs failed in a row is not trusted with more.  One
# job alone proves nothing: it may fail everywhere.
SICK_ERRORS = 2
# After so many leases a job counts as having waited long.
AGED_LEASES = 4
# Work without any aim goes last, in the order in which it came.
_SOME_TIME = 1e9
# So many boots before it must start, work still waits for the cheaper kind of machine.
_PATIENCE = 4


class _Urgency(NamedTuple):
    """By when a job must start, and what that was worked out from."""

    job: Job
    outlook: SchedulingPriority
    types: dict[str, MachineType]
    latest: float
    patient_until: float  # up to when it has time to wait for the cheaper kind of machine


class MachineObservation(NamedTuple):
    """The best word on a machine: what it is, who says so, and as of when."""

    seen: MachineStatus
    reporting_controller: str
    at: float


class ImageCacheIndex:
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


class ClusterView:
    """The current picture; evidence for the gate and ground for planning."""

    def __init__(
        self,
        settings: Settings,
        cache: StateCache,
        reconciler: Reconciler,
        loss: LeaseExpiryProof,
        gate: Gate,
    ) -> None:
        self.settings = settings
        self.cache = cache
        self.reconciler = reconciler
        self.lease_expiry = loss
        self.gate = gate
        gate.on_move = self._moved
        self.images = ImageCacheIndex()
        self.now = 0.0
        self.ahead = 0.0  # how far the time of day is ahead of the steady clock
        # By image, the machines that had it or fetched it at some time; more than have it now.
        self._image_seen: dict[str, dict[str, None]] = {}
        self._started_at: dict[str, float] = {}  # when a task of a job was last started
        self._gpus_wanted_as_of = (-1, False)  # a revision of the records, and the answer then
        self.limits = {t.name: t for t in settings.platform.deployment.teams}
        self._waits = settings.waits
        self._urgencies: dict[str, _Urgency] = {}
        self._touched: dict[str, int] = {}
        self._observations: dict[str, MachineObservation] = {}
        self._doubts: dict[str, float] = {}  # machines that refused a start, and until when
        # Controllers that cannot have a start sent now: what reports to them is not given any.
        self._doubted_controllers: frozenset[str] = frozenset()
        self._told: dict[str, MachineInventory] = {}  # the summaries that were taken in
        # What is left on machines, worked out again only where something changed.
        self._left: dict[str, tuple[float, float, float]] = {}
        self._services: dict[str, float] = {}
        # Rooms as last worked out, and until when they hold by themselves.
        self._capacities: dict[str, tuple[FreeCapacity, float]] = {}
        # Attempts that are surely over while their end is not committed yet: their room is free.
        self.over: dict[str, set[tuple[str, int, int]]] = {}
        workers = settings.platform.deployment.workers
        # A report may be a quarter late; past two of them the machine is in doubt.
        self.fresh_s = 2.5 * workers.report_s
        self.inventory_interval_s = inventory_interval_of(settings)
        self.late_s = self.fresh_s + self.inventory_interval_s

    # Evidence

    def heard(self, agent: AgentSession) -> None:
        """Take in what a machine reported to us."""
        report, notice = agent.report, agent.notice_at
        seen = MachineStatus(
            type=report.type,
            zone=report.zone,
            spot=report.spot,
            session=report.session,
            age_s=0.0,
            notice_s=None if notice is None else notice - self.now,
            errors=len(agent.failed),
        )
        self._see(report.machine, MachineObservation(seen, self.settings.node, agent.heard_at))

    def observe(self) -> None:
        """Take in the summaries that are new."""
        for node, inventory, observed in self.lease_expiry.statements():
            if self._told.get(node) is inventory:
                continue
            self._told[node] = inventory
            for machine, seen in inventory.machines.items():
                self._see(machine, MachineObservation(seen, node, observed - seen.age_s))

    def tell(self, node: str, machine: str, seen: MachineStatus) -> None:
        """Take in a peer's word on one machine."""
        self._see(machine, MachineObservation(seen, node, self.now - seen.age_s))

    def _see(self, machine: str, new: MachineObservation) -> None:
        old = self._observations.get(machine)
        if old is not None:
            if (new.seen.session, new.at) < (old.seen.session, old.at):
                return
            if not new.seen.images and new.seen.session == old.seen.session:
                new = new._replace(seen=new.seen._replace(images=old.seen.images))
        self._observations[machine] = new
        self._capacities.pop(machine, None)
        for image in new.seen.images:
            self._image_seen.setdefault(image, {})[machine] = None

    def may_have(self, image: str) -> Iterable[str]:
        """The machines that may have an image; `fetch_s` says which have it."""
        return self._image_seen.get(image, {}).keys()

    def observation(self, machine: str) -> MachineObservation | None:
        """The freshest word on a machine."""
        return self._observations.get(machine)

    def age_s(self, observation: MachineObservation) -> float:
        return self.now - observation.at

    def machines(self) -> Iterable[str]:
        """All machines that anyone has heard of lately."""
        return self._observations.keys()

    def capacity(self, machine: str) -> FreeCapacity | None:
        known = self._capacities.get(machine)
        if known is not None and self.now <= known[1]:
            return known[0]
        observation = self._observations.get(machine)
        if observation is None:
            return None
        seen = observation.seen
        kind = self.cache.types.get(seen.type)
        if kind is None:
            return None
        left = self._left.get(machine)
        if left is None:
            left = self._left[machine] = self._count(machine, kind)
        late = (
            self.fresh_s if observation.reporting_controller == self.settings.node else self.late_s
        )
        listed = self.cache.instances.get(machine)
        sound = (
            seen.notice_s is None
            and seen.errors < SICK_ERRORS
            and (listed is None or listed.state not in ("draining", "gone"))
            and observation.reporting_controller not in self._doubted_controllers
        )
        # What makes it usable or not by the passing of time alone.
        doubted, stale = self._doubts.get(machine, -math.inf), observation.at + late
        usable = sound and doubted <= self.now <= stale
        until = math.inf
        if sound and self.now <= stale:
            until = stale if usable else min(stale, doubted)
        capacity = FreeCapacity(
            machine,
            seen.type,
            seen.zone,
            seen.spot,
            seen.session,
            observation.reporting_controller,
            *left,
            usable,
        )
        self._capacities[machine] = capacity, until
        return capacity

    def _count(self, machine: str, kind: MachineType) -> tuple[float, float, float]:
        """What is left there next to committed and pending starts."""
        cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
        over = self.over.get(machine, ())
        for job, task, attempt in self.cache.attempts_on(machine):
            if (job.id, task, attempt.attempt) in over:
                continue
            cpus -= job.spec.cpus
            gpus -= job.spec.gpus
            memory -= job.spec.memory_gb
        for pending_start in self.gate.on_machine(machine):
            cpus -= pending_start.spec.cpus
            gpus -= pending_start.spec.gpus
            memory -= pending_start.spec.memory_gb
        return cpus, gpus, memory

    def _moved(self, machine: str) -> None:
        self._left.pop(machine, None)
        self._capacities.pop(machine, None)

    def recount(self) -> None:
        """What machines can hold may have changed."""
        self._left.clear()
        self._capacities.clear()

    def relist(self) -> None:
        """The fleet records changed."""
        self._capacities.clear()

    def note_over(self, item: EndedAttempt) -> None:
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
        self._capacities.pop(machine, None)

    def doubt_controllers(self, reporting_controllers: frozenset[str]) -> None:
        """These controllers are not there, or cannot learn what is to start.

        Seen in a measured day: for the nine seconds until a cut zone's machines were stale, work
        was put there, and could not go elsewhere before the cut ended.
        """
        changed, self._doubted_controllers = (
            reporting_controllers ^ self._doubted_controllers,
            reporting_controllers,
        )
        if changed:
            for machine, observation in self._observations.items():
                if observation.reporting_controller in changed:
                    self.touch(machine)

    def services(self, machine: str) -> float:
        """How many cores of it services hold."""
        held = self._services.get(machine)
        if held is None:
            specs = (job.spec for job, _, _ in self.cache.attempts_on(machine))
            held = sum(spec.cpus for spec in specs if spec.kind == SERVICE)
            self._services[machine] = held
        return held

    def avoids_gpus(self, spec: JobSpec) -> bool:
        """Whether a job's tasks need no GPU and fit a type that has none, while others need them.

        Seen in a measured day: arrays of small tasks filled the machines with GPUs, and gangs
        that need whole ones found none free.
        """
        if spec.gpus > 0 or not self._gpus_wanted():
            return False
        return any(kind.gpus == 0 and kind.fits(spec) for kind in self.cache.types.values())

    def _gpus_wanted(self) -> bool:
        """Whether any live job needs GPUs; looked for once for each revision of the records."""
        if self._gpus_wanted_as_of[0] != self.cache.revision:
            wanted = any(job.spec.gpus > 0 for job in self.cache.jobs.values())
            self._gpus_wanted_as_of = self.cache.revision, wanted
        return self._gpus_wanted_as_of[1]

    def keeps_gpus_free(self, job: Job) -> bool:
        """Whether a job leaves free GPUs what they may need; not once it is starved."""
        return self.avoids_gpus(job.spec) and not self._starved(job)

    def _starved(self, job: Job) -> bool:
        """Whether nothing of a job has been started for long, as far as this process saw."""
        aged_s = AGED_LEASES * self.settings.platform.deployment.workers.lease_s
        started_at = self._started_at.get(job.id, -math.inf)
        return min(self.wall - self.since(job), self.now - started_at) > aged_s

    def freed(self, machine: str) -> bool:
        """Whether nothing runs there any more, committed or not."""
        if machine not in self.cache.on_machine:
            return True
        over = self.over.get(machine, set())
        return bool(over) and all(
            (job.id, task, attempt.attempt) in over
            for job, task, attempt in self.cache.attempts_on(machine)
        )

    def usable_capacities(self, least_cpus: float = 0.0) -> dict[str, FreeCapacity]:
        """All machines that can be given work, with so much room at least."""
        capacities = {}
        now, cached = self.now, self._capacities
        least_cpus -= 1e-6
        for machine in self._observations:
            known = cached.get(machine)
            capacity = known[0] if known is not None and now <= known[1] else self.capacity(machine)
            if capacity is not None and capacity.usable and capacity.cpus >= least_cpus:
                capacities[machine] = capacity
        return capacities

    def leaving_machines(self) -> list[str]:
        """The machines that are about to go, as far as they are known."""
        instances = self.cache.instances
        draining = {m for m, record in instances.items() if record.state == "draining"}
        return [
            machine
            for machine, observation in self._observations.items()
            if observation.seen.notice_s is not None or machine in draining
        ]

    def leaving(self, machine: str) -> str:
        """Why a machine is about to go, or an empty text."""
        listed = self.cache.instances.get(machine)
        if listed is not None and listed.state == "draining":
            return "draining"
        observation = self.observation(machine)
        return "notice" if observation is not None and observation.seen.notice_s is not None else ""

    def job(self, job_id: str) -> Job | None:
        return self.cache.jobs.get(job_id)

    def settled(self, job_id: str) -> FinishedJob | None:
        return self.cache.dependency_index.settled(job_id)

    def team_left(self, team: str) -> Headroom:
        """What the live attempts of a team leave under its limits."""
        return headroom(self.limits.get(team), self.cache.used.get(team, TeamUsage()))

    def version(self, resource: Resource) -> int:
        kind, name = resource
        if kind == "machine":
            return self._touched.get(name, 0)
        if kind == "team":
            return self.cache.version(TEAM + name)
        return self.cache.version(JOB + name.partition("/")[0])

    # Changes

    def touch(self, machine: str) -> None:
        """Something about this machine changed."""
        self._touched[machine] = self._touched.get(machine, 0) + 1
        self._left.pop(machine, None)
        self._services.pop(machine, None)
        self._capacities.pop(machine, None)

    def note_start(self, spec: JobSpec, attempt: Attempt) -> None:
        """Learn from a committed start which image its machine has or fetches."""
        self._started_at[spec.id] = self.now
        known = self.cache.instances.get(attempt.machine)
        observation = self.observation(attempt.machine)
        name = observation.seen.type if observation else known.type if known else ""
        kind = self.cache.types.get(name)
        if kind is not None:
            self._image_seen.setdefault(spec.image, {})[attempt.machine] = None
            self.images.touch(
                attempt.machine,
                attempt.session,
                spec,
                kind.fetch_gb_per_s,
                kind.cache_gb,
                self.now,
            )

    # Urgency

    @property
    def wall(self) -> float:
        """The time of day."""
        return self.now + self.ahead

    def least_fetch_s(self, spec: JobSpec) -> float:
        """How long the fetch of a job's image takes at least, in seconds."""
        rates = [t.fetch_gb_per_s for t in self.cache.types.values() if t.fits(spec)]
        return spec.image_gb / max([1e-6, *rates])

    def stage_s(self, spec: JobSpec) -> float:
        """How long a job takes once it may start, if there is room."""
        report_s = self.settings.platform.deployment.workers.report_s
        return spec.estimate_s + self.least_fetch_s(spec) + report_s / 2

    def outlook(self, job: Job) -> SchedulingPriority:
        """Its priority and when it is due, with all that need it."""
        return self.cache.dependency_index.outlook(job, self.stage_s)

    def since(self, job: Job) -> float:
        """From when its times count."""
        return self.cache.dependency_index.since(job)

    def latest_start(self, job: Job) -> float:
        """By when it must start to meet what is expected of it, or of those that need it."""
        return self._urgency(job).latest

    def _urgency(self, job: Job) -> _Urgency:
        """As last worked out, while neither the job nor what it follows from has changed.

        Seen in a measured day: with some hundred jobs waiting, a third of each round of
        planning went into working this out again.
        """
        outlook, types = self.outlook(job), self.cache.types
        known = self._urgencies.get(job.id)
        if (
            known is not None
            and known.job is job
            and known.outlook is outlook
            and known.types is types
        ):
            return known
        spec = job.spec
        latest = self.since(job) + self._waits.get(spec.cls, _SOME_TIME)
        latest = min(latest, outlook.due - self.stage_s(spec))
        found = _Urgency(job, outlook, types, latest, latest - _PATIENCE * self.boot_s(spec))
        # What jobs that it names came to says from when its times count.
        if not job.dependencies:
            self._urgencies[job.id] = found
        return found

    def boot_s(self, spec: JobSpec) -> float:
        """How long a machine for it takes to come up."""
        boots = [t.boot_s for t in self.cache.types.values() if t.fits(spec)]
        return min(boots, default=0.0)

    def can_wait_for_boot(self, job: Job) -> bool:
        """Whether a job has time to wait for the cheaper kind of machine.

        Seen in a measured day: work with minutes to spare kept dear machines busy that had
        been rented for the few tasks that could not wait.
        """
        if not job.spec.spot or job.spec.kind != ARRAY:
            return False
        urgency, wall = self._urgency(job), self.wall
        # Work without any aim would wait for ever where there is no cheaper kind.
        return wall < urgency.patient_until and urgency.latest - wall < _SOME_TIME / 2

    def order_key(self, job: Job) -> tuple[int, int, float]:
        """Who goes first: priority, then teams within their guarantee, then the most urgent."""
        spec = job.spec
        usage = self.cache.used.get(spec.team, TeamUsage())
        within = within_guarantee(self.limits.get(spec.team), usage, spec)
        return -self.outlook(job).priority, 0 if within else 1, self.latest_start(job)

    def forget(self) -> None:
        """Drop what is known of machines that nobody speaks of any more."""
        longest = 4 * self.settings.platform.deployment.workers.lease_s
        for machine in [m for m, s in self._observations.items() if self.now - s.at > longest]:
            del self._observations[machine]
            self._capacities.pop(machine, None)
        known = (
            self._observations.keys() | self.cache.instances.keys() | self.cache.on_machine.keys()
        )
        self.images.keep(known)
        for image in list(self._image_seen):
            kept = {m: None for m in self._image_seen[image] if m in known}
            if kept:
                self._image_seen[image] = kept
            else:
                del self._image_seen[image]
        jobs = self.cache.jobs
        self._urgencies = {j: u for j, u in self._urgencies.items() if j in jobs}
        self._started_at = {j: at for j, at in self._started_at.items() if j in jobs}
        self._touched = {m: v for m, v in self._touched.items() if m in known}
        self._left = {m: v for m, v in self._left.items() if m in known}
        self._services = {m: v for m, v in self._services.items() if m in known}
        self._doubts = {m: t for m, t in self._doubts.items() if t > self.now}
        for machine in list(self.over):
            held = {(j.id, task, a.attempt) for j, task, a in self.cache.attempts_on(machine)}
            self.over[machine] &= held
            if not self.over[machine]:
                del self.over[machine]

    def fetch_wait_s(self, spec: JobSpec, placement: Placement) -> float:
        """How long a placed task still waits for its image."""
        wait = self.images.wait_s(placement.machine, placement.session, spec.image, self.now)
        return 0.0 if wait is None else wait

    def fetch_s(self, spec: JobSpec, capacity: FreeCapacity) -> float:
        """How long a task would wait for its image there."""
        wait = self.images.wait_s(capacity.id, capacity.session, spec.image, self.now)
        if wait is not None:
            return wait
        observation = self.observation(capacity.id)
        if observation is not None and spec.image in observation.seen.images:
            return 0.0
        kind = self.cache.types[capacity.type]
        return spec.image_gb / max(kind.fetch_gb_per_s, 1e-6)


def inventory_interval_of(settings: Settings) -> float:
    """How often a controller writes its room summary.

    All summaries together may take a twentieth of what the store accepts.
    """
    deployment = settings.platform.deployment
    least = len(settings.node_names) / (deployment.state.write_rps / 20)
    return max(settings.operator.summary_reports * deployment.workers.report_s, least)


def allowed(spec: JobSpec, capacity: FreeCapacity | Machine) -> bool:
    """Whether the job's own wishes allow this machine."""
    return (
        (spec.types is None or capacity.type in spec.types)
        and (spec.zone is None or capacity.zone == spec.zone)
        and (spec.spot or not capacity.spot)
    )


def likeness(spec: JobSpec, can_wait_for_boot: bool) -> tuple[object, ...]:
    """What decides which machines have room for a task."""
    return spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot, can_wait_for_boot


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Whether a task fits into this much room."""
    slack = 1e-6
    return (
        spec.cpus <= cpus + slack
        and spec.gpus <= gpus + slack
        and spec.memory_gb <= memory_gb + slack
    )


def holds(capacity: FreeCapacity, spec: JobSpec) -> bool:
    return fits(spec, capacity.cpus, capacity.gpus, capacity.memory_gb)


def beside_gpus(capacity: FreeCapacity, kind: MachineType) -> FreeCapacity:
    """What a machine's room leaves next to what its free GPUs may need of it."""
    if capacity.gpus <= 0 or kind.gpus <= 0:
        return capacity
    share = capacity.gpus / kind.gpus
    return capacity._replace(
        cpus=capacity.cpus - share * kind.cpus,
        memory_gb=capacity.memory_gb - share * kind.memory_gb,
    )


def less(capacity: FreeCapacity, spec: JobSpec) -> FreeCapacity:
    """What is left of a machine's room with one task more."""
    return capacity._replace(
        cpus=capacity.cpus - spec.cpus,
        gpus=capacity.gpus - spec.gpus,
        memory_gb=capacity.memory_gb - spec.memory_gb,
    )
