"""Keys and outcomes of attempts."""

import enum
from typing import NamedTuple


class AttemptKey(NamedTuple):
    """Identifies one attempt of one task; keys are never reused."""

    job: str
    task: int
    attempt: int


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended.

    Controllers send each other the values, so the values must never change.
    """

    DONE = "done"
    STOPPED = "stopped"  # as commanded
    SAVED = "saved"  # as commanded, with a checkpoint
    PEERS_LOST = "peers"  # another task of its gang ended or became unreachable
    PEERS_MISSING = "alone"  # the other tasks of its gang did not start in time
    ERROR = "error"
    UNKNOWN = "unknown"  # the agent does not know how it ended
    NO_CAPACITY = "no_room"  # refused by the machine: too little free capacity
    BUSY = "busy"  # refused by the machine: a required resource was in use
    LOST = "lost"  # the machine was removed, or the agent epoch that ran it ended
    NEVER_RAN = "never"  # stopped before the machine received the start command


# The task itself failed; it may succeed on another machine.
FAILURES = frozenset({AttemptOutcome.ERROR, AttemptOutcome.UNKNOWN})

# The machine refused the task; no fault of the task is implied.
REFUSALS = frozenset({AttemptOutcome.NO_CAPACITY, AttemptOutcome.BUSY})
