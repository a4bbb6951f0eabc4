"""The premises of pending starts, and the check of each.  Pure: no I/O, no clock.

Premise, revalidation, gate, and the outcomes keep, refresh, replan and block are terms of ATR, from
Lyu, Ren, Lai and Liu, "From Version Conflicts to Decision Conflicts: Selective Revalidation for
Long-Running AI Agents".  There, a pending action records the typed premises of its decision, and
only the premises that a change affects are checked again before the action takes effect.  Here a
pending action is the start of a task, placed on a possibly stale view of the cluster
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

# The resource that a premise depends on: its kind ("machine", "task", "job" or "team") and its
# name.  A task's name is its job and number, as in "job-000001/0".
Resource = tuple[str, str]


class Outcome(enum.IntEnum):
    """The effect of a check on a pending start; the greatest outcome of its checks applies."""

    KEEP = 0  # the start is valid as it is
    REFRESH = 1  # the start is valid with the values that were read again
    REPLAN = 2  # the start is withdrawn, and its task is placed again
    BLOCK = 3  # the start is withdrawn; its task must not start in the current state


class PremiseKind(enum.StrEnum):
    """The conditions for a start."""

    FREE_CAPACITY = "free capacity"  # the task fits beside the machine's other tasks
    MACHINE_USABLE = "usable machine"  # it can be given work, and its agent epoch is unchanged
    MACHINE_ALLOWED = "allowed machine"  # the job's constraints allow its type, zone and spot kind
    REPORTING_CONTROLLER = "reporting controller"  # the agent still reports to that controller
    TASK_WAITING = "waiting task"  # the task is neither started nor done
    JOB_LIVE = "live job"  # the job is live and not cancelled
    ZONES = "zones"  # the job's zone constraints allow the zones of its tasks
    TEAM_LIMIT = "team limit"  # the team stays within its limit
    DEPENDENCY_DONE = "finished dependency"  # a job that this one depends on is done


class Premise(NamedTuple):
    """A condition that must hold for a pending start, and the outcome if it does not."""

    kind: PremiseKind
    resource: Resource
    severity: Outcome


class PendingStart:
    """A start that is placed but not committed, with the premises of that decision."""

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
        self.premises = _premises_of(spec, placement, dependencies)
        self.read_versions: dict[Resource, int] = {}  # as of the last check
        self.commit_in_flight = False  # released for a commit whose outcome is unknown

    @property
    def key(self) -> tuple[str, int]:
        """The job and the number of the task."""
        return self.spec.id, self.placement.task


class UnverifiablePremiseError(SandladderError):
    """The evidence for a premise is missing.

    Attributes:
        resource: the unknown resource.
    """

    def __init__(self, resource: Resource) -> None:
        super().__init__(f"no evidence about {resource[0]} {resource[1]}")
        self.resource = resource


class Evidence(Protocol):
    """The current state that premises are checked against."""

    def free_capacity(self, machine: str) -> FreeCapacity | None:
        """Return what committed and pending starts leave free on a machine, or None if unknown."""

    def job(self, job_id: str) -> Job | None:
        """Return a live job, or None."""

    def finished_job(self, job_id: str) -> FinishedJob | None:
        """Return a finished job on which others depend, or None if it is unknown."""

    def team_headroom(self, team: str) -> Headroom:
        """Return what a team's live attempts leave of its limits."""

    def version(self, resource: Resource) -> int:
        """Return the version of a resource, a number that each change of the resource alters."""


def holds(premise: Premise, pending_start: PendingStart, evidence: Evidence) -> bool:
    """Return whether a premise of a pending start holds on current evidence.

    Raises:
        UnverifiablePremiseError: the premise's resource is unknown.
    """
    return _CHECKS[premise.kind](pending_start, evidence, premise.resource)


_Check = Callable[[PendingStart, Evidence, Resource], bool]


def _free_capacity_sufficient(
    pending_start: PendingStart, evidence: Evidence, resource: Resource
) -> bool:
    capacity = evidence.free_capacity(pending_start.placement.machine)
    if capacity is None:
        return False
    # The free capacity already excludes this pending start, so it must not be negative.
    return min(capacity.cpus, capacity.gpus, capacity.memory_gb, capacity.tasks) >= -EPSILON


def _machine_usable(pending_start: PendingStart, evidence: Evidence, resource: Resource) -> bool:
    capacity = evidence.free_capacity(pending_start.placement.machine)
    return (
        capacity is not None
        and capacity.usable
        and capacity.agent_epoch == pending_start.placement.agent_epoch
    )


def _machine_allowed(pending_start: PendingStart, evidence: Evidence, resource: Resource) -> bool:
    capacity = evidence.free_capacity(pending_start.placement.machine)
    if capacity is None:
        raise UnverifiablePremiseError(resource)
    return (
        machine_allowed(pending_start.spec, capacity)
        and capacity.zone == pending_start.placement.zone
    )


def _same_reporting_controller(
    pending_start: PendingStart, evidence: Evidence, resource: Resource
) -> bool:
    """Return whether the reporting controller is unchanged; store the new one if it is not."""
    capacity = evidence.free_capacity(pending_start.placement.machine)
    if capacity is None or capacity.reporting_controller == pending_start.reporting_controller:
        return True
    pending_start.reporting_controller = capacity.reporting_controller
    return False


def _task_waiting(pending_start: PendingStart, evidence: Evidence, resource: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    if job is None:
        raise UnverifiablePremiseError(resource)
    task = pending_start.placement.task
    return task not in job.live and task not in job.done


def _job_live(pending_start: PendingStart, evidence: Evidence, resource: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    return job is not None and not job.cancelled


def _zones_allowed(pending_start: PendingStart, evidence: Evidence, resource: Resource) -> bool:
    job = evidence.job(pending_start.spec.id)
    if job is None:
        raise UnverifiablePremiseError(resource)
    if not (pending_start.spec.one_zone or pending_start.spec.spread):
        return pending_start.spec.zone in (None, pending_start.placement.zone)
    zones = [attempt.zone for attempt in job.live.values()]
    return zones_allowed(pending_start.spec, [*zones, pending_start.placement.zone])


def _under_team_limit(pending_start: PendingStart, evidence: Evidence, resource: Resource) -> bool:
    return evidence.team_headroom(pending_start.spec.team).covers(pending_start.spec)


def _dependency_done(pending_start: PendingStart, evidence: Evidence, resource: Resource) -> bool:
    """Return whether a dependency is done; its outcome never changes once it is committed."""
    finished = evidence.finished_job(resource[1])
    if finished is None:
        raise UnverifiablePremiseError(resource)
    return finished.state == DONE


class _Condition(NamedTuple):
    """A kind of premise, with its kind of resource, the outcome if it fails, and its check."""

    kind: PremiseKind
    resource_kind: str
    severity: Outcome
    check: _Check


# The premises of each start.  Of several failed premises of equal severity, the first is reported.
_CONDITIONS = (
    _Condition(PremiseKind.FREE_CAPACITY, "machine", Outcome.REPLAN, _free_capacity_sufficient),
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
# The premise for each job that the start depends on.
_DEPENDENCY_CONDITION = _Condition(
    PremiseKind.DEPENDENCY_DONE, "job", Outcome.BLOCK, _dependency_done
)
_CHECKS: dict[PremiseKind, _Check] = {
    condition.kind: condition.check for condition in (*_CONDITIONS, _DEPENDENCY_CONDITION)
}


def _premises_of(
    spec: JobSpec, placement: Placement, dependencies: Iterable[str]
) -> tuple[Premise, ...]:
    """Return the premises of a start."""
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
