"""Two jobs that fail on every machine, until their users cancel them; then an ordinary job."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import HOST, play  # noqa: E402, F401

ZONES = ("hill", "lake", "moor")
MISTAKEN = ("job-000091", "job-000092")


async def prepare(world):
    """Three machines are up at the start, one in each zone; the cloud has no others."""
    for kind in world.types:
        for zone in ZONES:
            for spot in (True, False):
                world.cloud.capacity[kind["label"], zone, spot] = 0
    oak = next(kind for kind in world.types if kind["label"] == "oak")
    for zone in ZONES:
        await world.cloud.rent(oak, zone, False, boot_s=0.5)


async def scene(world, trouble):
    world.fails = lambda task, worker: task.job in MISTAKEN
    # A replica of a service on each machine.
    services = [
        world.job(
            number,
            docket="search",
            form="service",
            rank="prod",
            district=zone,
            vcpus=4.0,
            ram_gb=12.0,
            loaners=False,
            expect_s=0.0,
            bureau=team,
        )
        for number, zone, team in zip((1, 2, 3), ZONES, ("north", "south", "east"), strict=True)
    ]
    for job in services:
        await world.submit(job)
    # 48 ordinary jobs of a class, all of which are done before the two with a mistake: 4 % of 50.
    ordinary = [world.job(10 + n, bureau=("north", "south", "east")[n % 3], expect_s=1.0) for n in range(48)]
    await asyncio.gather(*(world.submit(job) for job in ordinary))
    ready = await world.until(
        lambda: (
            all(world.running_on(job["id"]) for job in services)
            and all((job["id"], 0) in world.results for job in ordinary)
        ),
        25.0,
    )
    if not ready:
        raise RuntimeError("the deployment did not get ready")
    if trouble:
        mistaken = [world.job(int(name[4:]), entries=2, bureau="south") for name in MISTAKEN]
        for job in mistaken:
            await world.submit(job)
        await asyncio.sleep(8.0)
        for job in mistaken:
            await world.cancel(job["id"])
        await world.until(lambda: not any(world.running_on(name) for name in MISTAKEN), 5.0)
    world.record("the troubles are over")
    last = world.job(100, entries=4, bureau="east", expect_s=3.0)
    await world.submit(last)
    await world.check_waiting(last)
    await world.poll(last["id"], "rung-0")


play(Path(__file__).parent, scene, prepare)
