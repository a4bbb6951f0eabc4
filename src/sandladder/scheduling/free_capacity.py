"""The free capacity of a machine, and the tasks that may use it.  Pure: no I/O, no clock."""

import functools
from typing import NamedTuple

from sandladder.model import EPSILON, JobSpec, Machine, MachineType
from sandladder.protocol.agent_limits import MAX_LISTED_TASKS

# The share of the tasks in a machine's heartbeat that may be live.  The others are for tasks that
# have exited, which are listed until the agent is told to forget them.
_LIVE_TASKS_SHARE = 0.75
# The maximum number of live tasks on a machine of any type.
MAX_TASKS_PER_MACHINE = int(_LIVE_TASKS_SHARE * MAX_LISTED_TASKS)


class FreeCapacity(NamedTuple):
    """A machine in the cluster view, with its free capacity."""

    id: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    reporting_controller: str  # the controller that its agent reports to
    cpus: float
    gpus: float
    memory_gb: float
    tasks: int  # how many more tasks its heartbeat can list
    usable: bool  # its agent reports, it is healthy, and it is not about to leave

    def can_take(self, spec: JobSpec) -> bool:
        """Return whether one more task of a job fits on the machine."""
        return (
            self.tasks >= 1
            and spec.cpus <= self.cpus + EPSILON
            and spec.gpus <= self.gpus + EPSILON
            and spec.memory_gb <= self.memory_gb + EPSILON
        )

    def count_fitting(self, spec: JobSpec) -> int:
        """Return how many more tasks of a job fit on the machine; negative if it has too many."""
        return _count_fitting(spec, self.cpus, self.gpus, self.memory_gb, self.tasks)

    def minus(self, spec: JobSpec) -> "FreeCapacity":
        """Return the free capacity after one more task of a job is placed."""
        return self._replace(
            cpus=self.cpus - spec.cpus,
            gpus=self.gpus - spec.gpus,
            memory_gb=self.memory_gb - spec.memory_gb,
            tasks=self.tasks - 1,
        )

    def plus(self, spec: JobSpec) -> "FreeCapacity":
        """Return the free capacity after a task of a job has ended."""
        return self._replace(
            cpus=self.cpus + spec.cpus,
            gpus=self.gpus + spec.gpus,
            memory_gb=self.memory_gb + spec.memory_gb,
            tasks=self.tasks + 1,
        )

    def without_gpu_share(self, kind: MachineType) -> "FreeCapacity":
        """Return the free capacity without the GPU share (see `GpuProtection`)."""
        if self.gpus <= 0 or kind.gpus <= 0:
            return self
        share = self.gpus / kind.gpus
        return self._replace(
            cpus=self.cpus - share * kind.cpus,
            memory_gb=self.memory_gb - share * kind.memory_gb,
        )


class MachineOffer(NamedTuple):
    """A type of machine offered in a zone, as spot or on-demand machines."""

    type: str
    zone: str
    spot: bool


@functools.lru_cache(maxsize=1024)
def machine_offer(type_name: str, zone: str, spot: bool) -> MachineOffer:
    """Return a cached offer; each scaling round looks one up for every machine."""
    return MachineOffer(type_name, zone, spot)


class PlacementRequirements(NamedTuple):
    """The requirements that determine which machines can take a task.

    Tasks with equal requirements fit the same machines.
    """

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    can_wait_for_boot: bool


def placement_requirements(spec: JobSpec, can_wait_for_boot: bool) -> PlacementRequirements:
    """Return the placement requirements of a job's tasks."""
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
    """Return whether a job's own constraints (types, zone, spot) allow a machine."""
    return (
        (spec.types is None or machine.type in spec.types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )


def count_on_empty_machine(spec: JobSpec, kind: MachineType, reserved_cpus: float = 0.0) -> int:
    """Return how many tasks of a job fit on a machine without other tasks.

    Args:
        spec: the job.
        kind: the machine's type.
        reserved_cpus: the cores that are not available.
    """
    cpus = kind.cpus - reserved_cpus
    return _count_fitting(spec, cpus, kind.gpus, kind.memory_gb, MAX_TASKS_PER_MACHINE)


def _count_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, tasks: int) -> int:
    """Return how many tasks of a job fit into the given resources and number of tasks."""
    count = min(cpus / spec.cpus, memory_gb / max(spec.memory_gb, 1e-9))
    if spec.gpus > 0:
        count = min(count, gpus / spec.gpus)
    return min(tasks, int(count + EPSILON))
