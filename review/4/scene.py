"""A late answer of the state service brings an old record back into a controller's memory, which then hangs."""

import asyncio
import sys
from pathlib import Path
from zlib import crc32

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import world as w
from deployments import everywhere, rodopis

DEPLOYMENT, KINDS = rodopis()
SLOW_S = 0.5  # "occasionally a few hundred" milliseconds
WAIT_S = 90.0
OWNER = 0  # the controller to which the team `archivari` is assigned
PIPELINES_UNTIL_S, PIPELINES = 16.0, 8


async def scene(world):
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
    # Pipelines of two jobs: the second awaits the first.
    number, seconds = 0, []
    for _ in range(PIPELINES):
        if watch.restored or w.now() > world.begun_at + PIPELINES_UNTIL_S:
            break
        number = next(n for n in range(number + 1, 999) if crc32(f"job-{n:06d}".encode()) % 3 != OWNER)
        fields = {"bureau": "archivari", "breeds": ["kos"], "loaners": False, "expect_s": 1.0}
        first = w.job(number, docket="cteni", **fields)
        second = w.job(number + 400, docket="parovani", rank="urgent", awaits=[first["id"]], **fields)
        watch.job_id, watch.ended = first["id"], asyncio.Event()
        await world.submit(first, 1)
        await world.submit(second, 1)
        seconds.append(second["id"])
        try:
            await asyncio.wait_for(watch.ended.wait(), 6.0)
        except asyncio.TimeoutError:
            if not w.trouble():
                raise
            break  # it never started: the controller hangs already
        await asyncio.sleep(1.0)
    # Sound jobs of the same team, small enough for any machine; nobody else uses the machines.
    sound = [
        w.job(500 + n, bureau="archivari", docket="prepis", breeds=["kos"], loaners=False, expect_s=2.0)
        for n in range(4)
    ]
    for index, spec in enumerate(sound):
        if await world.submit(spec, 1 + index % 2) not in (200, 201):
            raise RuntimeError("a sound job was not accepted")
    end, left = w.now() + WAIT_S, {spec["id"] for spec in sound} | set(seconds)
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
    """Answers the transaction that records the end of the watched job late, by `SLOW_S`."""

    def __init__(self, world):
        self._world = world
        self.job_id, self.ended = "", asyncio.Event()
        self.changes = {}  # by controller and job, the transactions that would change it
        self.restored = ""  # a job that a controller changes after its record was deleted

    async def __call__(self, source, method, path, value):
        if path != "/commit":
            return
        for change in value["apply"]:
            key, record = change.get("put") or change.get("drop"), change.get("v")
            if key.startswith("s/j/"):
                self.changes[source, key] = self.changes.get((source, key), 0) + 1
                if f"s/f/{key[4:]}" in self._world.store.items and "put" in change:
                    self.restored = key[4:]
                    self._world.note(f"{source} would change {key[4:]}, whose record was deleted")
            if self.ended.is_set():
                continue
            if key == f"s/j/{self.job_id}" and isinstance(record, list):
                self._world.note(f"state service: carried out the end of {self.job_id} for {source}")
                self.ended.set()
                if w.trouble():
                    await asyncio.sleep(SLOW_S)
                    self._world.note(f"state service: answers {source}, {SLOW_S} s later")


w.main(scene, w.World(Path(__file__).parent, DEPLOYMENT, ["slezsko", "morava", "cechy"]))
