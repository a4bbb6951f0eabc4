"""What new instances the waiting jobs are worth."""

import math
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from sandladder.autoscaling.demand import CoreDemand
from sandladder.autoscaling.instance_states import DRAINING
from sandladder.autoscaling.offers import Offer, RefusedOffers, types_for
from sandladder.autoscaling.provisioned_capacity import ProvisionedCapacity
from sandladder.config import Settings
from sandladder.model import (
    HIGH,
    PRODUCTION,
    SERVICE,
    Job,
    JobSpec,
    Machine,
    TeamUsage,
)
from sandladder.model import headroom as quota_headroom
from sandladder.scheduling import (
    Backlog,
    Bin,
    ClusterView,
    Shortage,
    ZoneShares,
    allowed,
    fill,
    likeness,
)

# The share of the time that work may wait, past which spot instances are asked for.
_PRESSING_SHARE = 0.1
# Work without any objective may wait for so many worker leases.
_DEFAULT_ALLOWANCE_LEASES = 10
# How much longer than its estimate a task is expected to run.
_ESTIMATE_MARGIN = 1.3


class StartObjectives(NamedTuple):
    """The objectives that say how late the tasks of a class may start; all times in seconds."""

    waits: dict[str, float]  # by class, within how long its tasks should start
    finishes: dict[str, list[float]]  # by class, within how long its jobs should be done
    default_s: float  # for work without an objective

    @staticmethod
    def of(settings: Settings) -> "StartObjectives":
        """The objectives of the platform's settings."""
        lease_s = settings.platform.deployment.workers.lease_s
        return StartObjectives(
            settings.waits, settings.finishes, _DEFAULT_ALLOWANCE_LEASES * lease_s
        )


@dataclass(frozen=True)
class ScalingInputs:
    """What one round of decisions rests on."""

    cluster_view: ClusterView
    provisioned: ProvisionedCapacity  # its bins are filled as capacity is given out
    refused: RefusedOffers
    objectives: StartObjectives
    wall: float  # the time of day, in seconds

    @property
    def bins(self) -> list[Bin]:
        """The machines, with what is not given out yet."""
        return self.provisioned.bins


class WaitingWork(NamedTuple):
    """What the waiting jobs lack, the most urgent first, and how many cores they ask for."""

    shortages: list[Shortage]
    demand: CoreDemand


class _WaitingJob(NamedTuple):
    """A job's waiting tasks that its team's limit lets start."""

    job: Job
    tasks: int
    can_wait_for_boot: bool
    zones: ZoneShares | None  # how many each zone may take, if not any zone will do


def waiting_work(inputs: ScalingInputs) -> WaitingWork:
    """Give out the free capacity to the waiting jobs, and collect what they lack."""
    cluster_view = inputs.cluster_view
    cache = cluster_view.cache
    ready = cache.dependency_index.ready
    jobs = sorted(
        (job for job in cache.jobs.values() if job.waiting and ready(job)),
        key=cluster_view.order_key,
    )
    usage_by_team = dict(cache.used)
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
        backlog.add(spec, waiting.tasks, spec.estimate_s or _lease_s(cluster_view))
        if missing:
            shortages += _worthwhile_shortages(inputs, waiting, missing, backlog)
    return WaitingWork(shortages, demand)


def _lease_s(cluster_view: ClusterView) -> float:
    return cluster_view.settings.platform.deployment.workers.lease_s


def _startable(inputs: ScalingInputs, job: Job, usage_by_team: dict[str, TeamUsage]) -> _WaitingJob:
    """The waiting tasks that the team's limit lets start; adds them to the team's usage."""
    cluster_view, spec = inputs.cluster_view, job.spec
    usage = usage_by_team.get(spec.team, TeamUsage())
    left = quota_headroom(cluster_view.limits.get(spec.team), usage)
    count = left.tasks(spec, job.waiting)
    usage_by_team[spec.team] = usage.plus(spec, count)
    zones = ZoneShares.of(job)
    if spec.one_zone and zones is None and count:
        zones = single_zone(inputs, spec, count)
    return _WaitingJob(job, count, cluster_view.can_wait_for_boot(job), zones)


def _place(inputs: ScalingInputs, waiting: _WaitingJob, exhausted: set[tuple[object, ...]]) -> int:
    """Fill the bins with waiting tasks; how many do not fit.

    `exhausted`: the likenesses for which nothing is free; what finds nothing here is added.
    """
    spec, count, zones = waiting.job.spec, waiting.tasks, waiting.zones
    like = likeness(spec, waiting.can_wait_for_boot)
    if like in exhausted:
        return count
    keep_gpus = inputs.cluster_view.avoids_gpus(spec)
    missing = count - fill(spec, count, inputs.bins, waiting.can_wait_for_boot, zones, keep_gpus)
    if missing and zones is None:
        exhausted.add(like)
    return missing


def single_zone(inputs: ScalingInputs, spec: JobSpec, tasks: int) -> ZoneShares:
    """The zone in which tasks that must share one can start soonest.

    The one with the most free capacity, if that is enough or more can be asked for there.
    Without this, capacity for parts of a gang in several zones was counted as capacity for the
    gang.
    """
    types = types_for(spec, inputs.cluster_view.cache.types.values())
    capacity = Counter({zone: 0 for machine_type in types for zone in machine_type.zones})
    for free in inputs.bins:
        if allowed(spec, Machine(*free.offer, "up", 0.0)):
            _, zone, _ = free.offer
            capacity[zone] += free.tasks(spec, tasks)
    by_capacity = sorted(capacity, key=lambda zone: (-capacity[zone], zone))
    able = [
        zone for zone in by_capacity if capacity[zone] >= tasks or _is_offered(inputs, spec, zone)
    ]
    chosen = next(iter(able or by_capacity), None)
    return ZoneShares(tasks, Counter(), chosen)


def _is_offered(inputs: ScalingInputs, spec: JobSpec, zone: str) -> bool:
    """Whether an instance for such tasks may be had in a zone, as far as the cloud said."""
    cluster_view = inputs.cluster_view
    return any(
        not inputs.refused.is_refused(Offer(machine_type.name, zone, spot), cluster_view.now)
        for machine_type in types_for(spec, cluster_view.cache.types.values())
        if zone in machine_type.zones
        for spot in ([True, False] if spec.spot else [False])
    )


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
    priority = cluster_view.outlook(job).priority
    if spec.kind == SERVICE or priority >= PRODUCTION:
        return [Shortage(spec, True, missing, zones)]
    age_s = inputs.wall - cluster_view.since(job)
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
        span_s = max(horizon_s - boot_s, spec.estimate_s or _lease_s(cluster_view))
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
    limits = [objectives.waits.get(spec.cls, math.inf)]
    limits += [max(0.0, within - run_s) for within in objectives.finishes.get(spec.cls, ())]
    due_s = cluster_view.outlook(job).due - cluster_view.since(job)
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
            if job.spec.kind == SERVICE and not fill(job.spec, 1, inputs.bins, keep_gpus=keep_gpus):
                shortages.append(Shortage(job.spec, True, 1))
    return shortages
