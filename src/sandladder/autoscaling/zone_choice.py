"""The choice of a zone for tasks that must share one."""

from collections import Counter

from sandladder.autoscaling.instance_states import ACTIVE
from sandladder.autoscaling.offers import Offer, types_for
from sandladder.autoscaling.scaling_inputs import ScalingInputs
from sandladder.model import JobSpec, Machine
from sandladder.scheduling import ZoneQuota, machine_allowed


def single_zone(inputs: ScalingInputs, spec: JobSpec, tasks: int) -> ZoneQuota:
    """The zone in which tasks that must share one can start soonest.

    The one with the most free capacity, if that is enough or more can be asked for there.
    Without this, capacity for parts of a gang in several zones was counted as capacity for the
    gang.
    """
    types = types_for(spec, inputs.cluster_view.cache.machine_types.values())
    capacity = Counter({zone: 0 for machine_type in types for zone in machine_type.zones})
    for free in inputs.bins:
        if machine_allowed(spec, Machine(*free.offer, ACTIVE, 0.0)):
            _, zone, _ = free.offer
            capacity[zone] += free.tasks_that_fit(spec, tasks)
    by_capacity = sorted(capacity, key=lambda zone: (-capacity[zone], zone))
    able = [
        zone for zone in by_capacity if capacity[zone] >= tasks or _is_offered(inputs, spec, zone)
    ]
    chosen = next(iter(able or by_capacity), None)
    return ZoneQuota(tasks, Counter(), chosen)


def _is_offered(inputs: ScalingInputs, spec: JobSpec, zone: str) -> bool:
    """Whether an instance for such tasks may be had in a zone, as far as the cloud said."""
    cluster_view = inputs.cluster_view
    return any(
        not inputs.refused.is_refused(Offer(machine_type.name, zone, spot), cluster_view.now)
        for machine_type in types_for(spec, cluster_view.cache.machine_types.values())
        if zone in machine_type.zones
        for spot in ([True, False] if spec.spot else [False])
    )
