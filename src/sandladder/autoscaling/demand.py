"""How many cores are usually asked for, and what the instances are short of that."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from sandladder.model import SERVICE, JobSpec
from sandladder.scheduling import ClusterView, Shortage

# Which share of the time the instances should have what is asked for then.
_SERVED_SHARE = 0.6


@dataclass
class CoreDemand:
    """Cores in use or asked for, by whether the work can wait until a spot instance has booted."""

    cannot_wait: float = 0.0
    can_wait: float = 0.0

    @property
    def total(self) -> float:
        """All cores, in use or asked for."""
        return self.cannot_wait + self.can_wait

    def add(self, cores: float, can_wait_for_boot: bool) -> None:
        """Count so many cores more."""
        if can_wait_for_boot:
            self.can_wait += cores
        else:
            self.cannot_wait += cores


class DemandSample(NamedTuple):
    """The demand at one moment, in cores."""

    at: float  # on the steady clock
    cannot_wait: float
    total: float


class DemandHistory:
    """The demand of late."""

    def __init__(self, span_s: float) -> None:
        """
        Args:
            span_s: for how long a sample is kept, in seconds.
        """
        self._span_s = span_s
        self._samples: deque[DemandSample] = deque()

    def record(self, demand: CoreDemand, now: float) -> None:
        """Remember the demand at `now` on the steady clock, and forget what is too old."""
        self._samples.append(DemandSample(now, demand.cannot_wait, demand.total))
        while self._samples[0].at < now - self._span_s:
            self._samples.popleft()

    def usual_cores_that_cannot_wait(self) -> float:
        """The cores for work that cannot wait that suffice most of the time."""
        return _served([sample.cannot_wait for sample in self._samples])

    def usual_cores(self) -> float:
        """The cores for all work that suffice most of the time."""
        return _served([sample.total for sample in self._samples])


def _served(cores: list[float]) -> float:
    """The cores that suffice for the share of the samples that is to be served."""
    cores.sort()
    return cores[int(len(cores) * _SERVED_SHARE)] if cores else 0.0


def with_running_work(waiting: CoreDemand, cluster_view: ClusterView) -> CoreDemand:
    """The demand of waiting work and of what runs, without services."""
    demand = replace(waiting)
    for job in cluster_view.cache.jobs.values():
        if job.spec.kind != SERVICE and job.live:
            demand.add(len(job.live) * job.spec.cpus, cluster_view.can_wait_for_boot(job))
    return demand


def usual_demand_shortages(
    history: DemandHistory, provisioned_cores: float, latest_specs: Sequence[JobSpec]
) -> list[Shortage]:
    """Cores that the instances are short of, beside what waits just now.

    What waits is started when other work ends, or too late for a machine that must boot first.
    With as many cores as are usually asked for it starts at once.

    Args:
        history: the demand of late.
        provisioned_cores: the cores that can be counted on.
        latest_specs: the latest job of each class.
    """
    on_spot = [spec for spec in latest_specs if spec.spot]
    if not on_spot:
        return []
    spec = max(on_spot, key=lambda spec: spec.cpus * spec.tasks)
    missing = int((history.usual_cores_that_cannot_wait() - provisioned_cores) / spec.cpus)
    if missing > 0:
        return [Shortage(spec, True, missing)]
    missing = int((history.usual_cores() - provisioned_cores) / spec.cpus)
    return [Shortage(spec, False, missing)] if missing > 0 else []
