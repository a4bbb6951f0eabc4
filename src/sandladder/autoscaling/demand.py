"""The usual demand for cores, and the shortage of instances against it."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from sandladder.model import SERVICE, JobSpec
from sandladder.scheduling import ClusterView, Shortage

# The quantile of the recent samples that counts as usual demand.
_USUAL_DEMAND_QUANTILE = 0.6


@dataclass
class CoreDemand:
    """Cores in use or requested, split by whether the work can wait for a spot instance's boot."""

    cannot_wait: float = 0.0
    can_wait: float = 0.0

    @property
    def total(self) -> float:
        """All cores in use or requested."""
        return self.cannot_wait + self.can_wait

    def add(self, cores: float, can_wait_for_boot: bool) -> None:
        """Add the cores to the matching total."""
        if can_wait_for_boot:
            self.can_wait += cores
        else:
            self.cannot_wait += cores


class DemandSample(NamedTuple):
    """The demand at one time, in cores."""

    at: float  # on the steady clock
    cannot_wait: float
    total: float


class DemandHistory:
    """The recent samples of demand."""

    def __init__(self, span_s: float) -> None:
        """Initialize an empty history.

        Args:
            span_s: the maximum age of a sample, in seconds.
        """
        self._span_s = span_s
        self._samples: deque[DemandSample] = deque()

    def record(self, demand: CoreDemand, now: float) -> None:
        """Add a sample at `now` on the steady clock and remove expired ones."""
        self._samples.append(DemandSample(now, demand.cannot_wait, demand.total))
        while self._samples[0].at < now - self._span_s:
            self._samples.popleft()

    def usual_cores_that_cannot_wait(self) -> float:
        """Return the usual demand, in cores, of work that cannot wait for a boot."""
        return _usual_demand([sample.cannot_wait for sample in self._samples])

    def usual_cores(self) -> float:
        """Return the usual demand, in cores, of all work."""
        return _usual_demand([sample.total for sample in self._samples])


def _usual_demand(cores: list[float]) -> float:
    """Return the quantile of the samples that counts as usual, or 0 if there are none."""
    cores.sort()
    return cores[int(len(cores) * _USUAL_DEMAND_QUANTILE)] if cores else 0.0


def with_running_work(waiting: CoreDemand, cluster_view: ClusterView) -> CoreDemand:
    """Return the demand of waiting and running work, excluding services."""
    demand = replace(waiting)
    for job in cluster_view.cache.jobs.values():
        if job.spec.kind != SERVICE and job.live:
            demand.add(len(job.live) * job.spec.cpus, cluster_view.can_wait_for_boot(job))
    return demand


def usual_demand_shortages(
    history: DemandHistory, provisioned_cores: float, latest_specs: Sequence[JobSpec]
) -> list[Shortage]:
    """Return the tasks by which the provisioned cores fall short of the usual demand.

    Provisioning for the usual demand lets new work start at once, without waiting for other work
    to end or for an instance to boot.

    Args:
        history: the recent demand.
        provisioned_cores: the cores of usable and booting machines.
        latest_specs: the spec of the latest job of each class.
    """
    spot_specs = [spec for spec in latest_specs if spec.spot]
    if not spot_specs:
        return []
    spec = max(spot_specs, key=lambda spec: spec.cpus * spec.tasks)
    missing_tasks = int((history.usual_cores_that_cannot_wait() - provisioned_cores) / spec.cpus)
    if missing_tasks > 0:
        return [Shortage(spec, True, missing_tasks)]
    missing_tasks = int((history.usual_cores() - provisioned_cores) / spec.cpus)
    return [Shortage(spec, False, missing_tasks)] if missing_tasks > 0 else []
