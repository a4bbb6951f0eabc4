"""Decides which instances to ask the cloud for and which to drain.

Pure: state in, decisions out.  Each concern is a module of its own; this one joins them and keeps
what one round remembers for the next.
"""

import logging
from collections.abc import Collection, Mapping

from sandladder.autoscaling.demand import (
    DemandHistory,
    usual_demand_shortages,
    with_running_work,
)
from sandladder.autoscaling.headroom import reserve_headroom
from sandladder.autoscaling.instance_states import DRAINING, GONE
from sandladder.autoscaling.job_history import JobHistory
from sandladder.autoscaling.offers import RefusedOffers, ScaleOutRequest
from sandladder.autoscaling.provisioned_capacity import (
    BootedMachines,
    ProvisionedCapacity,
    provisioned_capacity,
)
from sandladder.autoscaling.scale_in import (
    IdleMachines,
    WastefulMachines,
    dispensable,
    failing_machines,
    idle_bins,
)
from sandladder.autoscaling.scale_out import choose_instances
from sandladder.autoscaling.scaling_inputs import ScalingInputs, StartObjectives
from sandladder.autoscaling.unresponsive import unresponsive_instances
from sandladder.autoscaling.utilization import describe_utilization
from sandladder.autoscaling.waiting_work import displaced_replicas, waiting_work
from sandladder.model import Machine
from sandladder.scheduling import ClusterView, Shortage

log = logging.getLogger(__name__)

# For how many worker leases the demand is remembered.
_DEMAND_LEASES = 4


class ScalingPolicy:
    """Decides on scaling out and in for all instances.

    One controller at a time is the autoscaler; it decides about once a second.
    """

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        lease_s = cluster_view.settings.platform.deployment.workers.lease_s
        self._objectives = StartObjectives.of(cluster_view.settings)
        self._refused = RefusedOffers(lease_s)
        self._jobs = JobHistory()
        self._demand = DemandHistory(_DEMAND_LEASES * lease_s)
        self._booted = BootedMachines()
        self._idle = IdleMachines(cluster_view)
        self._wasteful = WastefulMachines(cluster_view)
        self._work_lacks_capacity = False

    def note_refused(self, request: ScaleOutRequest) -> None:
        """The cloud had no capacity for this, or not all of it: ask again only later."""
        self._refused.note(request.offer, self._cluster_view.now)

    def observe_jobs(self) -> None:
        """Remember what recent jobs of each class looked like, and how often they came."""
        self._jobs.observe(self._cluster_view.cache.jobs, self._cluster_view.now)

    def scale_out_requests(
        self, wall: float, unwritten: Mapping[str, Machine | None] | None = None
    ) -> list[ScaleOutRequest]:
        """What to ask the cloud for now, the most urgent first.

        Args:
            wall: the time of day, in seconds.
            unwritten: instances' records that are still to be written; None for one that is to
                be forgotten.  Seen in a measured day: instances just obtained were asked for
                again until they were written down.
        """
        cluster_view = self._cluster_view
        if not cluster_view.cache.machine_types:
            return []
        new = {machine: record for machine, record in (unwritten or {}).items() if record}
        provisioned = self._provisioned(wall, cluster_view.cache.instances | new)
        inputs = self._inputs(wall, provisioned)
        waiting = waiting_work(inputs)
        self._work_lacks_capacity = bool(waiting.shortages)
        self._demand.record(with_running_work(waiting.demand, cluster_view), cluster_view.now)
        shortages = waiting.shortages + usual_demand_shortages(
            self._demand, provisioned.cores.total, self._jobs.latest_specs()
        )
        shortages += displaced_replicas(inputs)
        _log_shortages(shortages)
        shortages += reserve_headroom(inputs, self._jobs)
        return choose_instances(cluster_view, self._refused, shortages)

    def _provisioned(
        self, wall: float, instances: Mapping[str, Machine], without: Collection[str] = ()
    ) -> ProvisionedCapacity:
        self._booted.observe(self._cluster_view.machines(), instances)
        return provisioned_capacity(self._cluster_view, instances, self._booted, wall, without)

    def _inputs(self, wall: float, provisioned: ProvisionedCapacity) -> ScalingInputs:
        return ScalingInputs(self._cluster_view, provisioned, self._refused, self._objectives, wall)

    def scale_in_candidates(self, wall: float) -> list[str]:
        """The machines to drain: idle for long, failing, or wasteful.

        Args:
            wall: the time of day, in seconds.
        """
        cluster_view = self._cluster_view
        chosen = self._dispensable(self._idle.long_idle(), wall)
        chosen += failing_machines(cluster_view)
        worst = self._wasteful.worst(self._work_lacks_capacity)
        if worst is not None:
            chosen.append(worst)
        instances = cluster_view.cache.instances
        leaving = {m for m, record in instances.items() if record.state in (DRAINING, GONE)}
        return [machine for machine in dict.fromkeys(chosen) if machine not in leaving]

    def _dispensable(self, idle: list[str], wall: float) -> list[str]:
        """Those of the idle machines that neither headroom nor usual demand needs."""
        if not idle:
            return []
        cluster_view = self._cluster_view
        # Headroom is put on what is in use anyway, then on the cheapest of the idle machines.
        candidates = idle_bins(cluster_view, idle)
        provisioned = self._provisioned(wall, cluster_view.cache.instances, without=set(idle))
        bins = [*provisioned.bins, *(item.free for item in candidates)]
        reserve_headroom(self._inputs(wall, provisioned._replace(bins=bins)), self._jobs)
        return dispensable(cluster_view, candidates, provisioned.cores.total, self._demand)

    def unresponsive(self, wall: float) -> list[str]:
        """Instances without heartbeats of late; `wall`: the time of day, in seconds."""
        return unresponsive_instances(self._cluster_view, self._booted, wall)

    def describe_utilization(self) -> str:
        """What the instances are and what uses them, in cores, for the log."""
        return describe_utilization(self._cluster_view, self._booted)


def _log_shortages(shortages: list[Shortage]) -> None:
    for shortage in shortages:
        markets = " and are worth on-demand instances" if shortage.ordinary_allowed else ""
        log.debug("%d tasks of %s lack capacity%s", shortage.tasks, shortage.spec.id, markets)
