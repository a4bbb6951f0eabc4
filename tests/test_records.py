"""Records: written, read back, within the store's limits, and applied in order."""

from random import Random

import cbor2
import msgspec
import pytest

from helpers import LIMITS, accept, commit, inventory, scene, spec
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


def test_ranges_are_a_set() -> None:
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


def test_records_round_trip_and_the_team_record_counts_live_attempts() -> None:
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
            found, task, attempt = rng.choice(live)
            outcome = rng.choice(["done", "error", "lost"])
            assert end(transaction, [EndedAttempt(found.id, task, attempt, outcome)], 0.0)
            assert not end(transaction, [EndedAttempt(found.id, task, attempt, outcome)], 0.0)
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
        for kept in cache.jobs.values():
            again = read_job(cbor2.loads(cbor2.dumps(job_value(kept))))
            assert again.live == kept.live and again.done.flat() == kept.done.flat()
        held = sum(len(j.live) * j.spec.cpus for j in cache.jobs.values())
        assert cache.teams.get("red", (0.0, 0.0))[0] == pytest.approx(held)
        assert held <= LIMITS.cpus_max
    assert len(cache.finished_jobs) + len(cache.jobs) == 4 and cache.finished_jobs


def test_older_changes_never_undo_an_own_commit() -> None:
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
@pytest.mark.parametrize("part", ["vm-", "machine-of-another-kind-"])
def test_an_inventory_of_any_size_fits_the_store_and_round_trips(machines: int, part: str) -> None:
    """Seen: past the limit on values it was rejected, and others scheduled by an old one."""
    limit = 8 * 1024
    before = inventory(machines, part=part)
    values = cbor2.loads(cbor2.dumps(inventory_values_v1(before, limit)))
    assert all(len(msgspec.json.encode(value)) <= limit for value in values)
    assert (len(values) == 1) == (machines <= 500 and (part == "vm-" or machines <= 160))
    cache = StateCache()
    items = [(f"{INVENTORY_PREFIX}a" + (f"/{i}" if i else ""), v, 5) for i, v in enumerate(values)]
    cache.apply(5, items[::-1])
    after = cache.inventories["a"]
    assert after[:3] == before[:3] and after.machines.keys() == before.machines.keys()
    for name, seen in after.machines.items():
        known = before.machines[name]
        assert seen[:4] == known[:4] and seen[5:7] == known[5:7]
        assert known.age_s - 0.1 <= seen.age_s <= known.age_s
        assert seen.images == known.images[len(known.images) - len(seen.images) :]


def test_an_inventory_with_a_missing_part_changes_nothing() -> None:
    cache = StateCache()
    old = inventory_values_v1(inventory(1500), 8192)
    cache.apply(
        5, [(f"{INVENTORY_PREFIX}a" + (f"/{i}" if i else ""), v, 5) for i, v in enumerate(old)]
    )
    known = cache.inventories["a"]
    new = inventory_values_v1(inventory(1600)._replace(revision=2000000), 8192)
    cache.apply(6, [(f"{INVENTORY_PREFIX}a", new[0], 6)])
    assert cache.inventories["a"] is known
    cache.apply(7, [(f"{INVENTORY_PREFIX}a/{i}", v, 7) for i, v in enumerate(new) if i])
    assert len(cache.inventories["a"].machines) == 1600


@pytest.mark.parametrize("value_kb", [2.0, 8.0, 16.0])
@pytest.mark.parametrize("schema_version", [SCHEMA_V1, SCHEMA_V2])
def test_a_job_with_as_many_live_tasks_as_allowed_fits_the_store(
    value_kb: float, schema_version: int
) -> None:
    """Each task alone on some machine, on none twice, and every other one done."""
    _, planner, cache, _ = scene(value_kb)
    cache.schema_version = schema_version
    limits = planner.store_limits
    found = Job(spec(entries=100_000), 1e9)
    most = planner.most_live(found.spec)
    # As many as before on the smallest store, and more than before on larger ones.
    assert most >= (
        250 if schema_version == SCHEMA_V2 else {2.0: 40, 8.0: 170, 16.0: 350}[value_kb]
    )
    rng = Random(5)
    for number, machine in enumerate(rng.sample(range(1_000_000), most)):
        zone = rng.choice(["north", "south"])
        found.live[2 * number] = Attempt(f"vm-{machine:06d}", zone, 1, 1)
        found.done.add(2 * number + 1)
    values = (
        split_value(job_value(found), limits.value_bytes)
        if schema_version == SCHEMA_V2
        else [job_value(found)]
    )
    assert len(values) <= limits.max_parts
    assert all(len(msgspec.json.encode(value)) <= value_kb * 1024 for value in values)


def test_only_the_changed_tasks_of_a_job_are_noted_as_changed() -> None:
    cache = StateCache()
    found = accept(cache, entries=40)
    limits = LIMITS.__class__("red", 0.0, 1e6)
    for first in (0, 20):
        transaction = Transaction(cache)
        places = [Placement(t, f"vm-{t:06d}", "north", 1) for t in range(first, first + 20)]
        start(transaction, found.id, places, limits)
        cache.changed_machines.clear()
        cache.started_tasks.clear()
        commit(cache, transaction)
        assert cache.changed_machines.keys() == {f"vm-{t:06d}" for t in range(first, first + 20)}
        assert cache.started_tasks.keys() == {(found.id, t) for t in range(first, first + 20)}


def test_instance_changes_in_one_transaction_keep_each_other() -> None:
    """Two scale-outs answered together: the second must not erase the first."""
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


def test_a_split_record_is_read_once_all_its_parts_are_of_one_transaction() -> None:
    cache = StateCache()
    found = Job(spec(entries=2000), 5.0)
    for task in range(0, 2000, 2):
        found.done.add(task)
    head, *others = split_value(job_value(found), 600)
    key = JOB_PREFIX + found.id
    continuations = [f"s/x/j/{found.id}/{index}" for index in range(1, len(others) + 1)]
    assert len(others) > 1
    cache.apply_own_commit(4, [(key, head), *zip(continuations[:-1], others[:-1], strict=True)])
    assert not cache.jobs and cache.version(key) == 4
    cache.apply_own_commit(5, [(continuations[-1], others[-1])])
    assert not cache.jobs
    cache.apply(5, [])
    assert cache.unreadable == {key}
    cache.apply_own_commit(6, [(key, head), *zip(continuations, others, strict=True)])
    assert cache.jobs[found.id].done.flat() == found.done.flat()
    assert not cache.unreadable and cache.continuation_keys(key) == continuations


def test_parts_with_one_stamp_make_a_record_whichever_transactions_wrote_them() -> None:
    cache = StateCache()
    before = inventory(900)
    parts = split_value(inventory_values_v2(before, 1e9)[0], 2048)
    *ahead, head = stamp_parts(f"{INVENTORY_PREFIX}a", parts, 7)
    for revision, part in enumerate(ahead, start=1):
        cache.apply_own_commit(revision, [part])
    assert not cache.inventories
    cache.apply_own_commit(len(ahead) + 1, [head])
    assert cache.inventories["a"].machines.keys() == before.machines.keys()
    *half, _ = stamp_parts(f"{INVENTORY_PREFIX}a", parts, 8)
    cache.apply_own_commit(len(ahead) + 2, half)
    assert cache.inventories["a"].machines.keys() == before.machines.keys()
    assert not cache.unreadable
