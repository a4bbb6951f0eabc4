"""Which machines can be drained: idle, failing, or larger than what they run is worth."""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.autoscaling.demand import DemandHistory
from sandladder.autoscaling.instance_states import DRAINING
from sandladder.autoscaling.offers import hourly_price, lowest_task_price
from sandladder.autoscaling.provisioned_capacity import free_bin
from sandladder.model import SERVICE, MachineType
from sandladder.scheduling import UNHEALTHY_FAILURES, Bin, ClusterView, FreeCapacity

# A machine is given up when at most this share of it is used, and what uses it would cost so
# many times less elsewhere.
_WASTEFUL_USE, _WASTEFUL_PRICE = 0.4, 1.6
# At most one in so many instances is drained at a time for being idle.
_IDLE_FRACTION = 10


class IdleMachines:
    """Remembers since when nothing runs on a machine."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        self._idle_since: dict[str, float] = {}

    def long_idle(self) -> list[str]:
        """The usable machines that have been idle for long.

        Scaling out again costs a boot, so an idle machine is kept for about as long.
        """
        cluster_view = self._cluster_view
        found = []
        for machine in cluster_view.machines():
            capacity = cluster_view.free_capacity(machine)
            if capacity is None or not capacity.usable or self._busy(machine):
                self._idle_since.pop(machine, None)
                continue
            boot_s = cluster_view.cache.machine_types[capacity.type].boot_s
            keep_s = cluster_view.settings.operator.idle_boots * boot_s
            if cluster_view.now - self._idle_since.setdefault(machine, cluster_view.now) >= keep_s:
                found.append(machine)
        observed = cluster_view.machines()
        self._idle_since = {m: at for m, at in self._idle_since.items() if m in observed}
        return found

    def _busy(self, machine: str) -> bool:
        """Whether something runs there or is about to be started there."""
        cluster_view = self._cluster_view
        return not cluster_view.is_idle(machine) or any(
            True for _ in cluster_view.gate.on_machine(machine)
        )


class FreeMachine(NamedTuple):
    """A machine with what is free on it."""

    machine: str
    free: Bin


def idle_bins(cluster_view: ClusterView, idle: Iterable[str]) -> list[FreeMachine]:
    """The idle machines in the order in which headroom is put on them.

    Those that would be drained first come last: the on-demand ones, the larger first.
    """
    found = []
    for machine in idle:
        capacity = cluster_view.free_capacity(machine)
        if capacity is not None:
            found.append(FreeMachine(machine, free_bin(cluster_view, capacity)))
    found.sort(key=_spot_and_small_first)
    return found


def _spot_and_small_first(item: FreeMachine) -> tuple[bool, float, str]:
    _, _, spot = item.free.offer
    return not spot, item.free.cpus, item.machine


def dispensable(
    cluster_view: ClusterView, idle: list[FreeMachine], cores: float, demand: DemandHistory
) -> list[str]:
    """Those of the idle machines without which headroom and usual demand are still served.

    At most a tenth of the instances at a time: what the next moments bring is not known.

    Args:
        cluster_view: says how large machines are.
        idle: the idle machines, less the headroom that was put on them.
        cores: the cores that can be counted on, with the idle machines.
        demand: how much is usually asked for.
    """
    types = cluster_view.cache.machine_types
    unreserved = []
    for item in idle:
        type_name, _, _ = item.free.offer
        if item.free.cpus == types[type_name].cpus:
            unreserved.append(item)
    most = max(1, len(cluster_view.cache.instances) // _IDLE_FRACTION)
    chosen: list[str] = []
    for machine, free in unreserved[::-1][:most]:
        _, _, spot = free.offer
        # On-demand instances are only for what cannot wait for a spot one.
        usual = demand.usual_cores() if spot else demand.usual_cores_that_cannot_wait()
        if cores - free.cpus >= usual:
            cores -= free.cpus
            chosen.append(machine)
    return chosen


def failing_machines(cluster_view: ClusterView) -> list[str]:
    """The machines on which so many jobs failed in a row that they get no more work."""
    found = []
    for machine in cluster_view.machines():
        observation = cluster_view.observation(machine)
        if observation is not None and observation.status.errors >= UNHEALTHY_FAILURES:
            found.append(machine)
    return found


class WastefulMachines:
    """Remembers since when services use so little of a machine that a smaller one would do."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        self._wasteful_since: dict[str, float] = {}

    def worst(self, work_lacks_capacity: bool) -> str | None:
        """The machine that costs most more than smaller ones for its services; None if none does.

        Nothing while work lacks capacity or another instance is being drained.
        """
        cluster_view = self._cluster_view
        draining = any(record.state == DRAINING for record in cluster_view.cache.instances.values())
        if work_lacks_capacity or draining:
            self._wasteful_since.clear()
            return None
        worst: tuple[float, str] | None = None
        wasteful = set()
        for machine, capacity in cluster_view.usable_free_capacities().items():
            machine_type = cluster_view.cache.machine_types[capacity.type]
            excess = self._excess_price(machine, capacity, machine_type)
            if excess is None:
                continue
            wasteful.add(machine)
            since = self._wasteful_since.setdefault(machine, cluster_view.now)
            lasting = cluster_view.now - since >= machine_type.boot_s
            if lasting and (worst is None or excess > worst[0]):
                worst = excess, machine
        self._wasteful_since = {m: at for m, at in self._wasteful_since.items() if m in wasteful}
        return None if worst is None else worst[1]

    def _excess_price(
        self, machine: str, capacity: FreeCapacity, machine_type: MachineType
    ) -> float | None:
        """By how much a machine costs more an hour than its services would elsewhere.

        None if it is used well, or not by services.
        """
        cluster_view = self._cluster_view
        used = machine_type.cpus - capacity.cpus
        if not cluster_view.service_cpus(machine) or used > _WASTEFUL_USE * machine_type.cpus:
            return None
        types = cluster_view.cache.machine_types.values()
        price = hourly_price(machine_type, capacity.spot)
        cost = sum(
            lowest_task_price(job.spec, types)
            for job, _, _ in cluster_view.cache.attempts_on(machine)
            if job.spec.kind == SERVICE
        )
        return None if price < _WASTEFUL_PRICE * cost else price - cost
