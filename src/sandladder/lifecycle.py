"""What may happen to jobs: the changes that get committed, and the proof that work is lost.

A change is evaluated on a `View` of the records, which notes every version it relied on, so
that the commit binds exactly what was checked.  Pure: no I/O, no clock.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Iterator, Mapping
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
    Placer,
    Summary,
    TeamUsage,
)
from sandladder.quota import headroom
from sandladder.records import (
    FINAL,
    FLEET,
    FORM,
    FORM_KEY,
    JOB,
    MARKS,
    NODE,
    PLAIN,
    RENTER,
    TEAM,
    TERM,
    TYPES,
    extra_key,
    final_value,
    fleet_value,
    fold,
    fold_summary,
    form_value,
    job_value,
    machine_number,
    pack_summary,
    placer_value,
)
from sandladder.settings import TeamLimits


class Refused(Exception):
    """A change does not hold on the current records; the text says why."""


class View:
    """The records as one transaction would leave them, and the versions it relies on."""

    def __init__(
        self,
        mirror: Mirror,
        value_bytes: float = math.inf,
        unsure: Mapping[str, int] | None = None,
    ) -> None:
        self.mirror = mirror
        self.value_bytes = value_bytes
        # Keys that a transaction without an answer relied on, at the version that it relied on:
        # nothing relies on them again before they have moved past it.
        self.unsure = unsure or {}
        self.jobs: dict[str, Job | None] = {}
        self.teams: dict[str, TeamUsage] = {}
        self.used: dict[str, TeamUsage] = {}
        self.finals: dict[str, Final] = {}
        self.others: dict[str, tuple[Any, int | None]] = {}
        self.fleet: dict[str, Machine] | None = None
        self.guards: dict[str, int] = {}
        self._changed: dict[str, list[tuple[str, Any, int | None]]] = {}

    def fork(self) -> "View":
        """A view to try one more change on."""
        twin = View(self.mirror, self.value_bytes, self.unsure)
        twin.jobs = {job_id: job.copy() if job else None for job_id, job in self.jobs.items()}
        twin.teams, twin.used = dict(self.teams), dict(self.used)
        twin.finals, twin.others = dict(self.finals), dict(self.others)
        twin.fleet, twin.guards = self.fleet, dict(self.guards)
        twin._changed = dict(self._changed)
        return twin

    @property
    def plain(self) -> bool:
        """Whether controllers of the version before may read what is written."""
        return self.mirror.form == PLAIN

    def job(self, job_id: str) -> Job | None:
        """A job for changing, or None when it is not live."""
        self._changed.pop(JOB + job_id, None)
        if job_id not in self.jobs:
            found = self.mirror.jobs.get(job_id)
            if found is None or JOB + job_id in self.mirror.unreadable:
                return None
            self.jobs[job_id] = found.copy()
            self.guards[JOB + job_id] = self.mirror.version(JOB + job_id)
        return self.jobs[job_id]

    def create(self, job: Job) -> None:
        """Add a job that must exist neither live nor finished."""
        self._changed.pop(JOB + job.id, None)
        self.jobs[job.id] = job
        self.guards[JOB + job.id] = 0
        self.guards[FINAL + job.id] = 0

    def team(self, name: str) -> TeamUsage:
        """A team's record in the first form, for changing."""
        if name not in self.teams:
            self.teams[name] = self.mirror.teams.get(name, TeamUsage())
            self.guards[TEAM + name] = self.mirror.version(TEAM + name)
        return self.teams[name]

    def held(self, name: str) -> TeamUsage:
        """What the live attempts of a team hold, with the changes made here."""
        if self.plain:
            return self.team(name)
        return self.used.get(name, self.mirror.used.get(name, TeamUsage()))

    def hold(self, job: Job, tasks: int) -> None:
        """Change what the job's team holds by so many tasks of it."""
        name = job.spec.team
        if self.plain:
            self.teams[name] = self.team(name).plus(job.spec, tasks)
        else:
            # Its jobs tell what it holds; nothing is written of it.
            self.used[name] = self.held(name).plus(job.spec, tasks)

    def finish(self, job: Job, state: str, now: float) -> None:
        """End a job without live attempts.

        Where no older version reads it, what it came to takes the job's place: one change
        instead of two, and it is filed among the finished ones when there is time.
        """
        self._changed.pop(JOB + job.id, None)
        self.jobs[job.id] = None
        self.finals[job.id] = Final(state, job.done.count, now)
        self.guards[FINAL + job.id] = 0

    def put(self, key: str, value: Any, version: int, lease: int | None = None) -> None:
        self._changed.pop(key, None)
        self.others[key] = (value, lease)
        self.guards[key] = version

    def write(self, key: str, value: Any, lease: int | None = None) -> None:
        """Change one key as it stands."""
        self.others[key] = (value, lease)
        self.guards[key] = self.mirror.version(key)
        self._changed[key] = [(key, value, lease)]

    @property
    def size(self) -> int:
        """How many puts and deletes this is."""
        return len(self.changes())

    def _written(
        self, key: str, value: Any, lease: int | None = None
    ) -> list[tuple[str, Any, int | None]]:
        """How a record is written: as it is, or folded over several keys."""
        if key not in self._changed:
            folds = not self.plain and value is not None
            values = fold(value, self.value_bytes) if folds else [value]
            self._changed[key] = spread(self.mirror, key, values, lease)
        return self._changed[key]

    def changes(self) -> list[tuple[str, Any, int | None]]:
        """(key, value or None for a delete, lease) of everything changed."""
        found: list[tuple[str, Any, int | None]] = []
        form = self.mirror.form
        for job_id, job in self.jobs.items():
            key = JOB + job_id
            known = self._changed.get(key)
            if known is None:
                value: Any = job_value(job) if job else None
                if job is None and not self.plain:
                    value = final_value(self.finals[job_id], form)
                known = self._written(key, value)
            found += known
        found += [(TEAM + name, list(team), None) for name, team in self.teams.items()]
        if self.plain:
            found += [
                (FINAL + job_id, final_value(final, form), None)
                for job_id, final in self.finals.items()
            ]
        for key, (value, lease) in self.others.items():
            found += self._written(key, value, lease)
        return found


def spread(
    mirror: Mirror, key: str, values: list[Any], lease: int | None = None
) -> list[tuple[str, Any, int | None]]:
    """A record's values under its keys, and the deletion of parts that it no longer has."""
    keys = [key, *(extra_key(key, index) for index in range(1, len(values)))]
    found: list[tuple[str, Any, int | None]] = [
        (name, value, lease if value is not None else None)
        for name, value in zip(keys, values, strict=True)
    ]
    return found + [(name, None, None) for name in mirror.extras(key) if name not in keys]


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


def may_place(mirror: Mirror, team: str, placer: Placer | None) -> bool:
    """Whether starts of this team are surely this controller's to commit.

    Its record must name this very process, and our copy must hold all that was committed
    before it did: then what the live jobs hold is no less than what they hold in truth.
    """
    return (
        placer is not None
        and mirror.placers.get(team) == placer
        and mirror.revision >= mirror.version(TEAM + team) > 0
    )


def fence(view: View, key: str) -> bool:
    """Move a team's record as it stands, so that a start bound to it cannot arrive any more."""
    version = view.mirror.version(key)
    placer = view.mirror.placers.get(key[len(TEAM) :])
    if view.unsure.get(key) != version or placer is None:
        return False
    view.put(key, placer_value(placer), version)
    return True


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
    if not headroom(team, TeamUsage()).covers(spec, tasks):
        return "more than the team's limit"
    return None


def fresh(mirror: Mirror) -> bool:
    """Whether nobody has ever written here: the first things written are term and types."""
    return not mirror.version(TERM) and not mirror.version(TYPES) and not mirror.jobs


def mark_form(view: View, node: str, form: int | None) -> bool:
    """Note which form of records a controller's program understands; None: not known any more."""
    marks = dict(view.mirror.marks)
    if form is None:
        marks.pop(node, None)
    else:
        marks[node] = form
    if marks == view.mirror.marks:
        return False
    view.put(MARKS, marks, view.mirror.version(MARKS))
    return True


def raise_form(view: View, nodes: list[str]) -> bool:
    """Have records written in our form from now on: all controllers understand it.

    That is proved by what each of them wrote, never by silence: by its mark, and by its room
    summary if it lives.  The summaries are bound, so none can begin with an older program
    unseen; and the term moves, so that one that has just read the records must read again
    before it can enter.
    """
    mirror = view.mirror
    if mirror.form >= FORM:
        return False
    for node in nodes:
        summary = mirror.nodes.get(node)
        if mirror.marks.get(node, PLAIN) < FORM or node in mirror.opaque:
            raise Refused(f"{node} is not known to understand the form")
        if summary is not None and summary.form < FORM:
            raise Refused(f"{node} runs an older version")
        view.guards[NODE + node] = mirror.version(NODE + node)
    view.guards[MARKS] = mirror.version(MARKS)
    view.put(FORM_KEY, form_value(FORM), 0)
    view.put(TERM, mirror.term + 1, mirror.version(TERM))
    return True


def rewrite(view: View, key: str) -> bool:
    """Write a record again as it is, within the limits in force."""
    name = key.rpartition("/")[2]
    if key.startswith(JOB):
        return view.job(name) is not None
    if key.startswith(FLEET) and int(name) in view.mirror.chunks:
        machines = {m: view.mirror.fleet[m] for m in view.mirror.chunks[int(name)]}
        view.put(key, fleet_value(machines), view.mirror.version(key))
        return True
    return False


def summary_changes(
    view: View, node: str, summary: Summary, value_bytes: float
) -> list[tuple[str, Any]]:
    """A room summary's values under their keys, in as many parts as the store's limit asks."""
    key = NODE + node
    if view.plain:
        values = pack_summary(summary, value_bytes)
        keys = [key, *(f"{key}/{index}" for index in range(1, len(values)))]
    else:
        values = fold_summary(summary, value_bytes)
        keys = [key, *(extra_key(key, index) for index in range(1, len(values)))]
    return list(zip(keys, values, strict=True))


def put_summary(
    view: View, node: str, changes: list[tuple[str, Any]], lease: int, most: int
) -> None:
    """Write a room summary under its writer's hold."""
    for key, value in changes:
        view.write(key, value, lease)
    # Parts of the first form that it no longer has; further parts of the second go with
    # the hold.
    index = len(changes) if view.plain else 1
    while view.mirror.version(old := f"{NODE}{node}/{index}") and view.size < most:
        view.write(old, None)
        index += 1


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
    if any(key.startswith(FLEET) for key in view.mirror.unreadable):
        raise Refused("a fleet record cannot be read")
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

    def __init__(
        self, node: str, nodes: list[str], lease_s: float, started: float, process: int = 0
    ) -> None:
        self._node = node
        self._process = process
        # What stands under our name is another process's, which may have answered anyone.
        self._doubled = False
        self._read = -math.inf  # when the latest reading was sent
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
        self._read = max(self._read, sent)
        if not self._history or sent - self._history[-1][0] > self.needed_s / 100:
            self._history.append((sent, revision))

    def observe(self, nodes: dict[str, Summary], now: float, opaque: Collection[str] = ()) -> None:
        """Take in the summaries that stand in the records now.

        A controller whose summary cannot be read lives, and may have answered anyone.
        """
        own = nodes.get(self._node)
        self._doubled = self._node in opaque or (own is not None and own.process != self._process)
        for name in self._others:
            summary = nodes.get(name)
            known = self._statements.get(name)
            if name in opaque:
                self._statements.pop(name, None)
                self._absent.pop(name, None)
                continue
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
        # Our own word counts only as far as no other process stands under our name: one that
        # did answered this machine while we heard nothing of it, and we proved it lost.  Seen
        # in the stand-in world.
        if self._doubled:
            return False
        until = min(now, self._read)
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
