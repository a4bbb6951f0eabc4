"""What new instances the waiting jobs are worth."""

import math
from typing import NamedTuple

from sandladder.autoscaling.demand import CoreDemand
from sandladder.autoscaling.instance_states import DRAINING
from sandladder.autoscaling.scaling_inputs import ScalingInputs
from sandladder.autoscaling.zone_choice import single_zone
from sandladder.model import HIGH, PRODUCTION, SERVICE, Job, TeamUsage
from sandladder.model import headroom as quota_headroom
from sandladder.scheduling import Backlog, Shortage, ZoneQuota, pack, placement_requirements

# The share of the time that work may wait, past which spot instances are asked for.
_PRESSING_SHARE = 0.1
# How much longer than its estimate a task is expected to run.
_ESTIMATE_MARGIN = 1.3


class WaitingWork(NamedTuple):
    """What the waiting jobs lack, the most urgent first, and how many cores they ask for."""

    shortages: list[Shortage]
    demand: CoreDemand


class _WaitingJob(NamedTuple):
    """A job's waiting tasks that its team's limit lets start."""

    job: Job
    tasks: int
    can_wait_for_boot: bool
    zones: ZoneQuota | None  # how many each zone may take, if not any zone will do


def waiting_work(inputs: ScalingInputs) -> WaitingWork:
    """Give out the free capacity to the waiting jobs, and collect what they lack."""
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
    # Likenesses of tasks that found no capacity: it only gets less.  Seen in a measured day: with
    # two hundred jobs waiting, each was tried on each of six hundred machines every second.
    exhausted: set[tuple[object, ...]] = set()
    for job in jobs:
        spec = job.spec
        waiting = _startable(inputs, job, usage_by_team)
        if spec.kind != SERVICE:
            demand.add(waiting.tasks * spec.cpus, waiting.can_wait_for_boot)
        missing = _place(inputs, waiting, exhausted)
        backlog.add(spec, waiting.tasks, spec.estimate_s or inputs.lease_s)
        if missing:
            shortages += _worthwhile_shortages(inputs, waiting, missing, backlog)
    return WaitingWork(shortages, demand)


def _startable(inputs: ScalingInputs, job: Job, usage_by_team: dict[str, TeamUsage]) -> _WaitingJob:
    """The waiting tasks that the team's limit lets start; adds them to the team's usage."""
    cluster_view, spec = inputs.cluster_view, job.spec
    usage = usage_by_team.get(spec.team, TeamUsage())
    left = quota_headroom(cluster_view.team_limits.get(spec.team), usage)
    count = left.tasks_within(spec, job.waiting)
    usage_by_team[spec.team] = usage.plus(spec, count)
    zones = ZoneQuota.of(job)
    if spec.one_zone and zones is None and count:
        zones = single_zone(inputs, spec, count)
    return _WaitingJob(job, count, cluster_view.can_wait_for_boot(job), zones)


def _place(inputs: ScalingInputs, waiting: _WaitingJob, exhausted: set[tuple[object, ...]]) -> int:
    """Fill the bins with waiting tasks; how many do not fit.

    `exhausted`: the likenesses for which nothing is free; what finds nothing here is added.
    """
    spec, count, zones = waiting.job.spec, waiting.tasks, waiting.zones
    like = placement_requirements(spec, waiting.can_wait_for_boot)
    if like in exhausted:
        return count
    keep_gpus = inputs.cluster_view.avoids_gpus(spec)
    missing = count - pack(spec, count, inputs.bins, waiting.can_wait_for_boot, zones, keep_gpus)
    if missing and zones is None:
        exhausted.add(like)
    return missing


def _worthwhile_shortages(
    inputs: ScalingInputs, waiting: _WaitingJob, missing: int, backlog: Backlog
) -> list[Shortage]:
    """What to ask for on behalf of waiting tasks of a job, behind a backlog.

    An instance asked for now is of use only after its boot; until then, or until the job must
    start, the machines that are there work off the backlog.  Only what they leave is worth an
    on-demand instance; spot instances are asked for early.
    """
    cluster_view, job, zones = inputs.cluster_view, waiting.job, waiting.zones
    spec = job.spec
    priority = cluster_view.scheduling_priority(job).priority
    if spec.kind == SERVICE or priority >= PRODUCTION:
        return [Shortage(spec, True, missing, zones)]
    age_s = inputs.wall - cluster_view.waiting_since(job)
    boot_s, allowance_s = cluster_view.boot_s(spec), _allowance_s(inputs, job, age_s)
    # Work that needs GPUs waits for those alone, whatever cores there are.
    if spec.gpus > 0:
        work, need, provisioned = backlog.gpu_s, spec.gpus, inputs.provisioned.gpus
    else:
        work, need, provisioned = backlog.core_s, spec.cpus, inputs.provisioned.cores
    capacity = provisioned.spot if spec.spot else 0.0
    if not waiting.can_wait_for_boot:
        capacity += provisioned.on_demand
    horizon_s = max(boot_s, allowance_s - age_s - boot_s)
    left = work - capacity * horizon_s
    shortages = []
    if left > 0:
        span_s = max(horizon_s - boot_s, spec.estimate_s or inputs.lease_s)
        worth_any = min(missing, math.ceil(left / span_s / need))
        shortages.append(Shortage(spec, True, worth_any, zones))
        missing -= worth_any
    eta_s = age_s + work / max(capacity, need)
    early = priority >= HIGH or eta_s > _PRESSING_SHARE * allowance_s
    if spec.spot and early and missing:
        shortages.append(Shortage(spec, False, missing, zones))
    return shortages


def _allowance_s(inputs: ScalingInputs, job: Job, age_s: float) -> float:
    """How late the last task of a job may start, from when its times count, in seconds.

    An objective that no instance asked for now could meet any more presses for nothing: then
    the next one counts.
    """
    spec, objectives = job.spec, inputs.objectives
    cluster_view = inputs.cluster_view
    earliest_s = age_s + cluster_view.boot_s(spec)
    run_s = _ESTIMATE_MARGIN * spec.estimate_s
    limits = [objectives.waits.get(spec.job_class, math.inf)]
    limits += [max(0.0, within - run_s) for within in objectives.finishes.get(spec.job_class, ())]
    due_s = cluster_view.scheduling_priority(job).due - cluster_view.waiting_since(job)
    if due_s < math.inf:
        limits.append(max(0.0, due_s - run_s))
    limits = sorted(limit for limit in limits if limit < math.inf)
    if not limits:
        return objectives.default_s
    return next((limit for limit in limits if limit >= earliest_s), limits[-1])


def displaced_replicas(inputs: ScalingInputs) -> list[Shortage]:
    """Replicas of services on draining instances that find no free capacity elsewhere."""
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
