"""Changes that wait to be committed, and the order in which they go."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NewType

import anyio

from sandladder.model import PRODUCTION
from sandladder.state.transaction import Transaction

Priority = NewType("Priority", float)
"""How urgent a change is: lower goes first."""

# What the controller's lease depends on.
PRIORITY_LEASE = Priority(0)
# What a user or another controller waits for.
PRIORITY_REQUEST = Priority(1)
# A start that must not wait for the write budget.
PRIORITY_URGENT_START = Priority(1.5)
# Other work on jobs: from here to one more, by the job's priority.
PRIORITY_JOB = Priority(2)
# What can wait until nothing else is to be done.
PRIORITY_BACKGROUND = Priority(9)
# After everything else.
LAST_PRIORITY = Priority(math.inf)


def job_priority(priority: int) -> Priority:
    """The priority of a change for a job: more urgent jobs' changes go first."""
    return Priority(PRIORITY_JOB + (PRODUCTION - priority) / 10)


@dataclass(eq=False)
class PendingChange:
    """Something to be committed: evaluated on the current records each time it is tried.

    Attributes:
        name: what it is, for the log.
        priority: lower goes first.
        cost: how many puts and deletes it takes at most.
        apply: adds the change to a transaction, or returns False if there is nothing to do any
            more; raises PreconditionFailedError if it does not hold on the current records.
        final: a key whose existence settles the matter: if a commit fails because of it, the change
            is given up.
        leased: whether it attaches a key to a lease.
        adds: how many puts and deletes it adds at most to those that a transaction has; `cost` if
            not given.
        on_commit: called once it is committed, before the cache has the change.
        since: when it was added to the queue, on the steady clock, in seconds.
        finished: set once it is committed or given up.
        error: why it was given up.
        abandoned: nobody waits for it any more, so it need not be tried.
    """

    name: str
    priority: float
    cost: int
    apply: Callable[[Transaction], bool]
    settled_by_key: str = field(default="", kw_only=True)
    leased: bool = field(default=False, kw_only=True)
    added_operations: Callable[[Transaction], int] | None = field(default=None, kw_only=True)
    on_commit: Callable[[], None] | None = field(default=None, kw_only=True)
    since: float = field(default=0.0, init=False)
    finished: anyio.Event = field(default_factory=anyio.Event, init=False)
    error: Exception | None = field(default=None, init=False)
    abandoned: bool = field(default=False, init=False)

    def added_to(self, transaction: Transaction) -> int:
        """How many puts and deletes it adds at most to a transaction."""
        return self.cost if self.added_operations is None else self.added_operations(transaction)

    async def wait(self) -> None:
        """Wait until it is committed.

        Cancelled, the change is abandoned; it may have been sent already.

        Raises:
            PreconditionFailedError: it does not hold on the current records.
            LeaseExpiredError: the lease that it attaches a key to has expired.
        """
        try:
            await self.finished.wait()
        except BaseException:
            self.abandoned = True
            raise
        if self.error is not None:
            raise self.error

    def resolve(self, error: Exception | None = None) -> None:
        """It is committed, or there is nothing to do; with an error: it is given up."""
        self.error = error
        self.finished.set()


# The share of a transaction for what has waited longest, however urgent the rest is.
_AGED_SHARE = 0.25


def fair_order(
    queue: Sequence[PendingChange], last: float, most: int, waited_since: float
) -> list[PendingChange]:
    """In which order changes are put into a transaction.

    The more urgent first; but a part of each transaction goes to what has waited long, whatever
    its priority.  Seen in a measured day: for as long as urgent work came, nothing else was
    started.

    Args:
        queue: all changes, the most urgent first.
        last: the priority of the least urgent change to be taken.
        most: how many puts and deletes the transaction may have.
        waited_since: changes that have waited since before then have waited long; on the steady
            clock, in seconds.
    """
    ready = [change for change in queue if change.priority <= last]
    aged = [c for c in queue if c.priority < PRIORITY_BACKGROUND and c.since < waited_since]
    if not ready or not aged:
        return ready
    aged.sort(key=lambda change: change.since)
    reserved = max(1, int(_AGED_SHARE * most))
    first = ready[: max(1, most - reserved)]
    return list(dict.fromkeys([*first, *aged[:reserved], *ready]))
