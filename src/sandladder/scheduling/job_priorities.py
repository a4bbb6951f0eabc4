"""How urgent waiting jobs are: by when each must start, and whether it can wait for a boot.  Pure.

Times of jobs are times of day, in seconds: what counts them is in the records, which outlive the
steady clock of a process.
"""

from dataclasses import dataclass

from sandladder.config import Settings
from sandladder.model import ARRAY, Job, JobSpec, MachineType, SchedulingPriority
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache

# After so many leases a job counts as having waited long.
AGED_LEASES = 4
# Work without any objective goes last, in the order in which it came.
_NO_OBJECTIVE_S = 1e9
# So many boots before it must start, work still waits for the cheaper kind of machine.
_PATIENCE_BOOTS = 4


@dataclass(frozen=True, slots=True)
class _StartDeadline:
    """By when a job must start, and what that was worked out from."""

    job: Job
    priority: SchedulingPriority
    types: dict[str, MachineType]
    latest_start: float
    waits_for_spot_until: float  # up to when it has time to wait for the cheaper kind of machine


class JobPriorities:
    """Priority, waiting time and latest start of jobs, with all that depend on them."""

    def __init__(self, settings: Settings, cache: StateCache, time: ViewTime) -> None:
        self._cache = cache
        self._time = time
        self._start_within_s = (
            settings.start_objectives_s
        )  # by class, the objective for the time to start
        workers = settings.platform.deployment.workers
        self._report_s = workers.report_s
        self.aged_s = AGED_LEASES * workers.lease_s
        self._deadlines: dict[str, _StartDeadline] = {}

    def scheduling_priority(self, job: Job) -> SchedulingPriority:
        """Its priority and when it is due, with all that depend on it."""
        return self._cache.dependency_index.scheduling_priority(job, self.stage_s)

    def waiting_since(self, job: Job) -> float:
        """From when its times count."""
        return self._cache.dependency_index.ready_since(job)

    def waited_s(self, job: Job) -> float:
        """How long a job has waited, in seconds."""
        return self._time.wall_time - self.waiting_since(job)

    def latest_start(self, job: Job) -> float:
        """By when it must start to meet its objectives, or those of jobs that depend on it."""
        return self._deadline(job).latest_start

    def can_wait_for_boot(self, job: Job) -> bool:
        """Whether a job has time to wait for the cheaper kind of machine.

        Seen in a measured day: work with minutes to spare kept dear machines busy that had
        been rented for the few tasks that could not wait.
        """
        spec = job.spec
        if not spec.spot or spec.kind != ARRAY:
            return False
        deadline, wall = self._deadline(job), self._time.wall_time
        # Work without any objective would wait for ever where there is no cheaper kind.
        return (
            wall < deadline.waits_for_spot_until
            and deadline.latest_start - wall < _NO_OBJECTIVE_S / 2
        )

    def boot_s(self, spec: JobSpec) -> float:
        """How long a machine for a job takes to boot, in seconds."""
        boots = [kind.boot_s for kind in self._cache.machine_types.values() if kind.fits(spec)]
        return min(boots, default=0.0)

    def least_fetch_s(self, spec: JobSpec) -> float:
        """How long the fetch of a job's image takes at least, in seconds."""
        rates = [
            kind.fetch_gb_per_s for kind in self._cache.machine_types.values() if kind.fits(spec)
        ]
        return spec.image_gb / max([1e-6, *rates])

    def stage_s(self, spec: JobSpec) -> float:
        """How long a job takes once it may start, if there is capacity, in seconds."""
        return spec.estimate_s + self.least_fetch_s(spec) + self._report_s / 2

    def forget_finished(self) -> None:
        """Drop what is known of jobs that are not live any more."""
        jobs = self._cache.jobs
        self._deadlines = {name: known for name, known in self._deadlines.items() if name in jobs}

    def _deadline(self, job: Job) -> _StartDeadline:
        """As last worked out, while neither the job nor what it follows from has changed.

        Seen in a measured day: with some hundred jobs waiting, a third of each round of
        planning went into working this out again.
        """
        priority, types = self.scheduling_priority(job), self._cache.machine_types
        known = self._deadlines.get(job.id)
        if (
            known is not None
            and known.job is job
            and known.priority is priority
            and known.types is types
        ):
            return known
        spec = job.spec
        latest = self.waiting_since(job) + self._start_within_s.get(spec.job_class, _NO_OBJECTIVE_S)
        latest = min(latest, priority.due - self.stage_s(spec))
        waits_until = latest - _PATIENCE_BOOTS * self.boot_s(spec)
        deadline = _StartDeadline(job, priority, types, latest, waits_until)
        # What became of jobs that it depends on says from when its times count.
        if not job.dependencies:
            self._deadlines[job.id] = deadline
        return deadline
