"""Reads of dependency outcomes, and cancellation of the dependents of cancelled jobs."""

from typing import Any

import anyio
import pytest

from helpers import accept, commit, spec
from sandladder import clock
from sandladder.concurrency import BackgroundTasks, Signal
from sandladder.config import AgentSettings
from sandladder.jobs import (
    DependencyResolver,
    DependentCanceller,
    SubmittedDependencies,
    cancel,
    submit,
)
from sandladder.model import SCHEMA_V2, FinishedJob
from sandladder.state import (
    PendingChange,
    StateCache,
    StoreRequestError,
    Transaction,
    finished_job_value,
)

WORKERS = AgentSettings(report_s=3.0, lease_s=12.0, cancel_s=40.0)
FIRST, DEPENDENT = "job-000001", "job-000002"


def cache_with_dependent() -> StateCache:
    """Return a cache with two live jobs, one of which depends on the other."""
    cache = StateCache()
    cache.schema_version = SCHEMA_V2
    accept(cache, number=1)
    transaction = Transaction(cache)
    submit(transaction, spec(2), 0.0, SubmittedDependencies((FIRST,)))
    commit(cache, transaction)
    return cache


class FakeCommitter:
    """Commits each change at once and records its name."""

    def __init__(self, cache: StateCache) -> None:
        self.cache = cache
        self.names: list[str] = []

    def add(self, change: PendingChange) -> PendingChange:
        self.names.append(change.name)
        transaction = Transaction(self.cache)
        assert change.apply(transaction)
        commit(self.cache, transaction)
        change.resolve()
        return change


class FakePeers:
    """Assigns every team to node-0."""

    def assignee(self, team: str) -> str:
        return "node-0"


class FakeStore:
    """Holds the records of finished jobs and logs the keys that are read."""

    def __init__(self) -> None:
        self.records: dict[str, tuple[Any, int]] = {}
        self.failing = False
        self.read_keys: list[str] = []

    async def get(self, key: str) -> tuple[Any, int] | None:
        self.read_keys.append(key)
        await anyio.sleep(0)
        if self.failing:
            raise StoreRequestError("no answer")
        return self.records.get(key)


def make_resolver(store: FakeStore, cache: StateCache) -> DependencyResolver:
    """Return a resolver without the collaborators that only its `run` loop uses."""
    unused: Any = None
    return DependencyResolver(WORKERS, store, cache, unused, unused, unused, Signal())


@pytest.mark.parametrize(("node", "timeout_s"), [("node-0", 0.0), ("node-1", 40.0 / 8)])
def test_dependents_are_cancelled_at_once_by_the_assignee_and_after_a_timeout_by_others(
    monkeypatch: pytest.MonkeyPatch, node: str, timeout_s: float
) -> None:
    times = [100.0]
    monkeypatch.setattr(clock, "now", lambda: times[0])
    cache = cache_with_dependent()
    transaction = Transaction(cache)
    cancel(transaction, FIRST, 5.0)
    commit(cache, transaction)
    committer, background = FakeCommitter(cache), BackgroundTasks()
    canceller = DependentCanceller(
        node, WORKERS, cache, committer, FakePeers(), background, lambda: 6.0
    )

    async def cancel_at(now: float) -> None:
        times[0] = now
        async with anyio.create_task_group() as tasks:
            background.open(tasks)
            canceller.cancel_dependents()

    anyio.run(cancel_at, 100.0)
    if timeout_s:
        anyio.run(cancel_at, 100.0 + timeout_s)
        assert committer.names == []
        anyio.run(cancel_at, 100.1 + timeout_s)
    assert committer.names == [f"cancel {DEPENDENT}"]
    assert cache.finished_jobs[DEPENDENT] == FinishedJob("cancelled", 0, 6.0, 4, archived=False)
    anyio.run(cancel_at, 300.0)
    assert len(committer.names) == 1


def test_the_outcome_of_a_finished_job_is_read_once_and_cached() -> None:
    cache, store = StateCache(), FakeStore()
    final = FinishedJob("done", 2, 21.0)
    store.records[f"s/f/{FIRST}"] = finished_job_value(final, SCHEMA_V2), 7
    resolver = make_resolver(store, cache)
    for _ in range(3):
        finished_jobs = anyio.run(resolver.read_finished_jobs, [FIRST])
        assert finished_jobs == {FIRST: final._replace(version=7)}
    assert store.read_keys == [f"s/f/{FIRST}"]


def test_a_failed_read_raises_its_error_and_stops_further_reads() -> None:
    cache, store = StateCache(), FakeStore()
    store.failing = True
    job_ids = [f"job-{number:06d}" for number in range(100)]
    with pytest.raises(StoreRequestError):
        anyio.run(make_resolver(store, cache).read_finished_jobs, job_ids)
    assert len(store.read_keys) < len(job_ids)
