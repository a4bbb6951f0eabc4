"""Jobs: what a user asked for, the live job, and what is kept of a finished one.

Pure: no I/O, no clock; `sandladder.state.codecs` says how they are stored.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from sandladder.model.attempts import Attempt
from sandladder.model.ranges import Ranges

# Kinds of jobs: independent tasks; tasks that run all together or not at all; replicas that run
# until the job is cancelled.
ARRAY, GANG, SERVICE = "array", "group", "service"
# States of a job.
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "cancelled"
# Priorities: more urgent is larger.
PRODUCTION, HIGH, NORMAL, LOW = 3, 2, 1, 0


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """What a user asked for.

    Attributes:
        id: the job's id.
        cls: the class of jobs that it belongs to, by which the settings state objectives.
        team: whose quota applies.
        kind: ARRAY, GANG or SERVICE.
        priority: PRODUCTION, HIGH, NORMAL or LOW.
        tasks: the number of tasks.
        cpus: what each task takes of its machine; `gpus` and `memory_gb` likewise.
        image: the image that a machine must have before a task can start.
        image_gb: the size of the image.
        types: the allowed machine types; None: any.
        zone: the only allowed zone; None: any.
        one_zone: whether all tasks must be in the same zone.
        spread: whether at most half of the tasks, rounded up, may be in one zone.
        spot: whether the tasks may run on spot instances.
        estimate_s: the owner's estimate of a task's run time in seconds, without the image fetch.
        checkpoint_s: after how many seconds of progress a task saves a checkpoint; 0: never.
        save_s: how many seconds a task needs to save when it is stopped.
        deadline_s: within how many seconds of its submission it should be done; None: no deadline.
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
    """A live job: its spec, which tasks are done, and its committed starts.

    Attributes:
        spec: what the user asked for.
        submitted: the time of day of its submission, in seconds.
        dependencies: the jobs that must be done before any task starts, as far as that is not
            recorded here yet.
        ready: the time of day at which the last of the recorded ones was done; None: none is.
        next_attempt: the number of the next attempt of any task.
        done: the tasks that are done.
        live: by task, the attempt whose end is not proved.
        cancelled: whether its user has cancelled it.
        errors: how many attempts failed since a task was last done.
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
        """Whether all its tasks are done; a service never is."""
        return self.spec.kind != SERVICE and self.done.count >= self.spec.tasks

    @property
    def waiting(self) -> int:
        """How many tasks are neither started nor done."""
        if self.cancelled:
            return 0
        return self.spec.tasks - self.done.count - len(self.live)

    def pending(self) -> Iterator[int]:
        """The tasks that are neither started nor done, lowest first."""
        if self.cancelled:
            return
        for task in self.done.gaps(self.spec.tasks):
            if task not in self.live:
                yield task

    @property
    def state(self) -> str:
        """PENDING, RUNNING, DONE or CANCELLED."""
        if self.cancelled:
            return CANCELLED
        if self.complete:
            return DONE
        return RUNNING if self.live else PENDING

    def copy(self) -> "Job":
        """A copy that can be changed without changing this job."""
        twin = Job(self.spec, self.submitted, self.dependencies, self.ready)
        twin.next_attempt = self.next_attempt
        twin.done = Ranges(self.done.flat())
        twin.live = dict(self.live)
        twin.cancelled = self.cancelled
        twin.errors = self.errors
        return twin


class FinishedJob(NamedTuple):
    """What is kept of a finished job.

    Attributes:
        state: DONE or CANCELLED.
        done: how many tasks were done.
        at: the time of day at which it was over, in seconds; None if that was not recorded.
        version: of its record, where that is known.
        filed: whether its record is archived, no longer in the live job's place.
    """

    state: str
    done: int
    at: float | None = None
    version: int = 0
    archived: bool = True


def zones_allowed(spec: JobSpec, zones: list[str]) -> bool:
    """Whether tasks of a job may be in these zones together, one zone for each task."""
    if spec.zone is not None and any(zone != spec.zone for zone in zones):
        return False
    if spec.one_zone and len(set(zones)) > 1:
        return False
    if spec.spread:
        most = (spec.tasks + 1) // 2
        return all(zones.count(zone) <= most for zone in set(zones))
    return True
