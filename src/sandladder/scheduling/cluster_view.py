"""This controller's view of the cluster, used for planning and as evidence for the gate.

The view combines the stored records, the other controllers' inventories and the heartbeats sent to
this controller, and may be stale.  Decisions based on it are checked again before they are
committed (see `premises`).  Pure: no I/O, no clock.
"""

from collections.abc import KeysView

from sandladder.agents import AgentSession, LeaseExpiryProof, Reconciler
from sandladder.config import Settings
from sandladder.model import (
    FAILURES,
    NO_USAGE,
    Attempt,
    EndedAttempt,
    FinishedJob,
    Headroom,
    Job,
    JobSpec,
    MachineInventory,
    MachineStatus,
    Placement,
    headroom,
    within_guarantee,
)
from sandladder.scheduling.free_capacity import FreeCapacity
from sandladder.scheduling.free_capacity_index import FreeCapacityIndex
from sandladder.scheduling.gate import Gate
from sandladder.scheduling.gpu_protection import GpuProtection
from sandladder.scheduling.image_cache_index import ImageCacheIndex
from sandladder.scheduling.job_failures import JobFailures
from sandladder.scheduling.job_priorities import JobPriorities
from sandladder.scheduling.machine_observations import MachineObservation, MachineObservations
from sandladder.scheduling.premises import Resource
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import JOB_PREFIX, TEAM_PREFIX, StateCache

# The sort key of the scheduling order: negated priority; 0 within the team's guarantee, else 1;
# latest start.  The first two are a job's precedence.  A plain tuple sorts faster than a named one.
OrderKey = tuple[int, int, float]

# The time for which a failed job counts against a machine, in agent leases.  A machine may recover,
# but shows it only if it is given work again.
_FAILURE_RETENTION_LEASES = 3


class ClusterView:
    """The observed machines, their free capacity, and the priorities of jobs.

    Callers set `now` before a query; results are as of that moment on the steady clock.
    """

    def __init__(
        self,
        settings: Settings,
        cache: StateCache,
        reconciler: Reconciler,
        lease_expiry: LeaseExpiryProof,
        gate: Gate,
    ) -> None:
        self.settings = settings
        self.cache = cache
        self.reconciler = reconciler
        self.lease_expiry = lease_expiry
        self.gate = gate
        self.team_limits = {team.name: team for team in settings.platform.deployment.teams}
        self.time = ViewTime()
        self.images = ImageCacheIndex()
        self.observations = MachineObservations(settings, cache, self.time)
        self.free_capacities = FreeCapacityIndex(cache, gate, self.observations, self.time)
        self.priorities = JobPriorities(settings, cache, self.time)
        self.gpu_protection = GpuProtection(cache, self.priorities, self.time)
        self.job_failures = JobFailures()
        lease_s = settings.platform.deployment.workers.lease_s
        self._failure_retention_s = _FAILURE_RETENTION_LEASES * lease_s
        # The maximum ages of own and of other controllers' observations, and the interval of
        # inventories, in seconds.
        self.fresh_s = self.observations.fresh_s
        self.peer_fresh_s = self.observations.peer_fresh_s
        self.inventory_interval_s = self.observations.inventory_interval_s
        self._inventories: dict[str, MachineInventory] = {}  # by controller, the last recorded
        self._machine_versions: dict[str, int] = {}
        gate.on_pending_changed = self.free_capacities.pending_starts_changed
        # Bound methods rather than wrappers, which would cost a call per machine or job.
        self.free_capacity = self.free_capacities.get
        self.usable_free_capacities = self.free_capacities.usable
        self.accepts_work = self.free_capacities.accepts_work
        self.service_cpus = self.free_capacities.service_cpus
        self.avoids_gpus = self.gpu_protection.avoids_gpus
        self.observation = self.observations.get
        self.age_s = self.observations.age_s
        self.scheduling_priority = self.priorities.scheduling_priority
        self.waiting_since = self.priorities.waiting_since
        self.can_wait_for_boot = self.priorities.can_wait_for_boot

    # Time

    @property
    def now(self) -> float:
        """The time of the view on the steady clock, in seconds."""
        return self.time.now

    @now.setter
    def now(self, now: float) -> None:
        self.time.now = now

    @property
    def wall_offset_s(self) -> float:
        """The time of day minus the steady clock, in seconds."""
        return self.time.wall_offset_s

    @wall_offset_s.setter
    def wall_offset_s(self, offset_s: float) -> None:
        self.time.wall_offset_s = offset_s

    @property
    def wall_time(self) -> float:
        """The time of day, in seconds."""
        return self.time.wall_time

    # Machines

    def record_heartbeat(self, agent: AgentSession) -> None:
        """Record a heartbeat that an agent sent to this controller."""
        agent.forget_failures(before=self.now - self._failure_retention_s)
        self._record(agent.heartbeat.machine, self.observations.from_heartbeat(agent))

    def record_inventories(self) -> None:
        """Record the machine inventories that have changed since the last call."""
        for node, inventory, observed_at in self.lease_expiry.peer_inventories():
            if self._inventories.get(node) is inventory:
                continue
            self._inventories[node] = inventory
            for machine, status in inventory.machines.items():
                self._record(machine, MachineObservation(status, node, observed_at - status.age_s))

    def record_peer_status(self, node: str, machine: str, status: MachineStatus) -> None:
        """Record a machine's status from another controller's message."""
        self._record(machine, MachineObservation(status, node, self.now - status.age_s))

    def _record(self, machine: str, new: MachineObservation) -> None:
        recorded = self.observations.record(machine, new)
        if recorded is not None:
            self.free_capacities.observation_changed(machine)
            self.images.note_inventory(machine, recorded.status.images)

    def machines(self) -> KeysView[str]:
        """Return all recently observed machines."""
        return self.observations.machines()

    def forget_missing(self) -> None:
        """Drop the state of machines no longer observed and of jobs no longer live."""
        for machine in self.observations.forget_missing():
            self.free_capacities.observation_changed(machine)
        retained = (
            self.observations.machines()
            | self.cache.instances.keys()
            | self.cache.attempts_by_machine.keys()
        )
        self.images.retain(retained)
        self.free_capacities.forget_missing(retained)
        self._machine_versions = {m: v for m, v in self._machine_versions.items() if m in retained}
        self.priorities.forget_finished()
        self.gpu_protection.forget_finished()

    # Free capacity

    def is_idle(self, machine: str) -> bool:
        """Return whether all attempts on a machine have ended, committed or not."""
        return self.free_capacities.is_idle(machine)

    def machine_changed(self, machine: str) -> None:
        """Invalidate what depends on a machine's attempts or on its usability."""
        self._machine_versions[machine] = self._machine_versions.get(machine, 0) + 1
        self.free_capacities.machine_changed(machine)

    def types_changed(self) -> None:
        """Invalidate what depends on the machine types."""
        self.free_capacities.types_changed()

    def instances_changed(self) -> None:
        """Invalidate what depends on the records of cloud instances."""
        self.free_capacities.instances_changed()

    def note_start(self, spec: JobSpec, attempt: Attempt) -> None:
        """Record a committed start, whose machine has or fetches the job's image."""
        self.gpu_protection.note_start(spec.id)
        instance = self.cache.instances.get(attempt.machine)
        observation = self.observations.get(attempt.machine)
        name = observation.status.type if observation else instance.type if instance else ""
        kind = self.cache.machine_types.get(name)
        if kind is not None:
            self.images.note_start(spec, attempt, kind, self.now)

    def note_ended(self, item: EndedAttempt) -> None:
        """Free the capacity of an attempt with a proved end, before that end is committed.

        A failed attempt counts against its machine, unless the job fails everywhere.
        """
        if item.outcome in FAILURES:
            self._note_failure(item)
        if self.free_capacities.note_ended(item):
            self.machine_changed(item.attempt.machine)

    def _note_failure(self, item: EndedAttempt) -> None:
        job = self.cache.jobs.get(item.job)
        if job is None:
            return
        self.job_failures.add(job.id, item.attempt.machine)
        if not self.job_failures.fails_everywhere(job):
            return
        for agent in self.reconciler.agents.values():
            if agent.failed_jobs.pop(job.id, None) is not None:
                self.record_heartbeat(agent)

    def avoid_machine(self, machine: str, for_s: float) -> None:
        """Exclude a machine for some seconds from placement, as it refused a start that should fit.

        Otherwise a machine whose capacity is used by an unknown process would be chosen repeatedly;
        one was chosen a dozen times.
        """
        self.free_capacities.avoid_machine(machine, self.now + for_s)

    def avoid_controllers(self, reporting_controllers: frozenset[str]) -> None:
        """Exclude the machines that report to these controllers; replaces the previous set.

        The controllers are unreachable or cannot receive starts.  Without this, tasks would be
        placed behind a network partition until the observations of the machines there are stale,
        which took nine seconds, and could not be placed elsewhere before the partition ended.
        """
        changed = self.free_capacities.avoid_controllers(reporting_controllers)
        if changed:
            for machine in self.observations.reported_to(changed):
                self.machine_changed(machine)

    # Images

    def fetch_wait_s(self, spec: JobSpec, placement: Placement) -> float:
        """Return how long a placed task still waits for its image, in seconds."""
        wait_s = self.images.wait_s(placement.machine, placement.agent_epoch, spec.image, self.now)
        return 0.0 if wait_s is None else wait_s

    def fetch_s(self, spec: JobSpec, capacity: FreeCapacity) -> float:
        """Return how long a task would wait for its image on a machine, in seconds."""
        wait_s = self.images.wait_s(capacity.id, capacity.agent_epoch, spec.image, self.time.now)
        if wait_s is not None:
            return wait_s
        observation = self.observations.get(capacity.id)
        if observation is not None and spec.image in observation.status.images:
            return 0.0
        kind = self.cache.machine_types[capacity.type]
        return spec.image_gb / max(kind.fetch_gb_per_s, 1e-6)

    # Jobs and teams

    def boot_s(self, spec: JobSpec) -> float:
        """Return the shortest boot time of a machine for a job, in seconds."""
        return self.priorities.boot_s(spec)

    def order_key(self, job: Job) -> OrderKey:
        """Return the sort key of a job: priority, within its team's guarantee, latest start."""
        spec = job.spec
        usage = self.cache.usage.get(spec.team, NO_USAGE)
        within = within_guarantee(self.team_limits.get(spec.team), usage, spec)
        priority = self.priorities.scheduling_priority(job).priority
        return -priority, 0 if within else 1, self.priorities.latest_start(job)

    def team_headroom(self, team: str) -> Headroom:
        """Return what the live attempts of a team leave of its limits."""
        return headroom(self.team_limits.get(team), self.cache.usage.get(team, NO_USAGE))

    # Evidence (see `premises.Evidence`), with `free_capacity` and `team_headroom`

    def job(self, job_id: str) -> Job | None:
        """Return a live job, or None."""
        return self.cache.jobs.get(job_id)

    def finished_job(self, job_id: str) -> FinishedJob | None:
        """Return a finished job on which live ones depend, or None if it is unknown."""
        return self.cache.dependency_index.finished_job(job_id)

    def version(self, resource: Resource) -> int:
        """Return the version of a resource, a number that each change of the resource alters."""
        kind, name = resource
        if kind == "machine":
            return self._machine_versions.get(name, 0)
        if kind == "team":
            return self.cache.version(TEAM_PREFIX + name)
        return self.cache.version(JOB_PREFIX + name.partition("/")[0])
