"""Jobs of a class that name many machine types come four times as often."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from world import cbor2, now, play  # noqa: E402

USUAL, FACTOR = 3, 4  # jobs that come together, and how many times as many in the burst
PERIOD_S, GROUPS = 5.0, 5  # such a group comes every 5 s, five times: the burst lasts 20 s
TYPES = 120
SILENT_S = 75.0
END_S = 113.0


def adjust(deployment, types):
    """The cloud offers many types; the first ones are those of the other cases."""
    ash = types[0]
    for number in range(TYPES):
        label = f"balanced-compute-third-generation-{number:03d}-eight-processors-thirty-two-gigabytes-memory"
        types.append(ash | {"label": label})


async def prepare(world):
    """One machine is up at the start; the cloud has no others at the moment, so that the jobs wait."""
    for kind in world.types:
        for zone in ("hill", "lake", "moor"):
            for spot in (True, False):
                world.cloud.capacity[kind["label"], zone, spot] = 0
    await world.cloud.rent(world.types[1], "hill", False, boot_s=0.5)


class User:
    """A user behind the load balancer, which prefers healthy nodes and picks one for each connection."""

    def __init__(self, world):
        self.world = world
        self.unhealthy = set()

    async def probe(self):
        """Probe each node once a second; two failures or time-outs in a row make it unhealthy."""
        failed = dict.fromkeys(self.world.nodes, 0)
        while True:
            await asyncio.sleep(1.0)
            for node, good in zip(
                failed, await asyncio.gather(*map(self.world.healthy, failed)), strict=True
            ):
                failed[node] = 0 if good else failed[node] + 1
                if failed[node] == 2:
                    self.unhealthy.add(node)
                    self.world.record("load balancer:", node, "is unhealthy")
                elif good:
                    self.unhealthy.discard(node)

    def node(self):
        healthy = [node for node in self.world.nodes if node not in self.unhealthy]
        return random.choice(healthy or self.world.nodes)

    async def submit(self, job):
        """Submit again after 1 s or more, for up to 60 s in total."""
        self.world.submitted.setdefault(job["id"], job)
        began = now()
        while now() - began < 60.0:
            answer = await self.world.ask(self.node(), "POST", "/work", job)
            if answer is not None and answer[0] in (200, 201, 400, 422):
                return answer
            await asyncio.sleep(1.0)
        return None


async def scene(world, trouble):
    users = User(world)
    world.background.append(asyncio.create_task(users.probe()))
    known = world.job(1, docket="search", form="service", rank="prod", loaners=False, expect_s=0.0)
    await users.submit(known)
    if not await world.until(lambda: world.running_on(known["id"]), 25.0):
        raise RuntimeError("the service does not run")

    labels = [kind["label"] for kind in world.types if kind["label"] != "oak"]
    size = USUAL * FACTOR if trouble else USUAL
    submissions = []
    for group in range(GROUPS):
        if group:
            await asyncio.sleep(PERIOD_S)
        for number in range(size):
            job = world.job(
                100 * (group + 1) + number,
                bureau=("north", "south", "east")[number % 3],
                breeds=labels,
                expect_s=3.0,
            )
            submissions.append(asyncio.create_task(users.submit(job)))
        world.record("note", size, "submissions of", len(cbor2.dumps(job)), "bytes each are sent")
    world.background += submissions
    world.record("the troubles are over: no more jobs come")

    # Questions about the job that was accepted long before, at all nodes.
    answered = began = now()
    while now() < END_S and (trouble or now() - began < 20.0):
        answers = await asyncio.gather(*(world.poll(known["id"], node) for node in world.nodes))
        if any(answer is not None and answer[0] == 200 for answer in answers):
            answered = now()
        if now() - answered > SILENT_S:
            world.breach("forgotten", known["id"], f"no question was answered for {now() - answered:.1f} s")
            break
        await asyncio.sleep(1.0)
    for node, process in world.processes.items():
        world.record("note", node, "has ended" if process.returncode is not None else "is still a process")


play(Path(__file__).parent, scene, prepare, adjust)
