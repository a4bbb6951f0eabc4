"""Headroom: capacity reserved for work that must start before a new instance could boot."""

from collections import Counter

from sandladder.autoscaling.job_history import ClassHistory, JobHistory
from sandladder.autoscaling.scaling_inputs import ScalingInputs
from sandladder.autoscaling.zone_choice import single_zone_quota
from sandladder.model import JobSpec
from sandladder.scheduling import Shortage, ZoneQuota, pack

# Classes whose start objective exceeds this number of agent leases get no headroom.
_MAX_START_OBJECTIVE_LEASES = 2
# Factor on the headroom of classes whose start objective allows for a boot.
_BOOT_IN_TIME_FACTOR = 0.5


def reserve_headroom(inputs: ScalingInputs, history: JobHistory) -> list[Shortage]:
    """Pack the headroom of each class into the bins and return what does not fit.

    Headroom for work that may run on spot instances never requests on-demand instances.
    """
    cluster_view = inputs.cluster_view
    shortages = []
    for job_class, class_history in history.classes():
        start_within_s = inputs.objectives.start_within_s.get(job_class)
        if start_within_s is None or start_within_s > _MAX_START_OBJECTIVE_LEASES * inputs.lease_s:
            continue
        spec = class_history.latest
        count = _headroom_tasks(inputs, class_history, start_within_s)
        zones = _zone_quota(inputs, spec, count)
        keep_gpus = cluster_view.avoids_gpus(spec)
        missing = count - pack(spec, count, inputs.bins, zones=zones, keep_gpus=keep_gpus)
        if missing:
            shortages.append(Shortage(spec, not spec.spot, missing, zones))
    return shortages


def _headroom_tasks(
    inputs: ScalingInputs, class_history: ClassHistory, start_within_s: float
) -> int:
    """Return the number of tasks of a class for which headroom is reserved."""
    cluster_view = inputs.cluster_view
    ratio = cluster_view.settings.operator.spare_jobs
    sizes = class_history.sizes()
    boot_s = cluster_view.boot_s(class_history.latest)
    if start_within_s < boot_s:
        # The third quartile of job sizes or, if larger, the deviation of arrivals during a boot.
        deviation = class_history.arrival_deviation(boot_s, cluster_view.now)
        count = max(sizes[len(sizes) * 3 // 4], deviation)
    else:
        # An instance normally boots in time; this covers slow or refused launches.
        count = sizes[len(sizes) // 2]
        ratio *= _BOOT_IN_TIME_FACTOR
    return max(1, round(count * ratio)) if ratio else 0


def _zone_quota(inputs: ScalingInputs, spec: JobSpec, count: int) -> ZoneQuota | None:
    """Return the limit on headroom per zone, or None if any zone is allowed."""
    if spec.one_zone and count:
        return single_zone_quota(inputs, spec, count)
    return ZoneQuota((count + 1) // 2, Counter()) if spec.spread else None
