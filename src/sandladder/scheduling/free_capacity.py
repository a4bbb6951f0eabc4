"""What is free on a machine, and whether a task may use it.  Pure: no I/O, no clock."""

import functools
from typing import NamedTuple

from sandladder.model import EPSILON, JobSpec, Machine, MachineType


class FreeCapacity(NamedTuple):
    """A machine as the cluster view knows it, with what is free on it."""

    id: str
    type: str
    zone: str
    spot: bool
    session: int
    reporting_controller: str  # the controller that its agent reports to
    cpus: float
    gpus: float
    memory_gb: float
    usable: bool  # its agent reports, it is healthy, and it is not about to leave

    def can_take(self, spec: JobSpec) -> bool:
        """Whether one more task of a job fits on the machine."""
        return fits(spec, self.cpus, self.gpus, self.memory_gb)

    def minus(self, spec: JobSpec) -> "FreeCapacity":
        """What is free with one more task of a job."""
        return self._replace(
            cpus=self.cpus - spec.cpus,
            gpus=self.gpus - spec.gpus,
            memory_gb=self.memory_gb - spec.memory_gb,
        )

    def without_gpu_share(self, kind: MachineType) -> "FreeCapacity":
        """What is free next to the cores and memory that belong to the machine's free GPUs."""
        if self.gpus <= 0 or kind.gpus <= 0:
            return self
        share = self.gpus / kind.gpus
        return self._replace(
            cpus=self.cpus - share * kind.cpus,
            memory_gb=self.memory_gb - share * kind.memory_gb,
        )


class MachineOffer(NamedTuple):
    """Machines of one type in one zone, spot or ordinary ones."""

    type: str
    zone: str
    spot: bool


@functools.lru_cache(maxsize=1024)
def machine_offer(type_name: str, zone: str, spot: bool) -> MachineOffer:
    """The one offer for these: a round of scaling asks for it once for each machine."""
    return MachineOffer(type_name, zone, spot)


class PlacementRequirements(NamedTuple):
    """What decides which machines can take a task; tasks with equal ones fit the same machines."""

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    can_wait_for_boot: bool


def placement_requirements(spec: JobSpec, can_wait_for_boot: bool) -> PlacementRequirements:
    """What decides which machines can take a task of a job."""
    return PlacementRequirements(
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.types,
        spec.zone,
        spec.spot,
        can_wait_for_boot,
    )


def machine_allowed(spec: JobSpec, machine: FreeCapacity | Machine | MachineOffer) -> bool:
    """Whether a job's own constraints (types, zone, spot) allow a machine."""
    return (
        (spec.types is None or machine.type in spec.types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Whether a task of a job fits into so much."""
    return (
        spec.cpus <= cpus + EPSILON
        and spec.gpus <= gpus + EPSILON
        and spec.memory_gb <= memory_gb + EPSILON
    )


def count_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of a job fit into so much."""
    number = min(cpus / spec.cpus, memory_gb / max(spec.memory_gb, 1e-9))
    if spec.gpus > 0:
        number = min(number, gpus / spec.gpus)
    return int(number + EPSILON)
