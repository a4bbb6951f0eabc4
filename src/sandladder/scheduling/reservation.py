"""Machines reserved for a job that needs much at once, as in EASY backfilling.

Whatever comes free piece by piece goes to whoever fits a piece.  A gang, or a task that takes most
of a machine, would be passed over for as long as small work comes.  So once it has waited for some
leases (`AGED_LEASES`), the machines on which it would soonest fit as a whole are kept for it from
all that comes after it in the order: what is more urgent, or within a guarantee where it is not, is
not held up.  One such job at a time has a reservation, the first in the order; urgent gangs have
theirs as soon as they find no machines.  It ends: what runs on these machines ends, and nothing of
equal or lesser claim takes its place.  Pure: no I/O, no clock.
"""

from collections import Counter
from typing import NamedTuple

from sandladder.model import GANG, HIGH, SERVICE, Job, JobSpec
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import count_fitting, machine_allowed


class _Place(NamedTuple):
    """A machine with the tasks of a job that would fit once its other work has ended.

    Services are not counted on to end.  Places are compared field by field.
    """

    taken: float  # the share of these tasks' capacity that is not free yet
    machine: str
    zone: str
    tasks: int


class _ReservedMachines(NamedTuple):
    """The machines reserved for one job, and until when they are not chosen anew."""

    machines: frozenset[str]
    until: float  # on the steady clock
    urgent: bool  # for an urgent gang


class Reservation:
    """The jobs for which machines are reserved, and which machines."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        workers = cluster_view.settings.platform.deployment.workers
        self._again_s = workers.report_s
        self._reserved: dict[str, _ReservedMachines] = {}
        self._failed_until: dict[str, float] = {}  # jobs that would fit no machines

    @property
    def reserved(self) -> dict[str, frozenset[str]]:
        """By job, the machines that are reserved for it."""
        return {job_id: found.machines for job_id, found in self._reserved.items()}

    def aged(self, job: Job) -> bool:
        """Whether a job that has not begun has waited long and needs capacity to be gathered."""
        if job.live or job.done.count or not job.waiting or job.spec.kind == SERVICE:
            return False
        priorities = self._cluster_view.priorities
        if priorities.waited_s(job) <= priorities.aged_s:
            return False
        return job.spec.kind == GANG or self._takes_most(job.spec)

    def may_reserve(self, job: Job) -> bool:
        """Whether machines may be reserved for a job that found none.

        Urgent gangs each have theirs at once: what is less urgent would take the parts of their
        machines as they come free.  Of the other aged jobs one has them at a time.
        """
        if job.id in self._reserved:
            return False
        if self._is_urgent_gang(job):
            return True
        return self.aged(job) and all(found.urgent for found in self._reserved.values())

    def release_expired(self, jobs: list[Job]) -> None:
        """Give up what is reserved for jobs that have begun, or when it is time to choose anew."""
        waiting = {job.id: job for job in jobs if job.id in self._reserved}
        now = self._cluster_view.now
        self._reserved = {
            job_id: found
            for job_id, found in self._reserved.items()
            if job_id in waiting
            and now < found.until
            and (self.aged(waiting[job_id]) or self._is_urgent_gang(waiting[job_id]))
        }

    def reserve(self, job: Job) -> bool:
        """Reserve the machines on which a job that found none would soonest fit as a whole.

        Whether there are such machines is looked for once in a heartbeat interval.

        Returns:
            False if there are none; renting them is the autoscaler's concern.
        """
        now = self._cluster_view.now
        if self._failed_until.get(job.id, now) > now:
            return False
        chosen = self._choose(job)
        if chosen is None:
            self._failed_until = {
                name: until for name, until in self._failed_until.items() if until > now
            }
            self._failed_until[job.id] = now + self._again_s
            return False
        machines = frozenset(place.machine for place in chosen)
        urgent = self._is_urgent_gang(job)
        self._reserved[job.id] = _ReservedMachines(machines, now + self._again_s, urgent)
        return True

    def _is_urgent_gang(self, job: Job) -> bool:
        """Whether a gang that has not begun is to have its machines before lesser work."""
        if job.spec.kind != GANG or job.live or not job.waiting:
            return False
        return self._cluster_view.scheduling_priority(job).priority >= HIGH

    def _takes_most(self, spec: JobSpec) -> bool:
        """Whether two of its tasks fit no machine together."""
        types = [
            kind for kind in self._cluster_view.cache.machine_types.values() if kind.fits(spec)
        ]
        return bool(types) and all(
            count_fitting(spec, kind.cpus, kind.gpus, kind.memory_gb) < 2 for kind in types
        )

    def _choose(self, job: Job) -> list[_Place] | None:
        """The places, of one zone where the job needs that, of which most is free already."""
        spec = job.spec
        need = job.waiting if spec.kind == GANG else 1
        reserved = frozenset[str]().union(*self.reserved.values())
        places = sorted(place for place in self._places(spec) if place.machine not in reserved)
        zones = sorted({place.zone for place in places}) if spec.one_zone else [None]
        choices = [_first_places(spec, places, need, zone) for zone in zones]
        found = [choice for choice in choices if choice is not None]
        return min(found, key=lambda choice: sum(place.taken for place in choice), default=None)

    def _places(self, spec: JobSpec) -> list[_Place]:
        """All machines that tasks of a job would fit on."""
        cluster_view = self._cluster_view
        free_capacity = cluster_view.free_capacity  # looked up once: there are many machines
        places = []
        for machine in cluster_view.machines():
            capacity = free_capacity(machine)
            if capacity is None or not capacity.usable or not machine_allowed(spec, capacity):
                continue
            kind = cluster_view.cache.machine_types[capacity.type]
            cpus = kind.cpus - cluster_view.service_cpus(machine)
            tasks = count_fitting(spec, cpus, kind.gpus, kind.memory_gb)
            if tasks > 0:
                fitting = count_fitting(spec, capacity.cpus, capacity.gpus, capacity.memory_gb)
                free = min(tasks, max(0, fitting))
                places.append(_Place(1 - free / tasks, machine, capacity.zone, tasks))
        return places


def _first_places(
    spec: JobSpec, places: list[_Place], need: int, zone: str | None
) -> list[_Place] | None:
    """The first places, in a zone if one is named, that together take so many tasks, or None."""
    most_in_zone = (spec.tasks + 1) // 2 if spec.spread else need
    zone_counts: Counter[str] = Counter()
    chosen = []
    for place in places:
        left_in_zone = most_in_zone - zone_counts[place.zone]
        tasks = min(place.tasks, left_in_zone, need - zone_counts.total())
        if tasks > 0 and zone in (None, place.zone):
            chosen.append(place)
            zone_counts[place.zone] += tasks
            if zone_counts.total() >= need:
                return chosen
    return None
