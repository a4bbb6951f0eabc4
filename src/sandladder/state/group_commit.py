"""The state service: its client, one budget for its rate limits, the watch and the commits."""

import logging
import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import anyio
import msgspec

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.config import LEAST_TXN_OPS
from sandladder.model import PRODUCTION
from sandladder.protocol import wire
from sandladder.state.cache import StateCache
from sandladder.state.errors import (
    ConflictError,
    LeaseExpiredError,
    PreconditionFailedError,
    StoreRequestError,
    StoreUnavailableError,
    TransactionTooLargeError,
    UnknownOutcomeError,
)
from sandladder.state.records import TEAM
from sandladder.state.store_client import StoreClient
from sandladder.state.store_limits import StoreLimits
from sandladder.state.transaction import Transaction, fence_assignment
from sandladder.state.watch import StoreWatch

log = logging.getLogger(__name__)


# Priorities of changes: lower goes first.
P_HOLD, P_USER, P_START, P_WORK, P_IDLE = 0, 1, 1.5, 2, 9


def work_priority(priority: int) -> float:
    """Among work, more urgent jobs' changes go first."""
    return P_WORK + (PRODUCTION - priority) / 10


def _kind(key: str) -> str:
    """The kind of a key: its first two parts."""
    return "/".join(key.split("/")[:2])


class PendingChange:
    """Something to be committed: evaluated on the current records each time it is tried."""

    def __init__(
        self,
        name: str,
        priority: float,
        cost: int,
        apply: Callable[[Transaction], bool],
        *,
        final: str = "",
        leased: bool = False,
        adds: Callable[[Transaction], int] | None = None,
        on_commit: Callable[[], None] | None = None,
    ) -> None:
        self.name = name
        self.priority = priority  # lower goes first
        self.cost = cost  # puts and deletes it may take at most
        self.apply = apply  # False: nothing to do any more
        self.final = final  # a key whose existence settles the matter
        self.leased = leased  # it puts a key under a lease
        self.adds = adds or (lambda transaction: cost)  # what it adds at most to what is in already
        self.on_commit = on_commit  # called once it is committed, before the news is passed on
        self.since = 0.0  # when it came to wait, on the steady clock
        self.finished = anyio.Event()
        self.error: Exception | None = None
        self.abandoned = False

    async def wait(self) -> None:
        """Wait until it is committed; raises Refused when it does not hold."""
        try:
            await self.finished.wait()
        except BaseException:
            self.abandoned = True
            raise
        if self.error is not None:
            raise self.error

    def settle(self, error: Exception | None = None) -> None:
        self.error = error
        self.finished.set()


# The share of a transaction that goes to what has waited longest, however urgent the rest is.
_FLOOR = 0.25


def turns(queue: list[PendingChange], last: float, most: int, waited: float) -> list[PendingChange]:
    """In which order changes are put into a transaction of at most so many puts and deletes.

    The more urgent first, as far as the priority `last`; but a part of each transaction goes to
    what has waited since before `waited`, whatever its priority.  Seen in a measured day: for as
    long as urgent work came, nothing else was started.
    """
    ready = [change for change in queue if change.priority <= last]
    aged = [change for change in queue if change.priority < P_IDLE and change.since < waited]
    if not ready or not aged:
        return ready
    aged.sort(key=lambda change: change.since)
    floor = max(1, int(_FLOOR * most))
    first = ready[: max(1, most - floor)]
    return list(dict.fromkeys([*first, *aged[:floor], *ready]))


class GroupCommitter:
    """Joins waiting changes into transactions, one at a time, within the write budget."""

    def __init__(
        self,
        state: StoreClient,
        cache: StateCache,
        watch: StoreWatch,
        rng: Random,
        on_change: Callable[[dict[str, None]], None],
        limits: StoreLimits,
        trust_s: float,
        patience_s: float = 1.0,
        most_queued: int = 2048,
    ) -> None:
        """`patience_s`: what has waited longer goes along with whatever is more urgent."""
        self._store = state
        self._mirror = cache
        self._limits = limits
        # How long limits that were found smaller than the settings are kept so.
        self._trust_s = trust_s
        self._patience_s = patience_s
        self._shrunk_at = float("-inf")
        # The teams' records that a transaction without an answer relied on and did not change, with
        # the version that it relied on.
        self.unsure: dict[str, int] = {}
        self._watch = watch
        self._rng = rng
        self._on_change = on_change
        self._queue: list[PendingChange] = []
        self._work = Signal()
        self._most_queued = most_queued
        self._share = 1.0  # of a full transaction; rejections shrink it
        self._one_by_one = False  # to find the change that the service refuses
        self.committed = 0
        self.rejected = 0
        # What was committed and what was rejected, by kind of key.
        self.wrote: Counter[str] = Counter()
        self.refused_over: Counter[str] = Counter()

    @property
    def queued(self) -> int:
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
    def free_in_s(self) -> float:
        """How long until work that is not urgent may be written."""
        return self._store.writes.delay(self._queue[0].cost if self._queue else 1)

    def add(self, change: PendingChange) -> PendingChange:
        change.since = clock.now()
        self._queue.append(change)
        self._work.set()
        return change

    async def run(self) -> None:
        """Commit what waits until cancelled."""
        while True:
            if not self._queue:
                await self._work.wait()
                continue
            if not self._watch.loaded:
                await anyio.sleep(0.05)
                continue
            await self._step()

    async def _step(self) -> None:
        self._queue = [c for c in self._queue if not c.abandoned]
        if not self._queue:
            return
        if self._limits.shrunk and clock.now() - self._shrunk_at > self._trust_s:
            self._limits.trust()
        self._queue.sort(key=lambda c: c.priority)
        # While our budget is short, work waits.  What a user or the hold waits for, or work that
        # must start at once, goes alone: should the service refuse it, it is soon tried again.
        delay = self._store.writes.delay(self._queue[0].cost)
        urgent = self._queue[0].priority < P_WORK
        if delay > 0 and not urgent:
            await self._work.wait(delay)
            return
        transaction, chosen = self._gather(P_START if delay > 0 else math.inf)
        if not chosen:
            return
        changes = transaction.changes()
        body = wire.commit_body(
            transaction.expected_versions.items(),
            [(key, value, lease) for key, value, lease in changes if value is not None],
            [key for key, value, _ in changes if value is None],
        )
        if len(body) > 0.6 * wire.BODY_LIMIT and len(chosen) > 1:
            self._share = max(0.1, self._share / 2)
            return
        await self._send(transaction, body, changes, chosen)

    def _gather(self, last: float) -> tuple[Transaction, list[PendingChange]]:
        """Evaluate changes of a priority up to `last` while they fit one transaction."""
        # Where controllers spend their shares in large pieces, they meet and are refused.
        piece = 1.5 * self._store.limits.write_rps * self._store.writes.share
        most = max(LEAST_TXN_OPS, int(min(self._limits.txn_ops * self._share, piece)))
        transaction = Transaction(self._mirror, self._limits.value_bytes, self.unsure)
        chosen: list[PendingChange] = []
        waited = clock.now() - self._patience_s
        for change in turns(self._queue, last, most, waited):
            if chosen and (self._one_by_one or transaction.size + change.adds(transaction) > most):
                break
            trial = transaction.fork()
            try:
                useful = change.apply(trial)
                size = trial.size if useful else 0
            except PreconditionFailedError as refusal:
                self._settle(change, refusal)
                continue
            except Exception as error:
                log.exception("the change %s cannot be evaluated", change.name)
                self._settle(change, PreconditionFailedError(str(error)))
                continue
            if not useful:
                self._settle(change)
                continue
            if size > most or len(trial.expected_versions) > self._limits.conditions:
                if chosen:
                    break
                if (
                    size > self._limits.txn_ops
                    or len(trial.expected_versions) > self._limits.conditions
                ):
                    log.error("%s: %d changes are too many for the store", change.name, size)
                    self._settle(change, PreconditionFailedError("too large for the store"))
                    continue
            transaction = trial
            chosen.append(change)
        return transaction, chosen

    def _settle(self, change: PendingChange, error: Exception | None = None) -> None:
        if change in self._queue:
            self._queue.remove(change)
        change.settle(error)

    async def _send(
        self,
        transaction: Transaction,
        body: bytes,
        changes: list[tuple[str, Any, int | None]],
        chosen: list[PendingChange],
    ) -> None:
        try:
            revision = await self._store.commit(body, len(changes))
        except ConflictError as rejection:
            self.rejected += 1
            self.refused_over.update(_kind(key) for key in rejection.failed)
            log.debug("rejected: %s over %s", [c.name for c in chosen], rejection)
            for change in chosen:
                if change.final in rejection.failed:
                    self._settle(change, PreconditionFailedError("known"))
            self._share = max(0.25, self._share / 2)
            # A rejected commit is revalidated: on newer records, after a jittered delay
            # so that two controllers do not keep meeting.
            await self._watch.barrier()
            await anyio.sleep(self._rng.random() * 0.5 / self._store.limits.write_rps)
        except UnknownOutcomeError as error:
            log.info("a transaction had no answer (%s): reading back", error)
            # Its guards make it harmless should it be applied later: what is done next
            # moves the same versions, or finds them moved.  What it relied on without
            # changing it is moved by a change of its own before anything relies on it again.
            moved = {key for key, _, _ in changes}
            for key, version in transaction.expected_versions.items():
                if key.startswith(TEAM) and key not in moved:
                    self.unsure[key] = version
                    self.add(
                        PendingChange(f"fence {key}", P_HOLD, 1, partial(fence_assignment, key=key))
                    )
            await self._watch.barrier()
        except StoreRequestError as error:
            log.debug("not committed: %s", error)
            await anyio.sleep((0.5 + self._rng.random()) * 1.0 / self._store.limits.write_rps)
            if isinstance(error, StoreUnavailableError):
                # The watch asks anyway.  Seen in a measured day: in an outage a third of the
                # processor time went into evaluating what waits, eleven times a second.
                with anyio.move_on_after(self._patience_s):
                    await self._watch.barrier()
        except LeaseExpiredError:
            for change in chosen:
                if change.leased:
                    self._settle(change, LeaseExpiredError())
        except TransactionTooLargeError as refusal:
            # A sign to shrink: it is never tried again as it is.
            largest = max((len(msgspec.json.encode(v)) for _, v, _ in changes), default=0)
            log.warning("%s: %s", [c.name for c in chosen], refusal)
            self._shrunk_at = clock.now()
            if not self._limits.refused(len(changes), largest):
                if len(chosen) == 1:
                    self._settle(chosen[0], PreconditionFailedError(str(refusal)))
                self._one_by_one = True
        else:
            self.committed += 1
            self.wrote.update(_kind(key) for key, _, _ in changes)
            for change in chosen:
                if change.on_commit is not None:
                    change.on_commit()
            self._share = min(1.0, self._share * 1.5)
            self._one_by_one = False
            for key, _, _ in changes:
                self.unsure.pop(key, None)
            changed = self._mirror.wrote(revision, [(key, value) for key, value, _ in changes])
            for change in chosen:
                self._settle(change)
            self._on_change(changed)
