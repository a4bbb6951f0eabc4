"""Machine types, machines and their status."""

from typing import Final, NamedTuple

import msgspec

from sandladder.model.jobs import JobSpec

# States of a machine in its instance record; the values are stored and must not change.
ACTIVE: Final = "rented"  # booting or running; tasks may be placed on it
DRAINING: Final = "draining"  # receives no more tasks and is returned when it is empty
GONE: Final = "gone"  # was returned, failed, or is missing from the cloud's list


class MachineType(msgspec.Struct, frozen=True):
    """A type of machine that the cloud offers.

    Attributes:
        name: the type's name.
        cpus: the CPUs of a machine.
        gpus: the GPUs of a machine.
        memory_gb: the memory of a machine.
        cache_gb: the capacity of a machine's image cache.
        fetch_gb_per_s: the rate at which a machine fetches images.
        price: the price of an on-demand machine per unit of time.
        spot_price: the price of a spot instance per unit of time.
        boot_s: the time that a machine takes to boot, in seconds.
        zones: the zones in which the type is offered.
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
        """Return whether a task of a job fits an empty machine of this type."""
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
        id: the machine's name.
        type: the machine type.
        zone: the machine's zone.
        spot: whether the machine is a spot instance.
        state: the machine's state as the cloud names it, except that "starting" is "booting".
        age_s: seconds from the rental request to the time that the list describes.
        addr: the address at which the machine's agent accepts commands, as host:port.
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
        type: the machine type.
        zone: the machine's zone.
        spot: whether the machine is a spot instance.
        state: ACTIVE, DRAINING or GONE.
        since: the time of day at which the machine entered this state, in seconds.
    """

    type: str
    zone: str
    spot: bool
    state: str
    since: float


class MachineStatus(NamedTuple):
    """A machine's entry in a controller's inventory.

    Attributes:
        type: the machine type.
        zone: the machine's zone.
        spot: whether the machine is a spot instance.
        agent_epoch: the epoch of the machine's agent.
        age_s: seconds since the controller last answered the agent.
        notice_s: seconds until the cloud reclaims the machine; None if no reclaim is announced.
        errors: the number of different jobs that failed on the machine in a row.
        images: the names of the images in the machine's cache, the most recently used last.
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
    """The machines that report to a controller, as it publishes them; expires with its lease.

    Attributes:
        fencing_token: the controller's fencing token.
        up_s: seconds since the controller started.
        revision: the store revision up to which the controller had read.
        machines: the status of each machine, by name.
        schema_version: the newest schema version that the controller supports.
        process: identifies the process; differs between the processes of one controller.
    """

    fencing_token: int
    up_s: float
    revision: int
    machines: dict[str, MachineStatus] = {}  # noqa: RUF012 (a NamedTuple; never changed in place)
    schema_version: int = 1
    process: int = 0
