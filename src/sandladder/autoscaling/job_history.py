"""What recent jobs of each class looked like, and how often they came."""

import math
from collections import deque
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from sandladder.model import Job, JobSpec

# How many jobs of a class are remembered.
_REMEMBERED_JOBS = 32


class Arrival(NamedTuple):
    """A job, and when it was first seen."""

    at: float  # on the steady clock
    spec: JobSpec


class ClassHistory:
    """The recent jobs of one class; there is always at least one."""

    def __init__(self, first: Arrival) -> None:
        self._arrivals = deque([first], maxlen=_REMEMBERED_JOBS)

    def add(self, arrival: Arrival) -> None:
        """Remember a job, and forget the oldest if there are too many."""
        self._arrivals.append(arrival)

    @property
    def latest(self) -> JobSpec:
        """What the latest job asked for."""
        return self._arrivals[-1].spec

    def sizes(self) -> list[int]:
        """How many tasks each job has, the smallest first."""
        return sorted(spec.tasks for _, spec in self._arrivals)

    def arrival_deviation(self, horizon_s: float, now: float) -> int:
        """The standard deviation of the tasks that arrive within so many seconds."""
        first_at = self._arrivals[0].at
        # Jobs that were there when this process came did not arrive just then.
        arrived = [spec for at, spec in self._arrivals if at > first_at]
        if len(arrived) < 2:
            return 0
        span_s = max(horizon_s, now - first_at)
        return round(math.sqrt(horizon_s / span_s * sum(spec.tasks**2 for spec in arrived)))


class JobHistory:
    """The recent jobs of all classes."""

    def __init__(self) -> None:
        self._classes: dict[str, ClassHistory] = {}
        self._known: set[str] = set()

    def observe(self, jobs: Mapping[str, Job], now: float) -> None:
        """Remember the jobs that are new among the live ones, at `now` on the steady clock."""
        for job_id, job in jobs.items():
            if job_id in self._known:
                continue
            arrival = Arrival(now, job.spec)
            history = self._classes.get(job.spec.job_class)
            if history is None:
                self._classes[job.spec.job_class] = ClassHistory(arrival)
            else:
                history.add(arrival)
        self._known = set(jobs)

    def classes(self) -> Iterator[tuple[str, ClassHistory]]:
        """Each class with its recent jobs, in the order in which the classes first came."""
        return iter(self._classes.items())

    def latest_specs(self) -> list[JobSpec]:
        """The latest job of each class."""
        return [history.latest for history in self._classes.values()]
