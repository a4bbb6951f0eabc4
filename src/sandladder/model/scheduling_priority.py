"""The priority and the due time that jobs inherit from their dependents.

Pure: no I/O, no clock.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from sandladder.model.jobs import Job, JobSpec

NEVER_DUE = float("inf")


class SchedulingPriority(NamedTuple):
    """A job's priority and due time, including those inherited from its dependents."""

    priority: int  # a larger number is more urgent
    due: float  # the time of day by which the job should be done, in seconds


def inherit_priorities(
    job_id: str,
    jobs: Mapping[str, Job],
    dependents_of: Callable[[str], Iterable[Job]],
    duration_s: Callable[[JobSpec], float],
    priorities: dict[str, SchedulingPriority],
) -> None:
    """Add the priorities of a job and all its direct and indirect dependents to `priorities`.

    An iterative depth-first search: dependency chains may be deeper than the recursion limit.

    Args:
        job_id: the job's id; a job that is not live is ignored.
        jobs: the live jobs by id.
        dependents_of: returns the direct dependents of a job that are live and not cancelled.
        duration_s: estimates a job's time from ready to done, in seconds.
        priorities: the priorities computed so far, by job; extended in place.
    """
    stack, path = [job_id], set()
    while stack:
        name = stack[-1]
        job = jobs.get(name)
        if name in priorities or job is None:
            stack.pop()
            continue
        dependents = list(dependents_of(name))
        missing = [d.id for d in dependents if d.id not in priorities and d.id not in path]
        if missing:
            path.add(name)
            stack += missing
            continue
        priorities[name] = _inherited(job, dependents, duration_s, priorities)
        stack.pop()


def _inherited(
    job: Job,
    dependents: Iterable[Job],
    duration_s: Callable[[JobSpec], float],
    priorities: Mapping[str, SchedulingPriority],
) -> SchedulingPriority:
    """Return the highest priority and the earliest due time among a job and its dependents.

    A dependent counts with its due time minus its own duration.
    """
    spec = job.spec
    priority = spec.priority
    due = job.submitted + spec.deadline_s if spec.deadline_s is not None else NEVER_DUE
    for dependent in dependents:
        inherited = priorities.get(dependent.id)
        if inherited is None:
            continue  # a cycle; accepted jobs cannot form one
        priority = max(priority, inherited.priority)
        due = min(due, inherited.due - duration_s(dependent.spec))
    return SchedulingPriority(priority, due)
