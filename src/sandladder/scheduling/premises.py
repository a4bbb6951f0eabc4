"""The premises of pending starts, and how each is checked.  Pure: no I/O, no clock.

Premise, revalidation, gate, and the outcomes keep, refresh, replan and block are terms of ATR, from
Lyu, Ren, Lai and Liu, "From Version Conflicts to Decision Conflicts: Selective Revalidation for
Long-Running AI Agents".  There, a pending action records the typed premises on which it was
decided, and only those that a change can reach are checked again before it takes effect.  Here a
pending action is the start of a task that was placed on a late view of the cluster
(docs/design.md, "The path of a start").
"""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from sandladder.errors import SandladderError
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
from sandladder.scheduling.free_capacity import FreeCapacity, machine_allowed

# What a premise rests on: its kind ("machine", "task", "job" or "team") and its name.  A task's
# name is its job and number, as in "job-000001/0".
Resource = tuple[str, str]


class Outcome(enum.IntEnum):
    """What a check means for a pending start; the greatest one decides."""

    KEEP = 0  # it stands as it is
    REFRESH = 1  # it stands, with what was read anew
    REPLAN = 2  # it is withdrawn, and its task is placed again
    BLOCK = 3  # it is withdrawn; its task may not start as matters stand


class PremiseKind(enum.StrEnum):
    """The conditions for a start."""

    FREE_CAPACITY = "free capacity"  # the task fits next to what else is on the machine
    MACHINE_USABLE = "usable machine"  # its agent reports, in the same session, and it stays
    MACHINE_ALLOWED = "allowed machine"  # the job's own constraints allow type, zone and kind
    REPORTING_CONTROLLER = "reporting controller"  # its agent reports where we will send the start
    TASK_WAITING = "waiting task"  # the task is neither started nor done
    JOB_LIVE = "live job"  # the job is live and not cancelled
    ZONES = "zones"  # the job's tasks may be in these zones together
    TEAM_LIMIT = "team limit"  # the team stays under its limit
    DEPENDENCY_DONE = "finished dependency"  # a job that this one depends on is done


class Premise(NamedTuple):
    """A condition that must hold for a pending start, and what follows if it does not."""

    kind: PremiseKind
    resource: Resource
    severity: Outcome


class PendingStart:
    """A task that is to start, placed but not committed, with the premises of that decision."""

    __slots__ = (
        "commit_in_flight",
        "placement",
        "premises",
        "read_versions",
        "reporting_controller",
        "spec",
    )

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
        self.premises = _premises(spec, placement, dependencies)
        self.read_versions: dict[Resource, int] = {}  # the versions that were last checked
        self.commit_in_flight = False  # it was let through for a commit whose outcome is not known

    @property
    def key(self) -> tuple[str, int]:
        """The job and the number of the task."""
        return self.spec.id, self.placement.task


class UnverifiablePremiseError(SandladderError):
    """The evidence for a premise cannot be had.

    Attributes:
        resource: what is not known.
    """

    def __init__(self, resource: Resource) -> None:
        super().__init__(f"nothing is known of {resource[0]} {resource[1]}")
        self.resource = resource


class Evidence(Protocol):
    """The current state, as premises are checked against it."""

    def free_capacity(self, machine: str) -> FreeCapacity | None:
        """What is free on a machine, with all pending starts counted, or None if unknown."""

    def job(self, job_id: str) -> Job | None:
        """A live job."""

    def finished_job(self, job_id: str) -> FinishedJob | None:
        """What became of a job on which others depend, if that is known."""

    def team_headroom(self, team: str) -> Headroom:
        """What a team's live attempts leave under its limits."""

    def version(self, resource: Resource) -> int:
        """A number that differs once something about a resource has changed."""


def holds(premise: Premise, pending_start: PendingStart, evidence: Evidence) -> bool:
    """Whether a premise of a pending start holds on current evidence.

    Raises:
        UnverifiablePremiseError: what it rests on is not known.
    """
    return _CHECKS[premise.kind](pending_start, evidence, premise.resource)


_Check = Callable[[PendingStart, Evidence, Resource], bool]


def _fits(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    capacity = evidence.free_capacity(pending_start.placement.machine)
    if capacity is None:
        return False
    # The evidence counts this pending start as well, so what is left must not be negative.
    return min(capacity.cpus, capacity.gpus, capacity.memory_gb) >= -EPSILON


def _machine_usable(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    capacity = evidence.free_capacity(pending_start.placement.machine)
    return (
        capacity is not None
        and capacity.usable
        and capacity.session == pending_start.placement.agent_epoch
    )


def _machine_allowed(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    capacity = evidence.free_capacity(pending_start.placement.machine)
    if capacity is None:
        raise UnverifiablePremiseError(on)
    return (
        machine_allowed(pending_start.spec, capacity)
        and capacity.zone == pending_start.placement.zone
    )


def _same_reporting_controller(
    pending_start: PendingStart, evidence: Evidence, on: Resource
) -> bool:
    capacity = evidence.free_capacity(pending_start.placement.machine)
    if capacity is None or capacity.reporting_controller == pending_start.reporting_controller:
        return True
    pending_start.reporting_controller = capacity.reporting_controller
    return False


def _task_waiting(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    if job is None:
        raise UnverifiablePremiseError(on)
    task = pending_start.placement.task
    return task not in job.live and task not in job.done


def _job_live(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    return job is not None and not job.cancelled


def _zones_allowed(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    if job is None:
        raise UnverifiablePremiseError(on)
    if not (pending_start.spec.one_zone or pending_start.spec.spread):
        return pending_start.spec.zone in (None, pending_start.placement.zone)
    zones = [attempt.zone for attempt in job.live.values()]
    return zones_allowed(pending_start.spec, [*zones, pending_start.placement.zone])


def _under_team_limit(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    return evidence.team_headroom(pending_start.spec.team).covers(pending_start.spec)


def _dependency_done(pending_start: PendingStart, evidence: Evidence, on: Resource) -> bool:
    """A committed fact that never changes once it is known."""
    finished = evidence.finished_job(on[1])
    if finished is None:
        raise UnverifiablePremiseError(on)
    return finished.state == DONE


class _Condition(NamedTuple):
    """A kind of premise: what it rests on, what follows if it does not hold, how it is checked."""

    kind: PremiseKind
    resource_kind: str
    severity: Outcome
    check: _Check


# The premises of each start; of those equally severe that fail, the first is the reason.
_CONDITIONS = (
    _Condition(PremiseKind.FREE_CAPACITY, "machine", Outcome.REPLAN, _fits),
    _Condition(PremiseKind.MACHINE_USABLE, "machine", Outcome.REPLAN, _machine_usable),
    _Condition(PremiseKind.MACHINE_ALLOWED, "machine", Outcome.BLOCK, _machine_allowed),
    _Condition(
        PremiseKind.REPORTING_CONTROLLER, "machine", Outcome.REFRESH, _same_reporting_controller
    ),
    _Condition(PremiseKind.TASK_WAITING, "task", Outcome.BLOCK, _task_waiting),
    _Condition(PremiseKind.JOB_LIVE, "job", Outcome.BLOCK, _job_live),
    _Condition(PremiseKind.ZONES, "job", Outcome.REPLAN, _zones_allowed),
    _Condition(PremiseKind.TEAM_LIMIT, "team", Outcome.REPLAN, _under_team_limit),
)
# One more for each job that the start depends on.
_DEPENDENCY_CONDITION = _Condition(
    PremiseKind.DEPENDENCY_DONE, "job", Outcome.BLOCK, _dependency_done
)
_CHECKS: dict[PremiseKind, _Check] = {
    condition.kind: condition.check for condition in (*_CONDITIONS, _DEPENDENCY_CONDITION)
}


def _premises(
    spec: JobSpec, placement: Placement, dependencies: Iterable[str]
) -> tuple[Premise, ...]:
    """The premises of a start."""
    resources = {
        "machine": ("machine", placement.machine),
        "task": ("task", f"{spec.id}/{placement.task}"),
        "job": ("job", spec.id),
        "team": ("team", spec.team),
    }
    premises = [
        Premise(kind, resources[resource_kind], severity)
        for kind, resource_kind, severity, _ in _CONDITIONS
    ]
    kind, resource_kind, severity, _ = _DEPENDENCY_CONDITION
    premises += [Premise(kind, (resource_kind, name), severity) for name in dependencies]
    return tuple(premises)
