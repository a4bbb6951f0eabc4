"""Attempts to run a task, from placement to proved end."""

from typing import NamedTuple


class Placement(NamedTuple):
    """A task assigned to a machine and not started yet.

    Attributes:
        task: the task's number within the job.
        machine: the machine's name.
        zone: the machine's zone.
        agent_epoch: the epoch of the machine's agent.
    """

    task: int
    machine: str
    zone: str
    agent_epoch: int


class Attempt(NamedTuple):
    """A committed start, which holds its task, capacity and quota until its end is proved.

    Attributes:
        machine: the machine's name.
        zone: the machine's zone.
        agent_epoch: the epoch of the machine's agent.
        attempt: the attempt's number within the job; all tasks of a gang start with the same one.
        stop_grace_s: the grace period in seconds if the attempt is to be stopped, else None.
    """

    machine: str
    zone: str
    agent_epoch: int
    attempt: int
    stop_grace_s: float | None = None


class EndedAttempt(NamedTuple):
    """An attempt whose end is proved.

    Attributes:
        job: the job's id.
        task: the task's number within the job.
        attempt: the attempt.
        outcome: how the attempt ended.
    """

    job: str
    task: int
    attempt: Attempt
    outcome: str
