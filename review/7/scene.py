"""An array of small tasks fills a machine with more tasks than a report or a response can name."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import world as w
from deployments import everywhere, rodopis

DEPLOYMENT, KINDS = rodopis()
TASKS, SMALL_CPUS = 2000, 0.03  # 60 CPUs of the 64 of a machine of type `orel`
RUN_S = 20.0  # longer than `lease_s`
LIMIT_S = 90.0  # from the acceptance: boot 9 s, image 0.5 s, run 20 s


async def scene(world):
    largest = {"order": 0, "refused": 0, "largest report": 0}

    def on_orders(worker, orders, message):
        size = w.json_size(message)
        if size > largest["order"]:
            largest["order"] = size
            world.note(f"{worker.name} gets {len(orders)} orders in {size} bytes (as JSON)")

    def on_report(worker, report, status):
        size = w.json_size(report)
        if status == 413:
            largest["refused"] += 1
        if size > largest["largest report"] or status == 413:
            largest["largest report"] = max(size, largest["largest report"])
            entries = len(report["entries"])
            world.note(f"{worker.name} reports {entries} tasks in {size} bytes (as JSON): {status}")

    world.on_orders, world.on_report = on_orders, on_report
    await world.start(KINDS, everywhere(KINDS, DEPLOYMENT["zones"], 4))
    await world.until_healthy()
    # An ordinary job of another team, and then the array.
    ordinary = w.job(1, bureau="hledaci", breeds=["orel"], vcpus=2.0, ram_gb=8.0, expect_s=RUN_S)
    tasks, cpus = (TASKS, SMALL_CPUS) if w.trouble() else (60, 1.0)
    array = w.job(
        2,
        bureau="archivari",
        breeds=["orel"],
        entries=tasks,
        vcpus=cpus,
        ram_gb=100.0 / tasks,
        expect_s=RUN_S,
    )
    for spec in (ordinary, array):
        if await world.submit(spec) not in (200, 201):
            raise RuntimeError("a job was not accepted")
    end, done = w.now() + LIMIT_S, set()
    while w.now() < end and len(done) < 2:
        await asyncio.sleep(5.0)
        for spec in (ordinary, array):
            status, value = await world.poll(spec["id"])
            if status == 200 and value["standing"] == "done":
                done.add(spec["id"])
    world.note(f"{largest}; {world.expired_leases} leases expired; {len(world.results)} tasks completed")
    if largest["order"] > w.BODY_LIMIT:
        world.break_rule(f"a message to a worker has {largest['order']} bytes; the limit is {w.BODY_LIMIT}")
    for spec in (ordinary, array):
        if spec["id"] not in done and world.expired_leases:
            world.break_rule(
                f"{spec['id']} was accepted {LIMIT_S:g} s ago and has not run to its end: {largest['refused']} "
                f"reports of its machines were refused (413), and their leases expired"
            )


w.main(scene, w.World(Path(__file__).parent, DEPLOYMENT, ["slezsko", "morava", "cechy"]))
