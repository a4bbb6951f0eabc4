"""The cost of placing a task on a machine.  Pure: no I/O, no clock."""

import math
from collections import Counter

from sandladder.model import SERVICE, JobSpec
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity

# Weights, as multiples of a task's run time.
_LATE_FETCH_COST = 2  # the image fetch takes more than `_MAX_FETCH_SHARE` of the start objective
_ON_DEMAND_COST = 0.5  # an on-demand machine for a task that may use a spot machine
_UNUSED_CPUS_COST = 0.2  # times the share of the machine's cores that stay free
_CLOSE_FIT_COST = 0.1  # a machine at or below this cost ends the search for a better one

# The share of the start objective that the fetch of an image may take.
_MAX_FETCH_SHARE = 0.5


class PlacementCost:
    """The cost of placing a task of one job, in seconds of its run time."""

    def __init__(
        self, spec: JobSpec, cluster_view: ClusterView, start_within_s: float | None
    ) -> None:
        self._spec = spec
        self._cluster_view = cluster_view
        self._types = cluster_view.cache.machine_types
        lease_s = cluster_view.settings.platform.deployment.workers.lease_s
        self._run_s = spec.estimate_s or lease_s
        within_s = math.inf if start_within_s is None else start_within_s
        self._fetch_limit_s = _MAX_FETCH_SHARE * within_s
        self._largest_cpus = math.inf  # of all machine types; used for services only
        if spec.kind == SERVICE:
            self._largest_cpus = max(kind.cpus for kind in self._types.values())

    @property
    def close_fit(self) -> float:
        """The cost, in seconds, up to which a machine ends the search for a better one."""
        return _CLOSE_FIT_COST * self._run_s

    def cost_of(self, capacity: FreeCapacity, zone_counts: Counter[str]) -> float:
        """Return the cost of a machine, given the job's number of tasks in each zone."""
        spec, run_s = self._spec, self._run_s
        kind = self._types[capacity.type]
        cost = self._cluster_view.fetch_s(spec, capacity)
        if cost > self._fetch_limit_s:
            # The task would probably miss its start objective.
            cost += _LATE_FETCH_COST * run_s
        if spec.spot and not capacity.spot:
            # On-demand machines cost more, and jobs that must not use spot machines need them.
            cost += _ON_DEMAND_COST * run_s
        cost += _UNUSED_CPUS_COST * run_s * (capacity.cpus - spec.cpus) / max(kind.cpus, 1.0)
        if spec.kind == SERVICE:
            if zone_counts:
                cost += run_s * zone_counts[capacity.zone] / zone_counts.total()
            # A service runs indefinitely and would prevent the return of a large machine.
            cost += run_s * (capacity.cpus - spec.cpus) / self._largest_cpus
        return cost
