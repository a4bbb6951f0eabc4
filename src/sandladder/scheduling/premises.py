"""Selective revalidation of pending starts (ATR, see docs/design.md).

A placement is decided from a late picture.  It records typed premises; a reverse index
leads from a changed machine, task, job or team to the premises that a change can reach, and
only these are checked again.  The most severe outcome wins.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from sandladder.model import (
    DONE,
    EPSILON,
    FinishedJob,
    Headroom,
    Job,
    JobSpec,
    Placement,
    zones_allowed,
)

Resource = tuple[str, str]  # kind ("machine", "task", "job", "team") and name


class Outcome(enum.IntEnum):
    """What a check says of a pending start; the greater one wins."""

    KEEP = 0
    REFRESH = 1
    REPLAN = 2
    BLOCK = 3


class UnverifiablePremiseError(Exception):
    """The evidence for a premise cannot be had."""


class FreeCapacity(NamedTuple):
    """What the picture says of one machine."""

    id: str
    type: str
    zone: str
    spot: bool
    session: int
    reporting_controller: str  # the controller it reports to
    cpus: float
    gpus: float
    memory_gb: float
    usable: bool  # reports, is healthy, and is not about to go


class Evidence(Protocol):
    """The current picture, as premises are checked against it."""

    def capacity(self, machine: str) -> FreeCapacity | None: ...

    def job(self, job_id: str) -> Job | None: ...

    def settled(self, job_id: str) -> FinishedJob | None: ...

    def team_left(self, team: str) -> Headroom: ...

    def version(self, resource: Resource) -> int: ...


class Premise(NamedTuple):
    """A condition that must hold for a pending start, and how bad it is if it does not."""

    kind: str
    resource: Resource
    severity: Outcome


class PendingStart:
    """A pending start with the premises it stands on."""

    __slots__ = ("spec", "placement", "reporting_controller", "premises", "read", "under_way")

    def __init__(
        self,
        spec: JobSpec,
        placement: Placement,
        reporting_controller: str,
        dependencies: Iterable[str] = (),
    ) -> None:
        self.spec = spec
        self.placement = placement
        self.reporting_controller = reporting_controller
        machine = ("machine", placement.machine)
        job = ("job", spec.id)
        self.premises = (
            Premise("room", machine, Outcome.REPLAN),
            Premise("reports", machine, Outcome.REPLAN),
            Premise("allowed", machine, Outcome.BLOCK),
            Premise("clerk", machine, Outcome.REFRESH),
            Premise("task", ("task", f"{spec.id}/{placement.task}"), Outcome.BLOCK),
            Premise("live", job, Outcome.BLOCK),
            Premise("zones", job, Outcome.REPLAN),
            Premise("limit", ("team", spec.team), Outcome.REPLAN),
            *(Premise("after", ("job", name), Outcome.BLOCK) for name in dependencies),
        )
        self.read: dict[Resource, int] = {}
        self.under_way = False  # it was let through for a commit whose outcome is not known

    @property
    def key(self) -> tuple[str, int]:
        return self.spec.id, self.placement.task


Check = Callable[[PendingStart, Evidence, Resource], bool]


def _room(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    capacity = evidence.capacity(pending_start.placement.machine)
    if capacity is None:
        return False
    # The picture counts this pending start as well, so what is left must not be negative.
    return min(capacity.cpus, capacity.gpus, capacity.memory_gb) >= -EPSILON


def _reports(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    capacity = evidence.capacity(pending_start.placement.machine)
    return (
        capacity is not None
        and capacity.usable
        and capacity.session == pending_start.placement.session
    )


def _allowed(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    capacity = evidence.capacity(pending_start.placement.machine)
    if capacity is None:
        raise UnverifiablePremiseError("the machine is not known any more")
    spec = pending_start.spec
    return (
        (spec.types is None or capacity.type in spec.types)
        and (spec.zone is None or capacity.zone == spec.zone)
        and (spec.spot or not capacity.spot)
        and capacity.zone == pending_start.placement.zone
    )


def _reporting_controller(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    capacity = evidence.capacity(pending_start.placement.machine)
    if capacity is None or capacity.reporting_controller == pending_start.reporting_controller:
        return True
    pending_start.reporting_controller = capacity.reporting_controller
    return False


def _task(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    if job is None:
        raise UnverifiablePremiseError("the job is not in the records")
    return (
        pending_start.placement.task not in job.live
        and pending_start.placement.task not in job.done
    )


def _live(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    return job is not None and not job.cancelled


def _zones(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    if job is None:
        raise UnverifiablePremiseError("the job is not in the records")
    if not (pending_start.spec.one_zone or pending_start.spec.spread):
        return pending_start.spec.zone in (None, pending_start.placement.zone)
    zones = [attempt.zone for attempt in job.live.values()]
    return zones_allowed(pending_start.spec, [*zones, pending_start.placement.zone])


def _limit(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    return evidence.team_left(pending_start.spec.team).covers(pending_start.spec)


def _after(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    """Whether a job that this one awaits is done; a committed fact that never changes."""
    final = evidence.settled(on[1])
    if final is None:
        raise UnverifiablePremiseError("what the awaited job came to is not known")
    return final.state == DONE


CHECKS: dict[str, Check] = {
    "room": _room,
    "reports": _reports,
    "allowed": _allowed,
    "clerk": _reporting_controller,
    "task": _task,
    "live": _live,
    "zones": _zones,
    "limit": _limit,
    "after": _after,
}


class ReverseIndex:
    """From a resource to the pending starts whose premises rest on it."""

    def __init__(self) -> None:
        self._by: dict[Resource, dict[tuple[str, int], PendingStart]] = {}

    def add(self, pending_start: PendingStart) -> None:
        for premise in pending_start.premises:
            self._by.setdefault(premise.resource, {})[pending_start.key] = pending_start

    def remove(self, pending_start: PendingStart) -> None:
        for premise in pending_start.premises:
            held = self._by.get(premise.resource)
            if held is not None:
                held.pop(pending_start.key, None)
                if not held:
                    del self._by[premise.resource]

    def resting_on(self, resource: Resource) -> Iterable[PendingStart]:
        """The pending starts with a premise about this resource."""
        return self._by.get(resource, {}).values()

    def reach(self, changed: Iterable[Resource]) -> dict[tuple[str, int], set[Resource]]:
        """The pending starts that these changes can reach, and through what."""
        found: dict[tuple[str, int], set[Resource]] = {}
        for resource in changed:
            for key in self._by.get(resource, ()):
                found.setdefault(key, set()).add(resource)
        return found


class Verdict(NamedTuple):
    """The outcome for one pending start and the premise that decided it."""

    pending_start: PendingStart
    outcome: Outcome
    reason: str


class Gate:
    """Holds pending starts and lets one through only while its premises hold."""

    def __init__(self) -> None:
        self.pending: dict[tuple[str, int], PendingStart] = {}
        self._index = ReverseIndex()
        self.verdicts: Counter[str] = Counter()
        self.checked = 0
        self.full_scan = 0
        # Told of each machine on which the pending starts changed.
        self.on_move: Callable[[str], object] = lambda machine: None

    def admit(self, pending_start: PendingStart, evidence: Evidence) -> None:
        """Record a decision with the versions of what it was decided on."""
        pending_start.read = {
            p.resource: evidence.version(p.resource) for p in pending_start.premises
        }
        self.pending[pending_start.key] = pending_start
        self._index.add(pending_start)
        self.on_move(pending_start.placement.machine)

    def withdraw(self, pending_start: PendingStart) -> None:
        if self.pending.pop(pending_start.key, None) is not None:
            self._index.remove(pending_start)
            self.on_move(pending_start.placement.machine)

    def on_machine(self, machine: str) -> Iterable[PendingStart]:
        """The pending starts on a machine."""
        return self._index.resting_on(("machine", machine))

    def changed(self, resources: Iterable[Resource], evidence: Evidence) -> list[Verdict]:
        """Check again what these changes reach; a replanned or blocked start is dropped."""
        # What its own commit changed must not be held against a start: the watch may bring that
        # before the answer comes.  Should the commit fail, it is checked again before the next.
        reached = {
            key: through
            for key, through in self._index.reach(resources).items()
            if not self.pending[key].under_way
        }
        verdicts = [
            self._judge(self.pending[key], through, evidence) for key, through in reached.items()
        ]
        if reached:
            self.full_scan += sum(len(i.premises) for i in self.pending.values())
        for verdict in verdicts:
            if verdict.outcome >= Outcome.REPLAN:
                self.withdraw(verdict.pending_start)
        return verdicts

    def release(self, pending_start: PendingStart, evidence: Evidence) -> Verdict:
        """The check before the effect: everything whose version differs from the one read."""
        differs = {
            resource
            for resource, seen in pending_start.read.items()
            if evidence.version(resource) != seen
        }
        self.full_scan += len(pending_start.premises)
        verdict = self._judge(pending_start, differs, evidence)
        if verdict.outcome >= Outcome.REPLAN:
            self.withdraw(pending_start)
        return verdict

    def _judge(
        self, pending_start: PendingStart, through: set[Resource], evidence: Evidence
    ) -> Verdict:
        worst, reason = Outcome.KEEP, ""
        for premise in pending_start.premises:
            if premise.resource not in through:
                continue
            self.checked += 1
            try:
                holds = CHECKS[premise.kind](pending_start, evidence, premise.resource)
                outcome = Outcome.KEEP if holds else premise.severity
            except UnverifiablePremiseError:
                outcome = Outcome.BLOCK  # what cannot be checked is not let through
            if outcome > worst:
                worst, reason = outcome, premise.kind
        for resource in through:
            pending_start.read[resource] = evidence.version(resource)
        self.verdicts[worst.name.lower()] += 1
        return Verdict(pending_start, worst, reason)
