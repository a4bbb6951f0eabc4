"""What the tests in the stand-in world share: mixed jobs, pipelines, troubles."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from world import World, job

Trouble = Callable[[World], Awaitable[None]]


async def warm(world: World) -> None:
    """Wait until the controllers take requests."""
    for _ in range(60):
        answers = [await world.ask("GET", "/healthz", node=i) for i in range(world.count)]
        if all(a.status == 200 for a in answers):
            return
        await anyio.sleep(0.5)
    raise AssertionError("the controllers never became healthy")


def mixed(world: World, number: int) -> dict[str, object]:
    """A job of a random kind."""
    rng = world.rng
    fields = rng.choice(
        [
            {"entries": rng.randint(1, 6), "image_gb": 1.0},
            {"entries": rng.randint(1, 4), "rank": "urgent", "bureau": "blue", "loaners": False},
            {"entries": 3, "form": "group", "same_place": rng.random() < 0.5},
            {"entries": 2, "form": "group", "bookmark_s": 2.0, "stamp_s": 0.5, "expect_s": 8.0},
            {"entries": 3, "apart": True, "district": None},
            {"entries": 2, "breeds": ["large"], "gpus": 1.0, "district": "south"},
        ]
    )
    return job(number, parcel=f"img-{rng.randrange(3)}", **fields)


async def quiet(world: World) -> None:
    await anyio.sleep(1.0)


async def crashes(world: World) -> None:
    for _ in range(5):
        await anyio.sleep(world.rng.uniform(2.0, 8.0))
        for index in world.rng.sample(range(world.count), world.rng.randint(1, world.count)):
            world.crash(index)
            await anyio.sleep(world.rng.uniform(0.0, 1.0))
        await anyio.sleep(3.0)
        for index in range(world.count):
            if f"node-{index}" not in world.nodes:
                world.boot(index)


async def outage(world: World) -> None:
    await anyio.sleep(6.0)
    world.store.outage(True)
    await anyio.sleep(world.rng.choice([8.0, 40.0]))
    world.store.outage(False)
    await anyio.sleep(5.0)
    world.store.refuses = {"node-1"}
    await anyio.sleep(30.0)
    world.store.refuses = set()


async def cuts(world: World) -> None:
    hosts = ["state", "cloud", "node-0", "node-1", "node-2"]
    for _ in range(8):
        await anyio.sleep(world.rng.uniform(1.0, 4.0))
        machines = [w.name for w in world.cloud.workers.values() if w.gone_at is None]
        one = world.rng.choice(hosts[2:])
        for other in world.rng.sample(hosts + machines, 3):
            if other != one:
                world.network.cut(one, other, world.rng.choice(["drop", "hold"]))
        if world.rng.random() < 0.4:
            await anyio.sleep(world.rng.uniform(5.0, 30.0))
            world.network.heal()


async def machines(world: World) -> None:
    for _ in range(8):
        await anyio.sleep(world.rng.uniform(2.0, 6.0))
        up = [w for w in world.cloud.workers.values() if w.state == "running"]
        if not up:
            continue
        worker = world.rng.choice(up)
        what = world.rng.randrange(4)
        if what == 0:
            worker.vanish(True)
        elif what == 1:
            worker.hung_until = anyio.current_time() + world.rng.uniform(3.0, 25.0)
        elif what == 2:
            worker.sick = True
        else:
            worker.notice_until = anyio.current_time() + 5.0
            await anyio.sleep(5.0)
            worker.vanish(False)


async def everything(world: World) -> None:
    async with anyio.create_task_group() as tasks:
        for trouble in (crashes, cuts, machines):
            tasks.start_soon(trouble, world)


def pipeline(world: World, first: int, **last: Any) -> list[dict[str, Any]]:
    """Jobs that follow each other: one, two or three beside each other, one, and the last."""
    rng = world.rng
    small = {"vcpus": 1.0, "ram_gb": 2.0, "rank": "idle", "expect_s": 3.0}
    teams = ["red", "blue"]
    jobs = [job(first, entries=rng.randint(1, 3), bureau=rng.choice(teams), **small)]
    wide = rng.randint(2, 3)
    for number in range(wide):
        awaits = [jobs[0]["id"]]
        jobs.append(job(first + 1 + number, entries=rng.randint(1, 6), awaits=awaits, **small))
    join = [spec["id"] for spec in jobs[1:]]
    jobs.append(
        job(first + wide + 1, awaits=[*join, join[0]], bureau=rng.choice(teams), expect_s=4.0)
    )
    fields = {"rank": "urgent", "expect_s": 2.0, "due_s": 120.0} | last
    jobs.append(job(first + wide + 2, entries=2, awaits=[jobs[-1]["id"]], **fields))
    return jobs


async def submit_all(world: World, jobs: list[dict[str, Any]], tries: int = 120) -> None:
    """One after another, each as soon as those that it needs are accepted."""
    for spec in jobs:
        assert await world.submit(spec, tries) in (200, 201), spec
