"""Protection of GPU machines from jobs that need no GPUs (docs/design.md).  Pure."""

import math

from sandladder.model import Job, JobSpec
from sandladder.scheduling.job_priorities import JobPriorities
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache


class GpuProtection:
    """Decides which jobs must leave the GPU share of machines unused.

    A machine's GPU share is its cores and memory in proportion to its free GPUs.
    """

    def __init__(self, cache: StateCache, priorities: JobPriorities, time: ViewTime) -> None:
        self._cache = cache
        self._priorities = priorities
        self._time = time
        self._started_at: dict[str, float] = {}  # by job, its last start on the steady clock
        self._gpus_wanted_cached = (-1, False)  # the store revision, and the result at it

    def avoids_gpus(self, spec: JobSpec) -> bool:
        """Return whether a job's tasks fit a type without GPUs while other jobs need GPUs.

        Otherwise small tasks would fill GPU machines, and gangs that need whole ones would starve.
        """
        if spec.gpus > 0 or not self._gpus_wanted():
            return False
        return any(
            kind.gpus == 0 and kind.fits(spec) for kind in self._cache.machine_types.values()
        )

    def must_leave_gpu_share(self, job: Job) -> bool:
        """Return whether a job must leave the GPU share unused; False once the job starves."""
        return self.avoids_gpus(job.spec) and not self._starved(job)

    def is_starved_of_gpu_machines(self, job: Job) -> bool:
        """Return whether a job may use the GPU share only because it starves."""
        return self.avoids_gpus(job.spec) and self._starved(job)

    def note_start(self, job_id: str) -> None:
        """Record that a task of a job was started."""
        self._started_at[job_id] = self._time.now

    def forget_finished(self) -> None:
        """Drop the start times of jobs that are no longer live."""
        jobs = self._cache.jobs
        self._started_at = {name: at for name, at in self._started_at.items() if name in jobs}

    def _gpus_wanted(self) -> bool:
        """Return whether any live job needs GPUs, computed once for each store revision."""
        if self._gpus_wanted_cached[0] != self._cache.revision:
            wanted = any(job.spec.gpus > 0 for job in self._cache.jobs.values())
            self._gpus_wanted_cached = self._cache.revision, wanted
        return self._gpus_wanted_cached[1]

    def _starved(self, job: Job) -> bool:
        """Return whether a job has aged and this process has seen no recent start of its tasks."""
        started_at = self._started_at.get(job.id, -math.inf)
        idle_s = min(self._priorities.waited_s(job), self._time.now - started_at)
        return idle_s > self._priorities.aged_after_s
