"""The transitions that a job may undergo: submission, cancellation, stops, ends, archiving.

Starts have a module of their own, `starts`.  A transition is evaluated on a `Transaction`, which
notes every version it relied on, so that the commit is bound to exactly what was checked.  What
does not hold raises `PreconditionFailedError`; nothing that would be written has been changed by
then.  Pure: no I/O, no clock.
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
    """The dependencies of a submission that are not known to be done."""

    live: tuple[str, ...] = ()
    any_cancelled: bool = False


def submit(
    transaction: Transaction,
    spec: JobSpec,
    now: float,
    dependencies: SubmittedDependencies | None = None,
) -> None:
    """Accept a job.

    Args:
        transaction: where it is added.
        spec: what the user asked for.
        now: the time of day, in seconds.
        dependencies: what it depends on; a job with a cancelled dependency is cancelled at once.

    Raises:
        PreconditionFailedError: the job is known already, or not all controllers would understand
            its dependencies.
    """
    if (
        spec.id in transaction.jobs
        or spec.id in transaction.cache.jobs
        or transaction.cache.finished_job(spec.id)
    ):
        raise PreconditionFailedError("known")
    dependencies = dependencies or SubmittedDependencies()
    if transaction.is_schema_v1 and dependencies.live:
        # The version before would drop the names with its next writing, and start the job.
        raise PreconditionFailedError("not all controllers understand dependencies")
    job = Job(spec, now, dependencies.live)
    transaction.create(job)
    if dependencies.any_cancelled:
        transaction.finish(job, CANCELLED, now)


def rejection(
    spec: JobSpec, types: dict[str, MachineType], limits: dict[str, TeamLimits]
) -> str | None:
    """Why a job can never run, as text for its user; None when it can.

    `types` and `limits`: the machine types and the teams' limits, by name.
    """
    team = limits.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(kind.fits(spec) for kind in types.values()):
        return "a task fits no allowed machine type"
    tasks_at_once = 1 if spec.kind == ARRAY else spec.tasks
    if not headroom(team, TeamUsage()).covers(spec, tasks_at_once):
        return "more than the team's limit"
    return None


def cancel(transaction: Transaction, job_id: str, now: float) -> None:
    """Cancel a live job: nothing of it starts any more, and what runs is stopped.

    `now`: the time of day, in seconds.

    Raises:
        PreconditionFailedError: the job is not live, or is cancelled already.
    """
    job = transaction.job(job_id)
    if job is None:
        raise PreconditionFailedError("not live")
    if job.cancelled:
        raise PreconditionFailedError("cancelled already")
    job.cancelled = True
    if not job.live:
        transaction.finish(job, CANCELLED, now)


def end(transaction: Transaction, ended: Iterable[EndedAttempt], now: float) -> bool:
    """Record proved ends, and that their jobs are over where nothing is left to do.

    `now`: the time of day, in seconds.

    Returns:
        False when all of them had been recorded before.
    """
    changed = False
    for item in ended:
        if not _is_live(transaction, item):
            continue
        job = transaction.job(item.job)
        if job is None:
            continue  # its record cannot be read now
        changed = True
        _end_attempt(transaction, job, item)
        if job.live:
            continue
        if job.cancelled:
            transaction.finish(job, CANCELLED, now)
        elif job.complete:
            transaction.finish(job, DONE, now)
    return changed


def _is_live(transaction: Transaction, ended: EndedAttempt) -> bool:
    """Whether the records show this attempt as live; read without relying on their versions."""
    if ended.job in transaction.jobs:
        job = transaction.jobs[ended.job]
    else:
        job = transaction.cache.jobs.get(ended.job)
    return job is not None and same_attempt(job.live.get(ended.task), ended.attempt)


def _end_attempt(transaction: Transaction, job: Job, ended: EndedAttempt) -> None:
    """Take an attempt out of its job, and count what it came to."""
    del job.live[ended.task]
    transaction.change_usage(job, -1)
    if ended.outcome == AttemptOutcome.DONE and job.spec.kind != SERVICE:
        job.done.add(ended.task)
        job.errors = 0
    elif ended.outcome in FAILURES:
        job.errors += 1
    if job.spec.kind == GANG and ended.outcome != AttemptOutcome.DONE:
        # A gang that lost a task is stopped and planned again as a whole.
        for task, attempt in job.live.items():
            if attempt.stop is None:
                job.live[task] = attempt._replace(stop=0.0)


def same_attempt(live: Attempt | None, other: Attempt) -> bool:
    """Whether two are the same attempt; it may have been marked to be stopped in between."""
    return live is not None and live[:4] == other[:4]


def stop(transaction: Transaction, job_id: str, tasks: Iterable[int], grace_s: float) -> bool:
    """Mark attempts to be stopped; a gang is stopped as a whole.

    Args:
        transaction: where they are marked.
        job_id: their job.
        tasks: their tasks; those that are not live are passed over.
        grace_s: for how long they may go on to save a checkpoint, in seconds.

    Returns:
        False when all of them were to be stopped as soon as that already.
    """
    job = transaction.job(job_id)
    if job is None or job.cancelled:
        return False
    chosen = list(job.live) if job.spec.kind == GANG else [t for t in tasks if t in job.live]
    changed = False
    for task in chosen:
        attempt = job.live[task]
        if attempt.stop is None or grace_s < attempt.stop:
            job.live[task] = attempt._replace(stop=grace_s)
            changed = True
    return changed


def archive_job(transaction: Transaction, job_id: str) -> bool:
    """Move a finished job's record from among the live jobs to the finished ones.

    Returns:
        False when it has been moved before, or older controllers would not find it there.
    """
    final = transaction.cache.unarchived.get(job_id)
    if final is None or transaction.is_schema_v1:
        return False
    transaction.put(JOB_PREFIX + job_id, None, final.version)
    transaction.put(
        FINISHED_JOB_PREFIX + job_id, finished_job_value(final, transaction.cache.schema_version), 0
    )
    return True
