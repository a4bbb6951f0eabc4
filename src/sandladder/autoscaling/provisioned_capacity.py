"""The provisioned capacity: usable machines and booting instances."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from sandladder.model import ACTIVE, Machine
from sandladder.scheduling import Bin, ClusterView, FreeCapacity

# An instance that has been booting for longer than this multiple of its type's boot time does not
# count as capacity.
_MAX_BOOT_FACTOR = 2.5


class MarketTotals(NamedTuple):
    """An amount of a resource, by market."""

    spot: float
    on_demand: float

    @property
    def total(self) -> float:
        """The amount in both markets."""
        return self.spot + self.on_demand


class ProvisionedCapacity(NamedTuple):
    """The free capacity of each machine, and the totals available to work other than services."""

    bins: list[Bin]  # in packing order
    cores: MarketTotals
    gpus: MarketTotals


class BootedMachines:
    """The machines that have booted, while they are observed or recorded."""

    def __init__(self) -> None:
        # A dictionary rather than a set, for a deterministic order.
        self._machines: dict[str, None] = {}

    def __contains__(self, machine: str) -> bool:
        return machine in self._machines

    def __iter__(self) -> Iterator[str]:
        return iter(self._machines)

    def observe(self, observed: Iterable[str], instances: Mapping[str, Machine]) -> None:
        """Update the set from the machines that are observed and recorded now."""
        observed = dict.fromkeys(observed)
        self._machines |= observed
        self._machines = {m: None for m in self._machines if m in observed or m in instances}


def free_bin(cluster_view: ClusterView, capacity: FreeCapacity) -> Bin:
    """Return the free capacity of a machine as a bin."""
    machine_type = cluster_view.cache.machine_types[capacity.type]
    free = Bin(machine_type, capacity.zone, capacity.spot)
    free.cpus, free.gpus, free.memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
    free.tasks = capacity.tasks
    return free


def provisioned_capacity(
    cluster_view: ClusterView,
    instances: Mapping[str, Machine],
    booted: BootedMachines,
    wall_clock_s: float,
    excluded: Collection[str] = (),
) -> ProvisionedCapacity:
    """Return the capacity of the machines that are usable or expected to boot.

    Args:
        cluster_view: the observed machines and their free capacity.
        instances: the records of instances, including unwritten ones.
        booted: the machines that have booted.
        wall_clock_s: the time of day, in seconds.
        excluded: machines that get no bin but count in the totals.
    """
    bins: list[Bin] = []
    # Keyed by whether the instance is a spot instance.
    cores = {True: 0.0, False: 0.0}
    gpus = {True: 0.0, False: 0.0}
    types = cluster_view.cache.machine_types
    for machine in cluster_view.machines():
        capacity = cluster_view.free_capacity(machine)
        if capacity is None or not capacity.usable:
            continue
        machine_type = types[capacity.type]
        # Cores used by services are not available to other work.
        cores[capacity.spot] += machine_type.cpus - cluster_view.service_cpus(machine)
        gpus[capacity.spot] += machine_type.gpus
        if machine not in excluded:
            bins.append(free_bin(cluster_view, capacity))
    for machine, record in instances.items():
        booting_type = types.get(record.type)
        if record.state != ACTIVE or machine in booted or booting_type is None:
            continue
        if wall_clock_s - record.since <= _MAX_BOOT_FACTOR * booting_type.boot_s:
            cores[record.spot] += booting_type.cpus
            gpus[record.spot] += booting_type.gpus
            bins.append(Bin(booting_type, record.zone, record.spot))
    bins.sort(key=_spot_and_full_first)
    return ProvisionedCapacity(
        bins, MarketTotals(cores[True], cores[False]), MarketTotals(gpus[True], gpus[False])
    )


def _spot_and_full_first(free: Bin) -> tuple[bool, float]:
    """Return the sort key for packing: spot before on-demand, fullest first."""
    _, _, spot = free.offer
    return not spot, free.cpus
