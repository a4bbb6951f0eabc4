"""The machines that can take a task, as capacity is used up in a round of planning.  Pure."""

from sandladder.model import Job, JobSpec
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import (
    FreeCapacity,
    PlacementRequirements,
    machine_allowed,
    placement_requirements,
)
from sandladder.scheduling.reservation import Reservation


class _Candidates:
    """The machines that can take a task like those of one job, with what they offer it."""

    def __init__(self, job: Job, cluster_view: ClusterView) -> None:
        self._spec = job.spec
        self._waits_for_spot = cluster_view.can_wait_for_boot(job)
        self._keeps_gpus_free = cluster_view.gpu_protection.keeps_gpus_free(job)
        self._types = cluster_view.cache.machine_types
        self.capacities: dict[str, FreeCapacity] = {}

    def update(self, capacity: FreeCapacity) -> None:
        """Take in what is free on a machine now."""
        if not machine_allowed(self._spec, capacity) or (
            self._waits_for_spot and not capacity.spot
        ):
            return
        if self._keeps_gpus_free:
            capacity = capacity.without_gpu_share(self._types[capacity.type])
        if capacity.can_take(self._spec):
            self.capacities[capacity.id] = capacity
        else:
            self.capacities.pop(capacity.id, None)


class CandidateIndex:
    """What is free in a round of planning, and which machines can take which tasks.

    All machines are gone through once for all jobs with equal requirements; after that only what
    changed is looked at again.  Seen in a measured step: with 1,300 workers each job that was
    placed cost a look at every one of them.
    """

    def __init__(self, capacities: dict[str, FreeCapacity], cluster_view: ClusterView) -> None:
        self._capacities = capacities
        self._cluster_view = cluster_view
        # By requirements, and whether free GPUs are left what they may need.
        self._candidates: dict[tuple[PlacementRequirements, bool], _Candidates] = {}

    def of(self, job: Job) -> dict[str, FreeCapacity]:
        """The machines that can take a task of a job, with what is free for it there."""
        cluster_view = self._cluster_view
        requirements = placement_requirements(job.spec, cluster_view.can_wait_for_boot(job))
        key = requirements, cluster_view.gpu_protection.keeps_gpus_free(job)
        candidates = self._candidates.get(key)
        if candidates is None:
            candidates = self._candidates[key] = _Candidates(job, cluster_view)
            for capacity in self._capacities.values():
                candidates.update(capacity)
        return candidates.capacities

    def take(self, machine: str, spec: JobSpec) -> None:
        """Use up what a task of a job needs on a machine."""
        self.put(self._capacities[machine].minus(spec))

    def put(self, capacity: FreeCapacity) -> None:
        """Offer a machine with what is free on it now."""
        self._capacities[capacity.id] = capacity
        for candidates in self._candidates.values():
            candidates.update(capacity)

    def remove(self, machine: str) -> FreeCapacity | None:
        """Offer a machine to nobody; what was free on it."""
        for candidates in self._candidates.values():
            candidates.capacities.pop(machine, None)
        return self._capacities.pop(machine, None)


class ReservedMachines:
    """Keeps the machines of reservations from the jobs that come after those that have them."""

    def __init__(
        self, reservation: Reservation, candidates: CandidateIndex, cluster_view: ClusterView
    ) -> None:
        self._reservation = reservation
        self._candidates = candidates
        self._cluster_view = cluster_view
        self._removed: dict[str, FreeCapacity] = {}

    def apply_for(self, job: Job) -> None:
        """Let the candidates be what a job may use: all but what is reserved before it."""
        reserved = self._reservation.reserved
        if not reserved and not self._removed:
            return
        kept = self._kept_from(job, reserved)
        for machine in sorted(kept - self._removed.keys()):
            capacity = self._candidates.remove(machine)
            if capacity is not None:
                self._removed[machine] = capacity
        for machine in sorted(self._removed.keys() - kept):
            self._candidates.put(self._removed.pop(machine))

    def _kept_from(self, job: Job, reserved: dict[str, frozenset[str]]) -> set[str]:
        """The machines reserved for other jobs whose claim is no lesser than this one's."""
        jobs, order_key = self._cluster_view.cache.jobs, self._cluster_view.order_key
        claim = order_key(job)[:2]
        kept: set[str] = set()
        for job_id, machines in reserved.items():
            if job_id != job.id and claim >= order_key(jobs[job_id])[:2]:
                kept |= machines
        return kept
