"""Selective revalidation of pending starts (ATR, see docs/design.md).

A placement is decided from a late picture.  It records typed premises; a reverse index
leads from a changed machine, task, job or team to the premises that a change can reach, and
only these are checked again.  The most severe outcome wins.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from sandladder.model.jobs import DONE, Final, Job, JobSpec, Placement, zones_allowed
from sandladder.model.quota import EPSILON, Headroom

Resource = tuple[str, str]  # kind ("machine", "task", "job", "team") and name


class Outcome(enum.IntEnum):
    """What a check says of a pending start; the greater one wins."""

    KEEP = 0
    REFRESH = 1
    REPLAN = 2
    BLOCK = 3


class Unverifiable(Exception):
    """The evidence for a premise cannot be had."""


class Room(NamedTuple):
    """What the picture says of one machine."""

    id: str
    type: str
    zone: str
    spot: bool
    session: int
    clerk: str  # the controller it reports to
    cpus: float
    gpus: float
    memory_gb: float
    usable: bool  # reports, is healthy, and is not about to go


class Evidence(Protocol):
    """The current picture, as premises are checked against it."""

    def room(self, machine: str) -> Room | None: ...

    def job(self, job_id: str) -> Job | None: ...

    def settled(self, job_id: str) -> Final | None: ...

    def team_left(self, team: str) -> Headroom: ...

    def version(self, resource: Resource) -> int: ...


class Premise(NamedTuple):
    """A condition that must hold for a pending start, and how bad it is if it does not."""

    kind: str
    resource: Resource
    severity: Outcome


class Intent:
    """A pending start with the premises it stands on."""

    __slots__ = ("spec", "placement", "clerk", "premises", "read", "under_way")

    def __init__(
        self, spec: JobSpec, placement: Placement, clerk: str, awaits: Iterable[str] = ()
    ) -> None:
        self.spec = spec
        self.placement = placement
        self.clerk = clerk
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
            *(Premise("after", ("job", name), Outcome.BLOCK) for name in awaits),
        )
        self.read: dict[Resource, int] = {}
        self.under_way = False  # it was let through for a commit whose outcome is not known

    @property
    def key(self) -> tuple[str, int]:
        return self.spec.id, self.placement.task


Check = Callable[[Intent, Evidence, Resource], bool]


def _room(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    room = evidence.room(intent.placement.machine)
    if room is None:
        return False
    # The picture counts this pending start as well, so what is left must not be negative.
    return min(room.cpus, room.gpus, room.memory_gb) >= -EPSILON


def _reports(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    room = evidence.room(intent.placement.machine)
    return room is not None and room.usable and room.session == intent.placement.session


def _allowed(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    room = evidence.room(intent.placement.machine)
    if room is None:
        raise Unverifiable("the machine is not known any more")
    spec = intent.spec
    return (
        (spec.types is None or room.type in spec.types)
        and (spec.zone is None or room.zone == spec.zone)
        and (spec.spot or not room.spot)
        and room.zone == intent.placement.zone
    )


def _clerk(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    room = evidence.room(intent.placement.machine)
    if room is None or room.clerk == intent.clerk:
        return True
    intent.clerk = room.clerk
    return False


def _task(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(intent.spec.id)
    if job is None:
        raise Unverifiable("the job is not in the records")
    return intent.placement.task not in job.live and intent.placement.task not in job.done


def _live(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(intent.spec.id)
    return job is not None and not job.cancelled


def _zones(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(intent.spec.id)
    if job is None:
        raise Unverifiable("the job is not in the records")
    if not (intent.spec.one_zone or intent.spec.spread):
        return intent.spec.zone in (None, intent.placement.zone)
    zones = [attempt.zone for attempt in job.live.values()]
    return zones_allowed(intent.spec, [*zones, intent.placement.zone])


def _limit(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    return evidence.team_left(intent.spec.team).covers(intent.spec)


def _after(intent: Intent, evidence: Evidence, on: Resource) -> bool:
    """Whether a job that this one awaits is done; a committed fact that never changes."""
    final = evidence.settled(on[1])
    if final is None:
        raise Unverifiable("what the awaited job came to is not known")
    return final.state == DONE


CHECKS: dict[str, Check] = {
    "room": _room,
    "reports": _reports,
    "allowed": _allowed,
    "clerk": _clerk,
    "task": _task,
    "live": _live,
    "zones": _zones,
    "limit": _limit,
    "after": _after,
}


class ReverseIndex:
    """From a resource to the pending starts whose premises rest on it."""

    def __init__(self) -> None:
        self._by: dict[Resource, dict[tuple[str, int], Intent]] = {}

    def add(self, intent: Intent) -> None:
        for premise in intent.premises:
            self._by.setdefault(premise.resource, {})[intent.key] = intent

    def remove(self, intent: Intent) -> None:
        for premise in intent.premises:
            held = self._by.get(premise.resource)
            if held is not None:
                held.pop(intent.key, None)
                if not held:
                    del self._by[premise.resource]

    def resting_on(self, resource: Resource) -> Iterable[Intent]:
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

    intent: Intent
    outcome: Outcome
    reason: str


class Gate:
    """Holds pending starts and lets one through only while its premises hold."""

    def __init__(self) -> None:
        self.pending: dict[tuple[str, int], Intent] = {}
        self._index = ReverseIndex()
        self.verdicts: Counter[str] = Counter()
        self.checked = 0
        self.full_scan = 0
        # Told of each machine on which the pending starts changed.
        self.on_move: Callable[[str], object] = lambda machine: None

    def admit(self, intent: Intent, evidence: Evidence) -> None:
        """Record a decision with the versions of what it was decided on."""
        intent.read = {p.resource: evidence.version(p.resource) for p in intent.premises}
        self.pending[intent.key] = intent
        self._index.add(intent)
        self.on_move(intent.placement.machine)

    def withdraw(self, intent: Intent) -> None:
        if self.pending.pop(intent.key, None) is not None:
            self._index.remove(intent)
            self.on_move(intent.placement.machine)

    def on_machine(self, machine: str) -> Iterable[Intent]:
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
                self.withdraw(verdict.intent)
        return verdicts

    def release(self, intent: Intent, evidence: Evidence) -> Verdict:
        """The check before the effect: everything whose version differs from the one read."""
        differs = {
            resource for resource, seen in intent.read.items() if evidence.version(resource) != seen
        }
        self.full_scan += len(intent.premises)
        verdict = self._judge(intent, differs, evidence)
        if verdict.outcome >= Outcome.REPLAN:
            self.withdraw(intent)
        return verdict

    def _judge(self, intent: Intent, through: set[Resource], evidence: Evidence) -> Verdict:
        worst, reason = Outcome.KEEP, ""
        for premise in intent.premises:
            if premise.resource not in through:
                continue
            self.checked += 1
            try:
                holds = CHECKS[premise.kind](intent, evidence, premise.resource)
                outcome = Outcome.KEEP if holds else premise.severity
            except Unverifiable:
                outcome = Outcome.BLOCK  # what cannot be checked is not let through
            if outcome > worst:
                worst, reason = outcome, premise.kind
        for resource in through:
            intent.read[resource] = evidence.version(resource)
        self.verdicts[worst.name.lower()] += 1
        return Verdict(intent, worst, reason)
