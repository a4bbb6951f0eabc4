"""What may happen to jobs: the changes that get committed, and the proof that work is lost.

A change is evaluated on a `View` of the records, which notes every version it relied on, so
that the commit binds exactly what was checked.  Pure: no I/O, no clock.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.config.settings import TeamLimits
from sandladder.membership.roster import may_place
from sandladder.model.jobs import (
    CANCELLED,
    DONE,
    GANG,
    SERVICE,
    Attempt,
    Ended,
    Final,
    Job,
    JobSpec,
    Placement,
    zones_allowed,
)
from sandladder.model.machines import MachineType
from sandladder.model.membership import Placer
from sandladder.model.quota import TeamUsage, headroom
from sandladder.state.errors import Refused
from sandladder.state.records import (
    FINAL,
    JOB,
    TEAM,
    final_value,
)
from sandladder.state.transaction import View


class Needs(NamedTuple):
    """What a submission names: jobs that are not done yet, and what is known of the rest."""

    live: tuple[str, ...] = ()
    doomed: bool = False  # one of them is cancelled


def submit(view: View, spec: JobSpec, now: float, needs: Needs | None = None) -> None:
    """Accept a job."""
    if spec.id in view.jobs or spec.id in view.mirror.jobs or view.mirror.final(spec.id):
        raise Refused("known")
    needs = needs or Needs()
    if view.plain and needs.live:
        # The version before would drop the names with its next writing, and start the job.
        raise Refused("not all controllers know of jobs that wait for others")
    job = Job(spec, now, needs.live)
    view.create(job)
    if needs.doomed:
        view.finish(job, CANCELLED, now)


def cancel(view: View, job_id: str, now: float) -> None:
    """Cancel a live job: nothing of it starts any more, and what runs is stopped."""
    job = view.job(job_id)
    if job is None:
        raise Refused("not live")
    if job.cancelled:
        raise Refused("cancelled already")
    job.cancelled = True
    if not job.live:
        view.finish(job, CANCELLED, now)


def end(view: View, ended: Iterable[Ended], now: float) -> bool:
    """Record proved ends; False when none of them was news."""
    news = False
    for item in ended:
        job = view.mirror.jobs.get(item.job) if item.job not in view.jobs else view.jobs[item.job]
        if job is None or not _same(job.live.get(item.task), item.attempt):
            continue
        job = view.job(item.job)
        if job is None:
            continue  # its record cannot be read now
        news = True
        del job.live[item.task]
        view.hold(job, -1)
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
                view.finish(job, CANCELLED, now)
            elif job.complete:
                view.finish(job, DONE, now)
    return news


def _same(live: Attempt | None, other: Attempt) -> bool:
    return live is not None and live[:4] == other[:4]


def stop(view: View, job_id: str, tasks: Iterable[int], grace_s: float) -> bool:
    """Mark attempts to be stopped; a gang is stopped as a whole."""
    job = view.job(job_id)
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
    view: View,
    job_id: str,
    placements: list[Placement],
    limits: TeamLimits | None,
    placer: Placer | None = None,
) -> None:
    """Commit starts: the last word on the rules that bind job and team.

    Everything is checked before anything is changed, so a refusal leaves the view as it was.
    """
    job = view.job(job_id)
    if job is None or job.cancelled:
        raise Refused("the job is not live")
    spec = job.spec
    released = _released(view, job)
    if spec.kind == GANG and (job.live or len(placements) != job.waiting):
        raise Refused("a gang starts as a whole")
    if any(p.task in job.live or p.task in job.done for p in placements):
        raise Refused("a task is started or done")
    zones = [a.zone for a in job.live.values()] + [p.zone for p in placements]
    if not zones_allowed(spec, zones):
        raise Refused("the zones are not allowed")
    if not view.plain and not may_place(view.mirror, spec.team, placer):
        raise Refused("another controller places the team")
    if view.unsure.get(TEAM + spec.team) == view.mirror.version(TEAM + spec.team) > 0:
        # Moving the record along with this start is not enough: the late one may arrive between
        # our reading and this.  Found by the search of the model (tests/membership).
        raise Refused("a start that had no answer may still arrive")
    if view.mirror.starts_barred(spec.team):
        raise Refused("what the team holds cannot be told")
    if not headroom(limits, view.held(spec.team)).covers(spec, len(placements)):
        raise Refused("the team's limit")
    if not view.plain:
        view.guards[TEAM + spec.team] = view.mirror.version(TEAM + spec.team)
    if job.awaits:
        for name in job.awaits:
            final = view.mirror.pipelines.settled(name)
            if final is not None:
                bind_final(view, name, final)
        job.awaits, job.ready = (), released
    for task, machine, zone, session in placements:
        job.live[task] = Attempt(machine, zone, session, job.next_attempt)
    job.next_attempt += 1
    view.hold(job, len(placements))


def bind_final(view: View, job_id: str, final: Final) -> None:
    """Rely on what a job came to; it never changes, but its record may move."""
    if final.version:
        view.guards[(FINAL if final.filed else JOB) + job_id] = final.version


def file_final(view: View, job_id: str) -> bool:
    """Move what a job came to from the job's place to the finished ones."""
    final = view.mirror.unfiled.get(job_id)
    if final is None or view.plain:
        return False
    view.put(JOB + job_id, None, final.version)
    view.put(FINAL + job_id, final_value(final, view.mirror.form), 0)
    return True


def _released(view: View, job: Job) -> float:
    """Since when all jobs that this one needs are done; refuses while that is not certain."""
    pipelines = view.mirror.pipelines
    if not job.awaits:
        return pipelines.since(job)
    for name in job.awaits:
        final = pipelines.settled(name)
        if final is None or final.state != DONE:
            raise Refused(f"{name} is not known to be done")
    return pipelines.since(job)


def settle(view: View, job_id: str, most: int) -> bool:
    """Record of some named jobs that they are done, so that fewer conditions bind the start."""
    job = view.job(job_id)
    if job is None or job.cancelled or view.plain:
        return False
    done: list[str] = []
    for name in job.awaits:
        final = view.mirror.pipelines.settled(name)
        if final is not None and final.state == DONE and len(done) < most:
            done.append(name)
            bind_final(view, name, final)
    if done:
        job.ready = view.mirror.pipelines.since(job)
        job.awaits = tuple(name for name in job.awaits if name not in done)
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
