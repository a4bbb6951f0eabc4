"""A dependent of a cancelled job is `cancelled`, then `pending` again, at a controller that came back."""

import asyncio
import sys
from pathlib import Path
from zlib import crc32

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import world as w
from deployments import rodopis

DEPLOYMENT, KINDS = rodopis()
SLOW_S = 0.3  # "occasionally a few hundred" milliseconds
LATEST_RETURN_S = 4.0  # "back about 4 s after an end"
CRASHED = 1  # the controller to which the dependent's team is assigned


ROUNDS = 6


async def scene(world):
    await world.start(KINDS, {})  # the cloud has no machines: the jobs stay pending
    await world.until_healthy()
    for number in range(ROUNDS):
        await play_round(world, number)
        if world.broken:
            return
        await asyncio.sleep(3.0)
        await world.until_healthy()


async def play_round(world, number):
    # The outcome of a job is archived by the controller that a hash of its id names: not the crashed one.
    first_number = next(
        n for n in range(100 * number, 1_000_000) if crc32(f"job-{n:06d}".encode()) % 3 != CRASHED
    )
    first, second = f"job-{first_number:06d}", f"job-{900_000 + number:06d}"
    await world.submit(w.job(first_number, bureau="archivari"), 0)
    await world.submit(w.job(900_000 + number, bureau="dobrovolnici", awaits=[first]), 0)
    await asyncio.sleep(3.0)
    if w.trouble():
        world.kill(CRASHED)
        world.store.answer_delay = slow_reads(world)
    killed_at = w.now()
    if await world.cancel(first, 0) != "cancelled":
        raise RuntimeError("the first job was not cancelled")
    told = False
    while not told:  # the user is told that the dependent is cancelled
        status, value = await world.poll(second, 0)
        told = status == 200 and value["standing"] == "cancelled"
        if w.now() > killed_at + 3.0:
            raise RuntimeError("the user was not told that the second job is cancelled")
    if w.trouble():
        while f"s/f/{first}" not in world.store.items and w.now() < killed_at + LATEST_RETURN_S:
            await asyncio.sleep(0.02)
        world.note(f"{w.now() - killed_at:.2f} s after its end:")
        world.boot(CRASHED)
    # From now on the user asks at all nodes, again and again.
    end, count = w.now() + 3.0, 0
    while w.now() < end:
        world.spawn(look(world, second, CRASHED))
        if count % 10 == 0:
            world.spawn(look(world, second, 2))
        count += 1
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.5)
    world.store.answer_delay = None


def slow_reads(world):
    async def delay(source, method, path, value):
        if method == "GET" and path.startswith("/store/"):
            world.note(f"store: the answer to {source}, GET {path}, takes {SLOW_S} s")
            await asyncio.sleep(SLOW_S)

    return delay


async def look(world, job_id, node):
    sent_at = w.now() - world.begun_at
    status, value = await world.poll(job_id, node, quiet=True)
    if status in (0, 503):
        return
    world.note(f"user: asked {world.nodes[node]} about {job_id} at {sent_at:.3f}: {status} {value}")
    if status != 200 or value["standing"] != "cancelled":
        world.break_rule(
            f"went_back: the user was told that {job_id} is cancelled, then {world.nodes[node]} says "
            f"{status} {value}"
        )


w.main(scene, w.World(Path(__file__).parent, DEPLOYMENT, ["slezsko", "morava", "cechy"]))
