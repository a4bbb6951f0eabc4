"""The candidate machines for tasks during a planning round.  Pure: no I/O, no clock."""

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
    """The machines that can take a task with given requirements, and the capacity free for it."""

    def __init__(self, job: Job, cluster_view: ClusterView) -> None:
        self._spec = job.spec
        self._spot_only = cluster_view.can_wait_for_boot(job)
        self._excludes_gpu_share = cluster_view.gpu_protection.must_leave_gpu_share(job)
        self._types = cluster_view.cache.machine_types
        self.capacities: dict[str, FreeCapacity] = {}

    def update(self, capacity: FreeCapacity) -> None:
        """Update a machine's free capacity."""
        if not machine_allowed(self._spec, capacity) or (self._spot_only and not capacity.spot):
            return
        if self._excludes_gpu_share:
            capacity = capacity.without_gpu_share(self._types[capacity.type])
        if capacity.can_take(self._spec):
            self.capacities[capacity.id] = capacity
        else:
            self.capacities.pop(capacity.id, None)


class CandidateIndex:
    """The free capacities in a planning round, and the candidate machines of each job.

    Machines are scanned once for all jobs with equal requirements; later changes update single
    machines, so that placing a job does not cost a scan of the cluster, such as of 1,300 machines.
    """

    def __init__(self, capacities: dict[str, FreeCapacity], cluster_view: ClusterView) -> None:
        self._capacities = capacities
        self._cluster_view = cluster_view
        # By requirements, and whether the GPU share is excluded (see `GpuProtection`).
        self._candidates: dict[tuple[PlacementRequirements, bool], _Candidates] = {}

    def machines_for(self, job: Job) -> dict[str, FreeCapacity]:
        """Return the machines that can take a task of a job, with the capacity free for it."""
        cluster_view = self._cluster_view
        requirements = placement_requirements(job.spec, cluster_view.can_wait_for_boot(job))
        key = requirements, cluster_view.gpu_protection.must_leave_gpu_share(job)
        candidates = self._candidates.get(key)
        if candidates is None:
            candidates = self._candidates[key] = _Candidates(job, cluster_view)
            for capacity in self._capacities.values():
                candidates.update(capacity)
        return candidates.capacities

    def consume(self, machine: str, spec: JobSpec) -> None:
        """Subtract what a task of a job uses from a machine's free capacity."""
        self.update(self._capacities[machine].minus(spec))

    def update(self, capacity: FreeCapacity) -> None:
        """Add a machine, or update its free capacity."""
        self._capacities[capacity.id] = capacity
        for candidates in self._candidates.values():
            candidates.update(capacity)

    def remove(self, machine: str) -> FreeCapacity | None:
        """Remove a machine; return its free capacity, or None if it was absent."""
        for candidates in self._candidates.values():
            candidates.capacities.pop(machine, None)
        return self._capacities.pop(machine, None)


class ReservedMachines:
    """Hides reserved machines from the jobs that must not use them."""

    def __init__(
        self, reservation: Reservation, candidates: CandidateIndex, cluster_view: ClusterView
    ) -> None:
        self._reservation = reservation
        self._candidates = candidates
        self._cluster_view = cluster_view
        self._hidden: dict[str, FreeCapacity] = {}

    def hide_from(self, job: Job) -> None:
        """Hide the machines reserved ahead of a job from the candidates, and restore all others."""
        reserved = self._reservation.reserved
        if not reserved and not self._hidden:
            return
        withheld = self._withheld_from(job, reserved)
        for machine in sorted(withheld - self._hidden.keys()):
            capacity = self._candidates.remove(machine)
            if capacity is not None:
                self._hidden[machine] = capacity
        for machine in sorted(self._hidden.keys() - withheld):
            self._candidates.update(self._hidden.pop(machine))

    def _withheld_from(self, job: Job, reserved: dict[str, frozenset[str]]) -> set[str]:
        """Return the machines reserved for other jobs of equal or higher precedence."""
        jobs, order_key = self._cluster_view.cache.jobs, self._cluster_view.order_key
        precedence = order_key(job)[:2]  # the lowest value comes first
        withheld: set[str] = set()
        for job_id, machines in reserved.items():
            if job_id != job.id and precedence >= order_key(jobs[job_id])[:2]:
                withheld |= machines
        return withheld
