"""The start of tasks: the final check of the rules, evaluated on a transaction.

Pure: no I/O, no clock.
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
    """Add starts to a transaction: the final check of the rules that bind a job and its team.

    Everything is checked before anything is changed.

    Args:
        transaction: where the starts are added.
        job_id: the job whose tasks start.
        placements: the tasks, and where they start; all waiting tasks of a gang.
        limits: those of the job's team; None for a team without settings, of which nothing starts.
        assignment: this controller's process, as teams are assigned to it.

    Raises:
        PreconditionFailedError: a rule does not hold, or it is not known whether it does.
    """
    job = transaction.job(job_id)
    if job is None or job.cancelled:
        raise PreconditionFailedError("the job is not live")
    ready_since = _check_dependencies(transaction, job)
    _check_tasks(job, placements)
    _check_team(transaction, job.spec, len(placements), limits, assignment)
    if not transaction.is_schema_v1:
        # Another controller that takes the team over changes its record, and this is refused.
        key = TEAM_PREFIX + job.spec.team
        transaction.expected_versions[key] = transaction.cache.version(key)
    if job.dependencies:
        _record_all_done(transaction, job, ready_since)
    for task, machine, zone, session in placements:
        job.live[task] = Attempt(machine, zone, session, job.next_attempt)
    job.next_attempt += 1
    transaction.change_usage(job, len(placements))


def _check_dependencies(transaction: Transaction, job: Job) -> float:
    """Check that all dependencies are known to be done; the time of day of the last, in seconds."""
    dependency_index = transaction.cache.dependency_index
    for name in job.dependencies:
        final = dependency_index.finished_job(name)
        if final is None or final.state != DONE:
            raise PreconditionFailedError(f"{name} is not known to be done")
    return dependency_index.ready_since(job)


def _check_tasks(job: Job, placements: Sequence[Placement]) -> None:
    """Check the rules of the job itself: which tasks may start, and in which zones."""
    if job.spec.kind == GANG and (job.live or len(placements) != job.waiting):
        raise PreconditionFailedError("a gang starts as a whole")
    if any(p.task in job.live or p.task in job.done for p in placements):
        raise PreconditionFailedError("a task is started or done")
    zones = [a.zone for a in job.live.values()] + [p.zone for p in placements]
    if not zones_allowed(job.spec, zones):
        raise PreconditionFailedError("the zones are not allowed")


def _check_team(
    transaction: Transaction,
    spec: JobSpec,
    tasks: int,
    limits: TeamLimits | None,
    assignment: TeamAssignment | None,
) -> None:
    """Check that the team is assigned to us, and that its limits cover so many more tasks."""
    key, cache = TEAM_PREFIX + spec.team, transaction.cache
    if not transaction.is_schema_v1 and not may_schedule(cache, spec.team, assignment):
        raise PreconditionFailedError("the team is assigned to another controller")
    if transaction.in_doubt.get(key) == cache.version(key) > 0:
        # Moving the record along with this start is not enough: the late one may arrive between
        # our reading and this.  Found by the search of the model (tests/membership).
        raise PreconditionFailedError("a start that had no answer may still arrive")
    if cache.starts_blocked(spec.team):
        raise PreconditionFailedError("the team's usage is not known")
    if not headroom(limits, transaction.usage_of(spec.team)).covers(spec, tasks):
        raise PreconditionFailedError("the team's limit")


def _record_all_done(transaction: Transaction, job: Job, ready_since: float) -> None:
    """Record of a job that all its dependencies are done, as relied on by its first start."""
    for name in job.dependencies:
        final = transaction.cache.dependency_index.finished_job(name)
        if final is not None:
            _expect_unchanged(transaction, name, final)
    job.dependencies, job.ready = (), ready_since


def record_done_dependencies(transaction: Transaction, job_id: str, most: int) -> bool:
    """Record of some dependencies of a job that they are done, so that its start relies on fewer.

    Args:
        transaction: where that is recorded.
        job_id: the job that has the dependencies.
        most: how many to record at most; the store takes only so many conditions at a time.

    Returns:
        False when there was none to record.
    """
    job = transaction.job(job_id)
    if job is None or job.cancelled or transaction.is_schema_v1:
        return False
    done: list[str] = []
    for name in job.dependencies:
        final = transaction.cache.dependency_index.finished_job(name)
        if final is not None and final.state == DONE and len(done) < most:
            done.append(name)
            _expect_unchanged(transaction, name, final)
    if done:
        job.ready = transaction.cache.dependency_index.ready_since(job)
        job.dependencies = tuple(name for name in job.dependencies if name not in done)
    return bool(done)


def _expect_unchanged(transaction: Transaction, job_id: str, final: FinishedJob) -> None:
    """Rely on how a job ended; that never changes, but its record may move."""
    if final.version:
        transaction.expected_versions[
            (FINISHED_JOB_PREFIX if final.archived else JOB_PREFIX) + job_id
        ] = final.version
