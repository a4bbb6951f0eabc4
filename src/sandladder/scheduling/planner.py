"""A planning round: the choice of machines for waiting tasks, as far as there is capacity.

Decisions rest on a possibly stale cluster view and are checked again before the commit (see
`premises`).  Pure: no I/O, no clock; randomness comes from a seeded generator.
"""

import math
from collections.abc import Iterable, Iterator
from itertools import groupby, islice
from random import Random

import msgspec

from sandladder.model import GANG, HIGH, LOW, NO_USAGE, Job, JobSpec, Placement, TeamUsage
from sandladder.scheduling.candidates import CandidateIndex, ReservedMachines
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import FreeCapacity
from sandladder.scheduling.gate import Gate
from sandladder.scheduling.machine_selection import MachineFilter, MachineSelector
from sandladder.scheduling.premises import PendingStart
from sandladder.scheduling.reservation import Reservation
from sandladder.state import StoreLimits

# The limit on jobs with pending starts, in full transactions.
_MAX_PENDING_TRANSACTIONS = 2


class Planner:
    """Places the waiting tasks of the jobs that this controller schedules."""

    def __init__(self, cluster_view: ClusterView, limits: StoreLimits, rng: Random) -> None:
        self.cluster_view = cluster_view
        self.store_limits = limits
        self.selector = MachineSelector(cluster_view, rng)
        self.reservation = Reservation(cluster_view)
        # By job, the machines on which its tasks failed.
        self.failed_machines = cluster_view.job_failures.machines
        self.urgent = False  # whether a planned job of the last round was urgent

    @property
    def next_change_s(self) -> float:
        """The time, in seconds, after which a plan may differ without any other change."""
        return self.selector.next_change_s

    def max_live_tasks(self, spec: JobSpec) -> int:
        """Return how many tasks of a job may be live so that its record fits the store."""
        return min(spec.tasks, self.store_limits.max_live_tasks(len(msgspec.json.encode(spec))))

    def plan(
        self, owned: Iterable[Job], backing_off: dict[str, float], min_priority: int = LOW
    ) -> list[PendingStart]:
        """Place as many waiting tasks as fit and admit their pending starts to the gate.

        Urgent jobs and aged gangs of other controllers are placed too, but not admitted, so that
        the capacity they are about to take is not given to less urgent work.

        Args:
            owned: the jobs that this controller schedules.
            backing_off: by job, the time on the steady clock before which it is not planned.
            min_priority: the lowest priority that is planned.  Raised while the store is the
                bottleneck, so that no more starts are planned than can be written: otherwise
                twenty were planned for each that was written.

        Returns:
            The admitted pending starts.
        """
        cluster_view = self.cluster_view
        self.selector.next_change_s = math.inf
        planned = self._jobs_to_plan(owned, backing_off, min_priority)
        self.urgent = self._any_urgent(planned)
        pending = _PendingWork(cluster_view.gate)
        job_budget = _MAX_PENDING_TRANSACTIONS * self.store_limits.txn_ops - len(pending.by_job)
        if not planned or job_budget <= 0:
            return []  # further starts would be stale by the time of their commit
        jobs = self._jobs_in_order(planned)
        self.reservation.release_expired(jobs)
        min_cpus = min(job.spec.cpus for job in jobs)
        candidates = CandidateIndex(cluster_view.usable_free_capacities(min_cpus), cluster_view)
        reserved = ReservedMachines(self.reservation, candidates, cluster_view)
        admitted: list[PendingStart] = []
        for job, with_image_only in _placement_order(jobs, cluster_view):
            if job_budget <= 0:
                break
            reserved.hide_from(job)
            job_starts = pending.starts_of(job)
            placed = self._place(job, candidates, pending, with_image_only)
            if not placed:
                if not (job_starts or with_image_only) and self.reservation.may_reserve(job):
                    self._reserve(job, pending)
                continue
            if job.id in planned:
                if not job_starts:
                    job_budget -= 1
                self._admit(placed)
                admitted += placed
            job_starts += placed
        return admitted

    def _jobs_to_plan(
        self, owned: Iterable[Job], backing_off: dict[str, float], min_priority: int
    ) -> set[str]:
        """Return the IDs of the jobs whose tasks may start in this round."""
        cluster_view = self.cluster_view
        ready = cluster_view.cache.dependency_index.ready
        return {
            job.id
            for job in owned
            if job.waiting > 0
            and backing_off.get(job.id, 0.0) <= cluster_view.now
            and cluster_view.scheduling_priority(job).priority >= min_priority
            and ready(job)
        }

    def _any_urgent(self, planned: Iterable[str]) -> bool:
        jobs = self.cluster_view.cache.jobs
        return any(self._is_urgent(jobs[job_id]) for job_id in planned)

    def _is_urgent(self, job: Job) -> bool:
        return self.cluster_view.scheduling_priority(job).priority >= HIGH

    def _jobs_in_order(self, planned: set[str]) -> list[Job]:
        """Return the planned jobs and the other controllers' prioritized ones, in order.

        Prioritized jobs are urgent ones and aged gangs.  All controllers place them, and so keep
        the same machines free for them.
        """
        cluster_view = self.cluster_view
        ready = cluster_view.cache.dependency_index.ready
        jobs = [
            job
            for job in cluster_view.cache.jobs.values()
            if job.id in planned or (job.waiting > 0 and self._is_prioritized(job) and ready(job))
        ]
        jobs.sort(key=cluster_view.order_key)
        return jobs

    def _is_prioritized(self, job: Job) -> bool:
        return self._is_urgent(job) or (job.spec.kind == GANG and self.reservation.is_aged(job))

    def _admit(self, pending_starts: list[PendingStart]) -> None:
        for pending_start in pending_starts:
            self.cluster_view.gate.admit(pending_start, self.cluster_view)

    def _reserve(self, job: Job, pending: "_PendingWork") -> None:
        """Reserve machines for a job that found none, unless its team's limit blocks it."""
        usage = pending.usage_of_team(job.spec.team)
        headroom = self.cluster_view.team_headroom(job.spec.team).minus(usage)
        tasks_needed = job.waiting if job.spec.kind == GANG else 1
        if headroom.covers(job.spec, tasks_needed):
            self.reservation.reserve(job)

    def _place(
        self,
        job: Job,
        candidates: CandidateIndex,
        pending: "_PendingWork",
        with_image_only: bool,
    ) -> list[PendingStart]:
        """Place waiting tasks of a job, and subtract what they use from the candidates."""
        capacities = candidates.machines_for(job)
        if not capacities:
            return []
        pending_tasks = {start.placement.task for start in pending.starts_of(job)}
        count = self._startable_tasks(job, len(pending_tasks), pending)
        if count <= 0:
            return []
        chosen = self._choose_machines(job, capacities, pending, count, with_image_only)
        if not chosen or (job.spec.kind == GANG and len(chosen) < job.waiting):
            return []
        # Lazy, so that a large array's waiting tasks are not all listed in each round.
        tasks = islice((task for task in job.pending() if task not in pending_tasks), len(chosen))
        placed = []
        for task, capacity in zip(tasks, chosen, strict=True):
            candidates.consume(capacity.id, job.spec)
            placed.append(_pending_start(job, task, capacity))
        pending.add_usage(job.spec, len(placed))
        return placed

    def _startable_tasks(self, job: Job, pending_count: int, pending: "_PendingWork") -> int:
        """Return how many more tasks of a job may start, beside its pending ones."""
        cluster_view, spec = self.cluster_view, job.spec
        if spec.kind == GANG and (job.live or pending_count):
            return 0
        headroom = cluster_view.team_headroom(spec.team).minus(pending.usage_of_team(spec.team))
        max_tasks = headroom.tasks_within(spec, job.waiting)
        if spec.kind == GANG:
            if max_tasks < job.waiting:
                return 0
        else:
            max_tasks = min(max_tasks, self.max_live_tasks(spec) - len(job.live) - pending_count)
        count = min(max_tasks, job.waiting - pending_count)
        if count > 1 and cluster_view.gpu_protection.is_starved_of_gpu_machines(job):
            return 1  # one task at a time may use the GPU share
        return count

    def _choose_machines(
        self,
        job: Job,
        capacities: dict[str, FreeCapacity],
        pending: "_PendingWork",
        count: int,
        with_image_only: bool,
    ) -> list[FreeCapacity]:
        """Return machines for at most `count` tasks, optionally only ones that have the image."""
        cluster_view, spec = self.cluster_view, job.spec
        zones = [attempt.zone for attempt in job.live.values()]
        zones += [start.placement.zone for start in pending.starts_of(job)]
        is_suitable: MachineFilter | None = self.selector.in_time_filter(job)
        if with_image_only:
            with_image = cluster_view.images.candidates(spec.image)
            capacities = {name: capacities[name] for name in with_image if name in capacities}
            is_suitable = self._with_image_filter(spec, is_suitable)
        return self.selector.select(spec, capacities, zones, count, is_suitable)

    def _with_image_filter(self, spec: JobSpec, is_suitable: MachineFilter | None) -> MachineFilter:
        """Return a filter for machines that have a job's image and pass another filter."""
        fetch_s = self.cluster_view.fetch_s

        def is_suitable_with_image(capacity: FreeCapacity) -> bool:
            return fetch_s(spec, capacity) <= 0 and (is_suitable is None or is_suitable(capacity))

        return is_suitable_with_image


class _PendingWork:
    """The starts that are not committed yet, by job, and their teams' usage.

    Starts of other controllers' jobs, which are placed but not admitted, count too.
    """

    def __init__(self, gate: Gate) -> None:
        self.by_job: dict[str, list[PendingStart]] = {}
        self._usage: dict[str, TeamUsage] = {}
        for pending_start in gate.pending.values():
            self.by_job.setdefault(pending_start.spec.id, []).append(pending_start)
            self.add_usage(pending_start.spec, 1)

    def starts_of(self, job: Job) -> list[PendingStart]:
        """Return the mutable list of a job's pending starts."""
        return self.by_job.setdefault(job.id, [])

    def usage_of_team(self, team: str) -> TeamUsage:
        """Return the usage of a team's pending starts."""
        return self._usage.get(team, NO_USAGE)

    def add_usage(self, spec: JobSpec, tasks: int) -> None:
        """Add a number of a job's tasks to its team's usage."""
        self._usage[spec.team] = self.usage_of_team(spec.team).plus(spec, tasks)


def _pending_start(job: Job, task: int, capacity: FreeCapacity) -> PendingStart:
    placement = Placement(task, capacity.id, capacity.zone, capacity.agent_epoch)
    return PendingStart(job.spec, placement, capacity.reporting_controller, job.dependencies)


def _placement_order(jobs: list[Job], cluster_view: ClusterView) -> Iterator[tuple[Job, bool]]:
    """Yield the jobs in placement order, each with whether it needs machines that have its image.

    Jobs of equal priority are placed first on machines that have their images, and then on any
    machine, to avoid image fetches for short tasks.
    """
    for _, group in groupby(jobs, lambda job: cluster_view.scheduling_priority(job).priority):
        equal_priority = list(group)
        if len({job.spec.image for job in equal_priority}) > 1:
            yield from ((job, True) for job in equal_priority if job.spec.kind != GANG)
        yield from ((job, False) for job in equal_priority)
