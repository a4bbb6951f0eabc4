"""State transitions of jobs: submission, cancellation, stops, ends and archiving.

The module `starts` contains the starts.  A transition is applied to a `Transaction`, which records
the version of each record that was read, so that the commit fails if one has changed.  A transition
that is not allowed raises `PreconditionFailedError` before it changes any record.  Performs no I/O
and reads no clock.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.config import TeamLimits
from sandladder.model import (
    ARRAY,
    CANCELLED,
    DONE,
    FAILURES,
    GANG,
    SERVICE,
    Attempt,
    AttemptOutcome,
    EndedAttempt,
    Job,
    JobSpec,
    MachineType,
    TeamUsage,
    headroom,
)
from sandladder.state import (
    FINISHED_JOB_PREFIX,
    JOB_PREFIX,
    PreconditionFailedError,
    Transaction,
    finished_job_value,
)


class SubmittedDependencies(NamedTuple):
    """The state of a submitted job's dependencies."""

    live: tuple[str, ...] = ()  # IDs of the dependencies that are not finished
    any_cancelled: bool = False  # whether any dependency, live or finished, is cancelled


def submit(
    transaction: Transaction,
    spec: JobSpec,
    now: float,
    dependencies: SubmittedDependencies | None = None,
) -> None:
    """Add a new job to a transaction.

    Args:
        transaction: the transaction to add the job to.
        spec: the job's specification.
        now: the time of day, in seconds.
        dependencies: the state of its dependencies; if any is cancelled, so is the job.

    Raises:
        PreconditionFailedError: the job exists already, or the schema version does not support
            dependencies.
    """
    if (
        spec.id in transaction.jobs
        or spec.id in transaction.cache.jobs
        or transaction.cache.finished_job(spec.id)
    ):
        raise PreconditionFailedError("the job exists already")
    dependencies = dependencies or SubmittedDependencies()
    if transaction.is_schema_v1 and dependencies.live:
        # A controller of the previous version would drop the dependencies and start the job early.
        raise PreconditionFailedError("not all controllers support dependencies")
    job = Job(spec, now, dependencies.live)
    transaction.create(job)
    if dependencies.any_cancelled:
        transaction.finish(job, CANCELLED, now)


def rejection_reason(
    spec: JobSpec, types: dict[str, MachineType], limits: dict[str, TeamLimits]
) -> str | None:
    """Return why a job can never run, as a text for its user, or None if it can run.

    `types` and `limits` are the machine types and the teams' limits, by name.
    """
    team = limits.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(machine_type.fits(spec) for machine_type in types.values()):
        return "a task fits no allowed machine type"
    tasks_at_once = 1 if spec.kind == ARRAY else spec.tasks
    if not headroom(team, TeamUsage()).covers(spec, tasks_at_once):
        return "more than the team's limit"
    return None


def cancel(transaction: Transaction, job_id: str, now: float) -> None:
    """Cancel a live job: its waiting tasks never start, and its running tasks are stopped.

    `now` is the time of day, in seconds.

    Raises:
        PreconditionFailedError: the job is not live or is already cancelled.
    """
    job = transaction.job(job_id)
    if job is None:
        raise PreconditionFailedError("the job is not live")
    if job.cancelled:
        raise PreconditionFailedError("the job is already cancelled")
    job.cancelled = True
    if not job.live:
        transaction.finish(job, CANCELLED, now)


def end(transaction: Transaction, ended: Iterable[EndedAttempt], now: float) -> bool:
    """Remove ended attempts from their jobs, and finish the jobs that have no work left.

    `now` is the time of day, in seconds.

    Returns:
        Whether any end was recorded; False if all were recorded before.
    """
    changed = False
    for ended_attempt in ended:
        if not _is_live(transaction, ended_attempt):
            continue
        job = transaction.job(ended_attempt.job)
        if job is None:
            continue  # its record is unreadable
        changed = True
        _end_attempt(transaction, job, ended_attempt)
        if job.live:
            continue
        if job.cancelled:
            transaction.finish(job, CANCELLED, now)
        elif job.complete:
            transaction.finish(job, DONE, now)
    return changed


def _is_live(transaction: Transaction, ended: EndedAttempt) -> bool:
    """Return whether an attempt is live, without adding its record's version to the conditions."""
    if ended.job in transaction.jobs:
        job = transaction.jobs[ended.job]
    else:
        job = transaction.cache.jobs.get(ended.job)
    return job is not None and same_attempt(job.live.get(ended.task), ended.attempt)


def _end_attempt(transaction: Transaction, job: Job, ended: EndedAttempt) -> None:
    """Remove an attempt from its job and count its outcome."""
    del job.live[ended.task]
    transaction.change_usage(job, -1)
    if ended.outcome == AttemptOutcome.DONE and job.spec.kind != SERVICE:
        job.done.add(ended.task)
        job.errors = 0
    elif ended.outcome in FAILURES:
        job.errors += 1
    if job.spec.kind == GANG and ended.outcome != AttemptOutcome.DONE:
        # A gang that lost a task is stopped and rescheduled as a whole.
        for task, attempt in job.live.items():
            if attempt.stop_grace_s is None:
                job.live[task] = attempt._replace(stop_grace_s=0.0)


def same_attempt(live: Attempt | None, other: Attempt) -> bool:
    """Return whether two attempts are the same, regardless of a stop requested for either."""
    return live is not None and live[:4] == other[:4]


def stop(transaction: Transaction, job_id: str, tasks: Iterable[int], grace_s: float) -> bool:
    """Mark the live attempts of tasks to be stopped, or of the whole job if it is a gang.

    Args:
        transaction: the transaction to add the change to.
        job_id: the job's ID.
        tasks: the task numbers; tasks that are not live are ignored.
        grace_s: how long an attempt may continue to save a checkpoint, in seconds.

    Returns:
        Whether any attempt was changed; False if none has to stop earlier than before.
    """
    job = transaction.job(job_id)
    if job is None or job.cancelled:
        return False
    selected = list(job.live) if job.spec.kind == GANG else [t for t in tasks if t in job.live]
    changed = False
    for task in selected:
        attempt = job.live[task]
        if attempt.stop_grace_s is None or grace_s < attempt.stop_grace_s:
            job.live[task] = attempt._replace(stop_grace_s=grace_s)
            changed = True
    return changed


def archive_job(transaction: Transaction, job_id: str) -> bool:
    """Move the record of a finished job from the prefix of live jobs to that of finished jobs.

    Returns:
        Whether the record was moved; False if it was moved before, or if older controllers would
        not find it there.
    """
    finished_job = transaction.cache.unarchived.get(job_id)
    if finished_job is None or transaction.is_schema_v1:
        return False
    transaction.put(JOB_PREFIX + job_id, None, finished_job.version)
    transaction.put(
        FINISHED_JOB_PREFIX + job_id,
        finished_job_value(finished_job, transaction.cache.schema_version),
        0,
    )
    return True
