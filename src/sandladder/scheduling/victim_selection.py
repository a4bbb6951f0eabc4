"""Selection of the cheapest running tasks to preempt for a waiting task.

Pure: no I/O, no clock.
"""

import enum
from typing import NamedTuple

from sandladder.model import ARRAY, Attempt, Job, JobSpec, zones_allowed
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity, machine_allowed
from sandladder.scheduling.machine_observations import MachineDeparture
from sandladder.scheduling.machine_selection import MachineSelector

# The grace period of a stopped task, as a multiple of the time that it takes to save its state.
GRACE_SAVE_TIME_FACTOR = 1.5
# The share of a task's run that is lost if it writes a checkpoint before it is stopped.
_CHECKPOINTED_LOSS = 0.2


class WaitingTask(NamedTuple):
    """A waiting task for which others are preempted."""

    job: str
    task: int

    def __str__(self) -> str:
        return f"{self.job}/{self.task}"


class MachineExcess(enum.StrEnum):
    """What a machine has too much of."""

    TASKS = "a machine with more tasks than its heartbeat can list"


class PreemptionVictim(NamedTuple):
    """A running task to stop, for a more urgent task or because its machine is about to leave."""

    job: str
    task: int
    machine: str
    grace_s: float
    reason: WaitingTask | MachineDeparture | MachineExcess


class _Running(NamedTuple):
    """A running task on a machine."""

    job: Job
    task: int
    attempt: Attempt


class VictimSelector:
    """Selects the tasks to preempt for a waiting task."""

    def __init__(self, cluster_view: ClusterView, selector: MachineSelector) -> None:
        self._cluster_view = cluster_view
        self._selector = selector

    def select(
        self,
        job: Job,
        task: int,
        within_s: float,
        chosen: set[tuple[str, int]],
        machines_with_stops: frozenset[str],
    ) -> list[PreemptionVictim] | None:
        """Return the cheapest set of tasks on one machine to preempt for a waiting task.

        Args:
            job: the job of the waiting task.
            task: the number of the waiting task.
            within_s: the time within which it must start, in seconds.
            chosen: tasks that are already preempted for other tasks, by job and number.
            machines_with_stops: machines on which tasks are to be stopped for other tasks.

        Returns:
            None if there is no such set, or if none is needed.
        """
        cluster_view, spec = self._cluster_view, job.spec
        zones = [attempt.zone for attempt in job.live.values()]
        is_in_time = self._selector.in_time_filter(job)
        waiting_task = WaitingTask(job.id, task)
        best: tuple[float, list[PreemptionVictim]] | None = None
        for machine, capacity in cluster_view.usable_free_capacities().items():
            if machine in machines_with_stops or not machine_allowed(spec, capacity):
                continue
            if not zones_allowed(spec, [*zones, capacity.zone]):
                continue
            if is_in_time is not None and not is_in_time(capacity):
                continue
            selection = self._select_on_machine(capacity, spec, waiting_task, within_s, chosen)
            if selection is not None and (best is None or selection[0] < best[0]):
                best = selection
        return best[1] if best else None

    def _select_on_machine(
        self,
        capacity: FreeCapacity,
        spec: JobSpec,
        waiting_task: WaitingTask,
        within_s: float,
        chosen: set[tuple[str, int]],
    ) -> tuple[float, list[PreemptionVictim]] | None:
        """Return the tasks on a machine to preempt for a waiting task, and their cost, or None."""
        running = [_Running(*item) for item in self._cluster_view.cache.attempts_on(capacity.id)]
        if any(item.attempt.stop_grace_s is not None for item in running):
            return None  # its capacity after these stops is not known yet
        remaining = capacity
        cost = 2 * self._cluster_view.fetch_s(spec, capacity)
        victims: list[PreemptionVictim] = []
        running.sort(key=lambda item: (item.job.spec.priority, -item.attempt.attempt, -item.task))
        for item in running:
            if remaining.can_take(spec):
                break
            victim_spec = item.job.spec
            if victim_spec.priority >= spec.priority or victim_spec.kind != ARRAY:
                continue
            if (item.job.id, item.task) in chosen:
                continue
            remaining = remaining.plus(victim_spec)
            writes_checkpoint = victim_spec.checkpoint_s > 0 and 2 * victim_spec.save_s < within_s
            loss = _CHECKPOINTED_LOSS if writes_checkpoint else 1.0
            cost += (victim_spec.estimate_s * victim_spec.cpus / spec.cpus) * loss
            grace_s = GRACE_SAVE_TIME_FACTOR * victim_spec.save_s if writes_checkpoint else 0.0
            victims.append(
                PreemptionVictim(item.job.id, item.task, capacity.id, grace_s, waiting_task)
            )
        if not victims or not remaining.can_take(spec):
            return None
        return cost, victims
