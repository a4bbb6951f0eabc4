"""Commits pending changes in groups."""

import logging
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.config import MIN_TXN_OPS
from sandladder.protocol import codec
from sandladder.state.batch import Batch, BatchBuilder
from sandladder.state.cache import StateCache
from sandladder.state.entries import KeyValue
from sandladder.state.errors import (
    ConflictError,
    LeaseExpiredError,
    PreconditionFailedError,
    StoreRequestError,
    StoreUnavailableError,
    TransactionTooLargeError,
    UnknownOutcomeError,
)
from sandladder.state.keys import TEAM_PREFIX, key_kind
from sandladder.state.pending_change import (
    LAST_PRIORITY,
    PRIORITY_JOB,
    PRIORITY_LEASE,
    PRIORITY_URGENT_START,
    PendingChange,
    Priority,
    fair_order,
)
from sandladder.state.store_client import StoreClient
from sandladder.state.store_limits import StoreLimits
from sandladder.state.transaction import fence_assignment
from sandladder.state.watch import StoreWatch

log = logging.getLogger(__name__)

# How often to see whether the cache has been loaded, in seconds.
_LOAD_POLL_S = 0.05
# A request may take this share of what the store accepts.
_BODY_SHARE = 0.6
# A transaction takes what the write limit allows in this many seconds: where controllers spend
# their shares in large pieces, they collide and are rejected.
_PIECE_S = 1.5
# How the share of a full transaction shrinks on a conflict, and how far; how far it shrinks for the
# length of a request; and how each commit lets it grow again.
_SHARE_DECREASE, _LEAST_SHARE, _LEAST_SHARE_BY_LENGTH, _SHARE_INCREASE = 0.5, 0.25, 0.1, 1.5
# The delay before a rejected transaction is tried again, in puts at the store's write limit: at
# random up to this after a conflict, and from this to three times as long after an error.
_RETRY_WRITES = 0.5


class GroupCommitter:
    """Joins waiting changes into transactions, one at a time, within the write budget.

    Attributes:
        committed: how many transactions were applied.
        rejected: how many failed on a conflict.
        wrote: how many keys were written, by kind of key.
        refused_over: how many keys were in conflict, by kind of key.
    """

    def __init__(
        self,
        store: StoreClient,
        cache: StateCache,
        watch: StoreWatch,
        rng: Random,
        on_change: Callable[[dict[str, None]], None],
        limits: StoreLimits,
        limits_reset_s: float,
        max_wait_s: float = 1.0,
        most_queued: int = 2048,
    ) -> None:
        """Prepare the committer; `run` commits.

        Args:
            store: where transactions go.
            cache: the records that changes are evaluated on; gets what was committed.
            watch: brings the cache up to date after a conflict.
            rng: for the delays between tries.
            on_change: called with the keys that a commit changed.
            limits: what the store accepts.
            limits_reset_s: how long limits that a rejection reduced stay in force, in seconds.
            max_wait_s: the wait in seconds after which a change is batched with more urgent ones.
            most_queued: from how many waiting changes on the queue counts as full.
        """
        self._store = store
        self._cache = cache
        self._watch = watch
        self._rng = rng
        self._on_change = on_change
        self._limits = limits
        self._limits_reset_s = limits_reset_s
        self._max_wait_s = max_wait_s
        self._most_queued = most_queued
        self._queue: list[PendingChange] = []
        self._added = Signal()
        # Team records that a transaction without an answer relied on and did not change, with the
        # version that it relied on.
        self._in_doubt: dict[str, int] = {}
        self._builder = BatchBuilder(cache, limits, self._in_doubt, self._resolve)
        self._share = 1.0  # of a full transaction; conflicts shrink it
        self._one_by_one = False  # to find the change that the store rejects
        self._shrunk_at = float("-inf")  # when the limits were found smaller
        self.committed = 0
        self.rejected = 0
        self.committed_keys: Counter[str] = Counter()
        self.conflicting_keys: Counter[str] = Counter()

    # The queue

    @property
    def queued(self) -> int:
        """How many changes wait."""
        return len(self._queue)

    @property
    def demand(self) -> int:
        """How many puts and deletes wait at most."""
        return sum(change.cost for change in self._queue)

    @property
    def full(self) -> bool:
        """Whether new work of users should be turned away."""
        return len(self._queue) >= self._most_queued

    @property
    def write_delay_s(self) -> float:
        """How long until work that is not urgent may be written, in seconds."""
        return self._store.writes.delay(self._queue[0].cost if self._queue else 1)

    def add(self, change: PendingChange) -> PendingChange:
        """Queue a change; `change.wait()` waits for its commit."""
        change.since = clock.now()
        self._queue.append(change)
        self._added.set()
        return change

    def _resolve(self, change: PendingChange, error: Exception | None = None) -> None:
        if change in self._queue:
            self._queue.remove(change)
        change.resolve(error)

    # Building and sending transactions

    async def run(self) -> None:
        """Commit what waits until cancelled.

        Cancelled while a transaction is under way, it leaves the changes in the queue: that
        transaction may be applied or not.
        """
        while True:
            if not self._queue:
                await self._added.wait()
                continue
            if not self._watch.loaded:
                await anyio.sleep(_LOAD_POLL_S)
                continue
            await self._commit_next()

    async def _commit_next(self) -> None:
        """Send one transaction, or wait for the write budget."""
        self._queue = [change for change in self._queue if not change.abandoned]
        if not self._queue:
            return
        if self._limits.is_shrunk and clock.now() - self._shrunk_at > self._limits_reset_s:
            self._limits.reset()
        self._queue.sort(key=lambda change: change.priority)
        # While the budget is short, work waits.  What a user or the lease waits for, or work that
        # must start at once, goes alone: should the store reject it, it is soon tried again.
        delay = self._store.writes.delay(self._queue[0].cost)
        urgent = self._queue[0].priority < PRIORITY_JOB
        if delay > 0 and not urgent:
            await self._added.wait(delay)
            return
        batch = self._build(PRIORITY_URGENT_START if delay > 0 else LAST_PRIORITY)
        if batch is None:
            return
        if len(batch.body) > _BODY_SHARE * codec.BODY_LIMIT and len(batch.members) > 1:
            self._share = max(_LEAST_SHARE_BY_LENGTH, self._share * _SHARE_DECREASE)
            return
        await self._send(batch)

    def _build(self, last: Priority) -> Batch | None:
        """Gather changes of a priority up to `last`; None if none is to be committed."""
        piece = _PIECE_S * self._store.limits.write_rps * self._store.writes.share
        most = max(MIN_TXN_OPS, int(min(self._limits.txn_ops * self._share, piece)))
        queue = fair_order(self._queue, last, most, clock.now() - self._max_wait_s)
        return self._builder.build(queue, most, single=self._one_by_one)

    async def _send(self, batch: Batch) -> None:
        try:
            revision = await self._store.commit(batch.body, len(batch.changes))
        except ConflictError as conflict:
            await self._on_conflict(batch, conflict)
        except UnknownOutcomeError as error:
            await self._on_unknown_outcome(batch, error)
        except StoreRequestError as error:
            await self._on_store_error(error)
        except LeaseExpiredError as error:
            self._on_lease_expired(batch, error)
        except TransactionTooLargeError as error:
            self._on_too_large(batch, error)
        else:
            self._on_committed(batch, revision)

    # What came of a transaction

    def _on_committed(self, batch: Batch, revision: int) -> None:
        self.committed += 1
        self.committed_keys.update(key_kind(change.key) for change in batch.changes)
        for member in batch.members:
            if member.on_commit is not None:
                member.on_commit()
        self._share = min(1.0, self._share * _SHARE_INCREASE)
        self._one_by_one = False
        for change in batch.changes:
            self._in_doubt.pop(change.key, None)
        changed = self._cache.apply_own_commit(
            revision, [KeyValue(c.key, c.value) for c in batch.changes]
        )
        for member in batch.members:
            self._resolve(member)
        self._on_change(changed)

    async def _on_conflict(self, batch: Batch, conflict: ConflictError) -> None:
        """A rejected commit is revalidated on newer records.

        It waits for a random time, so that two controllers do not keep colliding.
        """
        self.rejected += 1
        self.conflicting_keys.update(key_kind(key) for key in conflict.failed)
        log.debug("conflict: %s over %s", batch.names, conflict)
        for member in batch.members:
            if member.settled_by_key in conflict.failed:
                self._resolve(member, PreconditionFailedError("known"))
        self._share = max(_LEAST_SHARE, self._share * _SHARE_DECREASE)
        await self._watch.barrier()
        await anyio.sleep(self._rng.random() * _RETRY_WRITES / self._store.limits.write_rps)

    async def _on_unknown_outcome(self, batch: Batch, error: UnknownOutcomeError) -> None:
        """Read back what may have been written.

        The conditions of the transaction make it harmless should it be applied later: what is done
        next changes the same keys, or finds them changed.  What it relied on without changing it
        is written by a change of its own before anything relies on it again.
        """
        log.info("a transaction had no answer (%s): reading back", error)
        written = {change.key for change in batch.changes}
        for key, version in batch.transaction.expected_versions.items():
            if key.startswith(TEAM_PREFIX) and key not in written:
                self._in_doubt[key] = version
                self.add(
                    PendingChange(
                        f"fence {key}", PRIORITY_LEASE, 1, partial(fence_assignment, key=key)
                    )
                )
        await self._watch.barrier()

    async def _on_store_error(self, error: StoreRequestError) -> None:
        log.debug("not committed: %s", error)
        writes = _RETRY_WRITES + self._rng.random()
        await anyio.sleep(writes / self._store.limits.write_rps)
        if isinstance(error, StoreUnavailableError):
            # The watch reads anyway.  Seen in a measured day: in an outage a third of the processor
            # time went into evaluating what waits, eleven times a second.
            with anyio.move_on_after(self._max_wait_s):
                await self._watch.barrier()

    def _on_lease_expired(self, batch: Batch, error: LeaseExpiredError) -> None:
        for member in batch.members:
            if member.leased:
                self._resolve(member, LeaseExpiredError(error.lease))

    def _on_too_large(self, batch: Batch, error: TransactionTooLargeError) -> None:
        """Shrink the limits: the transaction is never tried again as it is."""
        log.warning("the store refused a transaction of %s: %s", batch.names, error)
        self._shrunk_at = clock.now()
        if not self._limits.shrink(len(batch.changes), batch.largest_value_bytes):
            if len(batch.members) == 1:
                self._resolve(batch.members[0], PreconditionFailedError(str(error)))
            self._one_by_one = True
