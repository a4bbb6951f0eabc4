"""The priority and the due time that jobs inherit from those that depend on them.

Pure: no I/O, no clock.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from sandladder.model.jobs import Job, JobSpec

NEVER_DUE = float("inf")


class SchedulingPriority(NamedTuple):
    """How urgent a job is, together with all jobs that depend on it."""

    priority: int  # the higher, the more urgent
    due: float  # time of day by which it should be done, in seconds


def inherit_priorities(
    job_id: str,
    jobs: Mapping[str, Job],
    dependents_of: Callable[[str], Iterable[Job]],
    stage_s: Callable[[JobSpec], float],
    known: dict[str, SchedulingPriority],
) -> None:
    """Add to `known` the priority of a job and of all that depend on it, directly or not.

    Depth first without recursion: chains of dependencies may be longer than the call stack.

    Args:
        job_id: the job that is asked for; nothing is added for it when it is not live.
        jobs: the live jobs.
        dependents_of: the live jobs that depend directly on one and are not being cancelled.
        stage_s: how long a job takes once it may start, in seconds.
        known: what was found before; it is looked up and added to.
    """
    stack, path = [job_id], set()
    while stack:
        name = stack[-1]
        job = jobs.get(name)
        if name in known or job is None:
            stack.pop()
            continue
        dependents = list(dependents_of(name))
        missing = [d.id for d in dependents if d.id not in known and d.id not in path]
        if missing:
            path.add(name)
            stack += missing
            continue
        known[name] = _inherited(job, dependents, stage_s, known)
        stack.pop()


def _inherited(
    job: Job,
    dependents: Iterable[Job],
    stage_s: Callable[[JobSpec], float],
    known: Mapping[str, SchedulingPriority],
) -> SchedulingPriority:
    """The highest priority and the earliest due time among a job and its dependents.

    A dependent needs its own time, so the job is due that much before it.
    """
    spec = job.spec
    priority = spec.priority
    due = job.submitted + spec.deadline_s if spec.deadline_s is not None else NEVER_DUE
    for dependent in dependents:
        inherited = known.get(dependent.id)
        if inherited is None:
            continue  # a cycle, which no accepted jobs can form
        priority = max(priority, inherited.priority)
        due = min(due, inherited.due - stage_s(dependent.spec))
    return SchedulingPriority(priority, due)
