"""Selection of a zone for tasks that must share one."""

from collections import Counter

from sandladder.autoscaling.offers import Offer, fitting_types
from sandladder.autoscaling.scaling_inputs import ScalingInputs
from sandladder.model import ACTIVE, JobSpec, Machine
from sandladder.scheduling import ZoneQuota, machine_allowed


def single_zone_quota(inputs: ScalingInputs, spec: JobSpec, tasks: int) -> ZoneQuota:
    """Return a quota for the one zone in which the tasks can start soonest.

    The zone has the most free capacity among the zones that have enough for all tasks or in which
    the cloud offers instances.  Without this choice, capacity for parts of a gang in several zones
    would count as capacity for the whole gang.
    """
    types = fitting_types(spec, inputs.cluster_view.cache.machine_types.values())
    capacity = Counter({zone: 0 for machine_type in types for zone in machine_type.zones})
    for free in inputs.bins:
        if machine_allowed(spec, Machine(*free.offer, ACTIVE, 0.0)):
            _, zone, _ = free.offer
            capacity[zone] += free.tasks_that_fit(spec, tasks)
    by_capacity = sorted(capacity, key=lambda zone: (-capacity[zone], zone))
    eligible = [
        zone for zone in by_capacity if capacity[zone] >= tasks or _is_offered(inputs, spec, zone)
    ]
    chosen = next(iter(eligible or by_capacity), None)
    return ZoneQuota(tasks, Counter(), chosen)


def _is_offered(inputs: ScalingInputs, spec: JobSpec, zone: str) -> bool:
    """Return whether the cloud offers a suitable instance in the zone and has not refused it."""
    cluster_view = inputs.cluster_view
    return any(
        not inputs.refused.is_refused(Offer(machine_type.name, zone, spot), cluster_view.now)
        for machine_type in fitting_types(spec, cluster_view.cache.machine_types.values())
        if zone in machine_type.zones
        for spot in ([True, False] if spec.spot else [False])
    )
