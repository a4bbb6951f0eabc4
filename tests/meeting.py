"""What the tests of meetings share: days on which two troubles meet, their jobs and how they end."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from days import warm
from world import Worker, World, job, now, run

Meeting = Callable[[World], Awaitable[None]]
LEASE, CANCEL_S = 12.0, 32.0
# Once all troubles are over, a job about which nothing is answered for so long is forgotten.
FORGOTTEN_S = 75.0
# A job may wait so long then while a machine that fits has room and its team may use more.
LEFT_S = 90.0


def leader(world: World) -> int:
    """The controller to which most machines with work report."""
    reporting_controllers = Counter(
        w.reporting_controller
        for w, _ in world.present()
        if f"node-{w.reporting_controller}" in world.nodes
    )
    return (
        reporting_controllers.most_common(1)[0][0]
        if reporting_controllers
        else world.rng.randrange(world.count)
    )


def up(world: World) -> list[Worker]:
    return [w for w in world.cloud.workers.values() if w.state == "running"]


async def restart(world: World, index: int, after_s: float) -> None:
    world.crash(index)
    await anyio.sleep(after_s)
    world.boot(index)


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


async def settle(world: World, ids: list[str], seconds: float = 240.0) -> None:
    """The troubles are over: all is answered for, everything uncancelled ends, nothing waits in vain."""
    world.network.heal()
    ended = now()
    for index in range(world.count):
        world.boot(index)
    for job_id in ids:
        while job_id not in world.accepted or await world.poll(job_id) is None:
            assert now() - ended < FORGOTTEN_S, f"nothing is answered about {job_id}"
            await anyio.sleep(1.0)
    since: dict[str, float] = {}
    left = list(ids)
    while left and now() < ended + seconds:
        left = await world.until_done(left, 5.0)
        since = {job_id: since.get(job_id, now()) for job_id in world.left_waiting()}
        late = [job_id for job_id, at in since.items() if now() - at > LEFT_S]
        assert not late, f"left waiting with room for them: {[world.specs[i] for i in late]}"
    assert not left, [(i, world.specs[i], await world.poll(i)) for i in left]
    for job_id in ids:
        if not world.cancelled_at.keys() & {job_id, *world.needed(job_id)}:
            assert world.answers.over[job_id] == "done", job_id


async def day(
    world: World,
    meetings: tuple[Meeting, ...],
    jobs: int,
    kinds: Callable[[World, int], dict[str, Any]] = work,
    cancels: float = 0.3,
    every_s: tuple[float, float] = (0.3, 1.2),
) -> None:
    """Users go on submitting, asking and cancelling while these troubles are on."""
    await warm(world)
    ids: list[str] = []
    over = False

    async def users() -> None:
        number = 0
        while number < jobs or not over:
            if number < jobs or world.rng.random() < 0.2:
                spec = kinds(world, number)
                ids.append(spec["id"])
                world.network.tasks.start_soon(world.submit, spec, 240)
                number += 1
            await anyio.sleep(world.rng.uniform(*every_s))
            known = [i for i in ids if i in world.accepted]
            if known and world.rng.random() < cancels:
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
    await settle(world, ids)


def play(world: World, main: Callable[[], Awaitable[None]], *signs: str) -> None:
    """Play a day of which these signs must show that the trouble was on; no rule may break."""
    run(world, main)
    assert world.broken == [], world.broken[:3]
    missing = [sign for sign in signs if not world.met[sign]]
    assert not missing, f"not brought about: {missing}, of {dict(world.met)}"


async def until(holds: Callable[[], bool], seconds: float, step_s: float = 0.01) -> None:
    """Wait until something holds; a test fails where it does not in time."""
    with anyio.fail_after(seconds):
        while not holds():
            await anyio.sleep(step_s)


def running(world: World, *ids: str) -> list[tuple[Worker, str]]:
    """The machines and names of tasks of these jobs (of all, without) that run."""
    return [
        (worker, task.name)
        for worker, task in world.present()
        if task.state == "running" and (not ids or task.spec["id"] in ids)
    ]


async def cancel_now(world: World, count: int, hang_s: float = 0.0, node: int | None = None) -> int:
    """Users call off that many jobs that run, within a fifth of a second; their machines hang."""
    found = running(world)
    jobs = list(dict.fromkeys(name.partition("/")[0] for _, name in found))
    jobs = [job_id for job_id in jobs if job_id not in world.cancelled_at]
    chosen = world.rng.sample(jobs, min(count, len(jobs)))
    if hang_s:
        of = {worker.name: worker for worker, name in found if name.partition("/")[0] in chosen}
        for worker in list(of.values())[:8]:
            worker.hung_until = now() + hang_s
            world.met["hung with cancelled work"] += 1

    async def one(job_id: str) -> None:
        await anyio.sleep(world.rng.uniform(0.0, 0.2))
        await world.cancel(job_id, 240, node)

    for job_id in chosen:
        world.network.tasks.start_soon(one, job_id)
    world.met["called off while it ran"] += len(chosen)
    return len(chosen)
