"""How an attempt is named, and how it may end."""

import enum
from typing import NamedTuple


class AttemptKey(NamedTuple):
    """Names one attempt of one task; no two attempts ever share a key."""

    job: str
    task: int
    attempt: int


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended.  Controllers send each other the values, so these never change."""

    DONE = "done"
    STOPPED = "stopped"  # as commanded
    SAVED = "saved"  # as commanded, with a checkpoint
    PEERS_LOST = "peers"  # the other members of its gang went away
    PEERS_MISSING = "alone"  # the other members of its gang did not come up in time
    ERROR = "error"
    UNKNOWN = "unknown"  # the agent cannot say
    NO_CAPACITY = "no_room"  # the machine refused it: not enough was free
    BUSY = "busy"  # the machine refused it: what it needs was in use
    LOST = "lost"  # the machine, or the agent epoch that ran it, is gone
    NEVER_RAN = "never"  # stopped before the machine had received the start


# The task itself failed; on another machine it may not.
FAILURES = frozenset({AttemptOutcome.ERROR, AttemptOutcome.UNKNOWN})

# The machine did not take the task, which says nothing of the task.
REFUSALS = frozenset({AttemptOutcome.NO_CAPACITY, AttemptOutcome.BUSY})
