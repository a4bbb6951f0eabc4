"""Keeps machines with GPUs usable for the jobs that need GPUs (docs/design.md).  Pure."""

import math

from sandladder.model import Job, JobSpec
from sandladder.scheduling.job_priorities import JobPriorities
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache


class GpuProtection:
    """Which jobs leave a machine's free GPUs the cores and memory that belong to them."""

    def __init__(self, cache: StateCache, priorities: JobPriorities, time: ViewTime) -> None:
        self._cache = cache
        self._priorities = priorities
        self._time = time
        self._started_at: dict[str, float] = {}  # when a task of a job was last started
        self._wanted_as_of = (-1, False)  # a revision of the records, and the answer then

    def avoids_gpus(self, spec: JobSpec) -> bool:
        """Whether a job's tasks need no GPU and fit a type that has none, while others need them.

        Seen in a measured day: arrays of small tasks filled the machines with GPUs, and gangs
        that need whole ones found none free.
        """
        if spec.gpus > 0 or not self._gpus_wanted():
            return False
        return any(
            kind.gpus == 0 and kind.fits(spec) for kind in self._cache.machine_types.values()
        )

    def keeps_gpus_free(self, job: Job) -> bool:
        """Whether a job leaves free GPUs what they may need; not once it is starved."""
        return self.avoids_gpus(job.spec) and not self._starved(job)

    def is_starved_of_gpu_machines(self, job: Job) -> bool:
        """Whether a job that was to leave free GPUs alone has waited so long that it need not."""
        return self.avoids_gpus(job.spec) and self._starved(job)

    def note_start(self, job_id: str) -> None:
        """Record that a task of a job was started."""
        self._started_at[job_id] = self._time.now

    def forget_finished(self) -> None:
        """Drop what is known of jobs that are not live any more."""
        jobs = self._cache.jobs
        self._started_at = {name: at for name, at in self._started_at.items() if name in jobs}

    def _gpus_wanted(self) -> bool:
        """Whether any live job needs GPUs; looked for once for each revision of the records."""
        if self._wanted_as_of[0] != self._cache.revision:
            wanted = any(job.spec.gpus > 0 for job in self._cache.jobs.values())
            self._wanted_as_of = self._cache.revision, wanted
        return self._wanted_as_of[1]

    def _starved(self, job: Job) -> bool:
        """Whether nothing of a job has been started for long, as far as this process saw."""
        started_at = self._started_at.get(job.id, -math.inf)
        idle_s = min(self._priorities.waited_s(job), self._time.now - started_at)
        return idle_s > self._priorities.aged_s
