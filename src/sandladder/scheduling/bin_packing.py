"""First-fit bin packing of tasks into machines that run, boot, or would be rented.  Pure."""

from collections import Counter
from typing import NamedTuple

from sandladder.model import EPSILON, Job, JobSpec, MachineType
from sandladder.scheduling.free_capacity import (
    MAX_TASKS_PER_MACHINE,
    MachineOffer,
    machine_allowed,
    machine_offer,
)


class Bin:
    """The free capacity of a machine that runs, boots, or would be rented."""

    __slots__ = ("cpus", "gpus", "kind", "memory_gb", "offer", "tasks")

    def __init__(self, kind: MachineType, zone: str, spot: bool) -> None:
        """Create the bin of an empty machine."""
        self.kind = kind
        self.offer = machine_offer(kind.name, zone, spot)
        self.cpus, self.gpus, self.memory_gb = kind.cpus, kind.gpus, kind.memory_gb
        self.tasks = MAX_TASKS_PER_MACHINE

    def tasks_that_fit(self, spec: JobSpec, limit: int, keep_gpus: bool = False) -> int:
        """Return how many tasks of a job fit.

        Args:
            spec: the job.
            limit: the most tasks to count.
            keep_gpus: whether the GPU share stays unused (see `GpuProtection`).
        """
        cpus, memory_gb = self.cpus, self.memory_gb
        if keep_gpus and self.gpus > 0:
            share = self.gpus / self.kind.gpus
            cpus -= share * self.kind.cpus
            memory_gb -= share * self.kind.memory_gb
        count = min(limit, self.tasks, int((cpus + EPSILON) / spec.cpus))
        if spec.gpus > 0:
            count = min(count, int((self.gpus + EPSILON) / spec.gpus))
        if spec.memory_gb > 0:
            count = min(count, int((memory_gb + EPSILON) / spec.memory_gb))
        return max(0, count)

    def take(self, spec: JobSpec, limit: int, keep_gpus: bool = False) -> int:
        """Add as many tasks as fit and return their number; arguments as in `tasks_that_fit`."""
        count = self.tasks_that_fit(spec, limit, keep_gpus)
        if count > 0:
            self.cpus -= count * spec.cpus
            self.gpus -= count * spec.gpus
            self.memory_gb -= count * spec.memory_gb
            self.tasks -= count
        return count


class ZoneQuota:
    """The number of further tasks of a job that each zone may take."""

    def __init__(self, limit: int, zone_counts: Counter[str], only_zone: str | None = None) -> None:
        """Create the limits of a job.

        Args:
            limit: the most tasks in one zone.
            zone_counts: the number of tasks in each zone, updated by `take`.
            only_zone: the only zone that may take tasks, or None for any.
        """
        self._max_in_zone = limit
        self._zone_counts = zone_counts
        self._only_zone = only_zone

    @staticmethod
    def for_job(job: Job) -> "ZoneQuota | None":
        """Return the limits for the waiting tasks of a job, or None if any zone may take them."""
        zone_counts = Counter(attempt.zone for attempt in job.live.values())
        if job.spec.spread:
            return ZoneQuota((job.spec.tasks + 1) // 2, zone_counts)
        if job.spec.one_zone and zone_counts:
            return ZoneQuota(job.spec.tasks, zone_counts, next(iter(zone_counts)))
        return None

    def left(self, zone: str) -> int:
        """Return how many more tasks a zone may take."""
        if self._only_zone not in (None, zone):
            return 0
        return max(0, self._max_in_zone - self._zone_counts[zone])

    def take(self, zone: str, count: int) -> None:
        """Count tasks as placed in a zone."""
        self._zone_counts[zone] += count


class Shortage(NamedTuple):
    """Tasks for which there is no capacity."""

    spec: JobSpec
    on_demand_allowed: bool  # an on-demand machine may be rented for them
    tasks: int
    zones: ZoneQuota | None = None  # None: any zone may take them


class Backlog:
    """The accumulated waiting work, in core-seconds and GPU-seconds."""

    def __init__(self) -> None:
        self.core_s = 0.0
        self.gpu_s = 0.0

    def add(self, cores: float, gpus: float, seconds: float) -> None:
        """Add tasks that take `seconds` each and together occupy these cores and GPUs."""
        self.core_s += cores * seconds
        self.gpu_s += gpus * seconds


def pack(
    spec: JobSpec,
    count: int,
    bins: list[Bin],
    spot_only: bool = False,
    zones: ZoneQuota | None = None,
    keep_gpus: bool = False,
) -> int:
    """Pack tasks of a job into the first bins that they fit.

    Args:
        spec: the job.
        count: the most tasks to pack.
        bins: the machines, filled in this order.
        spot_only: whether only spot machines are used.
        zones: the number of tasks that each zone may take, or None for any number.  Prevents the
            use of free capacity in a zone whose limit is reached: spread replicas waited for a full
            zone because the capacity in another one counted.
        keep_gpus: whether the GPU share stays unused (see `GpuProtection`).

    Returns:
        The number of packed tasks.
    """
    remaining = count
    offers_allowed: dict[MachineOffer, bool] = {}
    for candidate in bins:
        if remaining <= 0:
            break
        if candidate.cpus + EPSILON < spec.cpus or candidate.memory_gb + EPSILON < spec.memory_gb:
            continue
        offer = candidate.offer
        is_allowed = offers_allowed.get(offer)
        if is_allowed is None:
            is_allowed = machine_allowed(spec, offer) and (offer.spot or not spot_only)
            offers_allowed[offer] = is_allowed
        if is_allowed:
            limit = remaining if zones is None else min(remaining, zones.left(offer.zone))
            packed = candidate.take(spec, limit, keep_gpus)
            if zones is not None:
                zones.take(offer.zone, packed)
            remaining -= packed
    return count - remaining
