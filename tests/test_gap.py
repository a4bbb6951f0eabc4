"""Cancellations in the gap: the store refuses the leader alone, then everybody for longer than they have.

Users are told by another controller that their jobs are cancelled, the workers go on reporting to
the old leader, and what runs of these jobs must be gone in time all the same.
"""

from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import pytest

from days import warm
from world import World, job, now, run

# The deployments' ratio of `cancel_s` to `lease_s`: their holds and leases together last longer.
CANCEL_S = 32.0
OUTAGE_S = CANCEL_S + 12.0
Meeting = Callable[[World, int, int], Awaitable[None]]


async def plain(world: World, leader: int, other: int) -> None:
    """Nothing besides: the others' words reach the leader."""


async def mesh_cut(world: World, leader: int, other: int) -> None:
    """The leader hears nobody."""
    for index in range(world.count):
        if index != leader:
            world.network.cut(f"node-{leader}", f"node-{index}", "drop")


async def one_way(world: World, leader: int, other: int) -> None:
    """The leader hears all but the controller that confirms."""
    world.network.one_way[f"node-{other}", f"node-{leader}"] = "drop"


async def frozen(world: World, leader: int, other: int) -> None:
    """The leader hears nobody and stands still across the beginning, and later once more."""
    await mesh_cut(world, leader, other)
    for seconds in (3.0, 6.0):
        world.freeze(leader)
        await anyio.sleep(seconds)
        world.thaw(leader)
        await anyio.sleep(world.rng.uniform(2.0, 12.0))


async def moved(world: World, leader: int, other: int) -> None:
    """Half of the machines lose the leader during the outage and go to others."""
    world.network.one_way[f"node-{other}", f"node-{leader}"] = "drop"
    await anyio.sleep(world.rng.uniform(2.0, 10.0))
    for worker in list(world.cloud.workers.values())[::2]:
        world.network.cut(f"node-{leader}", worker.name, world.rng.choice(["drop", "hold"]))


MEETINGS: list[Meeting] = [plain, mesh_cut, one_way, frozen, moved]
JOBS = [
    {"entries": 2},
    {"entries": 2, "bookmark_s": 3.0, "stamp_s": 2.0},
    {"entries": 2, "form": "group"},
    {"entries": 2, "form": "group", "bookmark_s": 3.0, "stamp_s": 2.0},
    {"entries": 2, "image_gb": 60.0, "parcel": "img-big"},  # still fetching
]


def reporting_controllers(world: World) -> Counter[int]:
    """How many machines with work report to each controller."""
    return Counter(w.reporting_controller for w, _ in world.present())


async def gap(
    world: World, meeting: Meeting, ends_after: bool = False, late_s: float = 0.0
) -> None:
    await warm(world)
    specs = [job(n, expect_s=400.0) | f for n, f in enumerate(JOBS)]
    for spec in specs[:-1]:
        assert await world.submit(spec) == 201
    with anyio.fail_after(90.0):
        while {t.name for _, t in world.present() if t.state == "running"} != {
            f"{spec['id']}/{task}" for spec in specs[:-1] for task in range(2)
        }:
            await anyio.sleep(0.5)
    assert await world.submit(specs[-1]) == 201
    # One more start that is committed and perhaps not delivered yet.
    specs.append(job(len(specs), expect_s=400.0, entries=1))
    await anyio.sleep(world.rng.uniform(0.0, 3.0))
    assert await world.submit(specs[-1]) == 201
    await anyio.sleep(world.rng.uniform(0.1, 0.6))
    leader = reporting_controllers(world).most_common(1)[0][0]
    other = world.rng.choice([i for i in range(world.count) if i != leader])
    world.store.refuses = {f"node-{leader}"}
    # What the confirming controller writes is carried out at once and answered late.
    world.store.late = {f"node-{other}": late_s}
    told: dict[str, float] = {}
    # Machines with work that reported to the refused leader when a user was told, or had asked.
    met = 0

    async def cancel(job_id: str) -> None:
        nonlocal met
        if late_s:
            # Beats name it before its user is told: heard by the leader, nothing of it runs by then.
            met = max(met, reporting_controllers(world)[leader])
        answer = await world.ask("POST", f"/work/{job_id}/cancel", node=other)
        if answer.status == 200:
            world.cancelled_at[job_id] = told[job_id] = now()
            met = max(met, reporting_controllers(world)[leader])

    for spec in specs:
        world.cancelled_at.setdefault(spec["id"], float("inf"))
    async with anyio.create_task_group() as meetings:
        meetings.start_soon(meeting, world, leader, other)
        async with anyio.create_task_group() as tasks:
            for spec in specs:
                tasks.start_soon(cancel, spec["id"])
        world.store.late = {}
        world.store.outage(True)
        world.store.refuses = set()
        began = now()
        if ends_after:
            world.crash(other)
        while now() < began + OUTAGE_S:
            await anyio.sleep(0.5)
    assert world.store.down and told, "no cancellation was confirmed before the outage"
    assert now() - min(told.values()) > CANCEL_S
    assert met, "no machine with work reported to the old leader"
    left = {t.name for _, t in world.present() if t.name.partition("/")[0] in told}
    assert not left, left
    world.store.outage(False)
    world.network.heal()
    if ends_after:
        world.boot(other)
    for spec in specs:
        assert await world.cancel(spec["id"]) == "cancelled"
    assert not await world.until_done([spec["id"] for spec in specs], 60.0)


def play_gap(
    seed: int, count: int, meeting: Meeting, ends_after: bool = False, late_s: float = 0.0
) -> None:
    world = World(seed, count, cancel_s=CANCEL_S)
    run(world, lambda: gap(world, meeting, ends_after, late_s))
    assert world.broken == []


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda m: m.__name__)
def test_what_was_cancelled_in_the_gap_is_gone_in_time(meeting: Meeting, count: int) -> None:
    number = MEETINGS.index(meeting)
    # The confirming controller ends right after its answer, or its transactions are answered late.
    play_gap(100 + number, count, meeting, (count + number) % 2 == 1, 0.8 * (number % 3 == 0))
