"""Reservations of machines for gangs and large tasks, as in EASY backfilling.

Without a reservation, small tasks take each piece of capacity as it becomes free, and a gang or a
task that needs most of a machine starves.  A job that has waited for `AGED_LEASES` leases reserves
the machines on which it can start soonest, a gang as a whole.  Jobs of equal or lower precedence
cannot use these machines; jobs of a higher priority, or of equal priority and within their team's
guarantee while this one is not, still can.  One aged job at a time holds a reservation, the first
in scheduling order; each urgent gang reserves machines as soon as it finds none free.  The wait is
bounded, because the tasks on these machines end and no job of equal or lower precedence replaces
them.  Pure: no I/O, no clock.
"""

from collections import Counter
from typing import NamedTuple

from sandladder.model import GANG, HIGH, SERVICE, Job, JobSpec
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import count_on_empty_machine, machine_allowed


class _MachineSlots(NamedTuple):
    """A machine and the number of a job's tasks that fit when everything but services has ended.

    Ordered by its fields: the machine with the smallest busy share comes first.
    """

    busy_share: float  # the share of these tasks' capacity that is not free yet
    machine: str
    zone: str
    tasks: int


class _ReservedMachines(NamedTuple):
    """The machines reserved for one job, and when that choice expires."""

    machines: frozenset[str]
    valid_until: float  # on the steady clock, in seconds
    urgent: bool  # for an urgent gang


class Reservation:
    """The machine reservations, by job."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        workers = cluster_view.settings.platform.deployment.workers
        self._retry_interval_s = workers.report_s
        self._reserved: dict[str, _ReservedMachines] = {}
        self._failed_until: dict[str, float] = {}  # jobs without suitable machines; steady clock

    @property
    def reserved(self) -> dict[str, frozenset[str]]:
        """The reserved machines, by job."""
        return {job_id: reservation.machines for job_id, reservation in self._reserved.items()}

    def is_aged(self, job: Job) -> bool:
        """Return whether a job has aged without starting a task and is a gang or a large task."""
        if job.live or job.done.count or not job.waiting or job.spec.kind == SERVICE:
            return False
        priorities = self._cluster_view.priorities
        if priorities.waited_s(job) <= priorities.aged_after_s:
            return False
        return job.spec.kind == GANG or self._needs_most_of_a_machine(job.spec)

    def may_reserve(self, job: Job) -> bool:
        """Return whether machines may be reserved for a job that found none.

        Each urgent gang may hold a reservation; otherwise less urgent jobs would take the capacity
        of its machines as it becomes free.  Only one other aged job at a time may hold one.
        """
        if job.id in self._reserved:
            return False
        if self._is_urgent_gang(job):
            return True
        return self.is_aged(job) and all(
            reservation.urgent for reservation in self._reserved.values()
        )

    def release_expired(self, jobs: list[Job]) -> None:
        """Release reservations that expired or whose job started or no longer qualifies."""
        waiting = {job.id: job for job in jobs if job.id in self._reserved}
        now = self._cluster_view.now
        self._reserved = {
            job_id: reservation
            for job_id, reservation in self._reserved.items()
            if job_id in waiting
            and now < reservation.valid_until
            and (self.is_aged(waiting[job_id]) or self._is_urgent_gang(waiting[job_id]))
        }

    def reserve(self, job: Job) -> bool:
        """Reserve the machines on which a job can start soonest, a gang as a whole.

        A failed search is not repeated for one heartbeat interval.

        Returns:
            Whether machines were reserved; if not, the autoscaler has to scale out.
        """
        now = self._cluster_view.now
        if self._failed_until.get(job.id, now) > now:
            return False
        chosen = self._choose_slots(job)
        if chosen is None:
            self._failed_until = {
                name: until for name, until in self._failed_until.items() if until > now
            }
            self._failed_until[job.id] = now + self._retry_interval_s
            return False
        machines = frozenset(slot.machine for slot in chosen)
        urgent = self._is_urgent_gang(job)
        self._reserved[job.id] = _ReservedMachines(machines, now + self._retry_interval_s, urgent)
        return True

    def _is_urgent_gang(self, job: Job) -> bool:
        """Return whether a job is an urgent gang that has not started."""
        if job.spec.kind != GANG or job.live or not job.waiting:
            return False
        return self._cluster_view.scheduling_priority(job).priority >= HIGH

    def _needs_most_of_a_machine(self, spec: JobSpec) -> bool:
        """Return whether no machine type that fits a task of the job fits two of them."""
        types = [
            kind for kind in self._cluster_view.cache.machine_types.values() if kind.fits(spec)
        ]
        return bool(types) and all(count_on_empty_machine(spec, kind) < 2 for kind in types)

    def _choose_slots(self, job: Job) -> list[_MachineSlots] | None:
        """Return the set of machines with the least busy capacity on which a job fits, or None.

        They are in one zone if the job requires that.
        """
        spec = job.spec
        tasks_needed = job.waiting if spec.kind == GANG else 1
        reserved = frozenset[str]().union(*self.reserved.values())
        slots = sorted(slot for slot in self._find_slots(spec) if slot.machine not in reserved)
        zones = sorted({slot.zone for slot in slots}) if spec.one_zone else [None]
        candidates = [_first_sufficient_slots(spec, slots, tasks_needed, zone) for zone in zones]
        sufficient = [candidate for candidate in candidates if candidate is not None]
        return min(
            sufficient,
            key=lambda candidate: sum(slot.busy_share for slot in candidate),
            default=None,
        )

    def _find_slots(self, spec: JobSpec) -> list[_MachineSlots]:
        """Return all machines that fit tasks of a job once everything but services has ended."""
        cluster_view = self._cluster_view
        free_capacity = cluster_view.free_capacity  # a local name: called for every machine
        slots = []
        for machine in cluster_view.machines():
            capacity = free_capacity(machine)
            if capacity is None or not capacity.usable or not machine_allowed(spec, capacity):
                continue
            kind = cluster_view.cache.machine_types[capacity.type]
            tasks = count_on_empty_machine(spec, kind, cluster_view.service_cpus(machine))
            if tasks > 0:
                free = min(tasks, max(0, capacity.count_fitting(spec)))
                slots.append(_MachineSlots(1 - free / tasks, machine, capacity.zone, tasks))
        return slots


def _first_sufficient_slots(
    spec: JobSpec, slots: list[_MachineSlots], tasks_needed: int, zone: str | None
) -> list[_MachineSlots] | None:
    """Return the first slots that together take `tasks_needed` tasks, or None if all do not.

    Only slots in `zone` count, unless it is None.
    """
    max_in_zone = (spec.tasks + 1) // 2 if spec.spread else tasks_needed
    zone_counts: Counter[str] = Counter()
    chosen = []
    for slot in slots:
        left_in_zone = max_in_zone - zone_counts[slot.zone]
        tasks = min(slot.tasks, left_in_zone, tasks_needed - zone_counts.total())
        if tasks > 0 and zone in (None, slot.zone):
            chosen.append(slot)
            zone_counts[slot.zone] += tasks
            if zone_counts.total() >= tasks_needed:
                return chosen
    return None
