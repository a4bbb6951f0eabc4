"""What it costs to place a task on a machine.  Pure: no I/O, no clock."""

import math
from collections import Counter

from sandladder.model import SERVICE, JobSpec
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity

# Weights, as shares of the time that a task runs.
_LATE_FETCH = 2  # the fetch alone takes more than `_FETCH_SHARE` of the time to start
_ORDINARY_MACHINE = 0.5  # a task that a spot machine would do for
_LEFT_OVER = 0.2  # all of a machine is left over
_CLOSE_FIT = 0.1  # a cost up to which nothing better is looked for

# The share of the time within which a task should start that the fetch of its image may take.
_FETCH_SHARE = 0.5


class PlacementCost:
    """The cost of placing a task of one job, in seconds of a task's time."""

    def __init__(
        self, spec: JobSpec, cluster_view: ClusterView, start_within_s: float | None
    ) -> None:
        self._spec = spec
        self._cluster_view = cluster_view
        self._types = cluster_view.cache.machine_types
        lease_s = cluster_view.settings.platform.deployment.workers.lease_s
        self._run_s = spec.estimate_s or lease_s
        within_s = math.inf if start_within_s is None else start_within_s
        self._fetch_limit_s = _FETCH_SHARE * within_s
        self._largest_cpus = math.inf  # of any type; looked for where it counts
        if spec.kind == SERVICE:
            self._largest_cpus = max(kind.cpus for kind in self._types.values())

    @property
    def close_fit(self) -> float:
        """The cost of a machine that has the image at hand and is nearly filled by the task."""
        return _CLOSE_FIT * self._run_s

    def of(self, capacity: FreeCapacity, zone_counts: Counter[str]) -> float:
        """The cost of a machine, where so many tasks of the job are in each zone."""
        spec, run_s = self._spec, self._run_s
        kind = self._types[capacity.type]
        cost = self._cluster_view.fetch_s(spec, capacity)
        if cost > self._fetch_limit_s:
            # The fetch alone would spend the time within which the task should start.
            cost += _LATE_FETCH * run_s
        if spec.spot and not capacity.spot:
            # Ordinary machines are dearer, and work that may not use others needs them.
            cost += _ORDINARY_MACHINE * run_s
        cost += _LEFT_OVER * run_s * (capacity.cpus - spec.cpus) / max(kind.cpus, 1.0)
        if spec.kind == SERVICE:
            if zone_counts:
                cost += run_s * zone_counts[capacity.zone] / zone_counts.total()
            # It stays for long: a large machine would have to be kept for its sake.
            cost += run_s * (capacity.cpus - spec.cpus) / self._largest_cpus
        return cost
