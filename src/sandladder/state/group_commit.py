"""Group commit: batches pending changes into compare-and-swap transactions."""

import logging
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.errors import SandladderError
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
from sandladder.state.refused_versions import RefusedVersions
from sandladder.state.store_client import StoreClient
from sandladder.state.store_limits import StoreLimits
from sandladder.state.transaction import fence_assignment
from sandladder.state.transaction_sizing import TransactionSizing
from sandladder.state.watch import StoreWatch

log = logging.getLogger(__name__)

# Interval at which the committer checks whether the cache has been loaded, in seconds.
_LOAD_POLL_INTERVAL_S = 0.05
# Largest request body, as a share of `codec.BODY_LIMIT`.
_MAX_BODY_SHARE = 0.6
# Base of the retry delay, in puts at the store's write limit.  The delay is random: up to this
# after a conflict, and from this to three times as long after an error.
_RETRY_DELAY_WRITES = 0.5


class GroupCommitter:
    """Batches pending changes and commits one transaction at a time within the write budget.

    Attributes:
        committed: the number of committed transactions.
        rejected: the number of transactions that failed on a conflict.
        committed_keys: the number of keys written, by kind of key.
        conflicting_keys: the number of keys in conflict, by kind of key.
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
        max_queued: int = 2048,
    ) -> None:
        """Create a committer; `run` commits.

        Args:
            store: the client that commits the transactions.
            cache: the records that changes are evaluated on; it is updated by each commit.
            watch: updates the cache after a conflict.
            rng: the source of random retry delays.
            on_change: called with the keys that a commit changed.
            limits: the store's size limits.
            limits_reset_s: how long limits that a rejection reduced stay in force, in seconds.
            max_wait_s: the wait in seconds after which a change is batched with more urgent ones.
            max_queued: the number of pending changes at which the queue is full.
        """
        self._store = store
        self._cache = cache
        self._watch = watch
        self._rng = rng
        self._on_change = on_change
        self._sizing = TransactionSizing(limits, limits_reset_s)
        self._max_wait_s = max_wait_s
        self._max_queued = max_queued
        self._queue: list[PendingChange] = []
        self._added = Signal()
        # Team records that a transaction of unknown outcome expected and did not change, by key,
        # with the expected version.
        self._in_doubt: dict[str, int] = {}
        self._refused = RefusedVersions()
        self._builder = BatchBuilder(cache, limits, self._in_doubt, self._refused, self._resolve)
        self.committed = 0
        self.rejected = 0
        self.committed_keys: Counter[str] = Counter()
        self.conflicting_keys: Counter[str] = Counter()

    # Queue

    @property
    def queued(self) -> int:
        """The number of pending changes."""
        return len(self._queue)

    @property
    def idle(self) -> bool:
        """Whether no change is pending but isolated ones."""
        return all(change.is_isolated for change in self._queue)

    @property
    def demand(self) -> int:
        """The maximum number of puts and deletes of all pending changes."""
        return sum(change.cost for change in self._queue)

    @property
    def full(self) -> bool:
        """Whether users' new requests should be rejected."""
        return len(self._queue) >= self._max_queued

    @property
    def write_delay_s(self) -> float:
        """The delay until the write budget allows the next non-urgent change, in seconds."""
        return self._store.writes.delay(self._queue[0].cost if self._queue else 1)

    def add(self, change: PendingChange) -> PendingChange:
        """Queue a change and return it; `change.wait()` waits for its commit."""
        change.queued_at = clock.now()
        self._queue.append(change)
        self._added.set()
        return change

    def _resolve(self, change: PendingChange, error: Exception | None = None) -> None:
        if change in self._queue:
            self._queue.remove(change)
        change.resolve(error)

    # Building and sending transactions

    async def run(self) -> None:
        """Commit pending changes until cancelled.

        If cancelled during a commit, the changes stay in the queue; the store may apply the
        transaction or not.
        """
        while True:
            if not self._queue:
                await self._added.wait()
                continue
            if not self._watch.loaded:
                await anyio.sleep(_LOAD_POLL_INTERVAL_S)
                continue
            await self._commit_next()

    async def _commit_next(self) -> None:
        """Send one transaction, or wait for the write budget."""
        self._queue = [change for change in self._queue if not change.abandoned]
        if not self._queue:
            return
        self._sizing.restore_limits(clock.now())
        self._queue.sort(key=lambda change: change.priority)
        now = clock.now()
        first = next((change for change in self._queue if change.retry_at <= now), None)
        if first is None:
            await self._added.wait(min(change.retry_at for change in self._queue) - now)
            return
        # Without write budget, only lease changes, requests, urgent starts and aged changes are
        # batched: their transactions are small, so one that the store rejects is soon retried.
        delay = self._store.writes.delay(first.cost)
        urgent = first.priority < PRIORITY_JOB
        if delay > 0 and not urgent:
            await self._added.wait(delay)
            return
        batch = self._build_sendable(PRIORITY_URGENT_START if delay > 0 else LAST_PRIORITY)
        if batch is not None:
            await self._send(batch)

    def _build_sendable(self, max_priority: Priority) -> Batch | None:
        """Build a batch whose body is short enough, or return None if no change needs a commit.

        Each attempt has fewer members than the one before, as at the minimum share a few long
        records may still be too long together.  A single change is sent at any length.
        """
        batch = self._build(max_priority)
        while batch is not None and len(batch.members) > 1 and _is_too_long(batch):
            self._sizing.record_long_body()
            batch = self._build(max_priority, max_members=len(batch.members) - 1)
        return batch

    def _build(self, max_priority: Priority, max_members: int | None = None) -> Batch | None:
        """Build a batch of changes up to a priority, or return None if none needs a commit.

        The number of members is limited only if `max_members` is given.
        """
        writes_per_s = self._store.limits.write_rps * self._store.writes.share
        max_operations = self._sizing.max_operations(writes_per_s)
        now = clock.now()
        ready = self._sizing.take_turns(c for c in self._queue if c.retry_at <= now)
        queue = fair_order(ready, max_priority, max_operations, now - self._max_wait_s)
        max_members = self._sizing.max_members(max_members)
        return self._builder.build(queue, max_operations, now, max_members)

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

    # Outcomes of a transaction

    def _on_committed(self, batch: Batch, revision: int) -> None:
        self.committed += 1
        self.committed_keys.update(key_kind(change.key) for change in batch.changes)
        for member in batch.members:
            if member.on_commit is not None:
                member.on_commit()
        self._sizing.record_commit()
        self._refused.record_commit(batch.transaction.expected_versions)
        for change in batch.changes:
            self._in_doubt.pop(change.key, None)
        changed = self._cache.apply_own_commit(
            revision, [KeyValue(c.key, c.value) for c in batch.changes]
        )
        for member in batch.members:
            member.revision = revision
            self._resolve(member)
        self._on_change(changed)

    async def _on_conflict(self, batch: Batch, conflict: ConflictError) -> None:
        """Update the cache and wait a random time, so that controllers do not collide again.

        A change that expects a refused version even on the updated cache fails when it is evaluated
        next, so that the others are committed.  One that conflicts for another reason, such as a
        key that others change all the time, is isolated after a few conflicts.
        """
        self.rejected += 1
        self.conflicting_keys.update(key_kind(key) for key in conflict.failed)
        self._refused.record_conflict(
            batch.transaction.expected_versions, conflict.failed, clock.now()
        )
        log.debug("transaction of %s conflicts on %s", batch.names, conflict)
        for member in batch.members:
            if member.settled_by_key in conflict.failed:
                self._resolve(member, PreconditionFailedError("settled by another transaction"))
        if not batch.is_isolated:
            self._sizing.record_conflict()
        for member in batch.members_of(conflict.failed):
            member.record_conflict(clock.now())
        await self._watch.barrier()
        await anyio.sleep(self._rng.random() * _RETRY_DELAY_WRITES / self._store.limits.write_rps)

    async def _on_unknown_outcome(self, batch: Batch, error: UnknownOutcomeError) -> None:
        """Read the records again, as the transaction may have been applied or may be applied later.

        For a key that it writes, the expected version makes a late commit harmless: the next change
        of the key either invalidates that version or conflicts.  A team record that it only expects
        is rewritten as a fence before another transaction may expect the same version.
        """
        log.info("no response to a transaction (%s); reading the records again", error)
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
        log.debug("transaction failed: %s", error)
        writes = _RETRY_DELAY_WRITES + self._rng.random()
        await anyio.sleep(writes / self._store.limits.write_rps)
        if isinstance(error, StoreUnavailableError):
            # Wait for a successful read, so that pending changes are not evaluated at each retry
            # throughout an outage.
            with anyio.move_on_after(self._max_wait_s):
                await self._watch.barrier()

    def _on_lease_expired(self, batch: Batch, error: LeaseExpiredError) -> None:
        leased = [member for member in batch.members if member.leased]
        for member in leased:
            self._resolve(member, LeaseExpiredError(error.lease))
        if not leased:
            self._isolate(batch, error)

    def _isolate(self, batch: Batch, error: SandladderError) -> None:
        """Fail the change that the store rejects, or send the next ones one by one to find it."""
        if len(batch.members) == 1:
            self._resolve(batch.members[0], PreconditionFailedError(str(error)))
        self._sizing.send_one_by_one()

    def _on_too_large(self, batch: Batch, error: TransactionTooLargeError) -> None:
        """Reduce the limits so that the transaction is not retried unchanged."""
        log.warning("the store rejected a transaction of %s: %s", batch.names, error)
        operations, value_bytes = len(batch.changes), batch.largest_value_bytes
        if not self._sizing.shrink_limits(operations, value_bytes, clock.now()):
            self._isolate(batch, error)


def _is_too_long(batch: Batch) -> bool:
    return batch.body_bytes > _MAX_BODY_SHARE * codec.BODY_LIMIT
