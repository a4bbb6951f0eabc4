"""What agents send to controllers, and the commands that they get."""

from typing import NamedTuple


class TaskStatus(NamedTuple):
    """A task in an agent's heartbeat.

    Attributes:
        job: the job's id.
        task: its number within the job.
        attempt: the number of the attempt.
        state: as the protocol names it.
        cause: why it exited, as the protocol names it.
        saved: whether it saved a checkpoint.
    """

    job: str
    task: int
    attempt: int
    state: str
    cause: str
    saved: bool


class AgentHeartbeat(NamedTuple):
    """An agent's heartbeat with the status of its machine.

    Attributes:
        machine: the machine's name.
        addr: where the agent takes commands, as host:port.
        type: the machine type.
        zone: the machine's zone.
        spot: whether it is a spot instance.
        session: the agent's epoch: from 1 on, one more each time its lease has expired.
        seq: grows with each message of the agent; of two, the one with the larger (epoch, seq) is
            newer.
        token: the highest fencing token that the agent has seen.
        notice_s: in how many seconds the cloud takes the machine away; None if that is not known.
        entries: the tasks on the machine, also exited ones that were not forgotten yet.
    """

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence_number: int
    fencing_token: int
    notice_s: float | None
    tasks: tuple[TaskStatus, ...]


class Command(NamedTuple):
    """A command to an agent about one attempt.

    Attributes:
        op: what to do, as the protocol names it.
        job: the job's id.
        task: its number within the job.
        attempt: the number of the attempt.
        grace_s: for how many seconds a task that is to be stopped may go on.
    """

    operation: str
    job: str
    task: int
    attempt: int
    grace_s: float = 0.0


class ClockReading(NamedTuple):
    """A time on the steady clock of one process.

    Attributes:
        process: tells processes apart, also those of one controller.
        at: the time in seconds.
    """

    process: int
    at: float
