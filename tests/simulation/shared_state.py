"""What all parts of a simulation share: randomness, the truth about jobs, faults and findings."""

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

# How much longer than its owner's estimate a task runs.
_RUN_FACTOR = 1.2


class KeptHeartbeat(NamedTuple):
    """A copy of a heartbeat, to be delivered to every controller later."""

    machine: Machine
    epoch: int  # of the machine when it was sent
    request: Request


class SharedState(ABC):
    """The state that the parts of a simulation share, and what they ask of the whole.

    The sets and maps about jobs are the truth that the rules are checked against; no controller
    sees them.  Everything random is drawn from `rng`, in the order of the events.
    """

    def __init__(self, seed: int, count: int, cancel_s: float, teams: list[dict[str, Any]]) -> None:
        self.rng = Random(seed)
        self.count = count  # controllers
        self.cancel_s = cancel_s
        self.teams = teams
        self.nodes: dict[str, Any] = {}  # the controllers that run, of whichever version
        self.processors: dict[str, Processor] = {}
        self.machines: dict[str, Machine] = {}  # all that were ever rented
        # Findings: broken rules, and which faults really occurred.
        self.violations: list[str] = []
        self.observed: Counter[str] = Counter()
        # Jobs.
        self.specs: dict[str, dict[str, Any]] = {}  # submissions
        self.accepted: set[str] = set()
        # When a user was first answered that a job is cancelled; infinite once a user has asked.
        self.cancelled_at: dict[str, float] = {}
        self.answers = AnswerHistory(self.record_violation)
        # Tasks, by name.
        self.done: set[str] = set()
        self.saved: dict[str, float] = {}  # run time that is safe in a checkpoint, in seconds
        self.starts: Counter[str] = Counter()
        self.failed_starts = 0  # on a faulty machine, or of a job that fails everywhere
        self.expired_leases = 0
        # Faults that no single part owns, as shares of what they may strike.
        self.concurrent_read_share = 0.0  # jobs that users read at all controllers at once
        self.cancel_at_end_share = 0.0  # jobs that are cancelled as their last task ends
        self.kept_heartbeat_share = 0.0  # heartbeats of which a copy is kept for a later replay
        self.kept_heartbeats: list[KeptHeartbeat] = []
        self.duplicated_heartbeat_share = 0.0  # heartbeats of which a copy arrives again
        # Called with each message between controllers: source, target, message.
        self.on_peer_message: Callable[[str, str, Any], None] | None = None
        self.network = Network(self.rng, self.observed)

    @abstractmethod
    def check(self) -> None:
        """Check the rules about everything that is on a machine."""

    @abstractmethod
    async def ask(
        self, method: str, path: str, body: Any = None, node: int | None = None
    ) -> Response:
        """Send one request of a user to a controller; status 0 without a response in time."""

    @abstractmethod
    def job_finished(self, job_id: str) -> None:
        """The last task of a job has ended on its machine."""

    def record_violation(self, rule: str, detail: str) -> None:
        """Note that a rule was broken."""
        self.violations.append(f"{now():.2f} {rule}: {detail}")

    def needed(self, job_id: str) -> set[str]:
        """The jobs that a job depends on, directly or through others."""
        found: set[str] = set()
        stack = [job_id]
        while stack:
            for name in self.specs.get(stack.pop(), {}).get("awaits") or ():
                if name not in found:
                    found.add(name)
                    stack.append(name)
        return found

    def is_cancelled(self, job_id: str) -> bool:
        """Whether a user has asked to cancel a job or one that it depends on."""
        return bool(self.cancelled_at.keys() & {job_id, *self.needed(job_id)})

    def is_done(self, job_id: str) -> bool:
        """Whether all tasks of a job have completed."""
        tasks = range(self.specs[job_id]["entries"])
        return all(f"{job_id}/{task}" in self.done for task in tasks)

    def run_s(self, spec: dict[str, Any], task: str = "/0") -> float:
        """How long a task runs, in seconds; with `far_s` each so much longer than the last."""
        number = int(task.partition("/")[2])
        return float(spec["expect_s"] * _RUN_FACTOR + spec.get("far_s", 0.0) * number)

    def present(self) -> list[tuple[Machine, Task]]:
        """The tasks that are on a machine in the sense of the rules."""
        return [
            (machine, task)
            for machine in self.machines.values()
            if machine.gone_at is None
            for task in machine.tasks.values()
            if task.on_machine
        ]

    def gang_members(self, task: Task) -> list[Task]:
        """The tasks of the same job and attempt that are on a machine, this one among them."""
        prefix = task.name.partition("/")[0] + "/"
        return [
            other
            for _, other in self.present()
            if other.attempt == task.attempt and other.name.startswith(prefix)
        ]
