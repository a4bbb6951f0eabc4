"""What agents report and are commanded."""

from typing import NamedTuple


class ReportedTask(NamedTuple):
    """A task as a machine reports it."""

    job: str
    task: int
    attempt: int
    state: str
    cause: str
    saved: bool


class AgentHeartbeat(NamedTuple):
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
    entries: tuple[ReportedTask, ...]


class Command(NamedTuple):
    """An order to a worker: start, stop or forget one attempt."""

    op: str
    job: str
    task: int
    attempt: int
    grace_s: float = 0.0


class ClockReading(NamedTuple):
    """A moment on the steady clock of one process."""

    process: int
    at: float
