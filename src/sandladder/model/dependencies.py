"""The dependency graph of live jobs and the outcomes of their dependencies.

A job's dependencies are the jobs that must be done before any of its tasks starts.  They must be
accepted before the job, so the graph has no cycles.  A dependency's outcome is final: a done one
releases its dependents; a cancelled one cancels all of them, direct and indirect.
Pure: no I/O, no clock.
"""

import enum
from collections.abc import Callable, Iterable, Iterator

from sandladder.model.jobs import CANCELLED, FinishedJob, Job, JobSpec
from sandladder.model.scheduling_priority import (
    NEVER_DUE,
    SchedulingPriority,
    inherit_priorities,
)


class DependencyOutcome(enum.Enum):
    """The combined state of a live job's dependencies."""

    READY = "ready"  # all of them are done
    WAITING = "waiting"  # some are live
    CANCELLED = "cancelled"  # one is cancelled, or has a cancelled dependency itself
    UNKNOWN = "unknown"  # none is live, but the outcome of some has not been read yet


class DependencyIndex:
    """The dependencies of the live jobs; the state cache keeps it up to date."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        """Create an empty index.

        Args:
            jobs: the live jobs by id; the owner changes the mapping before it calls `update`.
        """
        self._jobs = jobs
        self._dependents: dict[str, dict[str, None]] = {}  # by job, the jobs that depend on it
        self._dependencies: dict[str, tuple[str, ...]] = {}  # by job, its dependencies
        self._finished: dict[str, FinishedJob] = {}  # only dependencies of live jobs
        self._to_cancel: dict[str, None] = {}
        self._priorities: dict[str, SchedulingPriority] = {}

    # Updates

    def update(self, job_id: str, old: Job | None, new: Job | None) -> None:
        """Update the index after a job was added, changed or removed (`new` is None)."""
        before = self._dependencies.get(job_id, ())
        after = new.dependencies if new is not None else ()
        if before != after:
            self._set_dependencies(job_id, before, after)
        if before != after or (old is None) != (new is None):
            self._priorities.clear()
        if new is None:
            # The job is finished, or it will be read from the store again.
            self._to_cancel.pop(job_id, None)
            return
        if after and job_id not in self._to_cancel and any(map(self._is_cancelled, after)):
            self._to_cancel[job_id] = None
            self._priorities.clear()
            self._cancel_dependents(job_id)
        if new.cancelled and (old is None or not old.cancelled):
            self._priorities.clear()
            self._cancel_dependents(job_id)

    def note_finished(self, job_id: str, final: FinishedJob) -> bool:
        """Record how a job ended; return False if no live job depends on it."""
        if job_id not in self._dependents:
            return False
        self._finished[job_id] = final
        if final.state == CANCELLED:
            self._cancel_dependents(job_id)
        return True

    def forget_finished(self, job_id: str, final: FinishedJob) -> None:
        """Drop an outcome whose record no longer exists, unless a later one was recorded."""
        if self._finished.get(job_id) == final:
            del self._finished[job_id]

    def _set_dependencies(self, job_id: str, before: Iterable[str], after: tuple[str, ...]) -> None:
        for name in before:
            dependents = self._dependents[name]
            dependents.pop(job_id, None)
            if not dependents:
                del self._dependents[name]
                self._finished.pop(name, None)
        for name in after:
            self._dependents.setdefault(name, {})[job_id] = None
        if after:
            self._dependencies[job_id] = after
        else:
            self._dependencies.pop(job_id, None)

    def _is_cancelled(self, name: str) -> bool:
        """Return whether a dependency is cancelled or is to be cancelled."""
        job = self._jobs.get(name)
        if job is not None:
            return job.cancelled or name in self._to_cancel
        finished = self._finished.get(name)
        return finished is not None and finished.state == CANCELLED

    def _cancel_dependents(self, job_id: str) -> None:
        """Mark all direct and indirect dependents of a job for cancellation."""
        stack = [job_id]
        while stack:
            for dependent in self._dependents.get(stack.pop(), ()):
                if dependent not in self._to_cancel:
                    self._to_cancel[dependent] = None
                    self._priorities.clear()
                    stack.append(dependent)

    # Queries

    def outcome(self, job: Job) -> DependencyOutcome:
        """Return the combined state of a live job's dependencies."""
        if not job.dependencies:
            return DependencyOutcome.READY
        if job.id in self._to_cancel:
            return DependencyOutcome.CANCELLED
        unfinished = [name for name in job.dependencies if name not in self._finished]
        if not unfinished:
            return DependencyOutcome.READY
        if any(name in self._jobs for name in unfinished):
            return DependencyOutcome.WAITING
        return DependencyOutcome.UNKNOWN

    def ready(self, job: Job) -> bool:
        """Return whether all dependencies of a live job are known to be done."""
        return not job.dependencies or self.outcome(job) is DependencyOutcome.READY

    def finished_job(self, name: str) -> FinishedJob | None:
        """Return how a dependency of live jobs ended, or None if that is unknown."""
        return self._finished.get(name)

    def jobs_to_cancel(self) -> Iterator[Job]:
        """Yield the live jobs to cancel because a dependency of theirs is cancelled."""
        for job_id in self._to_cancel:
            job = self._jobs.get(job_id)
            if job is not None and not job.cancelled:
                yield job

    def unresolved(self) -> list[str]:
        """Return the dependencies that are not live and whose outcome is unknown."""
        return [
            name
            for name in self._dependents
            if name not in self._finished and name not in self._jobs
        ]

    def unresolved_dependencies(self, *jobs: Job) -> list[str]:
        """Return the direct and indirect dependencies of live jobs that are unresolved.

        The result of `outcome` is final only after all of them have been read.
        """
        unresolved: dict[str, None] = {}
        seen = {name: None for job in jobs for name in job.dependencies}
        stack = list(seen)
        while stack:
            name = stack.pop()
            live = self._jobs.get(name)
            if live is not None:
                unseen = [n for n in live.dependencies if n not in seen]
                seen |= dict.fromkeys(unseen)
                stack += unseen
            elif name not in self._finished:
                unresolved[name] = None
        return list(unresolved)

    def dependents(self, name: str) -> Iterator[Job]:
        """Yield the live jobs that depend directly on a job."""
        for job_id in self._dependents.get(name, ()):
            job = self._jobs.get(job_id)
            if job is not None:
                yield job

    def ready_since(self, job: Job) -> float:
        """Return the time of day from which a ready job's waiting time counts, in seconds.

        This is the later of its submission and the time at which its last dependency was done.
        """
        times = [job.submitted, job.ready or 0.0]
        finished_jobs = (self._finished.get(name) for name in job.dependencies)
        times += [final.at for final in finished_jobs if final is not None and final.at is not None]
        return max(times)

    def scheduling_priority(
        self, job: Job, duration_s: Callable[[JobSpec], float]
    ) -> SchedulingPriority:
        """Return a job's priority and due time, including those inherited from its dependents.

        Args:
            job: a live job.
            duration_s: estimates a job's time from ready to done, in seconds.
        """
        cached = self._priorities.get(job.id)
        if cached is not None:
            return cached
        inherit_priorities(
            job.id, self._jobs, self._dependents_to_run, duration_s, self._priorities
        )
        return self._priorities.get(job.id) or SchedulingPriority(job.spec.priority, NEVER_DUE)

    def _dependents_to_run(self, name: str) -> Iterator[Job]:
        """Yield the direct dependents that are neither cancelled nor to be cancelled."""
        for job in self.dependents(name):
            if job.id not in self._to_cancel and not job.cancelled:
                yield job
