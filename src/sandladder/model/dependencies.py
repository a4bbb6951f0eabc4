"""Jobs that wait for others: who waits for whom, what became of it, and what it makes urgent.

A job names the jobs that must be done before any of its tasks starts.  Whoever is named was
accepted before, so no cycle can arise.  What a named job came to is a fact that never changes
once it is known: done releases, cancelled dooms all that need it, directly or through others.
Pure: no I/O, no clock.
"""

import enum
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from sandladder.model.jobs import CANCELLED, FinishedJob, Job, JobSpec


class DependencyOutcome(enum.Enum):
    """What the jobs that a live job names mean for it."""

    READY = "ready"  # all of them are done
    WAITS = "waits"  # some are live
    DOOMED = "doomed"  # one is cancelled, or doomed itself
    UNKNOWN = "unknown"  # none is live, and what became of some must be read first


class SchedulingPriority(NamedTuple):
    """How urgent a job is, with all that need it: priority, and when it is due."""

    priority: int
    due: float  # time of day


_NEVER = float("inf")


class DependencyIndex:
    """An index over the live jobs, kept up by the mirror."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        self._jobs = jobs  # the live jobs
        self._needed_by: dict[str, dict[str, None]] = {}  # by the job named, those that name it
        self._awaits: dict[str, tuple[str, ...]] = {}
        self._settled: dict[str, FinishedJob] = {}  # only of jobs that live ones name
        self._doomed: dict[str, None] = {}
        self._outlooks: dict[str, SchedulingPriority] = {}

    # Changes

    def changed(self, job_id: str, old: Job | None, new: Job | None) -> None:
        """A live job came, changed or went."""
        before = self._awaits.get(job_id, ())
        after = new.dependencies if new is not None else ()
        if before != after:
            self._name(job_id, before, after)
        if before != after or (old is None) != (new is None):
            self._outlooks.clear()
        if new is None:
            # It is over, or will be read again: its fate is not ours to keep.
            self._doomed.pop(job_id, None)
            return
        if after and job_id not in self._doomed and any(self._condemns(name) for name in after):
            self._doom(job_id)
        if new.cancelled and (old is None or not old.cancelled):
            self._outlooks.clear()
            self._doom_needers(job_id)

    def settle(self, job_id: str, final: FinishedJob) -> bool:
        """A job is over; whether a live one names it."""
        if job_id not in self._needed_by:
            return False
        self._settled[job_id] = final
        if final.state == CANCELLED:
            self._doom_needers(job_id)
        return True

    def _name(self, job_id: str, before: Iterable[str], after: tuple[str, ...]) -> None:
        for name in before:
            needers = self._needed_by[name]
            needers.pop(job_id, None)
            if not needers:
                del self._needed_by[name]
                self._settled.pop(name, None)
        for name in after:
            self._needed_by.setdefault(name, {})[job_id] = None
        if after:
            self._awaits[job_id] = after
        else:
            self._awaits.pop(job_id, None)

    def _condemns(self, name: str) -> bool:
        """Whether a named job is cancelled, or will be."""
        job = self._jobs.get(name)
        if job is not None:
            return job.cancelled or name in self._doomed
        settled = self._settled.get(name)
        return settled is not None and settled.state == CANCELLED

    def _doom(self, job_id: str) -> None:
        self._doomed[job_id] = None
        self._outlooks.clear()
        self._doom_needers(job_id)

    def _doom_needers(self, job_id: str) -> None:
        """Condemn all that need a job, directly or through others."""
        stack = [job_id]
        while stack:
            for needer in self._needed_by.get(stack.pop(), ()):
                if needer not in self._doomed:
                    self._doomed[needer] = None
                    self._outlooks.clear()
                    stack.append(needer)

    # Questions

    def fate(self, job: Job) -> DependencyOutcome:
        """What the jobs that it names mean for a live job."""
        if not job.dependencies:
            return DependencyOutcome.READY
        if job.id in self._doomed:
            return DependencyOutcome.DOOMED
        names = [name for name in job.dependencies if name not in self._settled]
        if not names:
            return DependencyOutcome.READY
        return (
            DependencyOutcome.WAITS
            if any(name in self._jobs for name in names)
            else DependencyOutcome.UNKNOWN
        )

    def ready(self, job: Job) -> bool:
        return not job.dependencies or self.fate(job) is DependencyOutcome.READY

    def settled(self, name: str) -> FinishedJob | None:
        """What a named job came to, if that is known."""
        return self._settled.get(name)

    def doomed(self) -> Iterator[Job]:
        """Live jobs that must be cancelled because one that they need is."""
        for job_id in self._doomed:
            job = self._jobs.get(job_id)
            if job is not None and not job.cancelled:
                yield job

    def unknown(self) -> list[str]:
        """Named jobs that are not live and of which it is not known what they came to."""
        return [
            name for name in self._needed_by if name not in self._settled and name not in self._jobs
        ]

    def uncertain(self, job: Job) -> list[str]:
        """Jobs of which it must be read what they came to, before this one's fate is certain."""
        found: dict[str, None] = {}
        stack, seen = list(job.dependencies), set(job.dependencies)
        while stack:
            name = stack.pop()
            live = self._jobs.get(name)
            if live is not None:
                more = [n for n in live.dependencies if n not in seen]
                seen.update(more)
                stack += more
            elif name not in self._settled:
                found[name] = None
        return list(found)

    def needers(self, name: str) -> Iterator[Job]:
        """The live jobs that name this one."""
        for job_id in self._needed_by.get(name, ()):
            job = self._jobs.get(job_id)
            if job is not None:
                yield job

    def since(self, job: Job) -> float:
        """From when a ready job's times count: when the last job that it needs was done."""
        times = [job.submitted, job.ready or 0.0]
        finished_jobs = (self._settled.get(name) for name in job.dependencies)
        times += [final.at for final in finished_jobs if final is not None and final.at is not None]
        return max(times)

    def outlook(self, job: Job, stage_s: Callable[[JobSpec], float]) -> SchedulingPriority:
        """The highest priority and the earliest time due among a job and all that need it.

        What follows needs its own time, so a job is due that much before those that need it.
        """
        known = self._outlooks
        if job.id in known:
            return known[job.id]
        stack, path = [job.id], set()
        while stack:
            name = stack[-1]
            found = self._jobs.get(name)
            if name in known or found is None:
                stack.pop()
                continue
            needers = [
                n for n in self.needers(name) if n.id not in self._doomed and not n.cancelled
            ]
            missing = [n.id for n in needers if n.id not in known and n.id not in path]
            if missing:
                path.add(name)
                stack += missing
                continue
            spec = found.spec
            priority = spec.priority
            due = found.submitted + spec.deadline_s if spec.deadline_s is not None else _NEVER
            for needer in needers:
                after = known.get(needer.id)
                if after is None:
                    continue  # a circle of names, which no accepted jobs can form
                priority = max(priority, after.priority)
                due = min(due, after.due - stage_s(needer.spec))
            known[name] = SchedulingPriority(priority, due)
            stack.pop()
        return known.get(job.id) or SchedulingPriority(job.spec.priority, _NEVER)
