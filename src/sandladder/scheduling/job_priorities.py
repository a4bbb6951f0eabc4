"""Priorities and latest start times of waiting jobs.  Pure: no I/O, no clock.

Times of jobs are times of day in seconds, as in the stored records: the steady clock of a process
is not valid in another one.
"""

from dataclasses import dataclass

from sandladder.config import Settings
from sandladder.model import ARRAY, Job, JobSpec, MachineType, SchedulingPriority
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache

# The waiting time, in leases, after which a job counts as aged.
AGED_LEASES = 4
# The start objective assumed for jobs without one, in seconds: they come last, in order of
# submission.
_NO_OBJECTIVE_S = 1e9
# A job stops waiting for spot machines this many boot times before its latest start.
_SPOT_WAIT_MARGIN_BOOTS = 4


@dataclass(frozen=True, slots=True)
class _StartDeadline:
    """The latest start of a job, with the values that it was computed from."""

    job: Job
    priority: SchedulingPriority
    types: dict[str, MachineType]
    latest_start: float
    waits_for_spot_until: float  # until then, it has time to wait for a spot machine


class JobPriorities:
    """Priority, waiting time and latest start of jobs, adjusted for their dependents."""

    def __init__(self, settings: Settings, cache: StateCache, time: ViewTime) -> None:
        self._cache = cache
        self._time = time
        # By job class, the objective for the time to start, in seconds.
        self._start_within_s = settings.start_objectives_s
        workers = settings.platform.deployment.workers
        self._report_s = workers.report_s
        self.aged_after_s = AGED_LEASES * workers.lease_s
        self._deadlines: dict[str, _StartDeadline] = {}

    def scheduling_priority(self, job: Job) -> SchedulingPriority:
        """Return a job's priority and due time, adjusted for the jobs that depend on it."""
        return self._cache.dependency_index.scheduling_priority(job, self.expected_duration_s)

    def waiting_since(self, job: Job) -> float:
        """Return the time of day from which a job's waiting time counts."""
        return self._cache.dependency_index.ready_since(job)

    def waited_s(self, job: Job) -> float:
        """Return how long a job has waited, in seconds."""
        return self._time.wall_time - self.waiting_since(job)

    def latest_start(self, job: Job) -> float:
        """Return the latest start that meets a job's objectives and those of its dependents."""
        return self._deadline(job).latest_start

    def can_wait_for_boot(self, job: Job) -> bool:
        """Return whether a job has time to wait until a spot machine has booted.

        Such jobs must not occupy on-demand machines that were rented for work that cannot wait.
        """
        spec = job.spec
        if not spec.spot or spec.kind != ARRAY:
            return False
        deadline, wall_time = self._deadline(job), self._time.wall_time
        # A job without an objective would wait indefinitely where there are no spot machines.
        return (
            wall_time < deadline.waits_for_spot_until
            and deadline.latest_start - wall_time < _NO_OBJECTIVE_S / 2
        )

    def boot_s(self, spec: JobSpec) -> float:
        """Return the shortest boot time of a machine for a job, in seconds."""
        boots = [kind.boot_s for kind in self._cache.machine_types.values() if kind.fits(spec)]
        return min(boots, default=0.0)

    def min_fetch_s(self, spec: JobSpec) -> float:
        """Return the shortest time to fetch a job's image, in seconds."""
        rates = [
            kind.fetch_gb_per_s for kind in self._cache.machine_types.values() if kind.fits(spec)
        ]
        return spec.image_gb / max([1e-6, *rates])

    def expected_duration_s(self, spec: JobSpec) -> float:
        """Return the expected time from a job's readiness to its end, in seconds."""
        return spec.estimate_s + self.min_fetch_s(spec) + self._report_s / 2

    def forget_finished(self) -> None:
        """Drop the cached deadlines of jobs that are no longer live."""
        jobs = self._cache.jobs
        self._deadlines = {name: cached for name, cached in self._deadlines.items() if name in jobs}

    def _deadline(self, job: Job) -> _StartDeadline:
        """Return a job's deadline, cached until the job or another input changes.

        With some hundred jobs waiting, recomputing it took a third of each planning round.
        """
        priority, types = self.scheduling_priority(job), self._cache.machine_types
        cached = self._deadlines.get(job.id)
        if (
            cached is not None
            and cached.job is job
            and cached.priority is priority
            and cached.types is types
        ):
            return cached
        spec = job.spec
        latest = self.waiting_since(job) + self._start_within_s.get(spec.job_class, _NO_OBJECTIVE_S)
        latest = min(latest, priority.due - self.expected_duration_s(spec))
        waits_until = latest - _SPOT_WAIT_MARGIN_BOOTS * self.boot_s(spec)
        deadline = _StartDeadline(job, priority, types, latest, waits_until)
        # Not cached for a job with dependencies: its waiting time counts from when these end.
        if not job.dependencies:
            self._deadlines[job.id] = deadline
        return deadline
