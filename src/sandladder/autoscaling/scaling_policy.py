"""Decisions on which instances to request and which to drain.

The policy does no I/O.  It combines the package's modules for the individual decisions and keeps
the state that carries over from one round to the next.
"""

import logging
from collections.abc import Collection, Mapping

from sandladder.autoscaling.demand import (
    DemandHistory,
    usual_demand_shortages,
    with_running_work,
)
from sandladder.autoscaling.headroom import reserve_headroom
from sandladder.autoscaling.job_history import JobHistory
from sandladder.autoscaling.offers import RefusedOffers, ScaleOutRequest
from sandladder.autoscaling.provisioned_capacity import (
    BootedMachines,
    ProvisionedCapacity,
    provisioned_capacity,
)
from sandladder.autoscaling.reactivation import reactivate_for
from sandladder.autoscaling.scale_in import (
    DrainReason,
    IdleMachines,
    UnderutilizedMachines,
    failing_machines,
    idle_bins,
    surplus_machines,
)
from sandladder.autoscaling.scale_out import choose_instances
from sandladder.autoscaling.scaling_inputs import ScalingInputs, StartObjectives
from sandladder.autoscaling.unresponsive import unresponsive_instances
from sandladder.autoscaling.utilization import describe_utilization
from sandladder.autoscaling.waiting_work import displaced_replica_shortages, waiting_work
from sandladder.model import DRAINING, GONE, Machine
from sandladder.scheduling import ClusterView, Shortage

log = logging.getLogger(__name__)

# Span of the demand history, in agent leases.
_DEMAND_HISTORY_LEASES = 4


class ScalingPolicy:
    """Decides on scaling out and in for all instances.

    Attributes:
        reactivated: the draining instances that `scale_out_requests` assigned waiting work to.
    """

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        lease_s = cluster_view.settings.platform.deployment.workers.lease_s
        self._objectives = StartObjectives.from_settings(cluster_view.settings)
        self._refused = RefusedOffers(lease_s)
        self._jobs = JobHistory()
        self._demand = DemandHistory(_DEMAND_HISTORY_LEASES * lease_s)
        self._booted = BootedMachines()
        self._idle = IdleMachines(cluster_view)
        self._underutilized = UnderutilizedMachines(cluster_view)
        self._work_lacks_capacity = False
        self.reactivated: list[str] = []

    def record_refusal(self, request: ScaleOutRequest) -> None:
        """Record that the cloud lacked capacity for the request, or for a part of it."""
        self._refused.add(request.offer, self._cluster_view.now)

    def observe_jobs(self) -> None:
        """Update the job history with the live jobs."""
        self._jobs.observe(self._cluster_view.cache.jobs, self._cluster_view.now)

    def scale_out_requests(
        self, wall_clock_s: float, unwritten: Mapping[str, Machine | None] | None = None
    ) -> list[ScaleOutRequest]:
        """Return the requests to send to the cloud now, the most urgent first.

        Also updates `reactivated`.

        Args:
            wall_clock_s: the time of day, in seconds.
            unwritten: the queued changes of instance records; None marks a record to remove.
                They prevent duplicate requests for instances that are created but not recorded.
        """
        cluster_view = self._cluster_view
        self.reactivated = []
        if not cluster_view.cache.machine_types:
            return []
        updated = {machine: record for machine, record in (unwritten or {}).items() if record}
        provisioned = self._provisioned(wall_clock_s, cluster_view.cache.instances | updated)
        inputs = self._inputs(wall_clock_s, provisioned)
        waiting = waiting_work(inputs)
        self._work_lacks_capacity = bool(waiting.shortages)
        self._demand.record(with_running_work(waiting.demand, cluster_view), cluster_view.now)
        self.reactivated, shortages = reactivate_for(cluster_view, waiting.shortages, wall_clock_s)
        shortages += usual_demand_shortages(
            self._demand, provisioned.cores.total, self._jobs.latest_specs()
        )
        shortages += displaced_replica_shortages(inputs)
        _log_shortages(shortages)
        shortages += reserve_headroom(inputs, self._jobs)
        return choose_instances(cluster_view, self._refused, shortages)

    def _provisioned(
        self, wall_clock_s: float, instances: Mapping[str, Machine], excluded: Collection[str] = ()
    ) -> ProvisionedCapacity:
        self._booted.observe(self._cluster_view.machines(), instances)
        return provisioned_capacity(
            self._cluster_view, instances, self._booted, wall_clock_s, excluded
        )

    def _inputs(self, wall_clock_s: float, provisioned: ProvisionedCapacity) -> ScalingInputs:
        return ScalingInputs(
            self._cluster_view, provisioned, self._refused, self._objectives, wall_clock_s
        )

    def scale_in_candidates(self, wall_clock_s: float) -> dict[str, DrainReason]:
        """Return the machines to drain: long idle, failing or underutilized ones.

        Args:
            wall_clock_s: the time of day, in seconds.
        """
        cluster_view = self._cluster_view
        surplus = self._surplus_machines(self._idle.long_idle(), wall_clock_s)
        chosen = dict.fromkeys(surplus, DrainReason.IDLE)
        chosen |= dict.fromkeys(failing_machines(cluster_view), DrainReason.FAILING)
        costliest = self._underutilized.costliest(self._work_lacks_capacity)
        if costliest is not None:
            chosen.setdefault(costliest, DrainReason.UNDERUTILIZED)
        instances = cluster_view.cache.instances
        draining_or_gone = {
            m for m, record in instances.items() if record.state in (DRAINING, GONE)
        }
        return {m: reason for m, reason in chosen.items() if m not in draining_or_gone}

    def _surplus_machines(self, idle: list[str], wall_clock_s: float) -> list[str]:
        """Return the idle machines that neither headroom nor usual demand needs."""
        if not idle:
            return []
        cluster_view = self._cluster_view
        # Headroom is packed onto the machines in use, then onto the idle ones in order of price.
        candidates = idle_bins(cluster_view, idle)
        provisioned = self._provisioned(
            wall_clock_s, cluster_view.cache.instances, excluded=set(idle)
        )
        bins = [*provisioned.bins, *(item.free for item in candidates)]
        reserve_headroom(self._inputs(wall_clock_s, provisioned._replace(bins=bins)), self._jobs)
        return surplus_machines(cluster_view, candidates, provisioned.cores.total, self._demand)

    def unresponsive(self, wall_clock_s: float) -> list[str]:
        """Return the instances that no longer send heartbeats.

        `wall_clock_s` is the time of day, in seconds.
        """
        return unresponsive_instances(self._cluster_view, self._booted, wall_clock_s)

    def describe_utilization(self) -> str:
        """Return a summary of the instances' cores by market and use, for the log."""
        return describe_utilization(self._cluster_view, self._booted)


def _log_shortages(shortages: list[Shortage]) -> None:
    for shortage in shortages:
        markets = ", on-demand instances allowed" if shortage.on_demand_allowed else ""
        log.debug("%d tasks of %s lack capacity%s", shortage.tasks, shortage.spec.id, markets)
