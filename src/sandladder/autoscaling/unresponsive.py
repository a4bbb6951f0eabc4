"""Instances that send no heartbeats any more, and those that never came up."""

from collections import Counter
from collections.abc import Mapping

from sandladder.autoscaling.instance_states import GONE, LISTED_BOOTING
from sandladder.autoscaling.provisioned_capacity import BootedMachines
from sandladder.model import ListedMachine, MachineType
from sandladder.scheduling import ClusterView

# Where more than this share of a zone's machines is unresponsive, it is the way to them.
_UNRESPONSIVE_ZONE_SHARE = 0.5
# A boot that takes so many times the usual will hardly end.
_HOPELESS_BOOT = 4
# The usual boot of a type that is not known, in seconds.
_UNKNOWN_BOOT_S = 60.0


def unresponsive_instances(
    cluster_view: ClusterView, booted: BootedMachines, wall: float
) -> list[str]:
    """Instances that came up and from which no controller receives heartbeats any more.

    Returning one to the cloud proves that what ran there has ended.

    Only when few are unresponsive: if many are, it is rather this controller that is cut off, or
    their zone, which works on inside.  Seen in a measured day: half of the instances were returned
    with all that ran there.  A controller whose machine inventory is late may still receive
    heartbeats from some of these, so each is asked directly before anything is done (see
    `InstanceDrainer`).

    Args:
        cluster_view: when each machine was last observed.
        booted: the machines that have come up.
        wall: the time of day, in seconds.
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
        if wall - record.since > limit_s:
            suspects.setdefault(record.zone, []).append(machine)
    found = []
    for zone, machines in suspects.items():
        in_zone = responsive_in_zone[zone] + len(machines)
        if len(machines) <= max(1, _UNRESPONSIVE_ZONE_SHARE * in_zone):
            found += machines
    return found


def boot_is_overdue(machine: ListedMachine, types: Mapping[str, MachineType]) -> bool:
    """Whether a booting machine has taken so long that it will hardly come up."""
    machine_type = types.get(machine.type)
    boot_s = _UNKNOWN_BOOT_S if machine_type is None else machine_type.boot_s
    return machine.state == LISTED_BOOTING and machine.age_s > _HOPELESS_BOOT * boot_s
