"""Bin packing of tasks into machines: what fits, and which tasks are left over.

First fit over bins, one for each machine that is there, boots, or would be rented.  Pure.
"""

from collections import Counter
from typing import NamedTuple

from sandladder.model import EPSILON, Job, JobSpec, MachineType
from sandladder.scheduling.free_capacity import MachineOffer, machine_allowed, machine_offer


class Bin:
    """What is free on a machine that is there, boots, or would be rented."""

    __slots__ = ("cpus", "gpus", "kind", "memory_gb", "offer")

    def __init__(self, kind: MachineType, zone: str, spot: bool) -> None:
        """An empty machine of a type."""
        self.kind = kind
        self.offer = machine_offer(kind.name, zone, spot)
        self.cpus, self.gpus, self.memory_gb = kind.cpus, kind.gpus, kind.memory_gb

    def tasks_that_fit(self, spec: JobSpec, most: int, keep_gpus: bool = False) -> int:
        """How many tasks of a job fit.

        Args:
            spec: the job.
            most: up to how many.
            keep_gpus: whether they leave free GPUs the cores and memory that belong to these.
        """
        cpus, memory_gb = self.cpus, self.memory_gb
        if keep_gpus and self.gpus > 0:
            share = self.gpus / self.kind.gpus
            cpus -= share * self.kind.cpus
            memory_gb -= share * self.kind.memory_gb
        number = min(most, int((cpus + EPSILON) / spec.cpus))
        if spec.gpus > 0:
            number = min(number, int((self.gpus + EPSILON) / spec.gpus))
        if spec.memory_gb > 0:
            number = min(number, int((memory_gb + EPSILON) / spec.memory_gb))
        return max(0, number)

    def take(self, spec: JobSpec, most: int, keep_gpus: bool = False) -> int:
        """Put in as many tasks as fit, as in `tasks`; how many it were."""
        number = self.tasks_that_fit(spec, most, keep_gpus)
        if number > 0:
            self.cpus -= number * spec.cpus
            self.gpus -= number * spec.gpus
            self.memory_gb -= number * spec.memory_gb
        return number


class ZoneQuota:
    """How many more tasks of a job each zone may take."""

    def __init__(self, most: int, zone_counts: Counter[str], only: str | None = None) -> None:
        """At most so many in a zone, next to those that are there; in one zone, if it is named."""
        self._most = most
        self._zone_counts = zone_counts
        self._only = only

    @staticmethod
    def of(job: Job) -> "ZoneQuota | None":
        """For the waiting tasks of a job; None when any zone will do."""
        zone_counts = Counter(attempt.zone for attempt in job.live.values())
        if job.spec.spread:
            return ZoneQuota((job.spec.tasks + 1) // 2, zone_counts)
        if job.spec.one_zone and zone_counts:
            return ZoneQuota(job.spec.tasks, zone_counts, next(iter(zone_counts)))
        return None

    def left(self, zone: str) -> int:
        """How many more tasks a zone may take."""
        if self._only not in (None, zone):
            return 0
        return max(0, self._most - self._zone_counts[zone])

    def take(self, zone: str, number: int) -> None:
        """So many tasks are put into a zone."""
        self._zone_counts[zone] += number


class Shortage(NamedTuple):
    """Tasks for which there is no capacity."""

    spec: JobSpec
    ordinary_allowed: bool  # they are worth an ordinary machine
    tasks: int
    zones: ZoneQuota | None = None  # where they may be, if not anywhere


class Backlog:
    """The work that waits, as it adds up in the order in which jobs are placed."""

    def __init__(self) -> None:
        self.core_s = 0.0
        self.gpu_s = 0.0

    def add(self, spec: JobSpec, tasks: int, seconds: float) -> None:
        """So many tasks of a job, each taking so long."""
        self.core_s += tasks * spec.cpus * seconds
        self.gpu_s += tasks * spec.gpus * seconds


def pack(
    spec: JobSpec,
    count: int,
    bins: list[Bin],
    can_wait_for_boot: bool = False,
    zones: ZoneQuota | None = None,
    keep_gpus: bool = False,
) -> int:
    """Put tasks of a job into the first bins that they fit.

    Args:
        spec: the job.
        count: how many tasks, at most.
        bins: the machines, which are filled in this order.
        can_wait_for_boot: whether only spot machines are used.
        zones: how many of them each zone may take, if not any number.  What is free in a zone that
            may take no more is of no use.  Found by a search: replicas that must be spread waited
            for a full zone, while what was idle in the other one counted.
        keep_gpus: whether they leave free GPUs the cores and memory that belong to these.

    Returns:
        How many tasks were put in.
    """
    left = count
    offers_allowed: dict[MachineOffer, bool] = {}
    for found in bins:
        if left <= 0:
            break
        if found.cpus + EPSILON < spec.cpus or found.memory_gb + EPSILON < spec.memory_gb:
            continue
        offer = found.offer
        is_allowed = offers_allowed.get(offer)
        if is_allowed is None:
            is_allowed = machine_allowed(spec, offer) and (offer.spot or not can_wait_for_boot)
            offers_allowed[offer] = is_allowed
        if is_allowed:
            most = left if zones is None else min(left, zones.left(offer.zone))
            taken = found.take(spec, most, keep_gpus)
            if zones is not None:
                zones.take(offer.zone, taken)
            left -= taken
    return count - left
