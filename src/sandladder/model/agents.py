"""Heartbeats that agents send to controllers, and the commands sent to agents."""

from typing import NamedTuple


class TaskStatus(NamedTuple):
    """A task in an agent's heartbeat.

    Attributes:
        job: the job's id.
        task: the task's number within the job.
        attempt: the number of the attempt.
        state: the task's state, in the protocol's words.
        cause: the outcome of an exited task; empty before it exits.
        saved: whether the task saved a checkpoint.
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
        addr: the address at which the agent accepts commands, as host:port.
        type: the machine type.
        zone: the machine's zone.
        spot: whether the machine is a spot instance.
        agent_epoch: the agent's epoch; starts at 1 and increases with each lease expiry.
        sequence_number: increases with each message of the agent; heartbeats are ordered by
            (agent_epoch, sequence_number).
        fencing_token: the highest fencing token that the agent has seen.
        notice_s: seconds until the cloud reclaims the machine; None if no reclaim is announced.
        tasks: the tasks on the machine, including exited ones that are not forgotten yet.
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
        operation: "start", "stop" or "forget".
        job: the job's id.
        task: the task's number within the job.
        attempt: the number of the attempt.
        grace_s: the grace period of a stop, in seconds.
    """

    operation: str
    job: str
    task: int
    attempt: int
    grace_s: float = 0.0


class ClockReading(NamedTuple):
    """A reading of one process's steady clock.

    Attributes:
        process: identifies the process; differs between the processes of one controller.
        at: the time in seconds.
    """

    process: int
    at: float
