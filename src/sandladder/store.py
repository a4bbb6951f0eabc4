"""The state service: its client, one budget for its rate limits, the watch and the commits."""

import logging
import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, NamedTuple

import anyio
import msgspec

from sandladder import clock, wire
from sandladder.budget import Budget
from sandladder.http import HttpError, Requester, Response
from sandladder.lifecycle import Refused, View, fence
from sandladder.limits import Limits
from sandladder.mirror import Mirror
from sandladder.model import PRODUCTION
from sandladder.records import PREFIXES, ROOT, TEAM
from sandladder.settings import LEAST_TXN_OPS, State

log = logging.getLogger(__name__)


# Priorities of changes: lower goes first.
P_HOLD, P_USER, P_START, P_WORK, P_IDLE = 0, 1, 1.5, 2, 9


def work_priority(priority: int) -> float:
    """Among work, more urgent jobs' changes go first."""
    return P_WORK + (PRODUCTION - priority) / 10


class Unavailable(Exception):
    """The state service did not carry the request out, or gave no answer to a reading."""


class Down(Unavailable):
    """It serves nobody, or not us: until it does again, there is nothing to be had by asking."""


class UnknownOutcome(Exception):
    """A transaction got no answer: it may be applied now, later or never."""


class NoLease(Exception):
    """The lease has ended."""


class TooLarge(Exception):
    """The service refused a transaction as such: it holds too much for it."""


class Rejected(Exception):
    """A transaction whose conditions did not hold."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class Signal:
    """A flag that one routine waits for and others raise."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        self._event.set()

    async def wait(self, timeout: float | None = None) -> bool:
        """Wait until raised, then lower it; False when the time ran out first."""
        with anyio.move_on_after(timeout):
            await self._event.wait()
        raised = self._event.is_set()
        self._event = anyio.Event()
        return raised


class StateClient:
    """Requests to the state service."""

    def __init__(self, client: Requester, limits: State, timeout: float) -> None:
        self._client = client
        self._timeout = timeout
        self.limits = limits
        least = limits.least()
        self.writes = Budget(limits.write_rps, least.write_rps)
        self.requests = Budget(limits.rps, least.rps)
        self.ok_at = float("-inf")  # when it last answered

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response:
        self.requests.spend(1)
        answer = await self._client.request(method, target, body, timeout=self._timeout)
        if answer.status == 429:
            self.requests.refused(1)
            raise Unavailable("over the rate limit")
        if answer.status >= 500:
            raise Unavailable(f"status {answer.status}")
        self.ok_at = clock.now()
        self.requests.allowed()
        return answer

    async def _read(self, target: str) -> Response:
        try:
            return await self._request("GET", target)
        except HttpError as error:
            raise Unavailable(str(error)) from None

    async def get(self, key: str) -> tuple[Any, int] | None:
        """A key's value and version, or None."""
        answer = await self._read(f"{wire.STORE}/{key}")
        if answer.status == 404:
            return None
        return wire.parse_value(self._ok(answer))

    async def read_all(self, prefix: str) -> tuple[int, list[tuple[str, Any, int]]]:
        """All keys with a prefix, and the revision as of which at least they are complete."""
        found: list[tuple[str, Any, int]] = []
        after, least = "", None
        while True:
            answer = await self._read(wire.list_target(prefix, after))
            revision, items, more = wire.parse_items(self._ok(answer))
            least = revision if least is None else min(least, revision)
            found += items
            if not more or not items:
                return least, found
            after = items[-1][0]

    async def follow(self, after: int) -> tuple[int, list[tuple[str, Any, int]]] | None:
        """Changes after a revision, or None when those are no longer kept."""
        answer = await self._read(wire.follow_target(ROOT, after, 0.0))
        if answer.status == 410:
            return None
        return wire.parse_events(self._ok(answer))

    @staticmethod
    def _ok(answer: Response) -> bytes:
        if answer.status != 200:
            raise Unavailable(f"status {answer.status}")
        return answer.body

    async def commit(self, body: bytes, changes: int) -> int:
        """Apply a transaction; the revision it got."""
        self.writes.spend(changes)
        self.requests.spend(1)
        try:
            answer = await self._client.request("POST", wire.COMMIT, body, timeout=self._timeout)
        except HttpError as error:
            raise UnknownOutcome(str(error)) from None
        if answer.status == 429:
            self.writes.refused(changes)
            raise Unavailable("over the rate limit")
        if answer.status == 503:
            self.writes.unspent(changes)
            raise Down("status 503")
        if answer.status >= 500:
            raise UnknownOutcome(f"status {answer.status}")
        self.ok_at = clock.now()
        if answer.status == 409:
            raise Rejected(wire.parse_failed(answer.body))
        if answer.status == 400:
            text = wire.loads_map(answer.body).get("error")
            if text == "no such lease":
                raise NoLease
            raise TooLarge(f"the state service refused a transaction: {text}")
        self.writes.allowed()
        return wire.parse_revision(self._ok(answer))

    async def hold(self, ttl_s: float) -> int:
        """A new lease."""
        try:
            answer = await self._request("POST", wire.HOLDS, wire.lease_body(ttl_s))
        except HttpError as error:
            raise Unavailable(str(error)) from None
        return wire.parse_lease(self._ok(answer))

    async def renew(self, lease: int) -> None:
        """Renew a lease; raises NoLease when it has ended."""
        try:
            answer = await self._request("POST", f"{wire.HOLDS}/{lease}/renew")
        except HttpError as error:
            raise Unavailable(str(error)) from None
        if answer.status == 404:
            raise NoLease
        self._ok(answer)


class Watch:
    """Keeps the mirror current, and tells when it is as new as a moment that just passed."""

    def __init__(
        self,
        state: StateClient,
        mirror: Mirror,
        nodes: int,
        on_change: Callable[[dict[str, None]], None],
        on_synced: Callable[[float], None],
        report_s: float,
    ) -> None:
        self._state = state
        self._mirror = mirror
        self._on_change = on_change
        self._on_synced = on_synced
        share = state.limits.rps / nodes
        # On demand readings may take half of our share, idle ones a sixth, and no more than
        # a person would notice: each costs us as much as a worker's report.
        self._spacing_s = max(1 / (0.5 * share), report_s / 32)
        self._idle_s = max(6 / share, report_s / 16)
        self._demand = Signal()
        self._waiting: list[anyio.Event] = []
        self.loaded = False

    async def barrier(self) -> None:
        """Return once the mirror holds everything committed before this call."""
        event = anyio.Event()
        self._waiting.append(event)
        self._demand.set()
        await event.wait()

    def poke(self) -> None:
        """There is news, or soon will be."""
        self._demand.set()

    async def run(self) -> None:
        """Read the changes again and again until cancelled."""
        while True:
            sent = clock.now()
            waiting, self._waiting = self._waiting, []
            try:
                await self._advance()
            except (Unavailable, wire.Malformed) as error:
                log.debug("reading the state service failed: %s", error)
                self._waiting = waiting + self._waiting
                await anyio.sleep(self._spacing_s * 2)
                continue
            self._on_synced(sent)
            for event in waiting:
                event.set()
            left = self._spacing_s - (clock.now() - sent)
            await anyio.sleep(max(0.0, left))
            if not self._waiting:
                await self._demand.wait(self._idle_s)

    async def _advance(self) -> None:
        found = await self._state.follow(self._mirror.revision) if self.loaded else None
        read: dict[str, None] = {}
        if found is None:
            read = await self._load()
            found = await self._state.follow(self._mirror.revision)
            if found is None:
                raise Unavailable("the log moved on while it was read")
        # Nobody acts on what was read before the changes made meanwhile are in: records of
        # several parts may not fit together until then.
        changed = read | self._mirror.apply(*found)
        self.loaded = True
        if changed:
            self._on_change(changed)

    async def _load(self) -> dict[str, None]:
        items: list[tuple[str, Any, int]] = []
        revisions = []
        for prefix in PREFIXES:
            revision, found = await self._state.read_all(prefix)
            revisions.append(revision)
            items += found
        changed = self._mirror.reset(min(revisions), items)
        log.info("read %d records as of revision %d", len(items), min(revisions))
        return changed


def _kind(key: str) -> str:
    """The kind of a key: its first two parts."""
    return "/".join(key.split("/")[:2])


class Change:
    """Something to be committed: evaluated on the current records each time it is tried."""

    def __init__(
        self,
        name: str,
        priority: float,
        cost: int,
        apply: Callable[[View], bool],
        *,
        final: str = "",
        leased: bool = False,
        adds: Callable[[View], int] | None = None,
        on_commit: Callable[[], None] | None = None,
    ) -> None:
        self.name = name
        self.priority = priority  # lower goes first
        self.cost = cost  # puts and deletes it may take at most
        self.apply = apply  # False: nothing to do any more
        self.final = final  # a key whose existence settles the matter
        self.leased = leased  # it puts a key under a lease
        self.adds = adds or (lambda view: cost)  # what it adds at most to what is in already
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


def turns(queue: list[Change], last: float, most: int, waited: float) -> list[Change]:
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


class Committer:
    """Joins waiting changes into transactions, one at a time, within the write budget."""

    def __init__(
        self,
        state: StateClient,
        mirror: Mirror,
        watch: Watch,
        rng: Random,
        on_change: Callable[[dict[str, None]], None],
        limits: Limits,
        trust_s: float,
        patience_s: float = 1.0,
        most_queued: int = 2048,
    ) -> None:
        """`patience_s`: what has waited longer goes along with whatever is more urgent."""
        self._state = state
        self._mirror = mirror
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
        self._queue: list[Change] = []
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
        return self._state.writes.delay(self._queue[0].cost if self._queue else 1)

    def add(self, change: Change) -> Change:
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
        delay = self._state.writes.delay(self._queue[0].cost)
        urgent = self._queue[0].priority < P_WORK
        if delay > 0 and not urgent:
            await self._work.wait(delay)
            return
        view, chosen = self._gather(P_START if delay > 0 else math.inf)
        if not chosen:
            return
        changes = view.changes()
        body = wire.commit_body(
            view.guards.items(),
            [(key, value, lease) for key, value, lease in changes if value is not None],
            [key for key, value, _ in changes if value is None],
        )
        if len(body) > 0.6 * wire.BODY_LIMIT and len(chosen) > 1:
            self._share = max(0.1, self._share / 2)
            return
        await self._send(view, body, changes, chosen)

    def _gather(self, last: float) -> tuple[View, list[Change]]:
        """Evaluate changes of a priority up to `last` while they fit one transaction."""
        # Where controllers spend their shares in large pieces, they meet and are refused.
        piece = 1.5 * self._state.limits.write_rps * self._state.writes.share
        most = max(LEAST_TXN_OPS, int(min(self._limits.txn_ops * self._share, piece)))
        view = View(self._mirror, self._limits.value_bytes, self.unsure)
        chosen: list[Change] = []
        waited = clock.now() - self._patience_s
        for change in turns(self._queue, last, most, waited):
            if chosen and (self._one_by_one or view.size + change.adds(view) > most):
                break
            trial = view.fork()
            try:
                useful = change.apply(trial)
                size = trial.size if useful else 0
            except Refused as refusal:
                self._settle(change, refusal)
                continue
            except Exception as error:
                log.exception("the change %s cannot be evaluated", change.name)
                self._settle(change, Refused(str(error)))
                continue
            if not useful:
                self._settle(change)
                continue
            if size > most or len(trial.guards) > self._limits.conditions:
                if chosen:
                    break
                if size > self._limits.txn_ops or len(trial.guards) > self._limits.conditions:
                    log.error("%s: %d changes are too many for the store", change.name, size)
                    self._settle(change, Refused("too large for the store"))
                    continue
            view = trial
            chosen.append(change)
        return view, chosen

    def _settle(self, change: Change, error: Exception | None = None) -> None:
        if change in self._queue:
            self._queue.remove(change)
        change.settle(error)

    async def _send(
        self,
        view: View,
        body: bytes,
        changes: list[tuple[str, Any, int | None]],
        chosen: list[Change],
    ) -> None:
        try:
            revision = await self._state.commit(body, len(changes))
        except Rejected as rejection:
            self.rejected += 1
            self.refused_over.update(_kind(key) for key in rejection.failed)
            log.debug("rejected: %s over %s", [c.name for c in chosen], rejection)
            for change in chosen:
                if change.final in rejection.failed:
                    self._settle(change, Refused("known"))
            self._share = max(0.25, self._share / 2)
            # A rejected commit is revalidated: on newer records, after a jittered delay
            # so that two controllers do not keep meeting.
            await self._watch.barrier()
            await anyio.sleep(self._rng.random() * 0.5 / self._state.limits.write_rps)
        except UnknownOutcome as error:
            log.info("a transaction had no answer (%s): reading back", error)
            # Its guards make it harmless should it be applied later: what is done next
            # moves the same versions, or finds them moved.  What it relied on without
            # changing it is moved by a change of its own before anything relies on it again.
            moved = {key for key, _, _ in changes}
            for key, version in view.guards.items():
                if key.startswith(TEAM) and key not in moved:
                    self.unsure[key] = version
                    self.add(Change(f"fence {key}", P_HOLD, 1, partial(fence, key=key)))
            await self._watch.barrier()
        except Unavailable as error:
            log.debug("not committed: %s", error)
            await anyio.sleep((0.5 + self._rng.random()) * 1.0 / self._state.limits.write_rps)
            if isinstance(error, Down):
                # The watch asks anyway.  Seen in a measured day: in an outage a third of the
                # processor time went into evaluating what waits, eleven times a second.
                with anyio.move_on_after(self._patience_s):
                    await self._watch.barrier()
        except NoLease:
            for change in chosen:
                if change.leased:
                    self._settle(change, NoLease())
        except TooLarge as refusal:
            # A sign to shrink: it is never tried again as it is.
            largest = max((len(msgspec.json.encode(v)) for _, v, _ in changes), default=0)
            log.warning("%s: %s", [c.name for c in chosen], refusal)
            self._shrunk_at = clock.now()
            if not self._limits.refused(len(changes), largest):
                if len(chosen) == 1:
                    self._settle(chosen[0], Refused(str(refusal)))
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


class Renewal(NamedTuple):
    """A lease and until when it surely lasts."""

    lease: int
    until: float
