"""Jobs: specifications, live jobs, and the records of finished ones.

Pure: no I/O, no clock; `sandladder.state.codecs` encodes them for the store.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from sandladder.model.attempts import Attempt
from sandladder.model.ranges import Ranges

# Kinds of jobs: independent tasks (job array); tasks that run all together or not at all (gang);
# replicas that run until the job is cancelled (service).
ARRAY, GANG, SERVICE = "array", "group", "service"
# States of a job.
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "cancelled"
# Priorities; a larger number is more urgent.
PRODUCTION, HIGH, NORMAL, LOW = 3, 2, 1, 0


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job's specification, as its user submitted it.

    Attributes:
        id: the job's id.
        job_class: the class of jobs for which the settings define objectives.
        team: the team whose quota applies.
        kind: ARRAY, GANG or SERVICE.
        priority: PRODUCTION, HIGH, NORMAL or LOW.
        tasks: the number of tasks.
        cpus: the CPUs that each task uses.
        gpus: the GPUs that each task uses.
        memory_gb: the memory that each task uses.
        image: the image that a machine must fetch before a task can start.
        image_gb: the size of the image.
        types: the allowed machine types; None: any.
        zone: the only allowed zone; None: any.
        one_zone: whether all tasks must be in the same zone.
        spread: whether at most half of the tasks, rounded up, may be in one zone.
        spot: whether the tasks may run on spot instances.
        estimate_s: the user's estimate of a task's run time in seconds, without the image fetch.
        checkpoint_s: the interval at which a task saves checkpoints, in seconds of progress; 0:
            never.
        save_s: the time in seconds that a task needs to save a checkpoint when it is stopped.
        deadline_s: the deadline, in seconds after submission; None: no deadline.
    """

    id: str
    job_class: str
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


class Job:
    """A live job: its specification, the tasks that are done, and its committed starts.

    Attributes:
        spec: the specification as submitted.
        submitted: the time of day of its submission, in seconds.
        dependencies: the jobs that must be done before any task starts, except those whose
            completion is already recorded here.
        ready: the time of day at which the last recorded dependency was done, in seconds; None if
            none is recorded.
        next_attempt: the number of the next attempt of any task.
        done: the tasks that are done.
        live: by task, the attempt whose end is not proved.
        cancelled: whether the job is cancelled.
        errors: the number of failed attempts since a task was last done.
    """

    __slots__ = (
        "cancelled",
        "dependencies",
        "done",
        "errors",
        "live",
        "next_attempt",
        "ready",
        "spec",
        "submitted",
    )

    def __init__(
        self,
        spec: JobSpec,
        submitted: float,
        dependencies: tuple[str, ...] = (),
        ready: float | None = None,
    ) -> None:
        self.spec = spec
        self.submitted = submitted
        self.dependencies = dependencies
        self.ready = ready
        self.next_attempt = 1
        self.done = Ranges()
        self.live: dict[int, Attempt] = {}
        self.cancelled = False
        self.errors = 0

    @property
    def id(self) -> str:
        """The job's id."""
        return self.spec.id

    @property
    def complete(self) -> bool:
        """Whether all tasks are done; always False for a service."""
        return self.spec.kind != SERVICE and self.done.count >= self.spec.tasks

    @property
    def waiting(self) -> int:
        """The number of tasks that are neither started nor done."""
        if self.cancelled:
            return 0
        return self.spec.tasks - self.done.count - len(self.live)

    def pending(self) -> Iterator[int]:
        """Yield the tasks that are neither started nor done, in ascending order."""
        if self.cancelled:
            return
        for task in self.done.gaps(self.spec.tasks):
            if task not in self.live:
                yield task

    @property
    def state(self) -> str:
        """The job's state: PENDING, RUNNING, DONE or CANCELLED."""
        if self.cancelled:
            return CANCELLED
        if self.complete:
            return DONE
        return RUNNING if self.live else PENDING

    def copy(self) -> "Job":
        """Return a copy that can be changed without changing this job."""
        duplicate = Job(self.spec, self.submitted, self.dependencies, self.ready)
        duplicate.next_attempt = self.next_attempt
        duplicate.done = Ranges(self.done.flat())
        duplicate.live = dict(self.live)
        duplicate.cancelled = self.cancelled
        duplicate.errors = self.errors
        return duplicate


class FinishedJob(NamedTuple):
    """The record of a finished job.

    Attributes:
        state: DONE or CANCELLED.
        done: the number of tasks that were done.
        at: the time of day at which the job finished, in seconds; None if it was not recorded.
        version: the version of the job's record; 0 if unknown.
        archived: whether the record has been moved from the live job's key to the archive.
    """

    state: str
    done: int
    at: float | None = None
    version: int = 0
    archived: bool = True


def zones_allowed(spec: JobSpec, zones: list[str]) -> bool:
    """Return whether a job's tasks may run in these zones together, one zone for each task."""
    if spec.zone is not None and any(zone != spec.zone for zone in zones):
        return False
    if spec.one_zone and len(set(zones)) > 1:
        return False
    if spec.spread:
        limit = (spec.tasks + 1) // 2
        return all(zones.count(zone) <= limit for zone in set(zones))
    return True
