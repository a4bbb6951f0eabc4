"""Jobs that wait for others: the index, the premise, and days in the stand-in world."""

from random import Random

import anyio
import cbor2
import pytest

from days import Trouble, crashes, cuts, everything, machines, outage, pipeline, submit_all, warm
from helpers import LIMITS, accept, commit, scene, spec
from sandladder.jobs import SubmittedDependencies, archive_job, cancel, end, start, submit
from sandladder.model import (
    SCHEMA_V2,
    DependencyOutcome,
    EndedAttempt,
    FinishedJob,
    Job,
    Placement,
    SchedulingPriority,
    TeamAssignment,
)
from sandladder.protocol import wire
from sandladder.scheduling import Outcome
from sandladder.state import PreconditionFailedError, StateCache, Transaction, job_value, load_job
from world import World, job, now, run

ME = TeamAssignment("node-0", 1)


def world_of(cache: StateCache) -> None:
    """Records of the second form, with the teams placed here."""
    cache.schema_version = SCHEMA_V2
    cache.apply(1, [(f"s/t/{team}", {"p": "node-0", "n": 1}, 1) for team in ("red", "blue")])


def add(cache: StateCache, number: int, *awaits: str, **fields: object) -> Job:
    transaction = Transaction(cache)
    submit(transaction, spec(number, **fields), 10.0, SubmittedDependencies(awaits))
    commit(cache, transaction)
    return cache.jobs[f"job-{number:06d}"]


def complete(cache: StateCache, found: Job, at: float) -> None:
    """Start and end all tasks of a job."""
    transaction = Transaction(cache)
    places = [Placement(task, "vm-1", "north", 1) for task in found.pending()]
    start(transaction, found.id, places, LIMITS, ME)
    commit(cache, transaction)
    live = cache.jobs[found.id].live
    transaction = Transaction(cache)
    assert end(
        transaction, [EndedAttempt(found.id, task, a, "done") for task, a in live.items()], at
    )
    commit(cache, transaction)


def test_no_task_starts_before_all_awaited_jobs_are_committed_as_done() -> None:
    cache = StateCache()
    world_of(cache)
    one, two = add(cache, 1), add(cache, 2)
    last = add(cache, 3, one.id, two.id)
    dependency_index = cache.dependency_index
    place = [Placement(0, "vm-1", "north", 1)]
    for awaited, at in ((one, 20.0), (two, 35.0)):
        assert dependency_index.fate(cache.jobs[last.id]) is DependencyOutcome.WAITING
        with pytest.raises(PreconditionFailedError):
            start(Transaction(cache), last.id, place, LIMITS, ME)
        complete(cache, awaited, at)
    assert dependency_index.fate(cache.jobs[last.id]) is DependencyOutcome.READY
    transaction = Transaction(cache)
    assert archive_job(transaction, one.id) and transaction.size == 2
    commit(cache, transaction)
    assert cache.finished_jobs[one.id].filed and set(cache.unarchived) == {two.id}
    assert dependency_index.since(cache.jobs[last.id]) == 35.0
    transaction = Transaction(cache)
    start(transaction, last.id, place, LIMITS, ME)
    # The commit is bound to what says that they are done, wherever that stands.
    assert {f"s/f/{one.id}", f"s/j/{two.id}"} <= transaction.expected_versions.keys()
    commit(cache, transaction)
    started = load_job(cbor2.loads(cbor2.dumps(job_value(cache.jobs[last.id]))))
    assert (
        started.dependencies == () and started.ready == 35.0 and not dependency_index.unresolved()
    )


def test_what_is_not_known_of_an_awaited_job_fails_closed() -> None:
    """After a restart the awaited job is over and in no copy: it must be read first."""
    cluster_view, planner, cache, _ = scene()
    world_of(cache)
    last = add(cache, 3, "job-000001", entries=1)
    assert cache.dependency_index.fate(last) is DependencyOutcome.UNKNOWN
    assert cache.dependency_index.unresolved() == ["job-000001"]
    assert planner.plan([last], {}) == []
    cache.remember("job-000001", FinishedJob("done", 2, 21.0, 4))
    pending_start = planner.plan([cache.jobs[last.id]], {})[0]
    gate = cluster_view.gate
    assert gate.changed([("job", "job-000001")], cluster_view)[0].outcome is Outcome.KEEP
    cache.dependency_index._finished.clear()
    verdict = gate.changed([("job", "job-000001")], cluster_view)[0]
    assert verdict.outcome is Outcome.BLOCK and verdict.reason == "after"
    assert pending_start.key not in gate.pending


def test_the_index_follows_random_histories_of_random_graphs() -> None:
    """Against the definition: doomed if any needed job is cancelled, ready if all are done."""
    for seed in range(60):
        rng = Random(seed)
        cache = StateCache()
        world_of(cache)
        needs: dict[str, list[str]] = {}
        ids: list[str] = []

        def over(name: str, cache: StateCache = cache) -> str | None:
            job = cache.jobs.get(name)
            if job is not None:
                return "cancelled" if job.cancelled else None
            return cache.finished_jobs[name].state

        def doomed(name: str, needs: dict[str, list[str]] = needs, over=over) -> bool:
            return any(over(n) == "cancelled" or doomed(n) for n in needs[name])

        for step in range(40):
            live = list(cache.jobs.values())
            if rng.random() < 0.45 or not live:
                names = rng.sample(ids, min(len(ids), rng.choice([0, 1, 1, 2, 3])))
                new = f"job-{len(ids):06d}"
                transaction = Transaction(cache)
                waits = tuple(n for n in names if n in cache.jobs)
                needs[new] = names
                condemned = doomed(new)
                submit(
                    transaction,
                    spec(len(ids), entries=1),
                    float(step),
                    SubmittedDependencies(waits, condemned),
                )
                commit(cache, transaction)
                ids.append(new)
            else:
                found = rng.choice(live)
                if rng.random() < 0.2:
                    transaction = Transaction(cache)
                    cancel(transaction, found.id, float(step))
                    commit(cache, transaction)
                elif cache.dependency_index.ready(found):
                    complete(cache, found, float(step))
            for found in cache.jobs.values():
                fate = cache.dependency_index.fate(found)
                assert (fate is DependencyOutcome.DOOMED) == doomed(found.id), (seed, found.id)
                if fate is DependencyOutcome.READY:
                    assert all(over(n) == "done" for n in needs[found.id])
            # A copy that is made now knows the same, once it has read what is over.
            twin = StateCache()
            items = [(f"s/j/{j.id}", job_value(j), 1) for j in cache.jobs.values()]
            rng.shuffle(items)
            twin.reset(2, items)
            for name in twin.dependency_index.unresolved():
                twin.remember(name, cache.finished_jobs[name])
            for found in twin.jobs.values():
                mine = cache.dependency_index.fate(cache.jobs[found.id])
                assert (
                    twin.dependency_index.fate(found) is mine
                    and not twin.dependency_index.unresolved()
                )


def test_priority_and_time_left_come_from_those_that_need_it_and_go_with_them() -> None:
    cache = StateCache()
    world_of(cache)
    first = add(cache, 1, rank="idle")
    middle = add(cache, 2, first.id, rank="normal")
    outlook = cache.dependency_index.outlook
    assert outlook(first, lambda s: 5.0) == SchedulingPriority(1, float("inf"))
    last = add(cache, 3, middle.id, rank="urgent", due_s=60.0)
    assert outlook(first, lambda s: 5.0) == SchedulingPriority(2, 60.0)
    assert outlook(middle, lambda s: 5.0) == SchedulingPriority(2, 65.0)
    transaction = Transaction(cache)
    cancel(transaction, last.id, 12.0)
    commit(cache, transaction)
    assert outlook(first, lambda s: 5.0) == SchedulingPriority(1, float("inf"))


def test_names_form_no_circle_and_one_in_the_records_ends_nothing() -> None:
    """Whoever is named was accepted before, so no circle arises; a broken record might hold one."""
    cache = StateCache()
    world_of(cache)
    for one, other in ((1, 2), (2, 1)):
        value = job_value(Job(spec(one), 0.0, (f"job-{other:06d}",)))
        cache.apply(cache.revision + 1, [(f"s/j/job-{one:06d}", value, cache.revision + 1)])
    found = cache.jobs["job-000001"]
    assert cache.dependency_index.fate(found) is DependencyOutcome.WAITING
    assert cache.dependency_index.outlook(found, lambda s: 1.0).priority == 1
    assert cache.dependency_index.uncertain(found) == []


def test_waiting_jobs_are_no_backlog_and_nobody_rents_for_them() -> None:
    from sandladder.autoscaling import ScalingPolicy

    cluster_view, planner, cache, _ = scene()
    world_of(cache)
    first = accept(cache, number=1, entries=1)
    add(cache, 2, first.id, entries=40, rank="urgent")
    provisioner = ScalingPolicy(cluster_view)
    assert provisioner.rental_requests(1e6) == []
    assert {i.spec.id for i in planner.plan(list(cache.jobs.values()), {})} == {first.id}


def test_awaits_are_checked_as_they_come_in() -> None:
    assert wire.parse_job(cbor2.dumps(job(9, awaits=["job-000001"] * 2))).dependencies == (
        "job-000001",
    )
    assert wire.parse_job(cbor2.dumps(job(9, awaits=[]))).dependencies == ()
    for bad in ("job-000001", {"a": 1}, [7], ["nonsense"], [f"job-{n:06d}" for n in range(200)]):
        with pytest.raises(wire.MalformedMessageError):
            wire.parse_job(cbor2.dumps(job(9, awaits=bad)))


def test_submissions_that_name_others_get_the_answers_that_users_expect() -> None:
    world = World(71)

    async def main() -> None:
        await warm(world)
        service = job(900, form="service", entries=1, rank="prod", docket="web", loaners=False)
        await world.submit(service)
        await world.submit(job(1, entries=1))
        for awaits, status, text in (
            (["job-777777"], 422, b"job-777777 was never accepted"),
            (["job-000002"], 422, b"wait for itself"),
            ([service["id"]], 422, b"service"),
            (["job-000001", 5], 400, b"awaits"),
            ("job-000001", 400, b"awaits"),
        ):
            answer = await world.ask("POST", "/work", job(2, awaits=awaits))
            assert answer.status == status and text in answer.body, answer
        assert await world.submit(job(2, awaits=["job-000001"], bureau="blue")) == 201
        # A repeat gets the state of what was accepted, whatever it names.
        answer = await world.ask("POST", "/work", job(2, awaits=["job-777777"]))
        assert answer.status == 200
        assert not await world.until_done(["job-000002"], 60.0)
        # Jobs that are over may be named as well.
        assert await world.submit(job(3, awaits=["job-000001", "job-000002"])) == 201
        assert not await world.until_done(["job-000003"], 60.0)
        await world.submit(job(4, expect_s=300.0))
        assert await world.cancel("job-000004") == "cancelled"
        for number, awaits in ((5, ["job-000004", "job-000001"]), (6, ["job-000005"])):
            assert await world.submit(job(number, awaits=awaits)) == 201
        body = await world.poll("job-000006")
        assert body is not None and body["standing"] == "cancelled"
        # A cancellation that comes too late leaves those after it alone.
        assert await world.cancel("job-000001") == "done"
        assert not await world.until_done(["job-000003"], 5.0)

    run(world, main)
    assert world.broken == []


async def troubled(world: World, trouble: Trouble) -> None:
    """Pipelines arrive during a trouble, some are cancelled; all the others must complete."""
    await warm(world)
    lines = [pipeline(world, 100 * n) for n in range(1, 6)]
    cancelled = [line[world.rng.randrange(len(line) - 1)]["id"] for line in lines[:2]]

    async def user(line: list[dict[str, object]], delay: float) -> None:
        await anyio.sleep(delay)
        late = world.rng.random() < 0.3
        await submit_all(world, line[:-1] if late else line)
        for name in cancelled:
            if any(spec["id"] == name for spec in line):
                await anyio.sleep(world.rng.uniform(0.0, 12.0))
                await world.cancel(name)
        if late:
            await world.until_done([str(spec["id"]) for spec in line[:-1]], 400.0)
            await submit_all(world, line[-1:])

    async with anyio.create_task_group() as tasks:
        for number, line in enumerate(lines):
            tasks.start_soon(user, line, 5.0 * number)
        tasks.start_soon(trouble, world)
    world.network.heal()
    ids = [str(spec["id"]) for line in lines for spec in line]
    late = await world.until_done(ids, 300.0)
    assert not late, [(i, await world.poll(i)) for i in late]
    for name in ids:
        if world.needed(name) & {n for n in cancelled if world.answers.over.get(n) == "cancelled"}:
            assert world.answers.over[name] == "cancelled"
        elif name not in cancelled:
            assert world.answers.over[name] == "done", name


@pytest.mark.parametrize("trouble", [crashes, outage, cuts, machines, everything])
def test_pipelines_keep_the_rules_in_all_troubles(trouble: Trouble) -> None:
    play_pipelines(800 + len(trouble.__name__), trouble)


def play_pipelines(seed: int, trouble: Trouble) -> None:
    world = World(seed)
    run(world, lambda: troubled(world, trouble))
    assert world.broken == []
    assert world.store.too_large == 0


def test_the_doomed_are_cancelled_after_a_crash_of_all() -> None:
    """The user was told, and every controller ended before anything else was written."""
    world = World(81)

    async def main() -> None:
        await warm(world)
        line = pipeline(world, 100)
        line[0]["expect_s"] = 500.0
        await submit_all(world, line)
        await anyio.sleep(5.0)
        assert await world.cancel(line[0]["id"]) == "cancelled"
        for index in range(3):
            world.crash(index)
        told = now()
        await anyio.sleep(3.0)
        for index in range(3):
            world.boot(index)
        await warm(world)
        for told_of in line:
            body = await world.poll(told_of["id"])
            assert body is None or body["standing"] == "cancelled"
        while any(node.cache.jobs for node in world.nodes.values()):
            await anyio.sleep(0.5)
            assert now() - told < 30.0

    run(world, main)
    assert world.broken == []


def test_the_next_stage_starts_within_moments_of_the_last_end() -> None:
    world = World(82)

    async def main() -> None:
        await warm(world)
        for number, team in ((1, "red"), (2, "blue")):
            await world.submit(job(number, entries=4, bureau=team))
        await anyio.sleep(20.0)
        await world.submit(job(3, entries=2, bureau="red", expect_s=4.0))
        await world.submit(job(4, entries=2, bureau="blue", awaits=["job-000003"]))
        while not world.is_done("job-000003"):
            await anyio.sleep(0.05)
        ended = now()
        while not any(name.startswith("job-000004") for name in world.starts):
            await anyio.sleep(0.05)
        # A report, two commits, a hint, a command, and half a second for the image.
        assert now() - ended < 2.0

    run(world, main)
    assert world.broken == []
