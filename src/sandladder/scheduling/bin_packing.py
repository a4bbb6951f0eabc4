"""Packing of tasks into the room of machines: what fits, and what room is short.

First fit over bins, one a machine that is there, boots, or would be rented.  Pure.
"""

from collections import Counter
from typing import NamedTuple

from sandladder.model import EPSILON, Job, JobSpec, Machine, MachineType
from sandladder.scheduling.cluster_view import allowed


class Bin:
    """Room on a machine that is there, boots, or would be rented."""

    __slots__ = ("kind", "offer", "cpus", "gpus", "memory_gb")

    def __init__(self, kind: MachineType, zone: str, spot: bool) -> None:
        """An empty machine of a type."""
        self.kind = kind
        self.offer = (kind.name, zone, spot)
        self.cpus, self.gpus, self.memory_gb = kind.cpus, kind.gpus, kind.memory_gb

    def tasks(self, spec: JobSpec, most: int, keep_gpus: bool = False) -> int:
        """How many tasks fit, up to so many; `keep_gpus`: next to what free GPUs may need."""
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
        """Take in up to so many tasks; how many it were."""
        number = self.tasks(spec, most, keep_gpus)
        if number > 0:
            self.cpus -= number * spec.cpus
            self.gpus -= number * spec.gpus
            self.memory_gb -= number * spec.memory_gb
        return number


class ZoneShares:
    """How many more tasks of a job each zone may take."""

    def __init__(self, most: int, there: Counter[str], only: str | None = None) -> None:
        self._most, self._there, self._only = most, there, only

    @staticmethod
    def of(job: Job) -> "ZoneShares | None":
        """For the waiting tasks of a job; None when any zone will do."""
        there = Counter(attempt.zone for attempt in job.live.values())
        if job.spec.spread:
            return ZoneShares((job.spec.tasks + 1) // 2, there)
        if job.spec.one_zone and there:
            return ZoneShares(job.spec.tasks, there, next(iter(there)))
        return None

    def left(self, zone: str) -> int:
        """How many more tasks a zone may take."""
        if self._only not in (None, zone):
            return 0
        return max(0, self._most - self._there[zone])

    def take(self, zone: str, number: int) -> None:
        """So many tasks are put into a zone."""
        self._there[zone] += number


class Shortage(NamedTuple):
    """Tasks without room; `any_kind` if they are worth an ordinary machine."""

    spec: JobSpec
    any_kind: bool
    number: int
    zones: "ZoneShares | None" = None  # where they may be, if not anywhere


class Backlog:
    """The work that waits, as it adds up in the order in which jobs get room."""

    def __init__(self) -> None:
        self.core_s = 0.0
        self.gpu_s = 0.0

    def add(self, spec: JobSpec, tasks: int, seconds: float) -> None:
        """So many tasks of a job, each taking so long."""
        self.core_s += tasks * spec.cpus * seconds
        self.gpu_s += tasks * spec.gpus * seconds


def fill(
    spec: JobSpec,
    count: int,
    bins: list[Bin],
    can_wait_for_boot: bool = False,
    zones: ZoneShares | None = None,
    keep_gpus: bool = False,
) -> int:
    """Put up to so many tasks into the bins, of the cheaper kind if patient; how many fit.

    `keep_gpus`: they leave free GPUs what those may need of their machine.

    Room in a zone that may take no more of them is none.  Found by a search: replicas that
    must be spread waited for a zone without room, while the full zone's idle room counted.
    """
    left = count
    suits: dict[tuple[str, str, bool], bool] = {}
    for found in bins:
        if left <= 0:
            break
        if found.cpus + EPSILON < spec.cpus or found.memory_gb + EPSILON < spec.memory_gb:
            continue
        suited = suits.get(found.offer)
        if suited is None:
            suited = allowed(spec, Machine(*found.offer, "up", 0.0))
            suited = suits[found.offer] = suited and (found.offer[2] or not can_wait_for_boot)
        if suited:
            zone = found.offer[1]
            most = left if zones is None else min(left, zones.left(zone))
            taken = found.take(spec, most, keep_gpus)
            if zones is not None:
                zones.take(zone, taken)
            left -= taken
    return count - left
