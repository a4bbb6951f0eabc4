"""The free capacity of each machine, cached until an input changes.  Pure: no I/O, no clock."""

import math
from collections.abc import Container

from sandladder.model import DRAINING, EPSILON, GONE, SERVICE, EndedAttempt, MachineType
from sandladder.scheduling.free_capacity import MAX_TASKS_PER_MACHINE, FreeCapacity
from sandladder.scheduling.gate import Gate
from sandladder.scheduling.machine_observations import MachineObservation, MachineObservations
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache

# A machine on which this many different jobs failed in a row gets no more work.  More than one,
# because a faulty job fails on every machine.
UNHEALTHY_FAILURES = 2
# The entry of a machine that is not cached: it is never valid.
_NOT_CACHED: tuple[FreeCapacity | None, float] = (None, -math.inf)


class FreeCapacityIndex:
    """The free capacity of each observed machine, cached.

    Committed and pending starts use capacity; attempts with a proved end do not.
    """

    def __init__(
        self,
        cache: StateCache,
        gate: Gate,
        observations: MachineObservations,
        time: ViewTime,
    ) -> None:
        self._cache = cache
        self._gate = gate
        self._observations = observations
        self._time = time
        # The free cores, GPUs and memory of machines, and how many more tasks they may have.
        self._resources: dict[str, tuple[float, float, float, int]] = {}
        self._service_cpus: dict[str, float] = {}
        # Free capacities, and the time on the steady clock up to which each is valid.
        self._cached: dict[str, tuple[FreeCapacity, float]] = {}
        self._avoided_until: dict[str, float] = {}  # machines that refused a start
        # Controllers that cannot receive starts; machines that report to them get none.
        self._avoided_controllers: frozenset[str] = frozenset()
        # By machine, the attempts (job, task, number) with a proved end that is not committed yet.
        self.ended: dict[str, set[tuple[str, int, int]]] = {}

    # Queries

    def get(self, machine: str) -> FreeCapacity | None:
        """Return the free capacity of a machine, or None if it or its type is unknown."""
        cached, valid_until = self._cached.get(machine, _NOT_CACHED)
        if self._time.now <= valid_until:
            return cached
        observation = self._observations.get(machine)
        if observation is None:
            return None
        status = observation.status
        kind = self._cache.machine_types.get(status.type)
        if kind is None:
            return None
        resources = self._resources.get(machine)
        if resources is None:
            resources = self._resources[machine] = self._free_resources(machine, kind)
        cpus, gpus, memory_gb, tasks = resources
        usable, valid_until = self._usable(machine, observation)
        capacity = FreeCapacity(
            machine,
            status.type,
            status.zone,
            status.spot,
            status.agent_epoch,
            observation.reporting_controller,
            cpus,
            gpus,
            memory_gb,
            tasks,
            usable,
        )
        self._cached[machine] = capacity, valid_until
        return capacity

    def usable(self, min_cpus: float = 0.0) -> dict[str, FreeCapacity]:
        """Return the usable machines with at least `min_cpus` free cores."""
        capacities = {}
        now, cache = self._time.now, self._cached
        min_cpus -= EPSILON
        for machine in self._observations.machines():
            cached = cache.get(machine)
            capacity = cached[0] if cached is not None and now <= cached[1] else self.get(machine)
            if capacity is not None and capacity.usable and capacity.cpus >= min_cpus:
                capacities[machine] = capacity
        return capacities

    def service_cpus(self, machine: str) -> float:
        """Return the number of a machine's cores that services use."""
        used_cpus = self._service_cpus.get(machine)
        if used_cpus is None:
            specs = (job.spec for job, _, _ in self._cache.attempts_on(machine))
            used_cpus = sum(spec.cpus for spec in specs if spec.kind == SERVICE)
            self._service_cpus[machine] = used_cpus
        return used_cpus

    def is_idle(self, machine: str) -> bool:
        """Return whether all attempts on a machine have ended, committed or not."""
        if machine not in self._cache.attempts_by_machine:
            return True
        ended = self.ended.get(machine, set())
        return bool(ended) and all(
            (job.id, task, attempt.attempt) in ended
            for job, task, attempt in self._cache.attempts_on(machine)
        )

    def _free_resources(self, machine: str, kind: MachineType) -> tuple[float, float, float, int]:
        """Return the cores, GPUs, memory and tasks that committed and pending starts leave free.

        An attempt with a proved end counts as a task until that is committed: its agent lists it.
        """
        cpus, gpus, memory_gb, tasks = kind.cpus, kind.gpus, kind.memory_gb, MAX_TASKS_PER_MACHINE
        ended = self.ended.get(machine, ())
        for job, task, attempt in self._cache.attempts_on(machine):
            tasks -= 1
            if (job.id, task, attempt.attempt) in ended:
                continue
            cpus -= job.spec.cpus
            gpus -= job.spec.gpus
            memory_gb -= job.spec.memory_gb
        for pending_start in self._gate.on_machine(machine):
            cpus -= pending_start.spec.cpus
            gpus -= pending_start.spec.gpus
            memory_gb -= pending_start.spec.memory_gb
            tasks -= 1
        return cpus, gpus, memory_gb, tasks

    def accepts_work(self, machine: str) -> bool:
        """Return whether a machine could be given work, regardless of its instance's record."""
        observation = self._observations.get(machine)
        return observation is not None and self._accepts_work(machine, observation)[0]

    def _usable(self, machine: str, observation: MachineObservation) -> tuple[bool, float]:
        """Return whether a machine can be given work, and the time until which that is valid."""
        instance = self._cache.instances.get(machine)
        if instance is not None and instance.state in (DRAINING, GONE):
            return False, math.inf
        return self._accepts_work(machine, observation)

    def _accepts_work(self, machine: str, observation: MachineObservation) -> tuple[bool, float]:
        """Return `accepts_work`, and the time until which that is valid."""
        status = observation.status
        eligible = (
            status.notice_s is None
            and status.errors < UNHEALTHY_FAILURES
            and observation.reporting_controller not in self._avoided_controllers
        )
        if not eligible:
            return False, math.inf
        # The checks below depend on the current time.
        now = self._time.now
        avoided_until = self._avoided_until.get(machine, -math.inf)
        stale_at = self._observations.stale_at(observation)
        if now > stale_at:
            return False, math.inf
        if avoided_until <= now:
            return True, stale_at
        return False, min(stale_at, avoided_until)

    # Changes

    def machine_changed(self, machine: str) -> None:
        """Invalidate a machine whose committed attempts or whose usability changed."""
        self._service_cpus.pop(machine, None)
        self.pending_starts_changed(machine)

    def pending_starts_changed(self, machine: str) -> None:
        """Invalidate a machine whose pending starts changed."""
        self._resources.pop(machine, None)
        self._cached.pop(machine, None)

    def observation_changed(self, machine: str) -> None:
        """Invalidate a machine that has a new observation or lost its last one."""
        self._cached.pop(machine, None)

    def types_changed(self) -> None:
        """Invalidate all machines because the machine types changed."""
        self._resources.clear()
        self._cached.clear()

    def instances_changed(self) -> None:
        """Invalidate the usability of all machines because instance records changed."""
        self._cached.clear()

    def note_ended(self, item: EndedAttempt) -> bool:
        """Free the capacity of an attempt with a proved end; return whether it was not yet free.

        The caller invalidates the machine.
        """
        machine = item.attempt.machine
        key = (item.job, item.task, item.attempt.attempt)
        if key in self.ended.setdefault(machine, set()):
            return False
        self.ended[machine].add(key)
        return True

    def avoid_machine(self, machine: str, until: float) -> None:
        """Exclude a machine from placement until a time on the steady clock."""
        self._avoided_until[machine] = until
        self._cached.pop(machine, None)

    def avoid_controllers(self, controllers: frozenset[str]) -> frozenset[str]:
        """Exclude the machines that report to these controllers; replaces the previous set.

        Returns:
            The added and removed controllers.
        """
        changed = controllers ^ self._avoided_controllers
        self._avoided_controllers = controllers
        return changed

    def forget_missing(self, machines: Container[str]) -> None:
        """Drop the state of machines not listed, committed ends, and expired exclusions."""
        self._resources = {m: v for m, v in self._resources.items() if m in machines}
        self._service_cpus = {m: v for m, v in self._service_cpus.items() if m in machines}
        self._avoided_until = {m: t for m, t in self._avoided_until.items() if t > self._time.now}
        for machine in list(self.ended):
            live = {(j.id, task, a.attempt) for j, task, a in self._cache.attempts_on(machine)}
            self.ended[machine] &= live
            if not self.ended[machine]:
                del self.ended[machine]
