"""Choice of tasks to move off machines with more tasks than their heartbeats can list.

Controllers of this version do not put that many tasks on a machine, but those of an earlier version
did.  Pure: no I/O, no clock.
"""

from collections.abc import Iterator

from sandladder.model import Attempt, Job
from sandladder.protocol.agent_limits import MAX_LISTED_TASKS
from sandladder.state import StateCache


def excess_attempts(cache: StateCache) -> Iterator[tuple[Job, int, Attempt]]:
    """Yield the (job, task, attempt) of the live attempts that their machines cannot list.

    They are those of the lowest priorities.  All controllers choose the same ones, as the order
    depends on the records only.
    """
    for machine, tasks in cache.attempts_by_machine.items():
        if len(tasks) > MAX_LISTED_TASKS:
            attempts = sorted(cache.attempts_on(machine), key=_stay_order)
            yield from attempts[MAX_LISTED_TASKS:]


def _stay_order(item: tuple[Job, int, Attempt]) -> tuple[int, str, int]:
    """Return the sort key of an attempt; the first ones stay on their machine."""
    job, task, _ = item
    return -job.spec.priority, job.id, task
