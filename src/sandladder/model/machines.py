"""Machine types, machines, and what is known of them."""

from typing import NamedTuple

import msgspec

from sandladder.model.jobs import JobSpec


class MachineType(msgspec.Struct, frozen=True):
    """A kind of machine that the cloud rents."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def fits(self, spec: JobSpec) -> bool:
        """Whether a task of this job fits an empty machine of this type."""
        return (
            spec.cpus <= self.cpus
            and spec.gpus <= self.gpus
            and spec.memory_gb <= self.memory_gb
            and (spec.types is None or self.name in spec.types)
            and (spec.zone is None or spec.zone in self.zones)
        )


class ListedMachine(NamedTuple):
    """A machine in the cloud's list."""

    id: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    addr: str


class Machine(NamedTuple):
    """A machine in the fleet record. States: rented, draining, gone."""

    type: str
    zone: str
    spot: bool
    state: str
    since: float  # time of day at which it came into this state


class MachineStatus(NamedTuple):
    """One machine in a controller's room summary."""

    type: str
    zone: str
    spot: bool
    session: int
    age_s: float  # since the controller last answered it
    notice_s: float | None = None
    errors: int = 0  # different jobs in a row that failed there
    images: tuple[str, ...] = ()  # the most recent last


class MachineInventory(NamedTuple):
    """A controller's room summary; its keys are attached to the controller's hold."""

    term: int
    up_s: float
    revision: int  # what its writer had seen of the store
    machines: dict[str, MachineStatus] = {}
    schema_version: int = 1  # the newest form of records that its writer understands
    process: int = 0  # tells the processes of one controller apart
