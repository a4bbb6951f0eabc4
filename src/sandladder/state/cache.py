"""A controller's copy of the records."""

import logging
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from sandladder.model import (
    CANCELLED,
    SCHEMA_V1,
    Attempt,
    DependencyIndex,
    FinishedJob,
    Job,
    Machine,
    MachineInventory,
    MachineType,
    Member,
    TeamAssignment,
    TeamUsage,
)
from sandladder.state.records import (
    EXTRA,
    FINAL,
    INSTANCE,
    JOB,
    MARKS,
    NODE,
    RENTER,
    ROSTER,
    SCHEMA_VERSION_KEY,
    TEAM,
    TERM,
    TYPES,
    UnknownSchemaVersionError,
    extra_key,
    is_split,
    join_value,
    load_job,
    read_finished_job,
    read_instances,
    read_schema_version,
    read_team,
    split_extra,
    unpack_inventory,
)

log = logging.getLogger(__name__)

FINALS_KEPT = 4096


class StateCache:
    """A controller's copy of the records, kept up by the watch and by its own commits."""

    def __init__(self) -> None:
        self.revision = 0
        self.schema_version = SCHEMA_V1  # of the records
        self.marks: dict[str, int] = {}  # by controller, the form that it said it understands
        self.jobs: dict[str, Job] = {}
        self.dependency_index = DependencyIndex(self.jobs)
        self.teams: dict[str, TeamUsage] = {}  # as the first form keeps it
        self.assignments: dict[str, TeamAssignment] = {}  # in the second form
        self.roster: dict[str, Member] = {}
        self.used: dict[str, TeamUsage] = {}  # what the live attempts of each team hold
        self.nodes: dict[str, MachineInventory] = {}
        self.instances: dict[str, Machine] = {}
        self.chunks: dict[int, list[str]] = {}  # the machines of each fleet record
        self.autoscaler_node: str | None = None
        self.term = 0
        self.types: dict[str, MachineType] = {}
        # Where order may matter sets are kept as dictionaries: the order of a set hangs on the
        # process, and with it what a controller does next.
        self.on_machine: dict[str, dict[tuple[str, int], None]] = {}
        # How many attempts each session of a machine holds.
        self.sessions: dict[str, dict[int, int]] = {}
        self.versions: dict[str, int] = {}
        self.finished_jobs: OrderedDict[str, FinishedJob] = OrderedDict()
        self.unarchived: dict[
            str, FinishedJob
        ] = {}  # finished jobs whose record is in the job's place
        # Records that make no sense to us: what rests on them is not done.
        self.unreadable: set[str] = set()
        # Live jobs that are cancelled, and those of which a peer has said so since we last read
        # the state service, with when: good enough for stopping, and for nothing else.
        self.cancelled: dict[str, None] = {}
        self._told: dict[str, float] = {}
        # Machines whose committed starts changed, and tasks that were started or done, since
        # somebody last asked.
        self.changed_machines: dict[str, None] = {}
        self.started_tasks: dict[tuple[str, int], None] = {}
        self._parts: dict[str, dict[int, Any]] = {}  # values of the nodes' summaries
        # The parts of folded records, as (value, version), and which of these to read again.
        self._heads: dict[str, tuple[Any, int]] = {}
        self._extras: dict[str, dict[int, tuple[Any, int]]] = {}
        self._refold: dict[str, None] = {}
        # Keys that our own commits moved past `revision`: older news of them is ignored.
        self._ahead: dict[str, int] = {}

    def version(self, key: str) -> int:
        return self.versions.get(key, 0)

    def reset(self, revision: int, items: list[tuple[str, Any, int]]) -> dict[str, None]:
        """Replace everything by a full reading; the keys whose records may have changed."""
        changed: dict[str, None] = {}
        present = {key for key, _, _ in items}
        for key in [k for k in self.versions if k not in present]:
            if self._ahead.get(key, 0) <= revision:
                self._set(key, None, 0)
                changed[key] = None
        for key, value, version in items:
            if version > self._ahead.get(key, 0) and version != self.version(key):
                self._set(key, value, version)
                changed[key] = None
        # Read page by page: what does not fit together is put right by the changes that
        # follow, before anyone acts on it.
        changed |= self._join()
        self._advance(max(revision, self.revision))
        return changed

    def apply(self, revision: int, events: list[tuple[str, Any, int]]) -> dict[str, None]:
        """Apply watched changes that reach `revision`; the keys that changed."""
        changed: dict[str, None] = {}
        for key, value, version in events:
            if version <= self.revision or version <= self._ahead.get(key, 0):
                continue
            self._set(key, value, 0 if value is None else version)
            changed[key] = None
        changed |= self._join()
        for key in [key for key in self._refold if key not in self.unreadable]:
            self._cannot_read(key, "its parts are not of one writing")
        self._advance(max(revision, self.revision))
        return changed

    def wrote(self, revision: int, changes: list[tuple[str, Any]]) -> dict[str, None]:
        """Apply a commit of our own."""
        changed: dict[str, None] = {}
        for key, value in changes:
            if revision <= max(self.version(key), self._ahead.get(key, 0)):
                continue
            if revision > self.revision:
                self._ahead[key] = revision
            self._set(key, value, 0 if value is None else revision)
            changed[key] = None
        return changed | self._join()

    def _advance(self, revision: int) -> None:
        self.revision = revision
        if self._ahead:
            self._ahead = {k: v for k, v in self._ahead.items() if v > revision}

    def _set(self, key: str, value: Any, version: int) -> None:
        if key.startswith(FINAL):
            # Finished jobs never change; only the latest are kept, others are read again.
            if value is not None:
                try:
                    self.remember(key[len(FINAL) :], read_finished_job(value, version))
                except Exception as error:
                    log.error("the record %s cannot be read: %s", key, error)
            return
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        if key.startswith(EXTRA):
            self._set_extra(key, value, version)
        elif is_split(value):
            self._heads[key] = value, version
            self._refold[key] = None
        else:
            self._heads.pop(key, None)
            self._refold.pop(key, None)
            self._take(key, value)

    def _set_extra(self, key: str, value: Any, version: int) -> None:
        name, index = split_extra(key)
        extras = self._extras.setdefault(name, {})
        if value is None:
            extras.pop(index, None)
            if not extras:
                del self._extras[name]
        else:
            extras[index] = value, version
        if name in self._heads:
            self._refold[name] = None

    def extras(self, key: str) -> list[str]:
        """The keys of a record's further parts, as they stand."""
        return [extra_key(key, index) for index in self._extras.get(key, ())]

    def _join(self) -> dict[str, None]:
        """Read the folded records whose parts changed; those that are whole."""
        found: dict[str, None] = {}
        for key in list(self._refold):
            try:
                value = join_value(self._heads[key], self._extras.get(key, {}))
            except Exception as error:
                self._cannot_read(key, repr(error))
                continue
            if value is not None:
                self._refold.pop(key, None)
                self._take(key, value)
                found[key] = None
        return found

    def _take(self, key: str, value: Any) -> None:
        """Take in a record; one that makes no sense ends nothing but what rests on it."""
        try:
            self._read(key, value)
        except UnknownSchemaVersionError:
            raise
        except Exception as error:
            self._cannot_read(key, repr(error))
        else:
            self.unreadable.discard(key)

    def _cannot_read(self, key: str, why: str) -> None:
        log.error("the record %s cannot be read: %s", key, why)
        self.unreadable.add(key)

    def _read(self, key: str, value: Any) -> None:
        name = key.rpartition("/")[2]
        if key == SCHEMA_VERSION_KEY:
            self.schema_version = SCHEMA_V1 if value is None else read_schema_version(value)
        elif key.startswith(JOB):
            # A list in a job's place says what it came to, until there is time to file it.
            over = isinstance(value, list)
            final = read_finished_job(value, self.version(key), filed=False) if over else None
            self._set_job(name, None if over else value)
            self.unarchived.pop(name, None)
            if final is not None:
                self.unarchived[name] = final
                self.remember(name, final)
        elif key.startswith(TEAM):
            self._set_team(name, value)
        elif key.startswith(NODE):
            node, _, part = key[len(NODE) :].partition("/")
            self._set_part(node, int(part or 0), value)
        elif key.startswith(INSTANCE):
            found = {} if value is None else read_instances(value)
            for machine in self.chunks.pop(int(name), ()):
                del self.instances[machine]
            if value is not None:
                self.instances.update(found)
                self.chunks[int(name)] = list(found)
        elif key == MARKS:
            self.marks = {
                str(node): int(schema_version) for node, schema_version in (value or {}).items()
            }
        elif key == ROSTER:
            self.roster = msgspec.convert(value or {}, dict[str, Member])
        elif key == TERM:
            self.term = int(value or 0)
        elif key == RENTER:
            self.autoscaler_node = value
        elif key == TYPES:
            self.types = msgspec.convert(value or {}, dict[str, MachineType], strict=False)

    def _set_team(self, name: str, value: Any) -> None:
        found = TeamUsage() if value is None else read_team(value)
        self.teams.pop(name, None)
        self.assignments.pop(name, None)
        if isinstance(found, TeamAssignment):
            self.assignments[name] = found
        elif value is not None:
            self.teams[name] = found

    @property
    def unreadable_nodes(self) -> set[str]:
        """Controllers that have a summary which we could never read."""
        heads = {node for node, parts in self._parts.items() if 0 in parts}
        heads |= {key[len(NODE) :] for key in self._heads if key.startswith(NODE)}
        return heads - self.nodes.keys()

    def starts_blocked(self, team: str) -> bool:
        """Whether it cannot be told what the team holds, so that nothing of it may start."""
        jobs = (key[len(JOB) :] for key in self.unreadable if key.startswith(JOB))
        known = (self.jobs.get(job_id) for job_id in jobs)
        return any(job is None or job.spec.team == team for job in known)

    def final(self, job_id: str) -> FinishedJob | None:
        """What a job came to, as far as it is in memory."""
        return self.unarchived.get(job_id) or self.finished_jobs.get(job_id)

    def remember(self, job_id: str, final: FinishedJob) -> None:
        """Keep what a finished job came to, among the latest such."""
        self.dependency_index.settle(job_id, final)
        self.finished_jobs[job_id] = final
        if len(self.finished_jobs) > FINALS_KEPT:
            self.finished_jobs.popitem(last=False)

    def cancels(self, job_id: str) -> bool:
        """Whether a job is surely cancelled, so that what runs of it is to be stopped."""
        if job_id in self.cancelled or job_id in self._told:
            return True
        final = self.final(job_id)
        return final is not None and final.state == CANCELLED

    def tell(self, job_ids: Iterable[str], now: float) -> list[str]:
        """A peer has read or committed that these jobs are cancelled; those that are news."""
        news = [job_id for job_id in job_ids if not self.cancels(job_id)]
        self._told |= dict.fromkeys(news, now)
        return news

    def synced(self, sent: float) -> None:
        """All that was committed before then is in: what was told before is known."""
        if self._told:
            self._told = {job_id: at for job_id, at in self._told.items() if at >= sent}

    def _set_part(self, node: str, index: int, value: Any) -> None:
        parts = self._parts.setdefault(node, {})
        if value is None:
            parts.pop(index, None)
        else:
            parts[index] = value
        if 0 not in parts:
            self.nodes.pop(node, None)
            return
        number = parts[0].get("p", 1)
        number = number if isinstance(number, int) else 1
        # Parts arrive one after the other; until the last the former summary stands.
        if all(i in parts for i in range(number)):
            inventory = unpack_inventory([parts[i] for i in range(number)])
            if inventory is not None:
                self.nodes[node] = inventory

    def _set_job(self, job_id: str, value: Any) -> None:
        old = self.jobs.get(job_id)
        before = old.live if old is not None else {}
        after: dict[int, Attempt] = {}
        if value is None:
            self.jobs.pop(job_id, None)
            job = None
        else:
            job = load_job(value, old.spec if old is not None else None)
            self.jobs[job_id] = job
            after = job.live
            if old is not None and job.cancelled != old.cancelled:
                self.changed_machines |= {attempt.machine: None for attempt in after.values()}
        self.cancelled.pop(job_id, None)
        if job is not None and job.cancelled:
            self.cancelled[job_id] = None
        self._index(job_id, old, job)
        for task, attempt in before.items():
            if after.get(task) == attempt:
                continue
            self.changed_machines[attempt.machine] = None
            tasks = self.on_machine[attempt.machine]
            tasks.pop((job_id, task), None)
            if not tasks:
                del self.on_machine[attempt.machine]
            self._count(attempt, -1)
        for task, attempt in after.items():
            if before.get(task) == attempt:
                continue
            self.changed_machines[attempt.machine] = None
            self.started_tasks[job_id, task] = None
            self.on_machine.setdefault(attempt.machine, {})[job_id, task] = None
            self._count(attempt, 1)

    def _count(self, attempt: Attempt, number: int) -> None:
        sessions = self.sessions.setdefault(attempt.machine, {})
        sessions[attempt.session] = sessions.get(attempt.session, 0) + number
        if not sessions[attempt.session]:
            del sessions[attempt.session]
            if not sessions:
                del self.sessions[attempt.machine]

    def _index(self, job_id: str, old: Job | None, new: Job | None) -> None:
        """Keep up what follows from the live jobs together."""
        held = 0
        for job, sign in ((old, -1), (new, 1)):
            if job is not None:
                held += sign * len(job.live)
        some = new or old
        if some is not None and held:
            team = self.used.get(some.spec.team, TeamUsage())
            self.used[some.spec.team] = team.plus(some.spec, held)
        self.dependency_index.changed(job_id, old, new)
        if new is not None:
            for name in new.dependencies:
                final = self.final(name)
                if final is not None:
                    self.dependency_index.settle(name, final)

    def attempts_on(self, machine: str) -> Iterator[tuple[Job, int, Attempt]]:
        """The committed starts on a machine whose end is not proved."""
        for job_id, task in self.on_machine.get(machine, ()):
            job = self.jobs[job_id]
            yield job, task, job.live[task]
