"""State shared by all parts of a simulation: random generator, jobs, faults, observations."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from sandladder.transport import Request, Response
from simulation.answer_consistency import AnswerHistory
from simulation.event_loop import Processor, now
from simulation.machines import Machine, Task
from simulation.network import Network

# Ratio of a task's run time to the estimate in its submission.
_RUN_FACTOR = 1.2


class KeptHeartbeat(NamedTuple):
    """A copy of a heartbeat that is delivered to every controller later."""

    machine: Machine
    epoch: int  # agent epoch of the machine when the heartbeat was sent
    request: Request


class SharedState(ABC):
    """The state shared by the parts of a simulation, and the cluster's methods that they call.

    The rules are checked against the sets and maps of jobs, which no controller reads.  All random
    values are drawn from `rng`, in the order of the events.
    """

    def __init__(self, seed: int, count: int, cancel_s: float, teams: list[dict[str, Any]]) -> None:
        self.rng = Random(seed)
        self.count = count  # number of controllers
        self.cancel_s = cancel_s
        self.teams = teams
        self.nodes: dict[str, Any] = {}  # the running controllers, of either version
        self.processors: dict[str, Processor] = {}
        self.machines: dict[str, Machine] = {}  # all machines ever rented
        # Violated rules, and the number of occurrences of each fault or condition.
        self.violations: list[str] = []
        self.observed: Counter[str] = Counter()
        # Jobs.
        self.specs: dict[str, dict[str, Any]] = {}  # submissions
        self.accepted: set[str] = set()
        # Time of the first response that reports the job as cancelled; infinite from the request to
        # cancel it until that response.
        self.cancelled_at: dict[str, float] = {}
        self.answers = AnswerHistory(self.record_violation)
        # Tasks, by name.
        self.done: set[str] = set()
        self.saved: dict[str, float] = {}  # run time covered by checkpoints, in seconds
        self.starts: Counter[str] = Counter()
        self.failed_starts = 0  # on a faulty machine, or of a job that always fails
        self.expired_leases = 0
        # Faults that involve several parts, as shares of all jobs or heartbeats.
        self.concurrent_read_share = 0.0  # jobs that users read at all controllers concurrently
        self.cancel_at_end_share = 0.0  # jobs that are cancelled when their last task ends
        self.kept_heartbeat_share = 0.0  # heartbeats that are copied for a later replay
        self.kept_heartbeats: list[KeptHeartbeat] = []
        self.duplicated_heartbeat_share = 0.0  # heartbeats that are delivered twice
        # Called with each message between controllers: (source, target, message).
        self.on_peer_message: Callable[[str, str, Any], None] | None = None
        self.network = Network(self.rng, self.observed)

    @abstractmethod
    def check(self) -> None:
        """Check the rules about the tasks on all machines."""

    @abstractmethod
    async def ask(
        self, method: str, path: str, body: Any = None, node: int | None = None
    ) -> Response:
        """Send a user's request to a controller; the status is 0 after a timeout."""

    @abstractmethod
    def job_finished(self, job_id: str) -> None:
        """Handle the end of a job's last task on its machine."""

    def record_violation(self, rule: str, detail: str) -> None:
        """Record the violation of a rule."""
        self.violations.append(f"{now():.2f} {rule}: {detail}")

    def dependencies(self, job_id: str) -> set[str]:
        """Return the direct and transitive dependencies of a job."""
        dependencies: set[str] = set()
        stack = [job_id]
        while stack:
            for name in self.specs.get(stack.pop(), {}).get("awaits") or ():
                if name not in dependencies:
                    dependencies.add(name)
                    stack.append(name)
        return dependencies

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a user has requested to cancel a job or one of its dependencies."""
        return bool(self.cancelled_at.keys() & {job_id, *self.dependencies(job_id)})

    def is_done(self, job_id: str) -> bool:
        """Return whether all tasks of a job have completed."""
        tasks = range(self.specs[job_id]["entries"])
        return all(f"{job_id}/{task}" in self.done for task in tasks)

    def run_s(self, spec: dict[str, Any], task: str = "/0") -> float:
        """Return the run time of a task, in seconds; `far_s` is added for each preceding task."""
        number = int(task.partition("/")[2])
        return float(spec["expect_s"] * _RUN_FACTOR + spec.get("far_s", 0.0) * number)

    def tasks_on_machines(self) -> list[tuple[Machine, Task]]:
        """Return the tasks that the rules count as being on a machine, each with its machine."""
        return [
            (machine, task)
            for machine in self.machines.values()
            if machine.terminated_at is None
            for task in machine.tasks.values()
            if task.on_machine
        ]

    def gang_members(self, task: Task) -> list[Task]:
        """Return the tasks of the same job and attempt on machines, including this one."""
        prefix = task.name.partition("/")[0] + "/"
        return [
            other
            for _, other in self.tasks_on_machines()
            if other.attempt == task.attempt and other.name.startswith(prefix)
        ]
