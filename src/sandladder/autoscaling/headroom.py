"""Headroom: capacity kept free for work that must start before a new instance could boot."""

from collections import Counter

from sandladder.autoscaling.job_history import ClassHistory, JobHistory
from sandladder.autoscaling.scaling_inputs import ScalingInputs
from sandladder.autoscaling.zone_choice import single_zone
from sandladder.model import JobSpec
from sandladder.scheduling import Shortage, ZoneQuota, pack

# Classes whose tasks may wait for longer than so many worker leases get no headroom.
_PROMPT_LEASES = 2
# The share of the headroom that a class gets whose tasks may wait for a boot.
_BOOTABLE_SHARE = 0.5


def reserve_headroom(inputs: ScalingInputs, history: JobHistory) -> list[Shortage]:
    """Fill the bins with the headroom of each class, and collect what does not fit.

    Headroom for work that may run on spot instances is not worth an on-demand one.
    """
    cluster_view = inputs.cluster_view
    shortages = []
    for cls, recent in history.classes():
        start_within_s = inputs.objectives.waits.get(cls)
        if start_within_s is None or start_within_s > _PROMPT_LEASES * inputs.lease_s:
            continue
        spec = recent.latest
        count = _headroom_tasks(inputs, recent, start_within_s)
        zones = _zone_shares(inputs, spec, count)
        keep_gpus = cluster_view.avoids_gpus(spec)
        missing = count - pack(spec, count, inputs.bins, zones=zones, keep_gpus=keep_gpus)
        if missing:
            shortages.append(Shortage(spec, not spec.spot, missing, zones))
    return shortages


def _headroom_tasks(inputs: ScalingInputs, recent: ClassHistory, start_within_s: float) -> int:
    """For how many tasks of a class capacity is kept free."""
    cluster_view = inputs.cluster_view
    ratio = cluster_view.settings.operator.spare_jobs
    sizes = recent.sizes()
    boot_s = cluster_view.boot_s(recent.latest)
    if start_within_s < boot_s:
        # Larger than most, and as much as arrivals vary while an instance boots.
        deviation = recent.arrival_deviation(boot_s, cluster_view.now)
        count = max(sizes[len(sizes) * 3 // 4], deviation)
    else:
        # An instance may boot in time; this is for the days on which it does not.
        count = sizes[len(sizes) // 2]
        ratio *= _BOOTABLE_SHARE
    return max(1, round(count * ratio)) if ratio else 0


def _zone_shares(inputs: ScalingInputs, spec: JobSpec, count: int) -> ZoneQuota | None:
    """How much of the headroom each zone may have; None if any zone will do."""
    if spec.one_zone and count:
        return single_zone(inputs, spec, count)
    return ZoneQuota((count + 1) // 2, Counter()) if spec.spread else None
