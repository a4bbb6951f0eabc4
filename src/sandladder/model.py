"""The state that the service decides on: jobs, attempts, teams, machines, and their records.

Records live in the state service under one prefix; `Mirror` is a controller's copy of them.
Nothing here does I/O or reads a clock.
"""

import bisect
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
FLEET_CHUNK = 100
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
        """The job's record; starts of one batch on one machine share an item."""
        groups: dict[Attempt, Ranges] = {}
        for task, attempt in self.live.items():
            groups.setdefault(attempt, Ranges()).add(task)
        value: dict[str, Any] = {
            "s": msgspec.to_builtins(self.spec),
            "t": round(self.submitted, 3),
            "n": self.next_attempt,
        }
        if self.done.count:
            value["d"] = self.done.flat()
        if groups:
            value["l"] = [[*attempt, tasks.flat()] for attempt, tasks in groups.items()]
        if self.cancelled:
            value["c"] = 1
        if self.errors:
            value["e"] = self.errors
        return value

    @classmethod
    def load(cls, value: dict[str, Any]) -> "Job":
        job = cls(msgspec.convert(value["s"], JobSpec, strict=False), float(value["t"]))
        job.next_attempt = int(value["n"])
        job.done = Ranges(value.get("d"))
        for machine, zone, session, attempt, stop, tasks in value.get("l") or []:
            item = Attempt(machine, zone, session, attempt, stop)
            for lo, hi in zip(tasks[::2], tasks[1::2], strict=True):
                for task in range(lo, hi):
                    job.live[task] = item
        job.cancelled = bool(value.get("c"))
        job.errors = int(value.get("e") or 0)
        return job


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


class Seen(msgspec.Struct, array_like=True):
    """One machine in a controller's room summary."""

    type: str
    zone: str
    spot: bool
    session: int
    age_s: float  # since the controller last answered it
    notice_s: float | None = None
    errors: int = 0  # different jobs in a row that failed there
    images: list[str] = []


class Summary(msgspec.Struct, rename={"revision": "r", "term": "n", "up_s": "u", "machines": "m"}):
    """A controller's room summary; its key is attached to the controller's hold."""

    term: int
    up_s: float
    revision: int  # what its writer had seen of the store
    machines: dict[str, Seen] = {}


class Mirror:
    """A controller's copy of the records, kept up by the watch and by its own commits."""

    def __init__(self) -> None:
        self.revision = 0
        self.jobs: dict[str, Job] = {}
        self.teams: dict[str, Team] = {}
        self.nodes: dict[str, Summary] = {}
        self.fleet: dict[str, Machine] = {}
        self.renter: str | None = None
        self.term = 0
        self.types: dict[str, MachineType] = {}
        self.on_machine: dict[str, set[tuple[str, int]]] = {}
        self.versions: dict[str, int] = {}
        self.finals: OrderedDict[str, Final] = OrderedDict()
        # Machines whose committed starts changed since somebody last asked.
        self.touched: set[str] = set()
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
            self._set_job(name, None if value is None else Job.load(value))
        elif key.startswith(TEAM):
            if value is None:
                self.teams.pop(name, None)
            else:
                self.teams[name] = Team(*value)
        elif key.startswith(NODE):
            if value is None:
                self.nodes.pop(name, None)
            else:
                self.nodes[name] = msgspec.convert(value, Summary, strict=False)
        elif key.startswith(FLEET):
            chunk = int(name)
            for machine in [m for m in self.fleet if fleet_chunk(m) == chunk]:
                del self.fleet[machine]
            for machine, raw in (value or {}).items():
                self.fleet[machine] = Machine(*raw)
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

    def _set_job(self, job_id: str, job: Job | None) -> None:
        old = self.jobs.get(job_id)
        if old is not None:
            for task, attempt in old.live.items():
                self.touched.add(attempt.machine)
                tasks = self.on_machine[attempt.machine]
                tasks.discard((job_id, task))
                if not tasks:
                    del self.on_machine[attempt.machine]
        if job is None:
            self.jobs.pop(job_id, None)
            return
        self.jobs[job_id] = job
        for task, attempt in job.live.items():
            self.touched.add(attempt.machine)
            self.on_machine.setdefault(attempt.machine, set()).add((job_id, task))

    def attempts_on(self, machine: str) -> Iterator[tuple[Job, int, Attempt]]:
        """The committed starts on a machine whose end is not proved."""
        for job_id, task in self.on_machine.get(machine, ()):
            job = self.jobs[job_id]
            yield job, task, job.live[task]


def fleet_chunk(machine: str) -> int:
    """The chunk of the fleet record that a machine belongs to."""
    digits = "".join(c for c in machine if c.isdigit())
    return int(digits or 0) // FLEET_CHUNK
