"""Tests of the token bucket, the group committer and the errors of the store."""

import json
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

import anyio
import pytest

from sandladder.errors import SandladderError
from sandladder.model import SCHEMA_V2
from sandladder.protocol import codec, dumps, loads
from sandladder.state import (
    PRIORITY_BACKGROUND,
    PRIORITY_JOB,
    PRIORITY_REQUEST,
    AdaptiveTokenBucket,
    ConflictError,
    GroupCommitter,
    LeaseExpiredError,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreClient,
    StoreLimits,
    StoreRequestError,
    Transaction,
    UnknownOutcomeError,
)
from sandladder.state.pending_change import fair_order
from sandladder.transport import Response
from simulation import settings


def test_rejections_keep_most_of_the_write_rate() -> None:
    """Guards against a low write rate after chance collisions of controllers."""

    async def body() -> None:
        bucket = AdaptiveTokenBucket(15.0)
        for _ in range(50):
            bucket.spend(6)
            bucket.on_rejected(6)
        assert bucket.rate >= 0.6 * 15.0
        bucket.share = 0.1
        assert bucket.rate <= 1.5
        # Requests in an outage must not leave a debt of minutes.
        for _ in range(500):
            bucket.spend(6)
        assert bucket.delay(1) <= 15.0 / bucket.rate + 2.0

    anyio.run(body)


class StoreInOutage:
    """A store that responds with status 503 while it is down."""

    def __init__(self) -> None:
        self.down = True

    async def request(self, *_: Any, **__: Any) -> Response:
        return Response(503) if self.down else Response(200, dumps({"ledger": 7}))

    async def aclose(self) -> None:
        pass


class WatchStub:
    """A watch whose barrier waits until the test sets the event."""

    loaded = True

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.barrier_calls = 0

    async def barrier(self) -> None:
        self.barrier_calls += 1
        await self.event.wait()


class ScriptedStore:
    """A store that returns the given responses in order, and records the request bodies."""

    def __init__(self, *answers: Response) -> None:
        self.answers = list(answers)
        self.bodies: list[Any] = []

    async def request(self, method: str, target: str, body: bytes, **__: Any) -> Response:
        self.bodies.append(loads(body))
        return self.answers.pop(0)

    async def aclose(self) -> None:
        pass


class CurrentWatch:
    """A watch whose cache is always current."""

    loaded = True

    async def barrier(self) -> None:
        await anyio.sleep(0)


def make_committer(store: ScriptedStore) -> GroupCommitter:
    limits = settings(0, 1).platform.deployment.state
    cache = StateCache()
    return GroupCommitter(
        StoreClient(store, limits, 1.0),
        cache,
        CurrentWatch(),  # type: ignore[arg-type]
        Random(1),
        lambda keys: None,
        StoreLimits(limits, cache),
        limits_reset_s=1e9,
    )


def put(key: str, lease: int | None = None, length: int = 0) -> Callable[[Transaction], bool]:
    """Return a change that creates a key with a value of about `length` bytes.

    It fails at the thousandth evaluation, so that an endless loop of the committer ends.
    """
    evaluations = count(1)

    def apply(transaction: Transaction) -> bool:
        assert next(evaluations) < 1000
        transaction.put(key, {"text": "x" * length} if length else {}, 0, lease)
        return True

    return apply


def committed(revisions: int) -> list[Response]:
    """Return the responses of a store that commits each of some transactions."""
    return [Response(200, dumps({"ledger": 7 + number})) for number in range(revisions)]


def put_requests(number: int, length: int) -> list[PendingChange]:
    """Return some changes, each with one put of a value of about `length` bytes."""
    return [
        PendingChange(f"request {n}", PRIORITY_REQUEST, 1, put(f"s/p/{n}", length=length))
        for n in range(number)
    ]


def committed_changes(store: ScriptedStore) -> list[int]:
    """Return the number of puts of each transaction that the store received."""
    return [len(body["apply"]) for body in store.bodies]


async def run_until_resolved(committer: GroupCommitter, changes: list[PendingChange]) -> None:
    """Run the committer until each of the changes is committed or has failed."""
    async with anyio.create_task_group() as tasks:
        for change in changes:
            committer.add(change)
        tasks.start_soon(committer.run)
        with anyio.fail_after(10.0):
            for change in changes:
                await change.finished.wait()
        tasks.cancel_scope.cancel()


def test_conflict_on_settling_key_fails_only_that_change() -> None:
    async def main() -> tuple[PendingChange, PendingChange, ScriptedStore, GroupCommitter]:
        store = ScriptedStore(
            Response(409, dumps({"failed": ["s/f/x"]})), Response(200, dumps({"ledger": 7}))
        )
        committer = make_committer(store)
        settled = PendingChange(
            "settled", PRIORITY_REQUEST, 1, put("s/j/x"), settled_by_key="s/f/x"
        )
        other = PendingChange("other", PRIORITY_REQUEST, 1, put("s/p/y"))
        await run_until_resolved(committer, [settled, other])
        return settled, other, store, committer

    settled, other, store, committer = anyio.run(main)
    assert isinstance(settled.error, PreconditionFailedError) and other.error is None
    assert [len(body["apply"]) for body in store.bodies] == [2, 1]
    assert (committer.committed, committer.rejected) == (1, 1)
    assert committer.conflicting_keys == {"s/f": 1} and committer.committed_keys == {"s/p": 1}


def test_expired_lease_fails_only_leased_changes() -> None:
    async def main() -> tuple[PendingChange, PendingChange, ScriptedStore]:
        store = ScriptedStore(
            Response(400, dumps({"error": "no such lease"})), Response(200, dumps({"ledger": 7}))
        )
        leased = PendingChange("leased", PRIORITY_REQUEST, 1, put("s/p/x", 5), leased=True)
        other = PendingChange("other", PRIORITY_REQUEST, 1, put("s/p/y"))
        await run_until_resolved(make_committer(store), [leased, other])
        return leased, other, store

    leased, other, store = anyio.run(main)
    assert isinstance(leased.error, LeaseExpiredError) and other.error is None
    assert [change["put"] for change in store.bodies[1]["apply"]] == ["s/p/y"]


def test_aged_changes_get_a_share_of_each_transaction() -> None:
    async def main() -> tuple[list[str], list[str]]:
        queue = [PendingChange(f"urgent {n}", PRIORITY_REQUEST, 1, put("s/p/x")) for n in range(8)]
        queue += [PendingChange(f"work {n}", PRIORITY_JOB, 1, put("s/p/x")) for n in range(2)]
        queue += [PendingChange("idle", PRIORITY_BACKGROUND, 1, put("s/p/x"))]
        for change in queue:
            change.queued_at = 10.0
        by_priority = [
            change.name for change in fair_order(queue, PRIORITY_BACKGROUND, 4, aged_before=5.0)
        ]
        queue[9].queued_at = 1.0
        return by_priority, [
            change.name for change in fair_order(queue, PRIORITY_BACKGROUND, 4, aged_before=5.0)
        ]

    by_priority, fair = anyio.run(main)
    assert by_priority == [*(f"urgent {n}" for n in range(8)), "work 0", "work 1", "idle"]
    assert fair[:4] == ["urgent 0", "urgent 1", "urgent 2", "work 1"]
    assert sorted(fair) == sorted(by_priority)


def commit_all(changes: list[PendingChange], store: ScriptedStore) -> None:
    """Run a committer until each of the changes is committed or has failed."""

    async def main() -> None:
        await run_until_resolved(make_committer(store), changes)

    anyio.run(main)


@pytest.mark.parametrize(("number", "length"), [(4, 12_000), (2, 25_000), (12, 10_000)])
def test_a_few_long_changes_do_not_make_the_committer_loop(number: int, length: int) -> None:
    """Guards against a controller that hangs as too long a transaction is built without end."""
    changes, store = put_requests(number, length), ScriptedStore(*committed(number))
    commit_all(changes, store)
    assert [change.error for change in changes] == [None] * number
    assert sum(committed_changes(store)) == number
    assert all(len(dumps(body)) <= 0.6 * codec.BODY_LIMIT for body in store.bodies)


def test_a_change_that_is_too_long_alone_is_sent_alone() -> None:
    changes, store = put_requests(3, 45_000), ScriptedStore(*committed(3))
    commit_all(changes, store)
    assert [change.error for change in changes] == [None] * 3
    assert committed_changes(store) == [1, 1, 1]


def test_a_long_transaction_is_cut_down_and_grows_again_after_commits() -> None:
    """The other side of the guard: the share still bounds the transactions after a long one."""
    changes, store = put_requests(30, 3_500), ScriptedStore(*committed(30))
    commit_all(changes, store)
    # Twelve of these changes are too long together; half a full transaction is not.
    assert committed_changes(store)[:2] == [6, 9] and sum(committed_changes(store)) == 30
    assert all(len(dumps(body)) <= 0.6 * codec.BODY_LIMIT for body in store.bodies)


def test_a_transaction_is_cut_down_after_a_conflict() -> None:
    changes = put_requests(12, 0)
    conflict = Response(409, dumps({"failed": ["s/p/0"]}))
    store = ScriptedStore(conflict, *committed(12))
    commit_all(changes, store)
    sizes = committed_changes(store)
    assert sizes[:2] == [12, 6] and sum(sizes[1:]) == 12


def test_errors_have_attributes_of_the_failure() -> None:
    assert ConflictError(["s/t/red", "s/j/x"]).failed == ["s/t/red", "s/j/x"]
    assert LeaseExpiredError(5).lease == 5
    assert UnknownOutcomeError("status 504", 504).status == 504
    assert all(
        issubclass(error, SandladderError)
        for error in (ConflictError, LeaseExpiredError, StoreRequestError, UnknownOutcomeError)
    )


def test_no_change_is_evaluated_in_an_outage_before_a_successful_read() -> None:
    """Guards against evaluating all pending changes at each retry during an outage."""

    async def body() -> None:
        evaluated: list[int] = []

        def apply(transaction: Transaction) -> bool:
            evaluated.append(1)
            transaction.put("s/p/x", {}, 0)
            return True

        limits = settings(0, 1).platform.deployment.state
        store, watch, cache = StoreInOutage(), WatchStub(), StateCache()
        committer = GroupCommitter(
            StoreClient(store, limits, 1.0),
            cache,
            watch,  # type: ignore[arg-type]
            Random(1),
            lambda keys: None,
            StoreLimits(limits, cache),
            limits_reset_s=1e9,
            max_wait_s=1e9,
        )
        change = PendingChange("x", 1.0, 1, apply)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(committer.run)
            committer.add(change)
            while not watch.barrier_calls and len(evaluated) < 3:
                await anyio.sleep(0.001)
            for number in range(50):
                committer.add(PendingChange(f"y{number}", 1.0, 1, lambda transaction: False))
                await anyio.wait_all_tasks_blocked()
            assert len(evaluated) == 1 and not change.finished.is_set()
            store.down = False
            watch.event.set()
            await change.wait()
            tasks.cancel_scope.cancel()
        assert len(evaluated) == 2 and committer.committed == 1

    anyio.run(body)


def test_a_late_answer_to_a_commit_does_not_restore_a_record_deleted_since() -> None:
    cache = StateCache()
    cache.apply(9, [("s/v/0", None, 9)])
    assert cache.apply_own_commit(7, [("s/v/0", {"k": [], "m": []})]) == {}
    assert cache.version("s/v/0") == 0


def test_an_answer_after_later_reads_changes_no_record_of_any_kind() -> None:
    """Guards against records of any key that a late answer restores, also after a full read."""
    values = {
        "s/j/job-000001": ["done", 1, 5.0],
        "s/t/red": {"n": "rung-1", "i": 3},
        "s/p/rung-0": {"u": 1.0},
        "s/x/s/v/0/1": {"~": "text"},
        "s/term": 4,
    }
    followed, loaded = StateCache(), StateCache()
    followed.apply(9, [(key, None, 9) for key in values])
    loaded.reset(9, [])
    for cache in (followed, loaded):
        assert cache.apply_own_commit(7, list(values.items())) == {}
        assert cache.versions == {} and cache.unarchived == {}
        assert (cache.fencing_token, cache.unreadable) == (0, set())


def test_an_answer_before_the_read_of_its_commit_is_applied() -> None:
    """The other side of the guard: a commit that the log has not shown yet counts at once."""
    cache = StateCache()
    cache.apply(6, [])
    assert list(cache.apply_own_commit(7, [("s/term", 4)])) == ["s/term"]
    assert (cache.fencing_token, cache.version("s/term")) == (4, 7)


class VersionedStore:
    """A store that checks the expected versions; a map of keys to their versions."""

    def __init__(self, **versions: int) -> None:
        self.versions = {f"s/p/{name}": version for name, version in versions.items()}
        self.conflicts = 0

    async def request(self, method: str, target: str, body: bytes, **__: Any) -> Response:
        transaction = loads(body)
        failed = [
            guard["key"]
            for guard in transaction["guards"]
            if self.versions.get(guard["key"], 0) != guard["edition"]
        ]
        if failed:
            self.conflicts += 1
            return Response(409, dumps({"failed": failed, "ledger": 9}))
        self.versions |= {change["put"]: 10 for change in transaction["apply"]}
        return Response(200, dumps({"ledger": 10}))

    async def aclose(self) -> None:
        pass


@pytest.mark.parametrize(("expected", "current"), [(7, None), (7, 9), (0, 9)])
def test_a_change_that_conflicts_forever_does_not_hold_up_others(
    expected: int, current: int | None
) -> None:
    """Guards against a controller that commits nothing, as one change makes each batch conflict."""

    def apply(transaction: Transaction) -> bool:
        transaction.put("s/p/stuck", {}, expected)
        return True

    async def main() -> None:
        store = VersionedStore() if current is None else VersionedStore(stuck=current)
        committer = make_committer(store)  # type: ignore[arg-type]
        stuck = PendingChange("stuck", PRIORITY_REQUEST, 1, apply)
        others = put_requests(12, 0)
        await run_until_resolved(committer, [stuck, *others])
        assert isinstance(stuck.error, PreconditionFailedError)
        assert [change.error for change in others] == [None] * 12
        # A requester that tries again costs no further transaction.
        conflicts, again = store.conflicts, PendingChange("again", PRIORITY_REQUEST, 1, apply)
        await run_until_resolved(committer, [again])
        assert (
            isinstance(again.error, PreconditionFailedError) and store.conflicts == conflicts <= 2
        )

    anyio.run(main)


def test_a_change_is_sent_again_once_its_key_is_absent_as_expected() -> None:
    """The other side of the guard: a key that was deleted since the conflict may be created."""

    async def main() -> None:
        store = VersionedStore(leased=9)
        committer = make_committer(store)  # type: ignore[arg-type]
        change = PendingChange("leased", PRIORITY_REQUEST, 1, put("s/p/leased"))
        async with anyio.create_task_group() as tasks:
            committer.add(change)
            tasks.start_soon(committer.run)
            while not store.conflicts:
                await anyio.sleep(0)
            del store.versions["s/p/leased"]
            await change.finished.wait()
            tasks.cancel_scope.cancel()
        assert change.error is None and change.revision == 10

    anyio.run(main)


@pytest.mark.parametrize(
    "refusal", [Response(413), Response(400, dumps({"error": "no such lease"}))]
)
def test_a_change_that_the_store_always_rejects_does_not_hold_up_others(refusal: Response) -> None:
    """Guards against the same for rejections that name no key and no leased change."""

    class RejectingStore(VersionedStore):
        async def request(self, method: str, target: str, body: bytes, **__: Any) -> Response:
            if any(change.get("put") == "s/p/stuck" for change in loads(body)["apply"]):
                return refusal
            return await super().request(method, target, body)

    stuck = PendingChange("stuck", PRIORITY_REQUEST, 1, put("s/p/stuck"))
    others = put_requests(3, 0)
    commit_all([stuck, *others], RejectingStore())  # type: ignore[arg-type]
    assert isinstance(stuck.error, PreconditionFailedError)
    assert [change.error for change in others] == [None] * 3


def test_transactions_fit_the_limit_in_the_form_that_it_counts() -> None:
    """Guards against transactions of numbers, whose JSON form is twice as long as their CBOR."""

    def put_numbers(key: str) -> Callable[[Transaction], bool]:
        def apply(transaction: Transaction) -> bool:
            transaction.put(key, [200] * 7_000, 0)
            return True

        return apply

    changes = [
        PendingChange(f"numbers {n}", PRIORITY_REQUEST, 1, put_numbers(f"s/p/{n}"))
        for n in range(4)
    ]
    store = ScriptedStore(*committed(4))
    commit_all(changes, store)
    assert [change.error for change in changes] == [None] * 4
    assert all(len(json.dumps(body)) <= codec.BODY_LIMIT for body in store.bodies)


@pytest.mark.parametrize("value_kb", [2.0, 8.0, 16.0, 32.0, 64.0])
def test_the_values_of_one_record_fit_a_transaction(value_kb: float) -> None:
    """Guards against records that can never be written, as their values are too long together."""
    limits = StoreLimits(settings(0, 1, value_kb=value_kb).platform.deployment.state, StateCache())
    limits._cache.schema_version = SCHEMA_V2
    assert 1 <= limits.max_parts <= limits.max_values
    assert limits.max_values * limits.value_bytes < codec.BODY_LIMIT


class ContendedStore(VersionedStore):
    """A store in which another controller changes one key before each transaction."""

    async def request(self, method: str, target: str, body: bytes, **__: Any) -> Response:
        self.versions["s/p/hot"] = self.versions.get("s/p/hot", 10) + 1
        return await super().request(method, target, body)


def test_a_change_that_loses_each_race_is_isolated_and_does_not_hold_up_others() -> None:
    """Guards against the same for a key that changes faster than it is read.

    The isolated change stays pending, as it may win at any time.
    """

    async def main() -> None:
        store = ContendedStore()
        committer = make_committer(store)  # type: ignore[arg-type]

        def apply(transaction: Transaction) -> bool:
            transaction.put("s/p/hot", {}, store.versions["s/p/hot"])
            return True

        hot = PendingChange("hot", PRIORITY_REQUEST, 1, apply)
        store.versions["s/p/hot"] = 10
        async with anyio.create_task_group() as tasks:
            committer.add(hot)
            tasks.start_soon(committer.run)
            for number in range(5):
                others = put_requests(30, 0)
                for index, change in enumerate(others):
                    change.apply = put(f"s/p/{number}-{index}")
                    committer.add(change)
                with anyio.fail_after(5.0):
                    for change in others:
                        await change.finished.wait()
            assert hot.is_isolated and not hot.finished.is_set() and committer.idle
            # Alone it does not keep the committer busy.
            conflicts = store.conflicts
            await anyio.sleep(0.5)
            assert store.conflicts - conflicts < 6
            store.request = super(ContendedStore, store).request  # type: ignore[method-assign]
            with anyio.fail_after(5.0):
                await hot.finished.wait()
            tasks.cancel_scope.cancel()
        assert hot.error is None

    anyio.run(main)
