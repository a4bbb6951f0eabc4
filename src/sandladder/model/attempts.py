"""Attempts to run a task, from placement to proved end."""

import enum
from typing import NamedTuple


class EndEvidence(enum.StrEnum):
    """What proves that an attempt has ended."""

    EXIT_REPORTED = "its exit was reported"
    LATER_EPOCH = "its agent is in a later epoch"
    INSTANCE_GONE = "its machine was returned, has failed or is gone"
    LEASE_EXPIRED = "its agent's lease has expired"
    NEVER_STARTED = "it was stopped before it started"


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
        evidence: what proves the end; None if a peer has proved it.
    """

    job: str
    task: int
    attempt: Attempt
    outcome: str
    evidence: EndEvidence | None = None
