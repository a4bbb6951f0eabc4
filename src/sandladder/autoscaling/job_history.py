"""The sizes and arrival times of recent jobs, by class."""

import math
from collections import deque
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from sandladder.model import Job, JobSpec

_MAX_JOBS_PER_CLASS = 32


class Arrival(NamedTuple):
    """A job's spec and the time at which the job was first observed."""

    at: float  # on the steady clock
    spec: JobSpec


class ClassHistory:
    """The recent jobs of one class, never empty."""

    def __init__(self, first_arrival: Arrival) -> None:
        self._arrivals = deque([first_arrival], maxlen=_MAX_JOBS_PER_CLASS)

    def add(self, arrival: Arrival) -> None:
        """Add a job, and remove the oldest if the history is full."""
        self._arrivals.append(arrival)

    @property
    def latest(self) -> JobSpec:
        """The spec of the latest job."""
        return self._arrivals[-1].spec

    def sizes(self) -> list[int]:
        """Return the number of tasks of each job, in ascending order."""
        return sorted(spec.tasks for _, spec in self._arrivals)

    def arrival_deviation(self, horizon_s: float, now: float) -> int:
        """Return the standard deviation of the number of tasks that arrive within the horizon."""
        first_at = self._arrivals[0].at
        # Jobs that existed when this process started have no known arrival time.
        arrived = [spec for at, spec in self._arrivals if at > first_at]
        if len(arrived) < 2:
            return 0
        span_s = max(horizon_s, now - first_at)
        return round(math.sqrt(horizon_s / span_s * sum(spec.tasks**2 for spec in arrived)))


class JobHistory:
    """The recent jobs of all classes."""

    def __init__(self) -> None:
        self._classes: dict[str, ClassHistory] = {}
        self._live_job_ids: set[str] = set()

    def observe(self, jobs: Mapping[str, Job], now: float) -> None:
        """Add the live jobs that are new, at `now` on the steady clock."""
        for job_id, job in jobs.items():
            if job_id in self._live_job_ids:
                continue
            arrival = Arrival(now, job.spec)
            history = self._classes.get(job.spec.job_class)
            if history is None:
                self._classes[job.spec.job_class] = ClassHistory(arrival)
            else:
                history.add(arrival)
        self._live_job_ids = set(jobs)

    def classes(self) -> Iterator[tuple[str, ClassHistory]]:
        """Iterate over the classes and their histories, in order of first arrival."""
        return iter(self._classes.items())

    def latest_specs(self) -> list[JobSpec]:
        """Return the spec of the latest job of each class."""
        return [history.latest for history in self._classes.values()]
