"""Room held back for an aged job that needs much of it at once: a reservation, as in backfilling.

Whatever comes free piece by piece goes to whoever fits a piece.  A gang, or a task that takes most
of a machine, would be passed over for as long as small work comes.  So once it has waited for some
leases (`AGED_LEASES`), the machines on which it would soonest fit as a whole are kept for it from
all that comes after it in the order: what is more urgent, or within a guarantee where it is not, is
not held up.  One such job at a time has a reservation, the first in the order; urgent gangs have
theirs as soon as they find no room.  It ends: what runs on these machines ends, and nothing of
equal or lesser claim takes its place.  Pure: no I/O, no clock.
"""

from collections import Counter
from typing import NamedTuple

from sandladder.model import GANG, HIGH, SERVICE, Job, JobSpec, MachineType
from sandladder.scheduling.cluster_view import AGED_LEASES, ClusterView, allowed
from sandladder.scheduling.premises import FreeCapacity


class _Place(NamedTuple):
    """A machine with the tasks of a job that it could hold when its other work has ended."""

    taken: float  # the share of these places that is not free yet
    machine: str
    zone: str
    tasks: int


class _Hold(NamedTuple):
    """The machines that are held for one job, and until when they are not chosen anew."""

    machines: frozenset[str]
    until: float  # on the steady clock
    urgent: bool  # for an urgent gang


class Reservation:
    """The jobs for which machines are held, and which machines."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self._picture = cluster_view
        workers = cluster_view.settings.platform.deployment.workers
        self._aged_s = AGED_LEASES * workers.lease_s
        self._again_s = workers.report_s
        self._holds: dict[str, _Hold] = {}
        self._failed: dict[str, float] = {}  # jobs that no machines could hold, until when

    @property
    def held(self) -> dict[str, frozenset[str]]:
        """By job, the machines that are held for it."""
        return {job_id: hold.machines for job_id, hold in self._holds.items()}

    def aged(self, job: Job) -> bool:
        """Whether a job has waited long, has not begun, and fits only where room is gathered."""
        if job.live or job.done.count or not job.waiting or job.spec.kind == SERVICE:
            return False
        if self._picture.wall - self._picture.since(job) <= self._aged_s:
            return False
        return job.spec.kind == GANG or self._takes_most(job.spec)

    def _urgent_gang(self, job: Job) -> bool:
        """Whether a gang that has not begun is to have its machines before lesser work."""
        if job.spec.kind != GANG or job.live or not job.waiting:
            return False
        return self._picture.outlook(job).priority >= HIGH

    def may_hold(self, job: Job) -> bool:
        """Whether machines may be held for a job that found no room.

        Urgent gangs each have theirs at once: what is less urgent would take the parts of their
        machines as they come free.  Of the other aged jobs one has them at a time.
        """
        if job.id in self._holds:
            return False
        if self._urgent_gang(job):
            return True
        return self.aged(job) and all(hold.urgent for hold in self._holds.values())

    def _takes_most(self, spec: JobSpec) -> bool:
        """Whether two of its tasks fit no machine together."""
        types = [kind for kind in self._picture.cache.types.values() if kind.fits(spec)]
        return bool(types) and all(_number(spec, kind, kind.cpus) < 2 for kind in types)

    def review(self, jobs: list[Job]) -> None:
        """Give up what is held when its job has begun, or when it is time to choose anew."""
        waiting = {job.id: job for job in jobs if job.id in self._holds}
        now = self._picture.now
        self._holds = {
            job_id: hold
            for job_id, hold in self._holds.items()
            if job_id in waiting
            and now < hold.until
            and (self.aged(waiting[job_id]) or self._urgent_gang(waiting[job_id]))
        }

    def make(self, job: Job) -> bool:
        """Hold the machines on which a job that found no room would soonest fit as a whole.

        Whether there are such machines is looked for once in a report interval.
        """
        now = self._picture.now
        if self._failed.get(job.id, now) > now:
            return False
        need = job.waiting if job.spec.kind == GANG else 1
        spec = job.spec
        taken = frozenset[str]().union(*self.held.values())
        places = sorted(place for place in self._places(spec) if place.machine not in taken)
        zones = sorted({place.zone for place in places}) if spec.one_zone else [None]
        choices = [self._choose(spec, places, need, zone) for zone in zones]
        found = [choice for choice in choices if choice is not None]
        if not found:
            # No machines for it: that is the renter's to mend.
            self._failed = {name: until for name, until in self._failed.items() if until > now}
            self._failed[job.id] = now + self._again_s
            return False
        chosen = min(found, key=lambda choice: sum(place.taken for place in choice))
        machines = frozenset(place.machine for place in chosen)
        self._holds[job.id] = _Hold(machines, now + self._again_s, self._urgent_gang(job))
        return True

    def _places(self, spec: JobSpec) -> list[_Place]:
        cluster_view = self._picture
        found = []
        for machine in cluster_view.machines():
            capacity = cluster_view.capacity(machine)
            if capacity is None or not capacity.usable or not allowed(spec, capacity):
                continue
            kind = cluster_view.cache.types[capacity.type]
            tasks = _number(spec, kind, kind.cpus - cluster_view.services(machine))
            if tasks > 0:
                free = min(tasks, _free(spec, capacity))
                found.append(_Place(1 - free / tasks, machine, capacity.zone, tasks))
        return found

    @staticmethod
    def _choose(
        spec: JobSpec, places: list[_Place], need: int, zone: str | None
    ) -> list[_Place] | None:
        """The first places that hold so many tasks together, or None."""
        most = (spec.tasks + 1) // 2 if spec.spread else need
        there: Counter[str] = Counter()
        chosen = []
        for place in places:
            tasks = min(place.tasks, most - there[place.zone], need - there.total())
            if tasks > 0 and zone in (None, place.zone):
                chosen.append(place)
                there[place.zone] += tasks
                if there.total() >= need:
                    return chosen
        return None


def _number(spec: JobSpec, kind: MachineType, cpus: float) -> int:
    """How many tasks fit a machine of a type of which so many cores are left for them."""
    number = min(cpus / spec.cpus, kind.memory_gb / max(spec.memory_gb, 1e-9))
    if spec.gpus > 0:
        number = min(number, kind.gpus / spec.gpus)
    return int(number + 1e-6)


def _free(spec: JobSpec, capacity: FreeCapacity) -> int:
    number = min(capacity.cpus / spec.cpus, capacity.memory_gb / max(spec.memory_gb, 1e-9))
    if spec.gpus > 0:
        number = min(number, capacity.gpus / spec.gpus)
    return max(0, int(number + 1e-6))
