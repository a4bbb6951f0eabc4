"""Records: written, read back, within the store's limits, and applied in order."""

from random import Random

import cbor2
import msgspec
import pytest

from helpers import LIMITS, accept, commit, scene, spec, summary
from sandladder.jobs.transitions import end, start, submit
from sandladder.model.jobs import Attempt, Ended, Job, Placement, Ranges
from sandladder.model.machines import Machine
from sandladder.model.schema import FORM, PLAIN
from sandladder.state.cache import Mirror
from sandladder.state.errors import Refused
from sandladder.state.instances import change_fleet
from sandladder.state.records import JOB, NODE, TEAM, fold, job_value, load_job, pack_summary
from sandladder.state.transaction import View


def test_ranges_are_a_set() -> None:
    rng = Random(1)
    for _ in range(50):
        ranges, plain = Ranges(), set()
        for _ in range(60):
            value = rng.randrange(40)
            assert ranges.add(value) == (value not in plain)
            plain.add(value)
            assert ranges.count == len(plain)
            assert [v for v in range(40) if v in ranges] == sorted(plain)
            assert list(ranges.gaps(45)) == [v for v in range(45) if v not in plain]
            assert Ranges(ranges.flat()).flat() == ranges.flat()


def test_records_survive_the_store_and_the_team_counts_what_lives() -> None:
    rng = Random(2)
    mirror = Mirror()
    for number in range(4):
        view = View(mirror)
        submit(view, spec(number, entries=8), 5.0)
        commit(mirror, view)
    for _ in range(300):
        view = View(mirror)
        live = [(j, t, a) for j in mirror.jobs.values() for t, a in j.live.items()]
        if live and rng.random() < 0.5:
            found, task, attempt = rng.choice(live)
            outcome = rng.choice(["done", "error", "lost"])
            assert end(view, [Ended(found.id, task, attempt, outcome)], 0.0)
            assert not end(view, [Ended(found.id, task, attempt, outcome)], 0.0)
        elif mirror.jobs:
            chosen = rng.choice(list(mirror.jobs.values()))
            tasks = [t for t in chosen.pending() if rng.random() < 0.3]
            try:
                start(view, chosen.id, [Placement(t, "vm-1", "north", 1) for t in tasks], LIMITS)
            except Refused:
                continue
        commit(mirror, view)
        for kept in mirror.jobs.values():
            again = load_job(cbor2.loads(cbor2.dumps(job_value(kept))))
            assert again.live == kept.live and again.done.flat() == kept.done.flat()
        held = sum(len(j.live) * j.spec.cpus for j in mirror.jobs.values())
        assert mirror.teams.get("red", (0.0, 0.0))[0] == pytest.approx(held)
        assert held <= LIMITS.cpus_max
    assert len(mirror.finals) + len(mirror.jobs) == 4 and mirror.finals


def test_older_news_never_undoes_a_commit_of_ours() -> None:
    mirror = Mirror()
    value = job_value(Job(spec(), 0.0))
    mirror.wrote(7, [(JOB + "job-000001", None), (TEAM + "red", [4.0, 0.0])])
    mirror.apply(6, [(JOB + "job-000001", value, 5), (TEAM + "red", [2.0, 0.0], 6)])
    assert not mirror.jobs and mirror.teams["red"].cpus == 4.0
    mirror.apply(9, [(TEAM + "red", [6.0, 0.0], 8)])
    assert mirror.teams["red"].cpus == 6.0 and mirror.version(TEAM + "red") == 8


@pytest.mark.parametrize("machines", [0, 1, 160, 500, 2000])
@pytest.mark.parametrize("part", ["vm-", "machine-of-another-kind-"])
def test_a_summary_of_any_size_fits_the_store_and_survives_it(machines: int, part: str) -> None:
    """Past the store's limit on values it was refused, and others placed by old ones."""
    limit = 8 * 1024
    before = summary(machines, part=part)
    values = cbor2.loads(cbor2.dumps(pack_summary(before, limit)))
    assert all(len(msgspec.json.encode(value)) <= limit for value in values)
    assert (len(values) == 1) == (machines <= 500 and (part == "vm-" or machines <= 160))
    mirror = Mirror()
    items = [(f"{NODE}a" + (f"/{i}" if i else ""), v, 5) for i, v in enumerate(values)]
    mirror.apply(5, items[::-1])
    after = mirror.nodes["a"]
    assert after[:3] == before[:3] and after.machines.keys() == before.machines.keys()
    for name, seen in after.machines.items():
        known = before.machines[name]
        assert seen[:4] == known[:4] and seen[5:7] == known[5:7]
        assert known.age_s - 0.1 <= seen.age_s <= known.age_s
        assert seen.images == known.images[len(known.images) - len(seen.images) :]


def test_a_summary_of_which_a_part_is_missing_changes_nothing() -> None:
    mirror = Mirror()
    old = pack_summary(summary(1500), 8192)
    mirror.apply(5, [(f"{NODE}a" + (f"/{i}" if i else ""), v, 5) for i, v in enumerate(old)])
    known = mirror.nodes["a"]
    new = pack_summary(summary(1600)._replace(revision=2000000), 8192)
    mirror.apply(6, [(f"{NODE}a", new[0], 6)])
    assert mirror.nodes["a"] is known
    mirror.apply(7, [(f"{NODE}a/{i}", v, 7) for i, v in enumerate(new) if i])
    assert len(mirror.nodes["a"].machines) == 1600


@pytest.mark.parametrize("value_kb", [2.0, 8.0, 16.0])
@pytest.mark.parametrize("form", [PLAIN, FORM])
def test_a_job_live_up_to_its_bound_fits_the_store(value_kb: float, form: int) -> None:
    """Each task alone on some machine, on none twice, and every other one done."""
    picture, planner, mirror, _ = scene(value_kb)
    mirror.form = form
    limits = planner.limits
    found = Job(spec(entries=100_000), 1e9)
    most = planner.most_live(found.spec)
    # As wide as any job of old on the smallest store, and wider than it was on larger ones.
    assert most >= (250 if form == FORM else {2.0: 40, 8.0: 170, 16.0: 350}[value_kb])
    rng = Random(5)
    for number, machine in enumerate(rng.sample(range(1_000_000), most)):
        zone = rng.choice(["north", "south"])
        found.live[2 * number] = Attempt(f"vm-{machine:06d}", zone, 1, 1)
        found.done.add(2 * number + 1)
    values = fold(job_value(found), limits.value_bytes) if form == FORM else [job_value(found)]
    assert len(values) <= limits.parts
    assert all(len(msgspec.json.encode(value)) <= value_kb * 1024 for value in values)


def test_only_what_changed_of_a_job_is_touched() -> None:
    mirror = Mirror()
    found = accept(mirror, entries=40)
    limits = LIMITS.__class__("red", 0.0, 1e6)
    for first in (0, 20):
        view = View(mirror)
        places = [Placement(t, f"vm-{t:06d}", "north", 1) for t in range(first, first + 20)]
        start(view, found.id, places, limits)
        mirror.touched.clear()
        mirror.begun.clear()
        commit(mirror, view)
        assert mirror.touched.keys() == {f"vm-{t:06d}" for t in range(first, first + 20)}
        assert mirror.begun.keys() == {(found.id, t) for t in range(first, first + 20)}


def test_changes_of_the_fleet_in_one_transaction_keep_each_other() -> None:
    """Two rentals answered together: the second must not wipe out the first."""
    mirror = Mirror()
    view = View(mirror)

    record = Machine("small", "north", False, "rented", 0.0)
    assert change_fleet(view, {"vm-000001": record}, 100)
    assert change_fleet(view, {"vm-000002": record, "vm-000204": record}, 100)
    assert not change_fleet(view, {"vm-000002": record, "vm-000009": None}, 100)
    commit(mirror, view)
    assert set(mirror.fleet) == {"vm-000001", "vm-000002", "vm-000204"}
    view = View(mirror)
    assert change_fleet(view, {"vm-000204": None}, 100)
    commit(mirror, view)
    assert set(mirror.fleet) == {"vm-000001", "vm-000002"}
