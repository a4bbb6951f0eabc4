"""Changes that are queued for a commit, and their order."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NewType

import anyio

from sandladder.model import PRODUCTION
from sandladder.state.transaction import Transaction

Priority = NewType("Priority", float)
"""The priority of a change; lower values are committed first."""

# Changes on which the controller's lease depends.
PRIORITY_LEASE = Priority(0)
# Changes for which a user or another controller waits.
PRIORITY_REQUEST = Priority(1)
# Starts that may exceed the write budget.
PRIORITY_URGENT_START = Priority(1.5)
# Other changes of jobs; `job_priority` adds at most 1.
PRIORITY_JOB = Priority(2)
# Deferrable changes.
PRIORITY_BACKGROUND = Priority(9)
# A bound that includes every change.
LAST_PRIORITY = Priority(math.inf)

# The conflicts after which a change is isolated (controllers that start together may lose as many
# races for one key as there are controllers), and the delay of its next attempts, in seconds:
# the first, by which it grows with each further conflict, and the longest.
_MAX_SHARED_CONFLICTS = 16
_MIN_ISOLATED_DELAY_S, _MAX_ISOLATED_DELAY_S = 0.1, 2.0


def job_priority(priority: int) -> Priority:
    """Return the priority of a change for a job of the given priority."""
    return Priority(PRIORITY_JOB + (PRODUCTION - priority) / 10)


@dataclass(eq=False)
class PendingChange:
    """A change to be committed, evaluated on the current records at each attempt.

    Attributes:
        name: the name of the change, for the log.
        priority: lower values are committed first.
        cost: the maximum number of puts and deletes.
        apply: adds the change to a transaction, or returns False if nothing needs to be changed;
            raises PreconditionFailedError if the change is not valid on the current records.
        settled_by_key: a key whose existence makes the change obsolete: if a commit conflicts on
            it, the change fails instead of being retried.
        leased: whether it attaches a key to a lease.
        added_operations: returns the maximum number of puts and deletes that it adds to a
            transaction; `cost` applies if absent.
        on_commit: called after the commit, before the cache has the change.
        queued_at: when it was added to the queue, on the steady clock, in seconds.
        conflicts: the number of conflicts on keys that it added to a transaction.
        retry_at: when it may be attempted again, on the steady clock, in seconds.
        revision: the store's revision of its commit; 0 if it is not committed or needs no commit.
        finished: set once the change is committed, needs no commit, or has failed.
        error: the reason why it failed, if any.
        abandoned: whether the waiter was cancelled, so that the change is not attempted again.
    """

    name: str
    priority: float
    cost: int
    apply: Callable[[Transaction], bool]
    settled_by_key: str = field(default="", kw_only=True)
    leased: bool = field(default=False, kw_only=True)
    added_operations: Callable[[Transaction], int] | None = field(default=None, kw_only=True)
    on_commit: Callable[[], None] | None = field(default=None, kw_only=True)
    queued_at: float = field(default=0.0, init=False)
    conflicts: int = field(default=0, init=False)
    retry_at: float = field(default=0.0, init=False)
    revision: int = field(default=0, init=False)
    finished: anyio.Event = field(default_factory=anyio.Event, init=False)
    error: Exception | None = field(default=None, init=False)
    abandoned: bool = field(default=False, init=False)

    def added_to(self, transaction: Transaction) -> int:
        """Return the maximum number of puts and deletes that it adds to a transaction."""
        return self.cost if self.added_operations is None else self.added_operations(transaction)

    @property
    def is_isolated(self) -> bool:
        """Whether it has conflicted so often that it is sent alone, so as not to fail others."""
        return self.conflicts >= _MAX_SHARED_CONFLICTS

    def record_conflict(self, now: float) -> None:
        """Record a conflict on a key that it added; an isolated change is delayed."""
        self.conflicts += 1
        if self.is_isolated:
            delay_s = _MIN_ISOLATED_DELAY_S * (self.conflicts - _MAX_SHARED_CONFLICTS + 1)
            self.retry_at = now + min(_MAX_ISOLATED_DELAY_S, delay_s)

    async def wait(self) -> None:
        """Wait until the change is committed or needs no commit.

        Cancellation abandons the change, which may already have been sent.

        Raises:
            PreconditionFailedError: the change is not valid on the current records.
            LeaseExpiredError: the lease to which it attaches a key has expired.
        """
        try:
            await self.finished.wait()
        except BaseException:
            self.abandoned = True
            raise
        if self.error is not None:
            raise self.error

    def resolve(self, error: Exception | None = None) -> None:
        """Mark the change as finished, or as failed if an error is given."""
        self.error = error
        self.finished.set()


# The share of each transaction that is reserved for aged changes.
_AGED_SHARE = 0.25


def fair_order(
    queue: Sequence[PendingChange], max_priority: float, max_operations: int, aged_before: float
) -> list[PendingChange]:
    """Return the order in which changes are evaluated for a transaction.

    Changes are ordered by priority, except that a share of each transaction is reserved for aged
    changes of any priority but background: otherwise a steady flow of urgent changes would starve
    the others.

    Args:
        queue: all changes by priority.
        max_priority: the highest priority value to be included; aged changes may exceed it.
        max_operations: the maximum number of puts and deletes of the transaction.
        aged_before: changes queued before this time are aged; on the steady clock, in seconds.
    """
    ready = [change for change in queue if change.priority <= max_priority]
    aged = [c for c in queue if c.priority < PRIORITY_BACKGROUND and c.queued_at < aged_before]
    if not ready or not aged:
        return ready
    aged.sort(key=lambda change: change.queued_at)
    reserved = max(1, int(_AGED_SHARE * max_operations))
    urgent = ready[: max(1, max_operations - reserved)]
    return list(dict.fromkeys([*urgent, *aged[:reserved], *ready]))
