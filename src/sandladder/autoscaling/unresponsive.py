"""Detection of instances that stopped sending heartbeats and of overdue boots."""

from collections import Counter
from collections.abc import Mapping

from sandladder.autoscaling.instance_states import LISTED_BOOTING
from sandladder.autoscaling.provisioned_capacity import BootedMachines
from sandladder.model import GONE, ListedMachine, MachineType
from sandladder.scheduling import ClusterView

# A larger share of unresponsive machines in a zone indicates a network partition.
_MAX_UNRESPONSIVE_ZONE_SHARE = 0.5
# A boot is overdue after this multiple of the type's boot time.
_OVERDUE_BOOT_FACTOR = 4
# Boot time of an unknown type.
_DEFAULT_BOOT_S = 60.0


def unresponsive_instances(
    cluster_view: ClusterView, booted: BootedMachines, wall_clock_s: float
) -> list[str]:
    """Return the booted instances from which no controller receives heartbeats any more.

    Returning such an instance to the cloud proves that its tasks have ended.

    An instance is included only if few in its zone are unresponsive: many indicate that this
    controller or the zone is partitioned, and returning them would stop running tasks, as
    happened with half of the instances.  Another controller whose inventory arrives late may still
    receive heartbeats from an instance, so `InstanceDrainer` probes each one before draining it.

    Args:
        cluster_view: provides the last observation of each machine.
        booted: the machines that have booted.
        wall_clock_s: the time of day, in seconds.
    """
    limit_s = (
        cluster_view.settings.operator.silent_leases
        * cluster_view.settings.platform.deployment.workers.lease_s
    )
    responsive = set()
    responsive_in_zone: Counter[str] = Counter()
    for machine in cluster_view.machines():
        observation = cluster_view.observation(machine)
        if observation is not None and cluster_view.age_s(observation) <= limit_s:
            responsive.add(machine)
            responsive_in_zone[observation.status.zone] += 1
    suspects: dict[str, list[str]] = {}  # by zone
    for machine in booted:
        record = cluster_view.cache.instances.get(machine)
        if machine in responsive or record is None or record.state == GONE:
            continue
        if wall_clock_s - record.since > limit_s:
            suspects.setdefault(record.zone, []).append(machine)
    unresponsive = []
    for zone, machines in suspects.items():
        in_zone = responsive_in_zone[zone] + len(machines)
        if len(machines) <= max(1, _MAX_UNRESPONSIVE_ZONE_SHARE * in_zone):
            unresponsive += machines
    return unresponsive


def boot_is_overdue(machine: ListedMachine, types: Mapping[str, MachineType]) -> bool:
    """Return whether a machine has been booting for so long that the boot counts as failed."""
    machine_type = types.get(machine.type)
    boot_s = _DEFAULT_BOOT_S if machine_type is None else machine_type.boot_s
    return machine.state == LISTED_BOOTING and machine.age_s > _OVERDUE_BOOT_FACTOR * boot_s
