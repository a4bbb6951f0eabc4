"""The capacity that can be counted on: machines that are there, and those that boot."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from sandladder.autoscaling.instance_states import ACTIVE
from sandladder.model import Machine
from sandladder.scheduling import Bin, ClusterView, FreeCapacity

# A boot that takes so many times the usual is no longer counted on.
_SLOW_BOOT = 2.5


class MarketTotals(NamedTuple):
    """An amount on spot and on on-demand instances."""

    spot: float
    on_demand: float

    @property
    def total(self) -> float:
        """On instances of either kind."""
        return self.spot + self.on_demand


class ProvisionedCapacity(NamedTuple):
    """The free capacity of each machine, and what all of them have for other work than services."""

    bins: list[Bin]  # the order in which they are filled
    cores: MarketTotals
    gpus: MarketTotals


class BootedMachines:
    """The machines that have come up, for as long as they are observed or recorded."""

    def __init__(self) -> None:
        # A dictionary, for the order in which its machines are gone through.
        self._machines: dict[str, None] = {}

    def __contains__(self, machine: str) -> bool:
        return machine in self._machines

    def __iter__(self) -> Iterator[str]:
        return iter(self._machines)

    def observe(self, observed: Iterable[str], instances: Mapping[str, Machine]) -> None:
        """Take in which machines are observed and which are recorded now."""
        observed = dict.fromkeys(observed)
        self._machines |= observed
        self._machines = {m: None for m in self._machines if m in observed or m in instances}


def free_bin(cluster_view: ClusterView, capacity: FreeCapacity) -> Bin:
    """What is free on a machine, as a bin."""
    machine_type = cluster_view.cache.machine_types[capacity.type]
    free = Bin(machine_type, capacity.zone, capacity.spot)
    free.cpus, free.gpus, free.memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
    return free


def provisioned_capacity(
    cluster_view: ClusterView,
    instances: Mapping[str, Machine],
    booted: BootedMachines,
    wall: float,
    without: Collection[str] = (),
) -> ProvisionedCapacity:
    """What the machines have that are usable now or are expected to boot.

    Args:
        cluster_view: the machines that are there, with what is free on each.
        instances: the records of instances, with those that are still to be written.
        booted: the machines that have come up.
        wall: the time of day, in seconds.
        without: machines that get no bin; the totals include them.
    """
    bins: list[Bin] = []
    # By whether the instance is a spot one.
    cores = {True: 0.0, False: 0.0}
    gpus = {True: 0.0, False: 0.0}
    types = cluster_view.cache.machine_types
    for machine in cluster_view.machines():
        capacity = cluster_view.free_capacity(machine)
        if capacity is None or not capacity.usable:
            continue
        machine_type = types[capacity.type]
        # What services take serves no other work.
        cores[capacity.spot] += machine_type.cpus - cluster_view.service_cpus(machine)
        gpus[capacity.spot] += machine_type.gpus
        if machine not in without:
            bins.append(free_bin(cluster_view, capacity))
    for machine, record in instances.items():
        booting = types.get(record.type)
        if record.state != ACTIVE or machine in booted or booting is None:
            continue
        if wall - record.since <= _SLOW_BOOT * booting.boot_s:
            cores[record.spot] += booting.cpus
            gpus[record.spot] += booting.gpus
            bins.append(Bin(booting, record.zone, record.spot))
    bins.sort(key=_spot_and_full_first)
    return ProvisionedCapacity(
        bins, MarketTotals(cores[True], cores[False]), MarketTotals(gpus[True], gpus[False])
    )


def _spot_and_full_first(free: Bin) -> tuple[bool, float]:
    """Spot instances are filled before on-demand ones, nearly full ones before empty ones."""
    _, _, spot = free.offer
    return not spot, free.cpus
