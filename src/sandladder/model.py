"""The state that the service decides on: jobs, attempts, teams, machines and what is said of them.

Nothing here does I/O or reads a clock; `records` says how it is written down.
"""

import bisect
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

ARRAY, GANG, SERVICE = "array", "group", "service"
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "cancelled"
PRODUCTION, HIGH, NORMAL, LOW = 3, 2, 1, 0


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

    __slots__ = (
        "spec",
        "submitted",
        "next_attempt",
        "done",
        "live",
        "cancelled",
        "errors",
        "awaits",
        "ready",
    )

    def __init__(
        self,
        spec: JobSpec,
        submitted: float,
        awaits: tuple[str, ...] = (),
        ready: float | None = None,
    ) -> None:
        self.spec = spec
        self.submitted = submitted  # time of day
        # Jobs that must be done before any task starts, as far as that is not recorded here
        # yet; and the time of day at which the last of those recorded was done.
        self.awaits = awaits
        self.ready = ready
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
        twin = Job(self.spec, self.submitted, self.awaits, self.ready)
        twin.next_attempt = self.next_attempt
        twin.done = Ranges(self.done.flat())
        twin.live = dict(self.live)
        twin.cancelled = self.cancelled
        twin.errors = self.errors
        return twin


class Final(NamedTuple):
    """What is kept of a job that is over."""

    state: str
    done: int
    at: float | None = None  # time of day at which it was over, where that was recorded
    version: int = 0  # of the record that says so, where it is known
    filed: bool = True  # that record is among the finished jobs, not among the live ones still


class Placer(NamedTuple):
    """The controller that places a team's jobs, and the term with which its process began."""

    node: str
    term: int


# What the roster says of a controller: it takes part; it is doubted and may refute that; it was
# given up, and what it placed went to others.
IN, SUSPECT, OUT = "in", "suspect", "out"


class Member(NamedTuple):
    """One controller in the roster. Its incarnation is (`term`, `refuted`), which only grows."""

    term: int  # with which its process entered
    refuted: int  # how often that process refuted a suspicion or came back
    state: str
    since: float  # time of day from which it is in, or out
    flaps: int  # how often in a row it was given up soon after it had come back
    why: str  # what speaks against it


class TeamUsage(NamedTuple):
    """CPUs and GPUs that a team's attempts hold, over all whose end is not proved."""

    cpus: float = 0.0
    gpus: float = 0.0

    def plus(self, spec: JobSpec, tasks: int) -> "TeamUsage":
        """With so many tasks of a job more, or fewer."""
        cpus = self.cpus + tasks * spec.cpus
        gpus = self.gpus + tasks * spec.gpus
        return TeamUsage(max(0.0, round(cpus, 6)), max(0.0, round(gpus, 6)))


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
    form: int = 1  # the newest form of records that its writer understands
    process: int = 0  # tells the processes of one controller apart
