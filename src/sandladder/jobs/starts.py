"""Starts of tasks, validated against the records of a transaction.

Performs no I/O and reads no clock.
"""

from collections.abc import Sequence

from sandladder.config import TeamLimits
from sandladder.membership import may_schedule
from sandladder.model import (
    DONE,
    GANG,
    Attempt,
    FinishedJob,
    Job,
    JobSpec,
    Placement,
    TeamAssignment,
    headroom,
    zones_allowed,
)
from sandladder.state import (
    FINISHED_JOB_PREFIX,
    JOB_PREFIX,
    TEAM_PREFIX,
    PreconditionFailedError,
    Transaction,
)


def start(
    transaction: Transaction,
    job_id: str,
    placements: Sequence[Placement],
    limits: TeamLimits | None,
    assignment: TeamAssignment | None = None,
) -> None:
    """Add starts of a job's tasks to a transaction if the job's and the team's rules allow them.

    All checks precede the first change.

    Args:
        transaction: the transaction to add the starts to.
        job_id: the job's ID.
        placements: the tasks and their machines; all waiting tasks if the job is a gang.
        limits: the team's limits; None for a team without settings, whose tasks never start.
        assignment: this controller's node and process, as recorded in team assignments.

    Raises:
        PreconditionFailedError: a rule does not hold or cannot be checked.
    """
    job = transaction.job(job_id)
    if job is None or job.cancelled:
        raise PreconditionFailedError("the job is not live")
    ready_since = _check_dependencies(transaction, job)
    _check_tasks(job, placements)
    _check_team(transaction, job.spec, len(placements), limits, assignment)
    if not transaction.is_schema_v1:
        # A failover changes the team's record, which makes this transaction fail.
        key = TEAM_PREFIX + job.spec.team
        transaction.expected_versions[key] = transaction.cache.version(key)
    if job.dependencies:
        _resolve_dependencies(transaction, job, ready_since)
    for task, machine, zone, agent_epoch in placements:
        job.live[task] = Attempt(machine, zone, agent_epoch, job.next_attempt)
    job.next_attempt += 1
    transaction.change_usage(job, len(placements))


def _check_dependencies(transaction: Transaction, job: Job) -> float:
    """Check that all dependencies are done.

    Returns:
        The time of day at which the last one was done, in seconds.
    """
    dependency_index = transaction.cache.dependency_index
    for name in job.dependencies:
        finished_job = dependency_index.finished_job(name)
        if finished_job is None or finished_job.state != DONE:
            raise PreconditionFailedError(f"dependency {name} is not known to be done")
    return dependency_index.ready_since(job)


def _check_tasks(job: Job, placements: Sequence[Placement]) -> None:
    """Check that the tasks may start, and in these zones."""
    if job.spec.kind == GANG and (job.live or len(placements) != job.waiting):
        raise PreconditionFailedError("a gang must start as a whole")
    if any(p.task in job.live or p.task in job.done for p in placements):
        raise PreconditionFailedError("a task is already started or done")
    zones = [a.zone for a in job.live.values()] + [p.zone for p in placements]
    if not zones_allowed(job.spec, zones):
        raise PreconditionFailedError("the job does not allow these zones")


def _check_team(
    transaction: Transaction,
    spec: JobSpec,
    tasks: int,
    limits: TeamLimits | None,
    assignment: TeamAssignment | None,
) -> None:
    """Check that the team is assigned to this controller and has quota for `tasks` more tasks."""
    key, cache = TEAM_PREFIX + spec.team, transaction.cache
    if not transaction.is_schema_v1 and not may_schedule(cache, spec.team, assignment):
        raise PreconditionFailedError("the team is assigned to another controller")
    if transaction.in_doubt.get(key) == cache.version(key) > 0:
        # A late transaction could apply between this controller's read and this commit, even if
        # this commit changed the team's record: the team would exceed its limit.
        raise PreconditionFailedError("an earlier start of unknown outcome may still be applied")
    if cache.starts_blocked(spec.team):
        raise PreconditionFailedError("the team's usage is unknown")
    if not headroom(limits, transaction.usage_of(spec.team)).covers(spec, tasks):
        raise PreconditionFailedError("the start would exceed the team's limit")


def _resolve_dependencies(transaction: Transaction, job: Job, ready_since: float) -> None:
    """Replace the dependencies in a job's record by the time since which all are done."""
    for name in job.dependencies:
        finished_job = transaction.cache.dependency_index.finished_job(name)
        if finished_job is not None:
            _expect_unchanged(transaction, name, finished_job)
    job.dependencies, job.ready = (), ready_since


def record_done_dependencies(transaction: Transaction, job_id: str, max_dependencies: int) -> bool:
    """Remove dependencies that are done from a job's record, so that its start checks fewer.

    Args:
        transaction: the transaction to add the change to.
        job_id: the ID of the dependent job.
        max_dependencies: the maximum number to remove, as the store limits the conditions of a
            transaction.

    Returns:
        Whether any dependency was removed.
    """
    job = transaction.job(job_id)
    if job is None or job.cancelled or transaction.is_schema_v1:
        return False
    done: list[str] = []
    for name in job.dependencies:
        finished_job = transaction.cache.dependency_index.finished_job(name)
        if finished_job is not None and finished_job.state == DONE and len(done) < max_dependencies:
            done.append(name)
            _expect_unchanged(transaction, name, finished_job)
    if done:
        job.ready = transaction.cache.dependency_index.ready_since(job)
        job.dependencies = tuple(name for name in job.dependencies if name not in done)
    return bool(done)


def _expect_unchanged(transaction: Transaction, job_id: str, finished_job: FinishedJob) -> None:
    """Make the transaction fail if the record of a finished job has changed or been archived."""
    if finished_job.version:
        transaction.expected_versions[
            (FINISHED_JOB_PREFIX if finished_job.archived else JOB_PREFIX) + job_id
        ] = finished_job.version
