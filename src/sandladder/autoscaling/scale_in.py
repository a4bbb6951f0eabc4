"""Selection of machines to drain: idle, failing or underutilized ones."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from sandladder.autoscaling.demand import DemandHistory
from sandladder.autoscaling.offers import hourly_price, lowest_task_price
from sandladder.autoscaling.provisioned_capacity import free_bin
from sandladder.model import DRAINING, SERVICE, MachineType
from sandladder.scheduling import UNHEALTHY_FAILURES, Bin, ClusterView, FreeCapacity

# A machine is underutilized if at most this share of its cores is used and its price is at least
# this multiple of its services' lowest price on on-demand machines.
_MAX_USED_SHARE, _MIN_PRICE_RATIO = 0.4, 1.6
# At most one in this number of instances is drained at a time for being idle.
_INSTANCES_PER_IDLE_DRAIN = 10


class DrainReason(enum.StrEnum):
    """Why a machine is drained, as the log states it."""

    IDLE = "it is idle"
    FAILING = "too many jobs failed on it"
    UNDERUTILIZED = "it is underutilized"


class IdleMachines:
    """Tracks the time since which each machine has been idle."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        self._idle_since: dict[str, float] = {}

    def long_idle(self) -> list[str]:
        """Return the usable machines that have been idle for longer than the limit.

        The limit is a multiple of the boot time, because replacing a machine costs a boot.
        """
        cluster_view = self._cluster_view
        machines = []
        for machine in cluster_view.machines():
            capacity = cluster_view.free_capacity(machine)
            if capacity is None or not capacity.usable or self._busy(machine):
                self._idle_since.pop(machine, None)
                continue
            boot_s = cluster_view.cache.machine_types[capacity.type].boot_s
            limit_s = cluster_view.settings.operator.idle_boots * boot_s
            if cluster_view.now - self._idle_since.setdefault(machine, cluster_view.now) >= limit_s:
                machines.append(machine)
        observed = cluster_view.machines()
        self._idle_since = {m: at for m, at in self._idle_since.items() if m in observed}
        return machines

    def _busy(self, machine: str) -> bool:
        """Return whether a task runs on the machine or has a pending start there."""
        cluster_view = self._cluster_view
        return not cluster_view.is_idle(machine) or any(
            True for _ in cluster_view.gate.on_machine(machine)
        )


class FreeMachine(NamedTuple):
    """A machine and its free capacity."""

    machine: str
    free: Bin


def idle_bins(cluster_view: ClusterView, idle: Iterable[str]) -> list[FreeMachine]:
    """Return the idle machines in the order in which headroom is packed onto them.

    The machines to drain first come last: on-demand after spot, larger after smaller.
    """
    bins = []
    for machine in idle:
        capacity = cluster_view.free_capacity(machine)
        if capacity is not None:
            bins.append(FreeMachine(machine, free_bin(cluster_view, capacity)))
    bins.sort(key=_spot_and_small_first)
    return bins


def _spot_and_small_first(item: FreeMachine) -> tuple[bool, float, str]:
    _, _, spot = item.free.offer
    return not spot, item.free.cpus, item.machine


def surplus_machines(
    cluster_view: ClusterView, idle: list[FreeMachine], cores: float, demand: DemandHistory
) -> list[str]:
    """Return the idle machines that neither headroom nor usual demand needs.

    The number is limited to a tenth of the instances, in case demand rises again.

    Args:
        cluster_view: provides the machine types and instance records.
        idle: the idle machines, with the headroom packed onto them.
        cores: the provisioned cores, including the idle machines.
        demand: the recent demand.
    """
    types = cluster_view.cache.machine_types
    unreserved = []
    for item in idle:
        type_name, _, _ = item.free.offer
        if item.free.cpus == types[type_name].cpus:
            unreserved.append(item)
    max_drained = max(1, len(cluster_view.cache.instances) // _INSTANCES_PER_IDLE_DRAIN)
    chosen: list[str] = []
    for machine, free in unreserved[::-1][:max_drained]:
        _, _, spot = free.offer
        # On-demand instances serve only work that cannot wait for a spot instance.
        usual = demand.usual_cores() if spot else demand.usual_cores_that_cannot_wait()
        if cores - free.cpus >= usual:
            cores -= free.cpus
            chosen.append(machine)
    return chosen


def failing_machines(cluster_view: ClusterView) -> list[str]:
    """Return the machines with too many consecutive job failures to receive more tasks."""
    machines = []
    for machine in cluster_view.machines():
        observation = cluster_view.observation(machine)
        if observation is not None and observation.status.errors >= UNHEALTHY_FAILURES:
            machines.append(machine)
    return machines


class UnderutilizedMachines:
    """Tracks the time since which each machine with services has been underutilized."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        self._underutilized_since: dict[str, float] = {}

    def costliest(self, work_lacks_capacity: bool) -> str | None:
        """Return the underutilized machine with the highest excess price, or None.

        Always None while work lacks capacity or another instance is draining.
        """
        cluster_view = self._cluster_view
        draining = any(record.state == DRAINING for record in cluster_view.cache.instances.values())
        if work_lacks_capacity or draining:
            self._underutilized_since.clear()
            return None
        costliest: tuple[float, str] | None = None
        underutilized = set()
        for machine, capacity in cluster_view.usable_free_capacities().items():
            machine_type = cluster_view.cache.machine_types[capacity.type]
            excess = self._excess_price(machine, capacity, machine_type)
            if excess is None:
                continue
            underutilized.add(machine)
            since = self._underutilized_since.setdefault(machine, cluster_view.now)
            past_boot_time = cluster_view.now - since >= machine_type.boot_s
            if past_boot_time and (costliest is None or excess > costliest[0]):
                costliest = excess, machine
        self._underutilized_since = {
            m: at for m, at in self._underutilized_since.items() if m in underutilized
        }
        return None if costliest is None else costliest[1]

    def _excess_price(
        self, machine: str, capacity: FreeCapacity, machine_type: MachineType
    ) -> float | None:
        """Return the hourly price by which a machine exceeds its services' lowest price.

        None if the machine is well utilized or runs no service.
        """
        cluster_view = self._cluster_view
        used = machine_type.cpus - capacity.cpus
        if not cluster_view.service_cpus(machine) or used > _MAX_USED_SHARE * machine_type.cpus:
            return None
        types = cluster_view.cache.machine_types.values()
        price = hourly_price(machine_type, capacity.spot)
        cost = sum(
            lowest_task_price(job.spec, types)
            for job, _, _ in cluster_view.cache.attempts_on(machine)
            if job.spec.kind == SERVICE
        )
        return None if price < _MIN_PRICE_RATIO * cost else price - cost
