"""A late answer of the state service brings a cancelled job back into a controller's memory, which then hangs."""

import asyncio
import sys
from pathlib import Path
from zlib import crc32

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import world as w
from deployments import everywhere, rodopis

DEPLOYMENT, KINDS = rodopis()
SLOW_S = 0.4  # "occasionally a few hundred" milliseconds
WAIT_S = 90.0
OWNER = 0  # the controller to which the team `archivari` is assigned
MISTAKES = 4


async def scene(world):
    world.fails = lambda spec: spec["docket"] == "mistake"
    # "at times machines are up within a second or two"
    await world.start(KINDS, everywhere(KINDS, DEPLOYMENT["zones"], 2), boot_factor=0.1)
    await world.until_healthy()
    # A service keeps one machine up, with room for all that follows.
    service = w.job(
        900, bureau="hledaci", docket="hledani", breeds=["kos"], form="service", rank="prod", loaners=False
    )
    await world.submit(service, 1)
    end = w.now() + 15.0
    while not world.running.get(f"{service['id']}/0"):
        if w.now() > end:
            raise RuntimeError("the service did not start")
        await asyncio.sleep(0.1)
    watch = world.store.answer_delay = SlowAnswer(world)
    # Jobs with a mistake: each fails on every machine, until its user cancels it.
    number = 0
    for _ in range(MISTAKES):
        number = next(n for n in range(number + 1, 999) if crc32(f"job-{n:06d}".encode()) % 3 != OWNER)
        spec = w.job(
            number,
            bureau="archivari",
            docket="mistake",
            rank="prod",
            breeds=["kos"],
            form="service",
            loaners=False,
        )
        watch.job_id, watch.failed = spec["id"], asyncio.Event()
        await world.submit(spec, 1)
        await asyncio.wait_for(watch.failed.wait(), 10.0)
        await asyncio.sleep(0.02)
        if await world.cancel(spec["id"], 1) != "cancelled":
            raise RuntimeError("the job was not cancelled")
        await asyncio.sleep(0.6)
    # Sound jobs of the same team, small enough for any machine; nobody else uses the machines.
    sound = [
        w.job(500 + n, bureau="archivari", docket="prepis", breeds=["kos"], loaners=False, expect_s=2.0)
        for n in range(4)
    ]
    for index, spec in enumerate(sound):
        if await world.submit(spec, 1 + index % 2) not in (200, 201):
            raise RuntimeError("a sound job was not accepted")
    end, left = w.now() + WAIT_S, {spec["id"] for spec in sound}
    looks = looks_with_room = 0
    while left and w.now() < end:
        await asyncio.sleep(1.0)
        looks += 1
        looks_with_room += any(has_room(worker) for worker in world.cloud.workers.values())
        for job_id in sorted(left) if looks % 3 == 0 else ():
            status, value = await world.poll(job_id, 1)
            if status == 200 and value["standing"] == "done":
                left.discard(job_id)
    world.note(f"a machine with room for a sound job: at {looks_with_room} of {looks} looks, one a second")
    world.note(f"transactions that change jobs, by controller: {watch.changes}")
    for job_id in sorted(left):
        if looks_with_room > 0.9 * looks and not any(
            entry.startswith(f"{job_id}/") for entry in world.running
        ):
            world.break_rule(
                f"left_waiting: {job_id} waited for {WAIT_S:g} s while a machine had room ({looks_with_room} s of {looks} s)"
            )


def has_room(worker):
    """Return whether a machine is up and has room for a sound job."""
    live = [task.spec for task in worker.tasks.values() if task.standing != "exited"]
    used = sum(spec["vcpus"] for spec in live), sum(spec["ram_gb"] for spec in live)
    up = worker.standing == "running" and not worker.gone
    return up and used[0] + 1.0 <= worker.kind["vcpus"] and used[1] + 1.0 <= worker.kind["ram_gb"]


class SlowAnswer:
    """Answers the transaction that records a failed start of the watched job late, by `SLOW_S`."""

    def __init__(self, world):
        self._world = world
        self.job_id, self.failed = "", asyncio.Event()
        self.changes = {}  # by job, the transactions that would change it

    async def __call__(self, source, method, path, value):
        if path != "/commit":
            return
        for change in value["apply"]:
            key, record = change.get("put") or change.get("drop"), change.get("v")
            if key.startswith("s/j/"):
                self.changes[source, key] = self.changes.get((source, key), 0) + 1
            if self.failed.is_set():
                continue
            if (
                key == f"s/j/{self.job_id}"
                and isinstance(record, dict)
                and record.get("e")
                and "l" not in record
            ):
                self._world.note(
                    f"state service: carried out the end of a start of {self.job_id} for {source}"
                )
                self.failed.set()
                if w.trouble():
                    await asyncio.sleep(SLOW_S)
                    self._world.note(f"state service: answers {source}, {SLOW_S} s later")


w.main(scene, w.World(Path(__file__).parent, DEPLOYMENT, ["tuul", "bogd", "tuul"]))
