"""The capacity shortages of waiting jobs that justify new instances."""

import math
from typing import NamedTuple

from sandladder.autoscaling.demand import CoreDemand
from sandladder.autoscaling.offers import fitting_types
from sandladder.autoscaling.scaling_inputs import ScalingInputs
from sandladder.autoscaling.zone_choice import single_zone_quota
from sandladder.model import DRAINING, HIGH, PRODUCTION, SERVICE, Job, JobSpec, TeamUsage
from sandladder.model import headroom as quota_headroom
from sandladder.scheduling import (
    MAX_TASKS_PER_MACHINE,
    Backlog,
    Shortage,
    ZoneQuota,
    pack,
    placement_requirements,
)

# Spot instances are requested when the expected delay exceeds this share of the allowed delay.
_EARLY_REQUEST_SHARE = 0.1
# Factor from a task's estimated to its assumed run time.
_ESTIMATE_MARGIN = 1.3


class WaitingWork(NamedTuple):
    """The shortages of the waiting jobs, the most urgent first, and their demand for cores."""

    shortages: list[Shortage]
    demand: CoreDemand


class _WaitingJob(NamedTuple):
    """The waiting tasks of a job that its team's limit allows to start."""

    job: Job
    tasks: int
    cores_per_task: float
    can_wait_for_boot: bool
    zones: ZoneQuota | None  # None if any zone is allowed


def waiting_work(inputs: ScalingInputs) -> WaitingWork:
    """Assign the free capacity to the waiting jobs and return their shortages and demand."""
    cluster_view = inputs.cluster_view
    cache = cluster_view.cache
    ready = cache.dependency_index.ready
    jobs = sorted(
        (job for job in cache.jobs.values() if job.waiting and ready(job)),
        key=cluster_view.order_key,
    )
    usage_by_team = dict(cache.usage)
    demand, backlog = CoreDemand(), Backlog()
    shortages: list[Shortage] = []
    # Requirements for which no capacity is free.  Capacity only shrinks here, so trying each
    # waiting job on each machine again would waste processor time: with two hundred jobs and six
    # hundred machines, every second.
    exhausted: set[tuple[object, ...]] = set()
    for job in jobs:
        spec = job.spec
        waiting = _startable(inputs, job, usage_by_team)
        if spec.kind != SERVICE:
            demand.add(waiting.tasks * spec.cpus, waiting.can_wait_for_boot)
        missing = _pack_waiting(inputs, waiting, exhausted)
        cores, gpus = waiting.tasks * waiting.cores_per_task, waiting.tasks * spec.gpus
        backlog.add(cores, gpus, spec.estimate_s or inputs.lease_s)
        if missing:
            shortages += _job_shortages(inputs, waiting, missing, backlog)
    return WaitingWork(shortages, demand)


def _startable(inputs: ScalingInputs, job: Job, usage_by_team: dict[str, TeamUsage]) -> _WaitingJob:
    """Return the tasks that the team's limit allows to start, and add them to its usage."""
    cluster_view, spec = inputs.cluster_view, job.spec
    usage = usage_by_team.get(spec.team, TeamUsage())
    quota_left = quota_headroom(cluster_view.team_limits.get(spec.team), usage)
    count = quota_left.tasks_within(spec, job.waiting)
    usage_by_team[spec.team] = usage.plus(spec, count)
    zones = ZoneQuota.for_job(job)
    if spec.one_zone and zones is None and count:
        zones = single_zone_quota(inputs, spec, count)
    can_wait_for_boot = cluster_view.can_wait_for_boot(job)
    return _WaitingJob(job, count, _cores_per_task(inputs, spec), can_wait_for_boot, zones)


def _cores_per_task(inputs: ScalingInputs, spec: JobSpec) -> float:
    """Return the cores that a task of a job occupies.

    The number of tasks on a machine is limited, so very small tasks occupy a share of its cores.
    """
    types = fitting_types(spec, inputs.cluster_view.cache.machine_types.values())
    most_cores = max((machine_type.cpus for machine_type in types), default=0.0)
    return max(spec.cpus, most_cores / MAX_TASKS_PER_MACHINE)


def _pack_waiting(
    inputs: ScalingInputs, waiting: _WaitingJob, exhausted: set[tuple[object, ...]]
) -> int:
    """Pack waiting tasks into the bins and return the number that do not fit.

    `exhausted` contains the requirements for which no capacity is free, and is updated.
    """
    spec, count, zones = waiting.job.spec, waiting.tasks, waiting.zones
    requirements = placement_requirements(spec, waiting.can_wait_for_boot)
    if requirements in exhausted:
        return count
    keep_gpus = inputs.cluster_view.avoids_gpus(spec)
    missing = count - pack(spec, count, inputs.bins, waiting.can_wait_for_boot, zones, keep_gpus)
    if missing and zones is None:
        exhausted.add(requirements)
    return missing


def _job_shortages(
    inputs: ScalingInputs, waiting: _WaitingJob, missing: int, backlog: Backlog
) -> list[Shortage]:
    """Return the shortages to request instances for, given the backlog ahead of the job.

    A new instance is usable only after its boot.  Until then, or until the job must start, the
    provisioned machines process the backlog.  Only the remaining work justifies on-demand
    instances; spot instances are requested earlier.
    """
    cluster_view, job, zones = inputs.cluster_view, waiting.job, waiting.zones
    spec = job.spec
    priority = cluster_view.scheduling_priority(job).priority
    if spec.kind == SERVICE or priority >= PRODUCTION:
        return [Shortage(spec, True, missing, zones)]
    age_s = inputs.wall_clock_s - cluster_view.waiting_since(job)
    boot_s, allowed_delay_s = cluster_view.boot_s(spec), _allowed_delay_s(inputs, job, age_s)
    # GPUs are the limiting resource of work that needs them, regardless of free cores.
    if spec.gpus > 0:
        work, need_per_task, provisioned = backlog.gpu_s, spec.gpus, inputs.provisioned.gpus
    else:
        work, need_per_task = backlog.core_s, waiting.cores_per_task
        provisioned = inputs.provisioned.cores
    capacity = provisioned.spot if spec.spot else 0.0
    if not waiting.can_wait_for_boot:
        capacity += provisioned.on_demand
    horizon_s = max(boot_s, allowed_delay_s - age_s - boot_s)
    remaining_work = work - capacity * horizon_s
    shortages = []
    if remaining_work > 0:
        span_s = max(horizon_s - boot_s, spec.estimate_s or inputs.lease_s)
        on_demand_tasks = min(missing, math.ceil(remaining_work / span_s / need_per_task))
        shortages.append(Shortage(spec, True, on_demand_tasks, zones))
        missing -= on_demand_tasks
    eta_s = age_s + work / max(capacity, need_per_task)
    early = priority >= HIGH or eta_s > _EARLY_REQUEST_SHARE * allowed_delay_s
    if spec.spot and early and missing:
        shortages.append(Shortage(spec, False, missing, zones))
    return shortages


def _allowed_delay_s(inputs: ScalingInputs, job: Job, age_s: float) -> float:
    """Return the allowed delay until the start of a job's last task, in seconds.

    The delay counts from the time since which the job has been waiting.  An objective that a new
    instance can no longer meet is skipped in favour of the next one.
    """
    spec, objectives = job.spec, inputs.objectives
    cluster_view = inputs.cluster_view
    earliest_s = age_s + cluster_view.boot_s(spec)
    run_s = _ESTIMATE_MARGIN * spec.estimate_s
    limits = [objectives.start_within_s.get(spec.job_class, math.inf)]
    limits += [
        max(0.0, within_s - run_s)
        for within_s in objectives.finish_within_s.get(spec.job_class, ())
    ]
    due_s = cluster_view.scheduling_priority(job).due - cluster_view.waiting_since(job)
    if due_s < math.inf:
        limits.append(max(0.0, due_s - run_s))
    limits = sorted(limit for limit in limits if limit < math.inf)
    if not limits:
        return objectives.default_delay_s
    return next((limit for limit in limits if limit >= earliest_s), limits[-1])


def displaced_replica_shortages(inputs: ScalingInputs) -> list[Shortage]:
    """Return the shortages of service replicas on draining instances that fit nowhere else."""
    cluster_view = inputs.cluster_view
    shortages = []
    for machine, record in cluster_view.cache.instances.items():
        if record.state != DRAINING:
            continue
        for job, _, _ in cluster_view.cache.attempts_on(machine):
            keep_gpus = cluster_view.avoids_gpus(job.spec)
            if job.spec.kind == SERVICE and not pack(job.spec, 1, inputs.bins, keep_gpus=keep_gpus):
                shortages.append(Shortage(job.spec, True, 1))
    return shortages
