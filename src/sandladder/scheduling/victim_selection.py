"""The cheapest running tasks whose end makes a waiting task fit on a machine.

Pure: no I/O, no clock.
"""

from typing import NamedTuple

from sandladder.model import ARRAY, Attempt, Job, JobSpec, zones_allowed
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity, fits, machine_allowed
from sandladder.scheduling.machine_observations import MachineDeparture
from sandladder.scheduling.machine_selection import MachineSelector

# A task that is stopped may take so many times as long as its checkpoint takes.
GRACE = 1.5
# What the loss of a task costs where it writes a checkpoint first, as a share of its run.
_CHECKPOINTED_LOSS = 0.2


class WaitingTask(NamedTuple):
    """A task for which another is preempted."""

    job: str
    task: int

    def __str__(self) -> str:
        return f"{self.job}/{self.task}"


class PreemptionVictim(NamedTuple):
    """A running task that is to be stopped, and for what: more urgent work, or its move."""

    job: str
    task: int
    machine: str
    grace_s: float
    reason: WaitingTask | MachineDeparture


class _Running(NamedTuple):
    """A running task on a machine."""

    job: Job
    task: int
    attempt: Attempt


class VictimSelector:
    """Selects the tasks to preempt for a waiting one."""

    def __init__(self, cluster_view: ClusterView, selector: MachineSelector) -> None:
        self._cluster_view = cluster_view
        self._selector = selector

    def select(
        self,
        job: Job,
        task: int,
        within_s: float,
        chosen: set[tuple[str, int]],
        emptied: frozenset[str],
    ) -> list[PreemptionVictim] | None:
        """The cheapest set of tasks on one machine whose end frees enough for a waiting task.

        Args:
            job: the job of the waiting task.
            task: the waiting task.
            within_s: within which time it must start.
            chosen: tasks that are to be stopped for others.
            emptied: machines on which tasks are to be stopped for others.

        Returns:
            None if there is no such set, or if none is needed.
        """
        cluster_view, spec = self._cluster_view, job.spec
        zones = [attempt.zone for attempt in job.live.values()]
        in_time = self._selector.starts_in_time(job)
        waiting_task = WaitingTask(job.id, task)
        best: tuple[float, list[PreemptionVictim]] | None = None
        for machine, capacity in cluster_view.usable_free_capacities().items():
            if machine in emptied or not machine_allowed(spec, capacity):
                continue
            if not zones_allowed(spec, [*zones, capacity.zone]):
                continue
            if in_time is not None and not in_time(capacity):
                continue
            found = self._on_machine(capacity, spec, waiting_task, within_s, chosen)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return best[1] if best else None

    def _on_machine(
        self,
        capacity: FreeCapacity,
        spec: JobSpec,
        waiting_task: WaitingTask,
        within_s: float,
        chosen: set[tuple[str, int]],
    ) -> tuple[float, list[PreemptionVictim]] | None:
        """The tasks on one machine whose end frees enough for a waiting task, and their cost."""
        running = [_Running(*item) for item in self._cluster_view.cache.attempts_on(capacity.id)]
        if any(item.attempt.stop is not None for item in running):
            return None  # tasks are being stopped there already
        cpus, gpus, memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
        cost = 2 * self._cluster_view.fetch_s(spec, capacity)
        victims: list[PreemptionVictim] = []
        running.sort(key=lambda item: (item.job.spec.priority, -item.attempt.attempt, -item.task))
        for item in running:
            if fits(spec, cpus, gpus, memory_gb):
                break
            lesser = item.job.spec
            if lesser.priority >= spec.priority or lesser.kind != ARRAY:
                continue
            if (item.job.id, item.task) in chosen:
                continue
            cpus += lesser.cpus
            gpus += lesser.gpus
            memory_gb += lesser.memory_gb
            saves = lesser.checkpoint_s > 0 and 2 * lesser.save_s < within_s
            loss = _CHECKPOINTED_LOSS if saves else 1.0
            cost += (lesser.estimate_s * lesser.cpus / spec.cpus) * loss
            grace_s = GRACE * lesser.save_s if saves else 0.0
            victims.append(
                PreemptionVictim(item.job.id, item.task, capacity.id, grace_s, waiting_task)
            )
        if not victims or not fits(spec, cpus, gpus, memory_gb):
            return None
        return cost, victims
