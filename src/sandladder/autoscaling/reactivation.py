"""Selection of draining instances to take back for waiting work.

An instance that cannot be emptied, because its replicas fit nowhere else, would otherwise stay
unused for as long as they run.
"""

from typing import NamedTuple

from sandladder.autoscaling.provisioned_capacity import free_bin
from sandladder.model import DRAINING, Job
from sandladder.scheduling import Bin, ClusterView, Shortage, pack


class Reactivation(NamedTuple):
    """The draining instances to take back, and the shortages that remain."""

    machines: list[str]
    shortages: list[Shortage]


def reactivate_for(
    cluster_view: ClusterView, shortages: list[Shortage], wall_clock_s: float
) -> Reactivation:
    """Assign waiting work to draining instances once new ones would have booted.

    Args:
        cluster_view: the machines, with the records of the instances.
        shortages: the shortages of the waiting jobs, the most urgent first.
        wall_clock_s: the time of day, in seconds.
    """
    free = _reusable(cluster_view) if shortages else {}
    if not free:
        return Reactivation([], shortages)
    chosen: dict[str, None] = {}
    remaining = []
    for shortage in shortages:
        job = cluster_view.cache.jobs[shortage.spec.id]
        missing = shortage.tasks
        if wall_clock_s - cluster_view.waiting_since(job) > cluster_view.boot_s(job.spec):
            for machine, machine_bin in free.items():
                packed = _pack(cluster_view, job, shortage._replace(tasks=missing), machine_bin)
                if packed:
                    chosen[machine] = None
                    missing -= packed
        if missing:
            remaining.append(shortage._replace(tasks=missing))
    return Reactivation(list(chosen), remaining)


def _reusable(cluster_view: ClusterView) -> dict[str, Bin]:
    """Return the free capacity of the draining instances that could be given work.

    An instance without tasks is left out: the cloud may be about to terminate it.
    """
    reusable = {}
    for machine, record in cluster_view.cache.instances.items():
        if record.state != DRAINING or machine not in cluster_view.cache.attempts_by_machine:
            continue
        capacity = cluster_view.free_capacity(machine)
        if capacity is not None and cluster_view.accepts_work(machine):
            reusable[machine] = free_bin(cluster_view, capacity)
    return reusable


def _pack(cluster_view: ClusterView, job: Job, shortage: Shortage, machine_bin: Bin) -> int:
    """Pack tasks of a shortage into an instance, as the planner would, and return their number."""
    return pack(
        job.spec,
        shortage.tasks,
        [machine_bin],
        spot_only=cluster_view.can_wait_for_boot(job),
        zones=shortage.zones,
        keep_gpus=cluster_view.avoids_gpus(job.spec),
    )
