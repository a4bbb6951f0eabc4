"""The actual state of machines and their tasks, which the rules are checked against."""

from typing import Any, Literal

import anyio

from simulation.deployment import MACHINE_TYPES
from simulation.event_loop import now

TaskState = Literal["fetching", "waiting", "running", "flushing", "exited"]
MachineState = Literal["starting", "running", "failed", "deleted"]

# Time to fetch an image, in seconds per GB.
_FETCH_S_PER_GB = 0.5


class Task:
    """One attempt of a task on a machine."""

    def __init__(self, spec: dict[str, Any], name: str, attempt: int, remaining_s: float) -> None:
        self.spec = spec  # the submission of its job
        self.name, self.attempt = name, attempt
        self.state: TaskState = "fetching"
        self.cause, self.saved = "", False  # cause of the exit; whether a checkpoint was saved
        # Time when the image is fetched; after the start, time when the task began to wait or run.
        self.ready_at = now() + _FETCH_S_PER_GB * spec["image_gb"]
        self.remaining_s = remaining_s  # remaining run time, in seconds
        self.flushed_at = 0.0  # time when its checkpoint is saved
        self.waiting_since = 0.0  # time when it began to wait for its gang

    @property
    def on_machine(self) -> bool:
        """Whether the rules count the task as being on its machine."""
        return self.state in ("waiting", "running", "flushing")


class Machine:
    """A rented machine, its tasks and the protocol state of its worker."""

    def __init__(self, name: str, kind: str, zone: str, spot: bool) -> None:
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.addr = f"{name}:9000"  # where its worker accepts direct commands
        self.rented_at = now()
        self.boots_at = now()
        self.terminated_at: float | None = None
        self.state: MachineState = "starting"
        self.epoch, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[str, Task] = {}  # by name and attempt
        self.begun: set[str] = set()  # names and attempts that it began in this epoch
        self.lease_started_at = 0.0
        self.reporting_controller = 0  # index of the controller that receives its heartbeats
        self.changed = anyio.Event()  # set by changes that are reported immediately
        # Faults.
        self.hung_until = 0.0  # until then the machine neither runs tasks nor communicates
        # Until then its heartbeats arrive, while responses and direct commands are lost.
        self.responses_lost_until = 0.0
        # Until then direct commands are held up, and executed late if they are still valid.
        self.commands_held_until = 0.0
        # Until then its heartbeats are lost, while direct commands arrive.
        self.heartbeats_lost_until = 0.0
        self.faulty = False  # every task that starts on the machine fails
        self.notice_until: float | None = (
            None  # when the cloud reclaims the machine, after a spot notice
        )

    def free(self) -> tuple[float, ...]:
        """Return the free CPUs, GPUs and GB of memory."""
        kind = MACHINE_TYPES[self.kind]
        live = [t.spec for t in self.tasks.values() if t.state != "exited"]
        return tuple(kind[k] - sum(s[k] for s in live) for k in ("vcpus", "gpus", "ram_gb"))

    def heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat, with the status of all tasks, as it is sent."""
        self.sequence += 1
        entries = []
        for task in self.tasks.values():
            entry = {"entry": task.name, "try": task.attempt, "standing": task.state}
            if task.state == "exited":
                entry |= {"cause": task.cause} | ({"saved": True} if task.saved else {})
            entries.append(entry)
        notice_s = None if self.notice_until is None else self.notice_until - now()
        return {
            "rung": self.name,
            "addr": self.addr,
            "breed": self.kind,
            "district": self.zone,
            "loaners": self.spot,
            "shift": self.epoch,
            "tally": self.sequence,
            "seal": self.fencing_token,
            "recall_s": notice_s,
            "entries": entries,
        }
