"""The transitions that a job may undergo: submission, starts, stops, ends, cancellation.

A transition is evaluated on a `Transaction`, which notes every version it relied on, so that the
commit is bound to exactly what was checked.  What does not hold raises `PreconditionFailedError`;
nothing of the transaction has been changed by then.  Pure: no I/O, no clock.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from sandladder.config import TeamLimits
from sandladder.membership import may_place
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
    FinishedJob,
    Job,
    JobSpec,
    MachineType,
    Placement,
    TeamAssignment,
    TeamUsage,
    headroom,
    zones_allowed,
)
from sandladder.state import (
    FINAL,
    JOB,
    TEAM,
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
        or transaction.cache.final(spec.id)
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


def start(
    transaction: Transaction,
    job_id: str,
    placements: Sequence[Placement],
    limits: TeamLimits | None,
    assignment: TeamAssignment | None = None,
) -> None:
    """Commit starts: the final check of the rules that bind a job and its team.

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
        key = TEAM + job.spec.team
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
        final = dependency_index.settled(name)
        if final is None or final.state != DONE:
            raise PreconditionFailedError(f"{name} is not known to be done")
    return dependency_index.since(job)


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
    key, cache = TEAM + spec.team, transaction.cache
    if not transaction.is_schema_v1 and not may_place(cache, spec.team, assignment):
        raise PreconditionFailedError("the team is assigned to another controller")
    if transaction.unsure.get(key) == cache.version(key) > 0:
        # Moving the record along with this start is not enough: the late one may arrive between
        # our reading and this.  Found by the search of the model (tests/membership).
        raise PreconditionFailedError("a start that had no answer may still arrive")
    if cache.starts_blocked(spec.team):
        raise PreconditionFailedError("the team's usage is not known")
    if not headroom(limits, transaction.held(spec.team)).covers(spec, tasks):
        raise PreconditionFailedError("the team's limit")


def _record_all_done(transaction: Transaction, job: Job, ready_since: float) -> None:
    """Record of a job that all its dependencies are done, as relied on by its first start."""
    for name in job.dependencies:
        final = transaction.cache.dependency_index.settled(name)
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
        final = transaction.cache.dependency_index.settled(name)
        if final is not None and final.state == DONE and len(done) < most:
            done.append(name)
            _expect_unchanged(transaction, name, final)
    if done:
        job.ready = transaction.cache.dependency_index.since(job)
        job.dependencies = tuple(name for name in job.dependencies if name not in done)
    return bool(done)


def _expect_unchanged(transaction: Transaction, job_id: str, final: FinishedJob) -> None:
    """Rely on how a job ended; that never changes, but its record may move."""
    if final.version:
        transaction.expected_versions[(FINAL if final.filed else JOB) + job_id] = final.version


def archive_job(transaction: Transaction, job_id: str) -> bool:
    """Move a finished job's record from among the live jobs to the finished ones.

    Returns:
        False when it has been moved before, or older controllers would not find it there.
    """
    final = transaction.cache.unarchived.get(job_id)
    if final is None or transaction.is_schema_v1:
        return False
    transaction.put(JOB + job_id, None, final.version)
    transaction.put(FINAL + job_id, finished_job_value(final, transaction.cache.schema_version), 0)
    return True
