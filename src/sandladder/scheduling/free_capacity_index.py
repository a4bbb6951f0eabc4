"""What is free on each machine, worked out again only where something changed.  Pure."""

import math
from collections.abc import Container

from sandladder.model import EPSILON, SERVICE, EndedAttempt, MachineType
from sandladder.scheduling.free_capacity import FreeCapacity
from sandladder.scheduling.gate import Gate
from sandladder.scheduling.machine_observations import MachineObservation, MachineObservations
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache

# A machine on which so many different jobs failed in a row is not trusted with more.  One
# job alone proves nothing: it may fail everywhere.
UNHEALTHY_FAILURES = 2
# For machines of which nothing was worked out: it was never valid.
_NOTHING_KNOWN: tuple[FreeCapacity | None, float] = (None, -math.inf)


class FreeCapacityIndex:
    """The free capacity of each observed machine, cached.

    Free is what committed and pending starts leave, without the attempts that have surely ended.
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
        # The free cores, GPUs and memory of machines.
        self._resources: dict[str, tuple[float, float, float]] = {}
        self._service_cpus: dict[str, float] = {}
        # Free capacities as last worked out, and until when the passing of time changes nothing.
        self._known: dict[str, tuple[FreeCapacity, float]] = {}
        self._avoided_until: dict[str, float] = {}  # machines that refused a start
        # Controllers that cannot have a start sent now: machines that report to them get none.
        self._avoided_controllers: frozenset[str] = frozenset()
        # By machine, attempts (job, task, number) that have surely ended while that is not
        # committed yet.
        self.ended: dict[str, set[tuple[str, int, int]]] = {}

    # Questions

    def of(self, machine: str) -> FreeCapacity | None:
        """What is free on a machine, or None if the machine or its type is not known."""
        known, known_until = self._known.get(machine, _NOTHING_KNOWN)
        if self._time.now <= known_until:
            return known
        observation = self._observations.get(machine)
        if observation is None:
            return None
        seen = observation.status
        kind = self._cache.machine_types.get(seen.type)
        if kind is None:
            return None
        resources = self._resources.get(machine)
        if resources is None:
            resources = self._resources[machine] = self._free_resources(machine, kind)
        cpus, gpus, memory_gb = resources
        usable, known_until = self._usable(machine, observation)
        capacity = FreeCapacity(
            machine,
            seen.type,
            seen.zone,
            seen.spot,
            seen.agent_epoch,
            observation.reporting_controller,
            cpus,
            gpus,
            memory_gb,
            usable,
        )
        self._known[machine] = capacity, known_until
        return capacity

    def usable(self, least_cpus: float = 0.0) -> dict[str, FreeCapacity]:
        """All machines that can be given work and have at least so many cores free."""
        capacities = {}
        now, cached = self._time.now, self._known
        least_cpus -= EPSILON
        for machine in self._observations.machines():
            known = cached.get(machine)
            capacity = known[0] if known is not None and now <= known[1] else self.of(machine)
            if capacity is not None and capacity.usable and capacity.cpus >= least_cpus:
                capacities[machine] = capacity
        return capacities

    def service_cpus(self, machine: str) -> float:
        """How many cores of a machine are used by services."""
        used = self._service_cpus.get(machine)
        if used is None:
            specs = (job.spec for job, _, _ in self._cache.attempts_on(machine))
            used = sum(spec.cpus for spec in specs if spec.kind == SERVICE)
            self._service_cpus[machine] = used
        return used

    def is_idle(self, machine: str) -> bool:
        """Whether nothing runs on a machine any more, committed or not."""
        if machine not in self._cache.attempts_by_machine:
            return True
        ended = self.ended.get(machine, set())
        return bool(ended) and all(
            (job.id, task, attempt.attempt) in ended
            for job, task, attempt in self._cache.attempts_on(machine)
        )

    def _free_resources(self, machine: str, kind: MachineType) -> tuple[float, float, float]:
        """The cores, GPUs and memory that committed and pending starts leave."""
        cpus, gpus, memory = kind.cpus, kind.gpus, kind.memory_gb
        ended = self.ended.get(machine, ())
        for job, task, attempt in self._cache.attempts_on(machine):
            if (job.id, task, attempt.attempt) in ended:
                continue
            cpus -= job.spec.cpus
            gpus -= job.spec.gpus
            memory -= job.spec.memory_gb
        for pending_start in self._gate.on_machine(machine):
            cpus -= pending_start.spec.cpus
            gpus -= pending_start.spec.gpus
            memory -= pending_start.spec.memory_gb
        return cpus, gpus, memory

    def _usable(self, machine: str, observation: MachineObservation) -> tuple[bool, float]:
        """Whether a machine can be given work, and until when that stays so by itself."""
        seen = observation.status
        listed = self._cache.instances.get(machine)
        sound = (
            seen.notice_s is None
            and seen.errors < UNHEALTHY_FAILURES
            and (listed is None or listed.state not in ("draining", "gone"))
            and observation.reporting_controller not in self._avoided_controllers
        )
        if not sound:
            return False, math.inf
        # What makes it usable or not by the passing of time alone.
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
        """What is committed on a machine changed, or who may start there."""
        self._service_cpus.pop(machine, None)
        self.pending_starts_changed(machine)

    def pending_starts_changed(self, machine: str) -> None:
        """The pending starts on a machine changed."""
        self._resources.pop(machine, None)
        self._known.pop(machine, None)

    def observation_changed(self, machine: str) -> None:
        """A machine was observed anew, or is not observed any more."""
        self._known.pop(machine, None)

    def types_changed(self) -> None:
        """The machine types changed, and with them what every machine has."""
        self._resources.clear()
        self._known.clear()

    def instances_changed(self) -> None:
        """The records of the cloud's instances changed, and with them which may be given work."""
        self._known.clear()

    def note_ended(self, item: EndedAttempt) -> bool:
        """Free what an attempt that has surely ended used; False if that was done before."""
        machine = item.attempt.machine
        key = (item.job, item.task, item.attempt.attempt)
        if key in self.ended.setdefault(machine, set()):
            return False
        self.ended[machine].add(key)
        return True

    def avoid_machine(self, machine: str, until: float) -> None:
        """Give a machine no work until then, on the steady clock."""
        self._avoided_until[machine] = until
        self._known.pop(machine, None)

    def avoid_controllers(self, controllers: frozenset[str]) -> frozenset[str]:
        """Give the machines that report to these controllers no work, and to all others again.

        Returns:
            The controllers for which that changed.
        """
        changed = controllers ^ self._avoided_controllers
        self._avoided_controllers = controllers
        return changed

    def forget_missing(self, machines: Container[str]) -> None:
        """Drop what is known of all other machines, and what has been committed or is over."""
        self._resources = {m: v for m, v in self._resources.items() if m in machines}
        self._service_cpus = {m: v for m, v in self._service_cpus.items() if m in machines}
        self._avoided_until = {m: t for m, t in self._avoided_until.items() if t > self._time.now}
        for machine in list(self.ended):
            live = {(j.id, task, a.attempt) for j, task, a in self._cache.attempts_on(machine)}
            self.ended[machine] &= live
            if not self.ended[machine]:
                del self.ended[machine]
