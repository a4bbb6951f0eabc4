"""Machine types, machines, and what is known of them."""

from typing import NamedTuple

import msgspec

from sandladder.model.jobs import JobSpec

# States of an instance in the records.
RENTED, DRAINING, GONE = "rented", "draining", "gone"


class MachineType(msgspec.Struct, frozen=True):
    """A type of machine that the cloud offers.

    Attributes:
        name: its name.
        cpus: the CPUs of a machine.
        gpus: its GPUs.
        memory_gb: its memory.
        cache_gb: how much its image cache holds.
        fetch_gb_per_s: how fast it fetches images.
        price: what a machine on demand costs per unit of time.
        spot_price: what a spot instance costs.
        boot_s: how long a machine takes to come up, in seconds.
        zones: where it is offered.
    """

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
    """A machine in the cloud's list of instances.

    Attributes:
        id: its name.
        type: its machine type.
        zone: its zone.
        spot: whether it is a spot instance.
        state: as the cloud names it.
        age_s: seconds since it was requested, as of the time that the list describes.
        addr: where its agent takes commands, as host:port.
    """

    id: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    addr: str


class Machine(NamedTuple):
    """A machine in an instance record.

    Attributes:
        type: its machine type.
        zone: its zone.
        spot: whether it is a spot instance.
        state: RENTED, DRAINING or GONE.
        since: the time of day at which it came into this state, in seconds.
    """

    type: str
    zone: str
    spot: bool
    state: str
    since: float


class MachineStatus(NamedTuple):
    """One machine in a controller's inventory.

    Attributes:
        type: its machine type.
        zone: its zone.
        spot: whether it is a spot instance.
        session: the agent's epoch.
        age_s: seconds since the controller last answered the agent.
        notice_s: in how many seconds the cloud takes the machine away; None if that is not known.
        errors: how many different jobs in a row failed there.
        images: the names of images in its cache, the most recently used last.
    """

    type: str
    zone: str
    spot: bool
    agent_epoch: int
    age_s: float
    notice_s: float | None = None
    errors: int = 0
    images: tuple[str, ...] = ()


class MachineInventory(NamedTuple):
    """What a controller publishes of the machines that report to it; expires with its lease.

    Attributes:
        term: the controller's fencing token.
        up_s: for how many seconds it has been running.
        revision: up to which revision of the store it had read.
        machines: by name.
        schema_version: the newest schema version that it supports.
        process: tells the processes of one controller apart.
    """

    fencing_token: int
    up_s: float
    revision: int
    machines: dict[str, MachineStatus] = {}  # noqa: RUF012 (a NamedTuple; never changed in place)
    schema_version: int = 1
    process: int = 0
