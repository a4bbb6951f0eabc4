"""What may happen to jobs: the changes that get committed, and the proof that work is lost.

A change is evaluated on a `Transaction` of the records, which notes every version it relied on, so
that the commit binds exactly what was checked.  Pure: no I/O, no clock.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.config import TeamLimits
from sandladder.membership import may_place
from sandladder.model import (
    CANCELLED,
    DONE,
    GANG,
    SERVICE,
    Attempt,
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
    """What a submission names: jobs that are not done yet, and what is known of the rest."""

    live: tuple[str, ...] = ()
    doomed: bool = False  # one of them is cancelled


def submit(
    transaction: Transaction, spec: JobSpec, now: float, needs: SubmittedDependencies | None = None
) -> None:
    """Accept a job."""
    if (
        spec.id in transaction.jobs
        or spec.id in transaction.cache.jobs
        or transaction.cache.final(spec.id)
    ):
        raise PreconditionFailedError("known")
    needs = needs or SubmittedDependencies()
    if transaction.is_schema_v1 and needs.live:
        # The version before would drop the names with its next writing, and start the job.
        raise PreconditionFailedError("not all controllers know of jobs that wait for others")
    job = Job(spec, now, needs.live)
    transaction.create(job)
    if needs.doomed:
        transaction.finish(job, CANCELLED, now)


def cancel(transaction: Transaction, job_id: str, now: float) -> None:
    """Cancel a live job: nothing of it starts any more, and what runs is stopped."""
    job = transaction.job(job_id)
    if job is None:
        raise PreconditionFailedError("not live")
    if job.cancelled:
        raise PreconditionFailedError("cancelled already")
    job.cancelled = True
    if not job.live:
        transaction.finish(job, CANCELLED, now)


def end(transaction: Transaction, ended: Iterable[EndedAttempt], now: float) -> bool:
    """Record proved ends; False when none of them was news."""
    news = False
    for item in ended:
        job = (
            transaction.cache.jobs.get(item.job)
            if item.job not in transaction.jobs
            else transaction.jobs[item.job]
        )
        if job is None or not _same(job.live.get(item.task), item.attempt):
            continue
        job = transaction.job(item.job)
        if job is None:
            continue  # its record cannot be read now
        news = True
        del job.live[item.task]
        transaction.change_usage(job, -1)
        if item.outcome == "done" and job.spec.kind != SERVICE:
            job.done.add(item.task)
            job.errors = 0
        elif item.outcome in ("error", "unknown"):
            job.errors += 1
        if job.spec.kind == GANG and item.outcome != "done":
            # A gang that lost a task is stopped and planned again as a whole.
            for task, attempt in job.live.items():
                if attempt.stop is None:
                    job.live[task] = attempt._replace(stop=0.0)
        if not job.live:
            if job.cancelled:
                transaction.finish(job, CANCELLED, now)
            elif job.complete:
                transaction.finish(job, DONE, now)
    return news


def _same(live: Attempt | None, other: Attempt) -> bool:
    return live is not None and live[:4] == other[:4]


def stop(transaction: Transaction, job_id: str, tasks: Iterable[int], grace_s: float) -> bool:
    """Mark attempts to be stopped; a gang is stopped as a whole."""
    job = transaction.job(job_id)
    if job is None or job.cancelled:
        return False
    chosen = list(job.live) if job.spec.kind == GANG else [t for t in tasks if t in job.live]
    news = False
    for task in chosen:
        attempt = job.live[task]
        if attempt.stop is None or grace_s < attempt.stop:
            job.live[task] = attempt._replace(stop=grace_s)
            news = True
    return news


def start(
    transaction: Transaction,
    job_id: str,
    placements: list[Placement],
    limits: TeamLimits | None,
    assignment: TeamAssignment | None = None,
) -> None:
    """Commit starts: the last word on the rules that bind job and team.

    Everything is checked before anything is changed, so a refusal leaves the view as it was.
    """
    job = transaction.job(job_id)
    if job is None or job.cancelled:
        raise PreconditionFailedError("the job is not live")
    spec = job.spec
    released = _released(transaction, job)
    if spec.kind == GANG and (job.live or len(placements) != job.waiting):
        raise PreconditionFailedError("a gang starts as a whole")
    if any(p.task in job.live or p.task in job.done for p in placements):
        raise PreconditionFailedError("a task is started or done")
    zones = [a.zone for a in job.live.values()] + [p.zone for p in placements]
    if not zones_allowed(spec, zones):
        raise PreconditionFailedError("the zones are not allowed")
    if not transaction.is_schema_v1 and not may_place(transaction.cache, spec.team, assignment):
        raise PreconditionFailedError("another controller places the team")
    if transaction.unsure.get(TEAM + spec.team) == transaction.cache.version(TEAM + spec.team) > 0:
        # Moving the record along with this start is not enough: the late one may arrive between
        # our reading and this.  Found by the search of the model (tests/membership).
        raise PreconditionFailedError("a start that had no answer may still arrive")
    if transaction.cache.starts_blocked(spec.team):
        raise PreconditionFailedError("what the team holds cannot be told")
    if not headroom(limits, transaction.held(spec.team)).covers(spec, len(placements)):
        raise PreconditionFailedError("the team's limit")
    if not transaction.is_schema_v1:
        transaction.expected_versions[TEAM + spec.team] = transaction.cache.version(
            TEAM + spec.team
        )
    if job.dependencies:
        for name in job.dependencies:
            final = transaction.cache.dependency_index.settled(name)
            if final is not None:
                bind_finished_job(transaction, name, final)
        job.dependencies, job.ready = (), released
    for task, machine, zone, session in placements:
        job.live[task] = Attempt(machine, zone, session, job.next_attempt)
    job.next_attempt += 1
    transaction.change_usage(job, len(placements))


def bind_finished_job(transaction: Transaction, job_id: str, final: FinishedJob) -> None:
    """Rely on what a job came to; it never changes, but its record may move."""
    if final.version:
        transaction.expected_versions[(FINAL if final.filed else JOB) + job_id] = final.version


def archive_job(transaction: Transaction, job_id: str) -> bool:
    """Move what a job came to from the job's place to the finished ones."""
    final = transaction.cache.unarchived.get(job_id)
    if final is None or transaction.is_schema_v1:
        return False
    transaction.put(JOB + job_id, None, final.version)
    transaction.put(FINAL + job_id, finished_job_value(final, transaction.cache.schema_version), 0)
    return True


def _released(transaction: Transaction, job: Job) -> float:
    """Since when all jobs that this one needs are done; refuses while that is not certain."""
    dependency_index = transaction.cache.dependency_index
    if not job.dependencies:
        return dependency_index.since(job)
    for name in job.dependencies:
        final = dependency_index.settled(name)
        if final is None or final.state != DONE:
            raise PreconditionFailedError(f"{name} is not known to be done")
    return dependency_index.since(job)


def settle(transaction: Transaction, job_id: str, most: int) -> bool:
    """Record of some named jobs that they are done, so that fewer conditions bind the start."""
    job = transaction.job(job_id)
    if job is None or job.cancelled or transaction.is_schema_v1:
        return False
    done: list[str] = []
    for name in job.dependencies:
        final = transaction.cache.dependency_index.settled(name)
        if final is not None and final.state == DONE and len(done) < most:
            done.append(name)
            bind_finished_job(transaction, name, final)
    if done:
        job.ready = transaction.cache.dependency_index.since(job)
        job.dependencies = tuple(name for name in job.dependencies if name not in done)
    return bool(done)


def rejection(
    spec: JobSpec, types: dict[str, MachineType], limits: dict[str, TeamLimits]
) -> str | None:
    """Why a job can never run, or None."""
    team = limits.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(kind.fits(spec) for kind in types.values()):
        return "a task fits no allowed machine type"
    tasks = 1 if spec.kind == "array" else spec.tasks
    if not headroom(team, TeamUsage()).covers(spec, tasks):
        return "more than the team's limit"
    return None
