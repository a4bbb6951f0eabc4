"""The state that the service decides on: jobs, attempts, teams, machines, and their records.

Records live in the state service under one prefix; `Mirror` is a controller's copy of them.
Nothing here does I/O or reads a clock.
"""

import bisect
import re
from collections import OrderedDict
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

ARRAY, GANG, SERVICE = "array", "group", "service"
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "cancelled"
PRODUCTION, HIGH, NORMAL, LOW = 3, 2, 1, 0

ROOT = "s/"
JOB, FINAL, TEAM, NODE, FLEET = "s/j/", "s/f/", "s/t/", "s/p/", "s/v/"
TERM, RENTER, TYPES = "s/term", "s/renter", "s/types"
# What a controller reads at its start: all but the finished jobs.
PREFIXES = (JOB, NODE, "s/r", "s/t", FLEET)
FINALS_KEPT = 4096


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """What a user asked for."""

    id: str
    cls: str
    team: str
    kind: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None


class MachineType(msgspec.Struct, frozen=True):
    """A kind of machine that the cloud rents."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def fits(self, spec: JobSpec) -> bool:
        """Whether a task of this job fits an empty machine of this type."""
        return (
            spec.cpus <= self.cpus
            and spec.gpus <= self.gpus
            and spec.memory_gb <= self.memory_gb
            and (spec.types is None or self.name in spec.types)
            and (spec.zone is None or spec.zone in self.zones)
        )


class Entry(NamedTuple):
    """A task as a machine reports it."""

    job: str
    task: int
    attempt: int
    state: str
    cause: str
    saved: bool


class Report(NamedTuple):
    """A worker's report."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    notice_s: float | None
    entries: tuple[Entry, ...]


class Command(NamedTuple):
    """An order to a worker: start, stop or forget one attempt."""

    op: str
    job: str
    task: int
    attempt: int
    grace_s: float = 0.0


class ListedMachine(NamedTuple):
    """A machine in the cloud's list."""

    id: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    addr: str


class Attempt(NamedTuple):
    """A committed start: it holds its task, place and quota until its end is proved.

    `stop` is None, or the grace in seconds with which it is to be stopped.
    """

    machine: str
    zone: str
    session: int
    attempt: int
    stop: float | None = None


class Ranges:
    """A set of small integers kept as sorted half-open ranges."""

    __slots__ = ("_flat", "count")

    def __init__(self, flat: list[int] | None = None) -> None:
        self._flat = list(flat or [])
        self.count = sum(self._flat[1::2]) - sum(self._flat[::2])

    def __contains__(self, value: int) -> bool:
        return bisect.bisect_right(self._flat, value) % 2 == 1

    def add(self, value: int) -> bool:
        """Add one value; False if it was there."""
        flat = self._flat
        at = bisect.bisect_right(flat, value)
        if at % 2:
            return False
        joins_left = at > 0 and flat[at - 1] == value
        joins_right = at < len(flat) and flat[at] == value + 1
        if joins_left and joins_right:
            del flat[at - 1 : at + 1]
        elif joins_left:
            flat[at - 1] = value + 1
        elif joins_right:
            flat[at] = value
        else:
            flat[at:at] = [value, value + 1]
        self.count += 1
        return True

    def flat(self) -> list[int]:
        return list(self._flat)

    def gaps(self, end: int) -> Iterator[int]:
        """The values below `end` that are not in the set, lowest first."""
        at = 0
        for lo, hi in zip(self._flat[::2], self._flat[1::2], strict=True):
            yield from range(at, min(lo, end))
            at = hi
        yield from range(at, end)


class Job:
    """A live job: its spec, which tasks are done, and its committed starts."""

    __slots__ = ("spec", "submitted", "next_attempt", "done", "live", "cancelled", "errors")

    def __init__(self, spec: JobSpec, submitted: float) -> None:
        self.spec = spec
        self.submitted = submitted  # time of day
        self.next_attempt = 1
        self.done = Ranges()
        self.live: dict[int, Attempt] = {}
        self.cancelled = False
        self.errors = 0  # failures since a task last completed

    @property
    def id(self) -> str:
        return self.spec.id

    @property
    def complete(self) -> bool:
        return self.spec.kind != SERVICE and self.done.count >= self.spec.tasks

    @property
    def waiting(self) -> int:
        """How many tasks are neither started nor done."""
        if self.cancelled:
            return 0
        return self.spec.tasks - self.done.count - len(self.live)

    def pending(self) -> Iterator[int]:
        """Tasks neither started nor done, lowest first."""
        if self.cancelled:
            return
        for task in self.done.gaps(self.spec.tasks):
            if task not in self.live:
                yield task

    @property
    def state(self) -> str:
        if self.cancelled:
            return CANCELLED
        if self.complete:
            return DONE
        return RUNNING if self.live else PENDING

    def copy(self) -> "Job":
        twin = Job(self.spec, self.submitted)
        twin.next_attempt = self.next_attempt
        twin.done = Ranges(self.done.flat())
        twin.live = dict(self.live)
        twin.cancelled = self.cancelled
        twin.errors = self.errors
        return twin

    def record(self) -> dict[str, Any]:
        """The job's record: attempts that differ only in task and machine share their parts.

        What is live is written as [attempt, stop, [machine, zone, session, tasks...]...], a
        machine by its number where its name allows, and zones by their place in a table.
        """
        groups: dict[tuple[int, float | None], dict[tuple[str, str, int], Ranges]] = {}
        for task, item in self.live.items():
            batch = groups.setdefault((item.attempt, item.stop), {})
            batch.setdefault(item[:3], Ranges()).add(task)
        value: dict[str, Any] = {
            "s": msgspec.to_builtins(self.spec),
            "t": round(self.submitted, 3),
            "n": self.next_attempt,
        }
        if self.done.count:
            value["d"] = self.done.flat()
        if groups:
            zones = sorted({item.zone for item in self.live.values()})
            value["z"] = zones
            place = {zone: index for index, zone in enumerate(zones)}
            value["l"] = [
                [
                    attempt,
                    stop,
                    *(
                        [short_name(machine), place[zone], session, *tasks.flat()]
                        for (machine, zone, session), tasks in batch.items()
                    ),
                ]
                for (attempt, stop), batch in groups.items()
            ]
        if self.cancelled:
            value["c"] = 1
        if self.errors:
            value["e"] = self.errors
        return value

    @classmethod
    def load(cls, value: dict[str, Any], spec: JobSpec | None = None) -> "Job":
        """Read a record; a spec that is known already is not read again."""
        if spec is None:
            spec = msgspec.convert(value["s"], JobSpec, strict=False)
        job = cls(spec, float(value["t"]))
        job.next_attempt = int(value["n"])
        job.done = Ranges(value.get("d"))
        zones = value.get("z") or []
        for attempt, stop, *batch in value.get("l") or []:
            for machine, place, session, *tasks in batch:
                item = Attempt(long_name(machine), zones[place], session, attempt, stop)
                for lo, hi in zip(tasks[::2], tasks[1::2], strict=True):
                    for task in range(lo, hi):
                        job.live[task] = item
        job.cancelled = bool(value.get("c"))
        job.errors = int(value.get("e") or 0)
        return job


_NUMBERED = re.compile(r"vm-([0-9]{6})", re.ASCII)


def short_name(machine: str) -> str | int:
    """A machine's name as records hold it: its number, when that tells the whole name."""
    found = _NUMBERED.fullmatch(machine)
    return int(found[1]) if found else machine


def long_name(short: str | int) -> str:
    return f"vm-{short:06d}" if isinstance(short, int) else short


class Final(NamedTuple):
    """What is kept of a job that is over."""

    state: str
    done: int


class Team(NamedTuple):
    """What a team's attempts hold, over all whose end is not proved."""

    cpus: float = 0.0
    gpus: float = 0.0


class Machine(NamedTuple):
    """A machine in the fleet record. States: rented, draining, gone."""

    type: str
    zone: str
    spot: bool
    state: str
    since: float  # time of day at which it came into this state


class Seen(NamedTuple):
    """One machine in a controller's room summary."""

    type: str
    zone: str
    spot: bool
    session: int
    age_s: float  # since the controller last answered it
    notice_s: float | None = None
    errors: int = 0  # different jobs in a row that failed there
    images: tuple[str, ...] = ()  # the most recent last


class Summary(NamedTuple):
    """A controller's room summary; its keys are attached to the controller's hold."""

    term: int
    up_s: float
    revision: int  # what its writer had seen of the store
    machines: dict[str, Seen] = {}


class _Part(msgspec.Struct, rename={"kinds": "k", "images": "i", "rows": "m", "odd": "x"}):
    """Machines of a summary in columns; what most machines lack stands apart."""

    kinds: list[tuple[str, str, bool]] = []
    images: list[str] = []
    # Name, kind, age in tenths of a second, then places in the table of images.
    rows: list[list[str | int]] = []
    # By place in the rows: session, notice in seconds, errors.
    odd: dict[int, tuple[int, float | None, int]] = {}


class _Head(_Part, rename={"term": "n", "up_s": "u", "revision": "r", "parts": "p"}):
    """The first part of a summary, which says how many there are."""

    term: int = 0
    up_s: float = 0.0
    revision: int = 0
    parts: int = 1


def _pack(part: _Part, machines: list[tuple[str, Seen]], images: int) -> None:
    kinds: dict[tuple[str, str, bool], int] = {}
    names: dict[str, int] = {}
    for index, (machine, seen) in enumerate(machines):
        kind = kinds.setdefault((seen.type, seen.zone, seen.spot), len(kinds))
        # An age that is too low only makes a proof of loss later.
        row: list[str | int] = [short_name(machine), kind, int(seen.age_s * 10)]
        if images:
            row += [names.setdefault(image, len(names)) for image in seen.images[-images:]]
        part.rows.append(row)
        if seen.session != 1 or seen.notice_s is not None or seen.errors:
            part.odd[index] = (seen.session, seen.notice_s, seen.errors)
    part.kinds, part.images = list(kinds), list(names)


def pack_summary(summary: Summary, value_bytes: float) -> list[dict[str, Any]]:
    """The summary's values, each within the store's limit.

    Names of images are hints and go first when it gets tight; then the machines are split
    over several values, which are written together.
    """
    machines = sorted(summary.machines.items())
    for number in range(1, len(machines) + 2):
        size = -(-len(machines) // number) if machines else 0
        for images in (4, 2, 1, 0) if number == 1 else (1, 0):
            values: list[dict[str, Any]] = []
            for index in range(number):
                part: _Part = _Part() if index else _Head([], [], [], {}, *summary[:3], number)
                _pack(part, machines[index * size : (index + 1) * size], images)
                value = msgspec.to_builtins(part, str_keys=True)
                if index:
                    value["r"] = summary.revision  # parts of one writing belong together
                values.append(value)
            if all(len(msgspec.json.encode(value)) <= value_bytes for value in values):
                return values
    return values


def unpack_summary(values: list[dict[str, Any]]) -> Summary | None:
    """A summary from its values, or None when they are not of one writing."""
    head = msgspec.convert(values[0], _Head, strict=False)
    if head.parts != len(values):
        return None
    machines: dict[str, Seen] = {}
    for index, value in enumerate(values):
        if value.get("r") != head.revision:
            return None
        part = head if index == 0 else msgspec.convert(value, _Part, strict=False)
        for place, (name, kind, age, *images) in enumerate(part.rows):
            session, notice_s, errors = part.odd.get(place, (1, None, 0))
            machines[long_name(name)] = Seen(
                *part.kinds[int(kind)],
                session,
                int(age) / 10,
                notice_s,
                errors,
                tuple(part.images[int(image)] for image in images),
            )
    return Summary(head.term, head.up_s, head.revision, machines)


class Mirror:
    """A controller's copy of the records, kept up by the watch and by its own commits."""

    def __init__(self) -> None:
        self.revision = 0
        self.jobs: dict[str, Job] = {}
        self.teams: dict[str, Team] = {}
        self.nodes: dict[str, Summary] = {}
        self.fleet: dict[str, Machine] = {}
        self.chunks: dict[int, list[str]] = {}  # the machines of each fleet record
        self.renter: str | None = None
        self.term = 0
        self.types: dict[str, MachineType] = {}
        self.on_machine: dict[str, set[tuple[str, int]]] = {}
        self.versions: dict[str, int] = {}
        self.finals: OrderedDict[str, Final] = OrderedDict()
        # Machines whose committed starts changed, and tasks that were started or done, since
        # somebody last asked.
        self.touched: set[str] = set()
        self.begun: set[tuple[str, int]] = set()
        self._parts: dict[str, dict[int, Any]] = {}  # values of the nodes' summaries
        # Keys that our own commits moved past `revision`: older news of them is ignored.
        self._ahead: dict[str, int] = {}

    def version(self, key: str) -> int:
        return self.versions.get(key, 0)

    def reset(self, revision: int, items: list[tuple[str, Any, int]]) -> set[str]:
        """Replace everything by a full reading; the keys whose records may have changed."""
        changed = set()
        present = {key for key, _, _ in items}
        for key in [k for k in self.versions if k not in present]:
            if self._ahead.get(key, 0) <= revision:
                self._set(key, None, 0)
                changed.add(key)
        for key, value, version in items:
            if version > self._ahead.get(key, 0) and version != self.version(key):
                self._set(key, value, version)
                changed.add(key)
        self._advance(max(revision, self.revision))
        return changed

    def apply(self, revision: int, events: list[tuple[str, Any, int]]) -> set[str]:
        """Apply watched changes that reach `revision`; the keys that changed."""
        changed = set()
        for key, value, version in events:
            if version <= self.revision or version <= self._ahead.get(key, 0):
                continue
            self._set(key, value, 0 if value is None else version)
            changed.add(key)
        self._advance(max(revision, self.revision))
        return changed

    def wrote(self, revision: int, changes: list[tuple[str, Any]]) -> set[str]:
        """Apply a commit of our own."""
        changed = set()
        for key, value in changes:
            if revision <= max(self.version(key), self._ahead.get(key, 0)):
                continue
            if revision > self.revision:
                self._ahead[key] = revision
            self._set(key, value, 0 if value is None else revision)
            changed.add(key)
        return changed

    def _advance(self, revision: int) -> None:
        self.revision = revision
        if self._ahead:
            self._ahead = {k: v for k, v in self._ahead.items() if v > revision}

    def _set(self, key: str, value: Any, version: int) -> None:
        if key.startswith(FINAL):
            # Finished jobs never change; only the latest are kept, others are read again.
            if value is not None:
                self.remember(key[len(FINAL) :], Final(*value))
            return
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        name = key.rpartition("/")[2]
        if key.startswith(JOB):
            self._set_job(name, value)
        elif key.startswith(TEAM):
            if value is None:
                self.teams.pop(name, None)
            else:
                self.teams[name] = Team(*value)
        elif key.startswith(NODE):
            node, _, part = key[len(NODE) :].partition("/")
            self._set_part(node, int(part or 0), value)
        elif key.startswith(FLEET):
            for machine in self.chunks.pop(int(name), ()):
                del self.fleet[machine]
            if value is not None:
                found = read_fleet(value)
                self.fleet.update(found)
                self.chunks[int(name)] = list(found)
        elif key == TERM:
            self.term = int(value or 0)
        elif key == RENTER:
            self.renter = value
        elif key == TYPES:
            self.types = msgspec.convert(value or {}, dict[str, MachineType], strict=False)

    def remember(self, job_id: str, final: Final) -> None:
        """Keep what a finished job came to, among the latest such."""
        self.finals[job_id] = final
        if len(self.finals) > FINALS_KEPT:
            self.finals.popitem(last=False)

    def _set_part(self, node: str, index: int, value: Any) -> None:
        parts = self._parts.setdefault(node, {})
        if value is None:
            parts.pop(index, None)
        else:
            parts[index] = value
        if 0 not in parts:
            self.nodes.pop(node, None)
            return
        number = int(parts[0].get("p", 1))
        # Parts arrive one after the other; until the last the former summary stands.
        if all(i in parts for i in range(number)):
            summary = unpack_summary([parts[i] for i in range(number)])
            if summary is not None:
                self.nodes[node] = summary

    def _set_job(self, job_id: str, value: Any) -> None:
        old = self.jobs.get(job_id)
        before = old.live if old is not None else {}
        after: dict[int, Attempt] = {}
        if value is None:
            self.jobs.pop(job_id, None)
        else:
            job = Job.load(value, old.spec if old is not None else None)
            self.jobs[job_id] = job
            after = job.live
            if old is not None and job.cancelled != old.cancelled:
                self.touched.update(attempt.machine for attempt in after.values())
        for task, attempt in before.items():
            if after.get(task) == attempt:
                continue
            self.touched.add(attempt.machine)
            tasks = self.on_machine[attempt.machine]
            tasks.discard((job_id, task))
            if not tasks:
                del self.on_machine[attempt.machine]
        for task, attempt in after.items():
            if before.get(task) == attempt:
                continue
            self.touched.add(attempt.machine)
            self.begun.add((job_id, task))
            self.on_machine.setdefault(attempt.machine, set()).add((job_id, task))

    def attempts_on(self, machine: str) -> Iterator[tuple[Job, int, Attempt]]:
        """The committed starts on a machine whose end is not proved."""
        for job_id, task in self.on_machine.get(machine, ()):
            job = self.jobs[job_id]
            yield job, task, job.live[task]


_FLEET_STATES = ("rented", "draining", "gone")
# What a machine takes in a fleet record: its name, kind, state and time of day.
FLEET_ITEM_BYTES = 32


def fleet_value(fleet: dict[str, Machine]) -> dict[str, Any]:
    """The record of some machines, with a table of what many have in common."""
    kinds: dict[tuple[str, str, bool], int] = {}
    rows = [
        [
            short_name(name),
            kinds.setdefault((m.type, m.zone, m.spot), len(kinds)),
            _FLEET_STATES.index(m.state),
            round(m.since),
        ]
        for name, m in sorted(fleet.items())
    ]
    return {"k": [list(kind) for kind in kinds], "m": rows}


def read_fleet(value: dict[str, Any]) -> dict[str, Machine]:
    """Machines from their record."""
    found = {}
    for name, place, state, since in value["m"]:
        kind, zone, spot = value["k"][place]
        found[long_name(name)] = Machine(kind, zone, spot, _FLEET_STATES[state], since)
    return found


def machine_number(machine: str) -> int:
    """What orders machines in the fleet records: the digits of their names."""
    short = short_name(machine)
    return short if isinstance(short, int) else int("".join(filter(str.isdigit, short)) or 0)
