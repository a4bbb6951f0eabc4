"""A round of planning: a machine for each waiting task, as far as there is capacity.

Decided on the cluster view as it is, and checked again before it is committed (see `premises`).
Pure: no I/O, no clock; randomness comes from a seeded generator.
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
from sandladder.scheduling.machine_selection import MachineSelector, Suits
from sandladder.scheduling.premises import PendingStart
from sandladder.scheduling.reservation import Reservation
from sandladder.state import StoreLimits

# Jobs with pending starts at a time, in changes that one full commit may carry.
_FULL_COMMITS = 2


class Planner:
    """Places the waiting tasks of the jobs that this controller schedules."""

    def __init__(self, cluster_view: ClusterView, limits: StoreLimits, rng: Random) -> None:
        self.cluster_view = cluster_view
        self.store_limits = limits
        self.selector = MachineSelector(cluster_view, rng)
        self.reservation = Reservation(cluster_view)
        self.failed_machines = (
            self.selector.failed_machines
        )  # by job, the machines that it failed on
        self.urgent = False  # whether work that must start at once waited in the last round

    @property
    def next_change_s(self) -> float:
        """After so long, in seconds, a plan may look different by itself."""
        return self.selector.next_change_s

    def most_live(self, spec: JobSpec) -> int:
        """How many tasks of a job may be live, for its record to fit the store."""
        return min(spec.tasks, self.store_limits.max_live_tasks(len(msgspec.json.encode(spec))))

    def plan(
        self, owned: Iterable[Job], backing_off: dict[str, float], least: int = LOW
    ) -> list[PendingStart]:
        """Admit pending starts for as many waiting tasks as fit.

        More urgent jobs of other controllers are placed too, but not admitted: the capacity that
        they are about to take, or that was freed for them, is not given to lesser work.

        Args:
            owned: the jobs that this controller schedules.
            backing_off: jobs that are not planned, until when on the steady clock.
            least: the least priority of the jobs that are planned.  Seen in a measured day: with
                the store as the bottleneck, twenty starts were planned for each that could be
                written.

        Returns:
            The pending starts that were admitted to the gate.
        """
        cluster_view = self.cluster_view
        self.selector.next_change_s = math.inf
        planned = self._planned(owned, backing_off, least)
        self.urgent = self._any_urgent(planned)
        pending = _PendingWork(cluster_view.gate)
        budget = _FULL_COMMITS * self.store_limits.txn_ops - len(pending.by_job)
        if not planned or budget <= 0:
            return []  # more than can be committed soon would only grow stale
        jobs = self._in_order(planned)
        self.reservation.release_expired(jobs)
        least_cpus = min(job.spec.cpus for job in jobs)
        candidates = CandidateIndex(cluster_view.usable_free_capacities(least_cpus), cluster_view)
        reserved = ReservedMachines(self.reservation, candidates, cluster_view)
        admitted: list[PendingStart] = []
        for job, with_image_only in _turns(jobs, cluster_view):
            if budget <= 0:
                break
            reserved.apply_for(job)
            known = pending.of_job(job)
            placed = self._place(job, candidates, pending, with_image_only)
            if not placed:
                if not (known or with_image_only) and self.reservation.may_reserve(job):
                    self._reserve(job, pending)
                continue
            if job.id in planned:
                if not known:
                    budget -= 1
                self._admit(placed)
                admitted += placed
            known += placed
        return admitted

    def _planned(self, owned: Iterable[Job], backing_off: dict[str, float], least: int) -> set[str]:
        """The jobs whose tasks are to be started in this round."""
        cluster_view = self.cluster_view
        ready = cluster_view.cache.dependency_index.ready
        return {
            job.id
            for job in owned
            if job.waiting > 0
            and backing_off.get(job.id, 0.0) <= cluster_view.now
            and cluster_view.scheduling_priority(job).priority >= least
            and ready(job)
        }

    def _any_urgent(self, planned: Iterable[str]) -> bool:
        jobs = self.cluster_view.cache.jobs
        return any(self._is_urgent(jobs[job_id]) for job_id in planned)

    def _is_urgent(self, job: Job) -> bool:
        return self.cluster_view.scheduling_priority(job).priority >= HIGH

    def _in_order(self, planned: set[str]) -> list[Job]:
        """The planned jobs, and those of other controllers that capacity is kept for, in order.

        These are urgent ones, and gangs that have waited long: all controllers keep the same
        machines free for them.
        """
        cluster_view = self.cluster_view
        ready = cluster_view.cache.dependency_index.ready
        jobs = [
            job
            for job in cluster_view.cache.jobs.values()
            if job.id in planned or (job.waiting > 0 and self._keeps_capacity(job) and ready(job))
        ]
        jobs.sort(key=cluster_view.order_key)
        return jobs

    def _keeps_capacity(self, job: Job) -> bool:
        return self._is_urgent(job) or (job.spec.kind == GANG and self.reservation.aged(job))

    def _admit(self, pending_starts: list[PendingStart]) -> None:
        for pending_start in pending_starts:
            self.cluster_view.gate.admit(pending_start, self.cluster_view)

    def _reserve(self, job: Job, pending: "_PendingWork") -> None:
        """Reserve machines for a job that found none, unless its team's limit keeps it waiting."""
        usage = pending.usage(job.spec.team)
        left = self.cluster_view.team_headroom(job.spec.team).minus(usage)
        need = job.waiting if job.spec.kind == GANG else 1
        if left.covers(job.spec, need):
            self.reservation.reserve(job)

    def _place(
        self,
        job: Job,
        candidates: CandidateIndex,
        pending: "_PendingWork",
        with_image_only: bool,
    ) -> list[PendingStart]:
        """Place waiting tasks of a job, and use up what they need of the candidates."""
        capacities = candidates.of(job)
        if not capacities:
            return []
        taken = {start.placement.task for start in pending.of_job(job)}
        count = self._count(job, len(taken), pending)
        if count <= 0:
            return []
        chosen = self._choose(job, capacities, pending, count, with_image_only)
        if not chosen or (job.spec.kind == GANG and len(chosen) < job.waiting):
            return []
        # Which tasks they are is looked up for those alone that found a machine.  Seen in a
        # measured day: all waiting tasks of arrays of two thousand were listed in each round.
        tasks = islice((task for task in job.pending() if task not in taken), len(chosen))
        placed = []
        for task, capacity in zip(tasks, chosen, strict=True):
            candidates.take(capacity.id, job.spec)
            placed.append(_pending_start(job, task, capacity))
        pending.add_usage(job.spec, len(placed))
        return placed

    def _count(self, job: Job, taken: int, pending: "_PendingWork") -> int:
        """How many tasks of a job may be started, next to so many that are about to."""
        cluster_view, spec = self.cluster_view, job.spec
        if spec.kind == GANG and (job.live or taken):
            return 0
        left = cluster_view.team_headroom(spec.team).minus(pending.usage(spec.team))
        most = left.tasks_within(spec, job.waiting)
        if spec.kind == GANG:
            if most < job.waiting:
                return 0
        else:
            most = min(most, self.most_live(spec) - len(job.live) - taken)
        count = min(most, job.waiting - taken)
        if count > 1 and cluster_view.gpu_protection.is_starved_of_gpu_machines(job):
            return 1  # one task at a time may use what is kept for GPU work
        return count

    def _choose(
        self,
        job: Job,
        capacities: dict[str, FreeCapacity],
        pending: "_PendingWork",
        count: int,
        with_image_only: bool,
    ) -> list[FreeCapacity]:
        """Machines for so many tasks, only those that have the image if so asked."""
        cluster_view, spec = self.cluster_view, job.spec
        zones = [attempt.zone for attempt in job.live.values()]
        zones += [start.placement.zone for start in pending.of_job(job)]
        suits: Suits | None = self.selector.starts_in_time(job)
        if with_image_only:
            with_image = cluster_view.images.candidates(spec.image)
            capacities = {name: capacities[name] for name in with_image if name in capacities}
            suits = self._has_image_and(spec, suits)
        return self.selector.select(spec, capacities, zones, count, suits)

    def _has_image_and(self, spec: JobSpec, suits: Suits | None) -> Suits:
        """Whether a machine has a job's image, and suits otherwise."""
        fetch_s = self.cluster_view.fetch_s

        def suits_with_image(capacity: FreeCapacity) -> bool:
            return fetch_s(spec, capacity) <= 0 and (suits is None or suits(capacity))

        return suits_with_image


class _PendingWork:
    """The starts that are not committed yet, by job, and what they use of their teams' limits.

    Starts of other controllers' jobs, which are placed but not admitted, are counted too.
    """

    def __init__(self, gate: Gate) -> None:
        self.by_job: dict[str, list[PendingStart]] = {}
        self._usage: dict[str, TeamUsage] = {}
        for pending_start in gate.pending.values():
            self.by_job.setdefault(pending_start.spec.id, []).append(pending_start)
            self.add_usage(pending_start.spec, 1)

    def of_job(self, job: Job) -> list[PendingStart]:
        """The starts of a job; the list may be added to."""
        return self.by_job.setdefault(job.id, [])

    def usage(self, team: str) -> TeamUsage:
        """What a team's pending starts use."""
        return self._usage.get(team, NO_USAGE)

    def add_usage(self, spec: JobSpec, tasks: int) -> None:
        """So many more tasks of a job are pending."""
        self._usage[spec.team] = self.usage(spec.team).plus(spec, tasks)


def _pending_start(job: Job, task: int, capacity: FreeCapacity) -> PendingStart:
    placement = Placement(task, capacity.id, capacity.zone, capacity.session)
    return PendingStart(job.spec, placement, capacity.reporting_controller, job.dependencies)


def _turns(jobs: list[Job], cluster_view: ClusterView) -> Iterator[tuple[Job, bool]]:
    """The order in which jobs get machines, and whether only such as have their image.

    Among jobs of one priority, whoever has its image somewhere goes there first: a machine
    serves twice as many short tasks when it need not fetch an image for each.
    """
    for _, group in groupby(jobs, lambda job: cluster_view.scheduling_priority(job).priority):
        alike = list(group)
        if len({job.spec.image for job in alike}) > 1:
            yield from ((job, True) for job in alike if job.spec.kind != GANG)
        yield from ((job, False) for job in alike)
