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
        "dependencies",
        "ready",
    )

    def __init__(
        self,
        spec: JobSpec,
        submitted: float,
        dependencies: tuple[str, ...] = (),
        ready: float | None = None,
    ) -> None:
        self.spec = spec
        self.submitted = submitted  # time of day
        # Jobs that must be done before any task starts, as far as that is not recorded here
        # yet; and the time of day at which the last of those recorded was done.
        self.dependencies = dependencies
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
        twin = Job(self.spec, self.submitted, self.dependencies, self.ready)
        twin.next_attempt = self.next_attempt
        twin.done = Ranges(self.done.flat())
        twin.live = dict(self.live)
        twin.cancelled = self.cancelled
        twin.errors = self.errors
        return twin


class FinishedJob(NamedTuple):
    """What is kept of a job that is over."""

    state: str
    done: int
    at: float | None = None  # time of day at which it was over, where that was recorded
    version: int = 0  # of the record that says so, where it is known
    filed: bool = True  # that record is among the finished jobs, not among the live ones still


class EndedAttempt(NamedTuple):
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
