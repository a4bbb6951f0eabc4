"""Tests of the records: encoding, size limits, splitting, and the order of changes."""

from random import Random

import cbor2
import msgspec
import pytest

from helpers import LIMITS, accept, commit, inventory, scheduler_with_two_machines, spec
from sandladder.jobs import end, start, submit
from sandladder.model import (
    SCHEMA_V1,
    SCHEMA_V2,
    Attempt,
    EndedAttempt,
    Job,
    Machine,
    Placement,
    Ranges,
)
from sandladder.state import (
    INVENTORY_PREFIX,
    JOB_PREFIX,
    TEAM_PREFIX,
    PreconditionFailedError,
    StateCache,
    Transaction,
    change_instances,
    inventory_values_v1,
    inventory_values_v2,
    job_value,
    read_job,
    split_value,
    stamp_parts,
)


def test_ranges_behave_like_a_set() -> None:
    rng = Random(1)
    for _ in range(50):
        ranges, expected = Ranges(), set()
        for _ in range(60):
            value = rng.randrange(40)
            assert ranges.add(value) == (value not in expected)
            expected.add(value)
            assert ranges.count == len(expected)
            assert [v for v in range(40) if v in ranges] == sorted(expected)
            assert list(ranges.gaps(45)) == [v for v in range(45) if v not in expected]
            assert Ranges(ranges.flat()).flat() == ranges.flat()


def test_job_records_round_trip_and_team_usage_counts_live_attempts() -> None:
    rng = Random(2)
    cache = StateCache()
    for number in range(4):
        transaction = Transaction(cache)
        submit(transaction, spec(number, entries=8), 5.0)
        commit(cache, transaction)
    for _ in range(300):
        transaction = Transaction(cache)
        live = [(j, t, a) for j in cache.jobs.values() for t, a in j.live.items()]
        if live and rng.random() < 0.5:
            job, task, attempt = rng.choice(live)
            outcome = rng.choice(["done", "error", "lost"])
            assert end(transaction, [EndedAttempt(job.id, task, attempt, outcome)], 0.0)
            assert not end(transaction, [EndedAttempt(job.id, task, attempt, outcome)], 0.0)
        elif cache.jobs:
            chosen = rng.choice(list(cache.jobs.values()))
            tasks = [t for t in chosen.pending() if rng.random() < 0.3]
            try:
                start(
                    transaction,
                    chosen.id,
                    [Placement(t, "vm-1", "north", 1) for t in tasks],
                    LIMITS,
                )
            except PreconditionFailedError:
                continue
        commit(cache, transaction)
        for cached in cache.jobs.values():
            decoded = read_job(cbor2.loads(cbor2.dumps(job_value(cached))))
            assert decoded.live == cached.live and decoded.done.flat() == cached.done.flat()
        used_cpus = sum(len(j.live) * j.spec.cpus for j in cache.jobs.values())
        assert cache.teams.get("red", (0.0, 0.0))[0] == pytest.approx(used_cpus)
        assert used_cpus <= LIMITS.cpus_max
    assert len(cache.finished_jobs) + len(cache.jobs) == 4 and cache.finished_jobs


def test_older_changes_do_not_overwrite_own_commits() -> None:
    cache = StateCache()
    value = job_value(Job(spec(), 0.0))
    cache.apply_own_commit(
        7, [(JOB_PREFIX + "job-000001", None), (TEAM_PREFIX + "red", [4.0, 0.0])]
    )
    cache.apply(6, [(JOB_PREFIX + "job-000001", value, 5), (TEAM_PREFIX + "red", [2.0, 0.0], 6)])
    assert not cache.jobs and cache.teams["red"].cpus == 4.0
    cache.apply(9, [(TEAM_PREFIX + "red", [6.0, 0.0], 8)])
    assert cache.teams["red"].cpus == 6.0 and cache.version(TEAM_PREFIX + "red") == 8


@pytest.mark.parametrize("machines", [0, 1, 160, 500, 2000])
@pytest.mark.parametrize("name_prefix", ["vm-", "machine-of-another-kind-"])
def test_inventory_of_any_size_fits_the_store_and_round_trips(
    machines: int, name_prefix: str
) -> None:
    """Guards against an inventory that the store rejects, so that others use an outdated one."""
    limit = 8 * 1024
    before = inventory(machines, name_prefix=name_prefix)
    values = cbor2.loads(cbor2.dumps(inventory_values_v1(before, limit)))
    assert all(len(msgspec.json.encode(value)) <= limit for value in values)
    assert (len(values) == 1) == (machines <= 500 and (name_prefix == "vm-" or machines <= 160))
    cache = StateCache()
    items = [(f"{INVENTORY_PREFIX}a" + (f"/{i}" if i else ""), v, 5) for i, v in enumerate(values)]
    cache.apply(5, items[::-1])
    after = cache.inventories["a"]
    assert after[:3] == before[:3] and after.machines.keys() == before.machines.keys()
    for name, decoded in after.machines.items():
        original = before.machines[name]
        assert decoded[:4] == original[:4] and decoded[5:7] == original[5:7]
        assert original.age_s - 0.1 <= decoded.age_s <= original.age_s
        assert decoded.images == original.images[len(original.images) - len(decoded.images) :]


def test_inventory_with_a_missing_part_is_ignored() -> None:
    cache = StateCache()
    old = inventory_values_v1(inventory(1500), 8192)
    cache.apply(
        5, [(f"{INVENTORY_PREFIX}a" + (f"/{i}" if i else ""), v, 5) for i, v in enumerate(old)]
    )
    before = cache.inventories["a"]
    new = inventory_values_v1(inventory(1600)._replace(revision=2000000), 8192)
    cache.apply(6, [(f"{INVENTORY_PREFIX}a", new[0], 6)])
    assert cache.inventories["a"] is before
    cache.apply(7, [(f"{INVENTORY_PREFIX}a/{i}", v, 7) for i, v in enumerate(new) if i])
    assert len(cache.inventories["a"].machines) == 1600


@pytest.mark.parametrize("value_kb", [2.0, 8.0, 16.0])
@pytest.mark.parametrize("schema_version", [SCHEMA_V1, SCHEMA_V2])
def test_job_with_the_maximum_of_live_tasks_fits_the_store(
    value_kb: float, schema_version: int
) -> None:
    """The longest record: each task on a machine of its own, and every other task done."""
    _, planner, cache, _ = scheduler_with_two_machines(value_kb)
    cache.schema_version = schema_version
    limits = planner.store_limits
    job = Job(spec(entries=100_000), 1e9)
    max_live = planner.max_live_tasks(job.spec)
    assert max_live >= (
        250 if schema_version == SCHEMA_V2 else {2.0: 40, 8.0: 170, 16.0: 350}[value_kb]
    )
    rng = Random(5)
    for number, machine in enumerate(rng.sample(range(1_000_000), max_live)):
        zone = rng.choice(["north", "south"])
        job.live[2 * number] = Attempt(f"vm-{machine:06d}", zone, 1, 1)
        job.done.add(2 * number + 1)
    values = (
        split_value(job_value(job), limits.value_bytes)
        if schema_version == SCHEMA_V2
        else [job_value(job)]
    )
    assert len(values) <= limits.max_parts
    assert all(len(msgspec.json.encode(value)) <= value_kb * 1024 for value in values)


def test_only_changed_tasks_are_marked_as_changed() -> None:
    cache = StateCache()
    job = accept(cache, entries=40)
    limits = LIMITS.__class__("red", 0.0, 1e6)
    for first in (0, 20):
        transaction = Transaction(cache)
        places = [Placement(t, f"vm-{t:06d}", "north", 1) for t in range(first, first + 20)]
        start(transaction, job.id, places, limits)
        cache.changed_machines.clear()
        cache.started_tasks.clear()
        commit(cache, transaction)
        assert cache.changed_machines.keys() == {f"vm-{t:06d}" for t in range(first, first + 20)}
        assert cache.started_tasks.keys() == {(job.id, t) for t in range(first, first + 20)}


def test_instance_changes_in_one_transaction_are_combined() -> None:
    """Guards against a second scale-out in a batch that removes the first's instances."""
    cache = StateCache()
    transaction = Transaction(cache)

    record = Machine("small", "north", False, "rented", 0.0)
    assert change_instances(transaction, {"vm-000001": record}, 100)
    assert change_instances(transaction, {"vm-000002": record, "vm-000204": record}, 100)
    assert not change_instances(transaction, {"vm-000002": record, "vm-000009": None}, 100)
    commit(cache, transaction)
    assert set(cache.instances) == {"vm-000001", "vm-000002", "vm-000204"}
    transaction = Transaction(cache)
    assert change_instances(transaction, {"vm-000204": None}, 100)
    commit(cache, transaction)
    assert set(cache.instances) == {"vm-000001", "vm-000002"}


def test_split_record_is_decoded_once_all_parts_are_of_one_transaction() -> None:
    cache = StateCache()
    job = Job(spec(entries=2000), 5.0)
    for task in range(0, 2000, 2):
        job.done.add(task)
    head, *others = split_value(job_value(job), 600)
    key = JOB_PREFIX + job.id
    continuations = [f"s/x/j/{job.id}/{index}" for index in range(1, len(others) + 1)]
    assert len(others) > 1
    cache.apply_own_commit(4, [(key, head), *zip(continuations[:-1], others[:-1], strict=True)])
    assert not cache.jobs and cache.version(key) == 4
    cache.apply_own_commit(5, [(continuations[-1], others[-1])])
    assert not cache.jobs
    cache.apply(5, [])
    assert cache.unreadable == {key}
    cache.apply_own_commit(6, [(key, head), *zip(continuations, others, strict=True)])
    assert cache.jobs[job.id].done.flat() == job.done.flat()
    assert not cache.unreadable and cache.continuation_keys(key) == continuations


def test_parts_with_the_same_stamp_are_joined_across_transactions() -> None:
    cache = StateCache()
    before = inventory(900)
    parts = split_value(inventory_values_v2(before, 1e9)[0], 2048)
    *continuations, head = stamp_parts(f"{INVENTORY_PREFIX}a", parts, 7)
    for revision, part in enumerate(continuations, start=1):
        cache.apply_own_commit(revision, [part])
    assert not cache.inventories
    cache.apply_own_commit(len(continuations) + 1, [head])
    assert cache.inventories["a"].machines.keys() == before.machines.keys()
    *incomplete, _ = stamp_parts(f"{INVENTORY_PREFIX}a", parts, 8)
    cache.apply_own_commit(len(continuations) + 2, incomplete)
    assert cache.inventories["a"].machines.keys() == before.machines.keys()
    assert not cache.unreadable
