"""Dependencies between jobs: which live jobs depend on which, and what came of these.

A job names the jobs that must be done before any of its tasks starts.  Whoever is named was
accepted before, so no cycle can arise.  How a named job ended is a fact that never changes once
it is known: done releases its dependents; cancelled cancels all of them, direct and indirect.
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
    """What a live job's dependencies mean for it."""

    READY = "ready"  # all of them are done
    WAITING = "waiting"  # some are live
    CANCELLED = "cancelled"  # one is cancelled, or has such an outcome itself
    UNKNOWN = "unknown"  # none is live, and how some ended must be read first


class DependencyIndex:
    """The dependencies of the live jobs, kept up to date by the state cache."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        """`jobs`: the live jobs by id, which the owner changes before it calls `update`."""
        self._jobs = jobs
        self._dependents: dict[str, dict[str, None]] = {}  # by job, those that name it
        self._dependencies: dict[str, tuple[str, ...]] = {}  # by job, those that it names
        self._finished: dict[str, FinishedJob] = {}  # only of jobs that live ones name
        self._to_cancel: dict[str, None] = {}
        self._priorities: dict[str, SchedulingPriority] = {}

    # Changes

    def update(self, job_id: str, old: Job | None, new: Job | None) -> None:
        """Take in that a job became live, changed, or is live no more (`new` is None)."""
        before = self._dependencies.get(job_id, ())
        after = new.dependencies if new is not None else ()
        if before != after:
            self._set_dependencies(job_id, before, after)
        if before != after or (old is None) != (new is None):
            self._priorities.clear()
        if new is None:
            # It is over, or will be read again: nothing is kept of it.
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
        """Take in how a job ended; False when no live job depends on it."""
        if job_id not in self._dependents:
            return False
        self._finished[job_id] = final
        if final.state == CANCELLED:
            self._cancel_dependents(job_id)
        return True

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
        """Whether a dependency is cancelled, or will be."""
        job = self._jobs.get(name)
        if job is not None:
            return job.cancelled or name in self._to_cancel
        finished = self._finished.get(name)
        return finished is not None and finished.state == CANCELLED

    def _cancel_dependents(self, job_id: str) -> None:
        """Note that all jobs that depend on one, directly or not, are to be cancelled."""
        stack = [job_id]
        while stack:
            for dependent in self._dependents.get(stack.pop(), ()):
                if dependent not in self._to_cancel:
                    self._to_cancel[dependent] = None
                    self._priorities.clear()
                    stack.append(dependent)

    # Questions

    def outcome(self, job: Job) -> DependencyOutcome:
        """What a live job's dependencies mean for it."""
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
        """Whether all dependencies of a live job are known to be done."""
        return not job.dependencies or self.outcome(job) is DependencyOutcome.READY

    def finished_job(self, name: str) -> FinishedJob | None:
        """How a job that live ones depend on ended, if that is known."""
        return self._finished.get(name)

    def jobs_to_cancel(self) -> Iterator[Job]:
        """The live jobs that must be cancelled because one of their dependencies is."""
        for job_id in self._to_cancel:
            job = self._jobs.get(job_id)
            if job is not None and not job.cancelled:
                yield job

    def unresolved(self) -> list[str]:
        """The dependencies that are not live and of which it is not known how they ended."""
        return [
            name
            for name in self._dependents
            if name not in self._finished and name not in self._jobs
        ]

    def unresolved_dependencies(self, job: Job) -> list[str]:
        """The unresolved ones among a job's direct and indirect dependencies.

        The job's own outcome is certain only when all of these have been read.
        """
        found: dict[str, None] = {}
        stack, seen = list(job.dependencies), set(job.dependencies)
        while stack:
            name = stack.pop()
            live = self._jobs.get(name)
            if live is not None:
                unseen = [n for n in live.dependencies if n not in seen]
                seen.update(unseen)
                stack += unseen
            elif name not in self._finished:
                found[name] = None
        return list(found)

    def dependents(self, name: str) -> Iterator[Job]:
        """The live jobs that depend directly on this one."""
        for job_id in self._dependents.get(name, ()):
            job = self._jobs.get(job_id)
            if job is not None:
                yield job

    def ready_since(self, job: Job) -> float:
        """The time of day from which a ready job's waiting time counts, in seconds.

        That is when it was submitted or when the last of its dependencies was done, whichever is
        later.
        """
        times = [job.submitted, job.ready or 0.0]
        finished_jobs = (self._finished.get(name) for name in job.dependencies)
        times += [final.at for final in finished_jobs if final is not None and final.at is not None]
        return max(times)

    def scheduling_priority(
        self, job: Job, stage_s: Callable[[JobSpec], float]
    ) -> SchedulingPriority:
        """The priority and due time of a job, with those inherited from its dependents.

        `stage_s`: how long a job takes once it may start, in seconds.
        """
        known = self._priorities.get(job.id)
        if known is not None:
            return known
        inherit_priorities(job.id, self._jobs, self._dependents_to_run, stage_s, self._priorities)
        return self._priorities.get(job.id) or SchedulingPriority(job.spec.priority, NEVER_DUE)

    def _dependents_to_run(self, name: str) -> Iterator[Job]:
        """The direct dependents that are not cancelled and will not be."""
        for job in self.dependents(name):
            if job.id not in self._to_cancel and not job.cancelled:
                yield job
