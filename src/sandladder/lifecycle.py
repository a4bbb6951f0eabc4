"""What may happen to jobs: the changes that get committed, and the proof that work is lost.

A change is evaluated on a `View` of the records, which notes every version it relied on, so
that the commit binds exactly what was checked.  Pure: no I/O, no clock.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

from sandladder.mirror import Mirror
from sandladder.model import (
    CANCELLED,
    DONE,
    GANG,
    SERVICE,
    Attempt,
    Final,
    Job,
    JobSpec,
    Machine,
    MachineType,
    Summary,
    Team,
)
from sandladder.records import (
    FINAL,
    FLEET,
    JOB,
    NODE,
    RENTER,
    TEAM,
    TYPES,
    fleet_value,
    job_value,
    machine_number,
    pack_summary,
)
from sandladder.settings import TeamLimits

# Room for rounding when amounts that are decimal numbers are added up.
EPSILON = 1e-6


class Refused(Exception):
    """A change does not hold on the current records; the text says why."""


class View:
    """The records as one transaction would leave them, and the versions it relies on."""

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.jobs: dict[str, Job | None] = {}
        self.teams: dict[str, Team] = {}
        self.finals: dict[str, Final] = {}
        self.others: dict[str, tuple[Any, int | None]] = {}
        self.fleet: dict[str, Machine] | None = None
        self.guards: dict[str, int] = {}

    def job(self, job_id: str) -> Job | None:
        """A job for changing, or None when it is not live."""
        if job_id not in self.jobs:
            found = self.mirror.jobs.get(job_id)
            if found is None:
                return None
            self.jobs[job_id] = found.copy()
            self.guards[JOB + job_id] = self.mirror.version(JOB + job_id)
        return self.jobs[job_id]

    def create(self, job: Job) -> None:
        """Add a job that must exist neither live nor finished."""
        self.jobs[job.id] = job
        self.guards[JOB + job.id] = 0
        self.guards[FINAL + job.id] = 0

    def team(self, name: str) -> Team:
        if name not in self.teams:
            self.teams[name] = self.mirror.teams.get(name, Team())
            self.guards[TEAM + name] = self.mirror.version(TEAM + name)
        return self.teams[name]

    def hold(self, job: Job, tasks: int) -> None:
        """Change what the job's team holds by so many tasks of it."""
        team = self.team(job.spec.team)
        cpus = team.cpus + tasks * job.spec.cpus
        gpus = team.gpus + tasks * job.spec.gpus
        self.teams[job.spec.team] = Team(max(0.0, round(cpus, 6)), max(0.0, round(gpus, 6)))

    def finish(self, job: Job, state: str) -> None:
        """Move a job without live attempts to the finished ones."""
        self.jobs[job.id] = None
        self.finals[job.id] = Final(state, job.done.count)
        self.guards[FINAL + job.id] = 0

    def put(self, key: str, value: Any, version: int, lease: int | None = None) -> None:
        self.others[key] = (value, lease)
        self.guards[key] = version

    @property
    def size(self) -> int:
        """How many puts and deletes this is."""
        return len(self.jobs) + len(self.teams) + len(self.finals) + len(self.others)

    def changes(self) -> list[tuple[str, Any, int | None]]:
        """(key, value or None for a delete, lease) of everything changed."""
        found: list[tuple[str, Any, int | None]] = [
            (JOB + job_id, job_value(job) if job else None, None)
            for job_id, job in self.jobs.items()
        ]
        found += [(TEAM + name, list(team), None) for name, team in self.teams.items()]
        found += [(FINAL + job_id, list(final), None) for job_id, final in self.finals.items()]
        found += [(key, value, lease) for key, (value, lease) in self.others.items()]
        return found


class Ended(NamedTuple):
    """An attempt whose end is proved, and how it ended."""

    job: str
    task: int
    attempt: Attempt
    outcome: str


class Placement(NamedTuple):
    """A task that is to start on a machine."""

    task: int
    machine: str
    zone: str
    session: int


def submit(view: View, spec: JobSpec, now: float) -> None:
    """Accept a job."""
    if spec.id in view.jobs or spec.id in view.mirror.jobs:
        raise Refused("known")
    view.create(Job(spec, now))


def cancel(view: View, job_id: str) -> None:
    """Cancel a live job: nothing of it starts any more, and what runs is stopped."""
    job = view.job(job_id)
    if job is None:
        raise Refused("not live")
    if job.cancelled:
        raise Refused("cancelled already")
    job.cancelled = True
    if not job.live:
        view.finish(job, CANCELLED)


def end(view: View, ended: Iterable[Ended]) -> bool:
    """Record proved ends; False when none of them was news."""
    news = False
    for item in ended:
        job = view.mirror.jobs.get(item.job) if item.job not in view.jobs else view.jobs[item.job]
        if job is None or not _same(job.live.get(item.task), item.attempt):
            continue
        job = view.job(item.job)
        assert job is not None
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
                view.finish(job, CANCELLED)
            elif job.complete:
                view.finish(job, DONE)
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


def start(view: View, job_id: str, placements: list[Placement], limits: TeamLimits) -> None:
    """Commit starts: the last word on the rules that bind job and team.

    Everything is checked before anything is changed, so a refusal leaves the view as it was.
    """
    job = view.job(job_id)
    if job is None or job.cancelled:
        raise Refused("the job is not live")
    spec = job.spec
    if spec.kind == GANG and (job.live or len(placements) != job.waiting):
        raise Refused("a gang starts as a whole")
    if any(p.task in job.live or p.task in job.done for p in placements):
        raise Refused("a task is started or done")
    zones = [a.zone for a in job.live.values()] + [p.zone for p in placements]
    if not zones_allowed(spec, zones):
        raise Refused("the zones are not allowed")
    team = view.team(spec.team)
    if (
        team.cpus + len(placements) * spec.cpus > limits.cpus_max + EPSILON
        or team.gpus + len(placements) * spec.gpus > limits.gpus_max + EPSILON
    ):
        raise Refused("the team's limit")
    for task, machine, zone, session in placements:
        job.live[task] = Attempt(machine, zone, session, job.next_attempt)
    job.next_attempt += 1
    view.hold(job, len(placements))


def zones_allowed(spec: JobSpec, zones: list[str]) -> bool:
    """Whether the tasks of a job may be in these zones together."""
    if spec.zone is not None and any(zone != spec.zone for zone in zones):
        return False
    if spec.one_zone and len(set(zones)) > 1:
        return False
    if spec.spread:
        most = (spec.tasks + 1) // 2
        return all(zones.count(zone) <= most for zone in set(zones))
    return True


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
    if spec.cpus * tasks > team.cpus_max + EPSILON or spec.gpus * tasks > team.gpus_max + EPSILON:
        return "more than the team's limit"
    return None


def put_summary(view: View, node: str, summary: Summary, lease: int, value_bytes: float) -> None:
    """Write a room summary, in as many parts as the store's limit on values asks for."""
    parts = [NODE + node]
    for index, value in enumerate(pack_summary(summary, value_bytes)):
        if index:
            parts.append(f"{NODE}{node}/{index}")
        view.put(parts[-1], value, view.mirror.version(parts[-1]), lease)
    while view.mirror.version(key := f"{NODE}{node}/{len(parts)}"):
        view.put(key, None, view.mirror.version(key))
        parts.append(key)


def put_types(view: View, types: dict[str, MachineType]) -> None:
    view.put(TYPES, msgspec.to_builtins(types), view.mirror.version(TYPES))


def change_fleet(view: View, news: dict[str, Machine | None], chunk_size: int) -> bool:
    """Let the renter change the fleet records, None to forget a machine.

    Binds that it still is the renter.
    """
    # Several changes may share a transaction: each goes on from what the last one left.
    before = view.mirror.fleet if view.fleet is None else view.fleet
    news = {m: record for m, record in news.items() if before.get(m) != record}
    if not news:
        return False
    fleet = view.fleet = dict(before)
    for machine, record in news.items():
        if record is None:
            fleet.pop(machine, None)
        else:
            fleet[machine] = record
    view.guards[RENTER] = view.mirror.version(RENTER)
    chunks: dict[int, dict[str, Machine]] = {machine_number(m) // chunk_size: {} for m in news}
    for machine, kept in fleet.items():
        members = chunks.get(machine_number(machine) // chunk_size)
        if members is not None:
            members[machine] = kept
    for chunk, members in chunks.items():
        key = f"{FLEET}{chunk}"
        view.put(key, fleet_value(members) if members else None, view.mirror.version(key))
    return True


class _Statement(NamedTuple):
    summary: Summary
    observed: float  # when it reached us
    made: float  # no later than when it was made


class LossProof:
    """Proves that a silent machine's lease has run out, whoever may have answered it.

    A worker kills its tasks when no report of it was answered for the lease.  So the proof
    needs one interval as long as the lease in which *no* controller answered.  For each
    controller we know an upper bound of its last answer to the machine and a time up to
    which that is its whole story; the interval is what these have in common.  All times are
    on our steady clock.
    """

    def __init__(self, node: str, nodes: list[str], lease_s: float, started: float) -> None:
        self._node = node
        self._others = [name for name in nodes if name != node]
        # The steady clocks of two machines drift apart, timers are coarse.
        self.needed_s = lease_s * 1.02
        self.listed_s = lease_s * 2
        self._started = started
        self._answered: dict[str, float] = {}
        self._statements: dict[str, _Statement] = {}
        self._absent: dict[str, float] = {}
        # By machine and session, since when we know that this session had begun.
        self._began: dict[tuple[str, int], float] = {}
        self._history: deque[tuple[float, int]] = deque(maxlen=512)

    def answered(self, machine: str, now: float) -> None:
        """We are about to answer this machine with a token."""
        self._answered[machine] = now

    def age(self, machine: str, now: float) -> float | None:
        """How long ago we answered it, while that is worth listing."""
        last = self._answered.get(machine)
        if last is None or now - last > self.listed_s:
            self._answered.pop(machine, None)
            return None
        return now - last

    def machines(self) -> list[str]:
        return list(self._answered)

    def up_s(self, now: float) -> float:
        return now - self._started

    def holds(self, held: Iterable[tuple[str, int]], now: float) -> None:
        """These sessions hold committed starts, so they have begun; others are forgotten.

        To be told all the while, not only once a machine is silent: a proof counts from here.
        """
        self._began = {key: self._began.get(key, now) for key in held}

    def synced(self, sent: float, revision: int) -> None:
        """A reading sent then reached this revision."""
        if not self._history or sent - self._history[-1][0] > self.needed_s / 100:
            self._history.append((sent, revision))

    def observe(self, nodes: dict[str, Summary], now: float) -> None:
        """Take in the summaries that stand in the records now."""
        for name in self._others:
            summary = nodes.get(name)
            known = self._statements.get(name)
            if summary is None:
                self._statements.pop(name, None)
                # The hold behind the summary has ended, so its owner had stopped by now.
                self._absent.setdefault(name, now)
                continue
            self._absent.pop(name, None)
            if known is None or known.summary is not summary:
                made = self._not_before(summary.revision)
                self._statements[name] = _Statement(summary, now, made)

    def statements(self) -> Iterator[tuple[str, Summary, float]]:
        """The other controllers' summaries and when they reached us."""
        for node, statement in self._statements.items():
            yield node, statement.summary, statement.observed

    def _not_before(self, revision: int) -> float:
        """A time at which the store had not yet reached this revision.

        A summary names the revision its writer had seen, so it was made after that.
        """
        for sent, reached in reversed(self._history):
            if reached < revision:
                return sent
        return float("-inf")

    def lost(self, machine: str, session: int, now: float) -> bool:
        """Whether everything that the machine ran in a session is surely gone."""
        last = self._answered.get(machine, max(self._started, now - self.listed_s))
        # A machine that came up after a summary was made is missing there, and alive: only
        # what follows the beginning of its session counts.  Seen in a measured day, where a
        # task ran twice after a peer's word on a new machine came before its summary.
        last = max(last, self._began.get((machine, session), now))
        until = now
        for name in self._others:
            statement = self._statements.get(name)
            if statement is None:
                absent = self._absent.get(name)
                if absent is None:
                    return False
                last = max(last, absent)
                continue
            seen = statement.summary.machines.get(machine)
            silent = seen.age_s if seen else min(statement.summary.up_s, self.listed_s)
            last = max(last, statement.observed - silent)
            until = min(until, statement.made)
        return until - last >= self.needed_s
