"""Attempts to run a task, from its placement to its proved end."""

from typing import NamedTuple


class Placement(NamedTuple):
    """A task that is to start on a machine.

    Attributes:
        task: its number within the job.
        machine: the machine's name.
        zone: the machine's zone.
        session: the epoch of the machine's agent.
    """

    task: int
    machine: str
    zone: str
    agent_epoch: int


class Attempt(NamedTuple):
    """A committed start: it occupies its task, place and quota until its end is proved.

    Attributes:
        machine: the machine's name.
        zone: the machine's zone.
        session: the epoch of the machine's agent.
        attempt: its number within the job; all tasks of a gang start with the same one.
        stop: None, or the grace in seconds with which it is to be stopped.
    """

    machine: str
    zone: str
    agent_epoch: int
    attempt: int
    stop: float | None = None


class EndedAttempt(NamedTuple):
    """An attempt whose end is proved.

    Attributes:
        job: the job's id.
        task: its number within the job.
        attempt: the attempt.
        outcome: how it ended.
    """

    job: str
    task: int
    attempt: Attempt
    outcome: str
