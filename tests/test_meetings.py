"""Two troubles at once: each meeting is brought about, shown to have been, and breaks no rule.

`docs/meetings.md` tells of each what could go wrong and which guard stands there.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from days import warm
from world import Worker, World, job, now, run

Meeting = Callable[[World], Awaitable[None]]
LEASE, CANCEL_S = 12.0, 32.0
# Once all troubles are over, a job about which nothing is answered for so long is forgotten.
FORGOTTEN_S = 75.0


def leader(world: World) -> int:
    """The controller to which most machines with work report."""
    clerks = Counter(w.clerk for w, _ in world.present() if f"node-{w.clerk}" in world.nodes)
    return clerks.most_common(1)[0][0] if clerks else world.rng.randrange(world.count)


def up(world: World) -> list[Worker]:
    return [w for w in world.cloud.workers.values() if w.state == "running"]


async def restart(world: World, index: int, after_s: float) -> None:
    world.crash(index)
    await anyio.sleep(after_s)
    world.boot(index)


async def ends_far_apart(world: World) -> None:
    """Leaders end one after the other while tasks of a job end; proved ends are not committed yet."""
    for _ in range(3):
        await anyio.sleep(world.rng.uniform(4.0, 8.0))
        index = leader(world)
        world.store.refuses = {f"node-{index}"}
        await anyio.sleep(world.rng.uniform(0.3, 1.5))
        node = world.nodes.get(f"node-{index}")
        if node is not None:
            ends = sum(
                len(node.delivery.ends(d, node.mirror)) for d in node.delivery.machines.values()
            )
            world.met["end proved, not committed"] += ends
        world.store.refuses = set()
        await restart(world, index, world.rng.uniform(0.3, 4.0))


async def old_reports(world: World) -> None:
    """Copies of reports arrive up to well over a lease later, while machines change hands."""
    world.late_reports = 0.5
    for _ in range(4):
        await anyio.sleep(world.rng.uniform(3.0, 6.0))
        index = leader(world)
        what = world.rng.randrange(3)
        if what == 0:
            await restart(world, index, world.rng.uniform(0.1, 3.0))
        elif what == 1:
            for worker in world.rng.sample(up(world), len(up(world)) // 2):
                world.network.cut(worker.name, f"node-{index}", "hold")
            await anyio.sleep(world.rng.uniform(5.0, LEASE))
            world.network.heal()
        else:
            world.freeze(index)
            await anyio.sleep(world.rng.uniform(4.0, LEASE + 4.0))
            world.thaw(index)
    await anyio.sleep(10.0)
    world.late_reports = 0.0


async def slow_then_refusing(world: World) -> None:
    """The store answers slowly, refuses the leader, then everybody for longer than `cancel_s`."""
    world.store.slow_s = 0.4
    await anyio.sleep(6.0)
    world.store.refuses = {f"node-{leader(world)}"}
    await anyio.sleep(world.rng.uniform(0.5, 6.0))
    world.store.outage(True)
    world.store.refuses, world.store.slow_s = set(), 0.0
    told = [at for at in world.cancelled_at.values() if at < float("inf")]
    world.met["cancelled just before"] += sum(now() - at < 8.0 for at in told)
    await anyio.sleep(CANCEL_S + 6.0)
    world.store.outage(False)


async def deaf_machines(world: World) -> None:
    """A leader ends while machines with long tasks are deaf, or can't be reached at all."""
    for _ in range(2):
        await anyio.sleep(world.rng.uniform(4.0, 8.0))
        index = leader(world)
        for worker in world.rng.sample(up(world), len(up(world)) // 2):
            worker.deaf_until = now() + world.rng.uniform(5.0, 2 * LEASE)
        for worker in world.rng.sample(up(world), len(up(world)) // 4):
            for other in range(world.count):
                world.network.cut(worker.name, f"node-{other}", world.rng.choice(["hold", "drop"]))
        world.met["leader ended"] += 1
        await restart(world, index, world.rng.uniform(0.3, 4.0))
        await anyio.sleep(world.rng.uniform(4.0, 2 * LEASE))
        world.network.heal()


async def late_transactions(world: World) -> None:
    """Transactions get no answer and are carried out after newer ones, also of an ended process."""
    world.store.late_writes = 0.25
    for _ in range(3):
        await anyio.sleep(world.rng.uniform(4.0, 8.0))
        await restart(world, leader(world), world.rng.uniform(0.1, 2.0))
    await anyio.sleep(5.0)
    world.store.late_writes = 0.0


async def over_and_back(world: World) -> None:
    """Controllers hand over and back, all end, and one returns within a second."""
    for index in range(world.count):
        await restart(world, index, world.rng.uniform(0.2, 3.0))
        await anyio.sleep(world.rng.uniform(0.5, 4.0))
    for index in range(world.count):
        world.crash(index)
    world.met["all ended"] += not world.nodes
    first = world.rng.randrange(world.count)
    await anyio.sleep(world.rng.uniform(0.1, 0.9))
    world.boot(first)
    await anyio.sleep(world.rng.uniform(1.0, 6.0))
    for index in range(world.count):
        world.boot(index)
    await anyio.sleep(3.0)


async def alone(world: World) -> None:
    """A leader loses the store and the other controllers, not its workers and users."""
    index = leader(world)
    for other in ["state", *(f"node-{i}" for i in range(world.count) if i != index)]:
        world.network.cut(f"node-{index}", other, world.rng.choice(["hold", "drop"]))
    began, reports = now(), 0
    while now() - began < CANCEL_S + 8.0:
        reports += any(w.clerk == index for w, _ in world.present())
        await anyio.sleep(1.0)
        answer = await world.ask("GET", "/work/job-000000", node=index)
        world.met["it answered a user"] += answer.status == 200
    world.met["work reported to it"] += reports
    world.network.heal()


async def held_up(world: World) -> None:
    """Commands and answers are held up for seconds, machines hang within their lease and go on."""
    for _ in range(5):
        await anyio.sleep(world.rng.uniform(2.0, 5.0))
        index = leader(world)
        for worker in world.rng.sample(up(world), len(up(world)) // 2):
            worker.hung_until = now() + world.rng.uniform(1.0, LEASE - 1.0)
        for worker in world.rng.sample(up(world), len(up(world)) // 2):
            world.network.one_way[f"node-{index}", worker.name] = "hold"
        await anyio.sleep(world.rng.uniform(2.5, LEASE - 2.0))
        world.network.heal()


# Each with what shows that it was on.
MEETINGS: dict[Meeting, tuple[str, ...]] = {
    ends_far_apart: ("end proved, not committed",),
    old_reports: ("copy",),
    slow_then_refusing: ("cancelled just before",),
    deaf_machines: ("deaf", "leader ended"),
    late_transactions: ("late write refused",),
    over_and_back: ("all ended",),
    alone: ("work reported to it",),
    held_up: ("late command",),
}


def work(world: World, number: int) -> dict[str, Any]:
    """Jobs of two or three tasks that end far apart, long ones, gangs, some that save."""
    rng = world.rng
    small = {"vcpus": 1.0, "ram_gb": 2.0, "parcel": f"img-{number % 3}"}
    kind = rng.choice(
        [
            {"entries": rng.randint(2, 3), "expect_s": 3.0, "far_s": rng.uniform(5.0, 15.0)},
            {"entries": rng.randint(2, 3), "expect_s": 2.0, "far_s": 8.0, "rank": "urgent"},
            {"entries": 2, "expect_s": rng.uniform(20.0, 50.0), "bureau": "blue"},
            {"entries": 2, "form": "group", "expect_s": 10.0, "bookmark_s": 2.0, "stamp_s": 1.0},
            {"entries": 3, "form": "group", "expect_s": 8.0, "bureau": "blue"},
        ]
    )
    return job(number, **small | kind)


async def day(world: World, meetings: tuple[Meeting, ...], jobs: int) -> None:
    await warm(world)
    ids: list[str] = []
    over = False

    async def users() -> None:
        number = 0
        while number < jobs or not over:
            if number < jobs or world.rng.random() < 0.2:
                spec = work(world, number)
                ids.append(spec["id"])
                world.network.tasks.start_soon(world.submit, spec, 240)
                number += 1
            await anyio.sleep(world.rng.uniform(0.3, 1.2))
            known = [i for i in ids if i in world.accepted]
            if known and world.rng.random() < 0.3:
                world.network.tasks.start_soon(world.cancel, world.rng.choice(known[-6:]), 240)
            if known:
                world.network.tasks.start_soon(world.poll, world.rng.choice(known))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(users)
        await anyio.sleep(10.0)
        async with anyio.create_task_group() as troubles:
            for meeting in meetings:
                troubles.start_soon(meeting, world)
        over = True
    world.network.heal()
    ended = now()
    for index in range(world.count):
        world.boot(index)
    for job_id in ids:
        while job_id not in world.accepted or await world.poll(job_id) is None:
            assert now() - ended < FORGOTTEN_S, f"nothing is answered about {job_id}"
            await anyio.sleep(1.0)
    late = await world.until_done(ids, 240.0)
    assert not late, [(i, world.specs[i], await world.poll(i)) for i in late]


def play_meeting(seed: int, *meetings: Meeting, jobs: int = 14) -> list[str]:
    """Play a day with these meetings at once; what was not really on of them."""
    world = World(seed, cancel_s=CANCEL_S)
    run(world, lambda: day(world, meetings, jobs))
    assert world.broken == [], world.broken[:3]
    return [sign for meeting in meetings for sign in MEETINGS[meeting] if not world.met[sign]]


@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda m: m.__name__)
def test_a_meeting_breaks_no_rule(meeting: Meeting) -> None:
    assert not play_meeting(700 + list(MEETINGS).index(meeting), meeting)
