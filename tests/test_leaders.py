"""Leaders change while machines come, go, are cut off, or their old reports arrive once more.

Each test shows that the trouble was on while the leader changed; the rules are checked after every
step, and all ends well.  The meetings are told in `docs/meetings.md`.
"""

from typing import Any

import anyio
import pytest

from meeting import CANCEL_S, LEASE, day, leader, play, restart, running, until, up
from world import ZONES, World, job, now


def burst(world: World, number: int) -> dict[str, Any]:
    """Wide jobs, so that machines are rented all the while; some long, some gangs."""
    kind = world.rng.choice(
        [
            {"entries": 4, "expect_s": 4.0},
            {"entries": 4, "expect_s": 12.0, "bureau": "blue", "rank": "urgent"},
            {"entries": 2, "form": "group", "expect_s": 6.0},
            {"entries": 3, "expect_s": 8.0, "apart": True},
        ]
    )
    return job(number, vcpus=2.0, image_gb=0.2, parcel=f"img-{number % 3}", **kind)


def renter(world: World) -> int | None:
    held = world.store.items.get("s/renter")
    return None if held is None else int(held[0].rpartition("-")[2])


@pytest.mark.parametrize("lag", ["answered late", "carried out late", "answers lost"])
@pytest.mark.parametrize("who", ["renter", "leader"])
def test_a_leader_ends_as_machines_just_up_get_work(who: str, lag: str) -> None:
    """New machines are up within two seconds and get work at once, while writes lag."""
    lags = ["answered late", "carried out late", "answers lost"]
    world = World(1100 + 10 * (who == "renter") + lags.index(lag), cancel_s=CANCEL_S)
    world.cloud.quick, world.cloud.most = 1.0, 12

    def young() -> int:
        """Machines that came up a moment ago and have work."""
        return sum(bool(w.tasks) and now() - w.boots_at < 4.0 for w in up(world))

    async def meeting(world: World) -> None:
        if lag == "answered late":
            world.store.late = {f"node-{i}": 0.8 for i in range(world.count)}
        else:
            world.store.late_writes, world.store.at_once = 0.25, lag == "answers lost"
        for number in range(3):
            # By then all have been up for long, so that their silence says something.
            await anyio.sleep(2 * LEASE)
            # One of the others hears nobody: it learns of new machines from the store alone.
            first = leader(world)
            deaf = [i for i in range(world.count) if i != first][number % 2]
            for other in range(world.count):
                world.network.one_way[f"node-{other}", f"node-{deaf}"] = "drop"
            # What runs now is lost, so that machines are rented anew.
            for worker in up(world)[::2]:
                worker.vanish(True)
            with anyio.move_on_after(25.0):
                await until(lambda: young() > 0, 25.0)
            index = renter(world) if who == "renter" else leader(world)
            world.met["a leader ended as new machines had work"] += young()
            await anyio.sleep(world.rng.uniform(0.0, 2.0))
            await restart(world, leader(world) if index is None else index, 1.0)
            await anyio.sleep(3.0)
            world.network.one_way.clear()
        world.store.late, world.store.late_writes, world.store.at_once = {}, 0.0, False

    play(
        world,
        lambda: day(world, (meeting,), 100, burst, cancels=0.15, every_s=(0.6, 1.4)),
        "a leader ended as new machines had work",
    )


@pytest.mark.parametrize("when", ["as it begins", "after it has acted"])
@pytest.mark.parametrize("count", [3, 7])
def test_old_reports_reach_every_controller_as_a_new_leader_begins(when: str, count: int) -> None:
    """Copies of all kinds of reports, also of earlier sessions and attempts."""
    world = World(1120 + (when == "as it begins") + count, count, cancel_s=CANCEL_S)

    async def meeting(world: World) -> None:
        world.keep_copies = 0.5
        await anyio.sleep(6.0)
        # Some of the machines lose their lease: what they ran is in the copies.
        for worker in world.rng.sample(up(world), len(up(world)) // 2):
            worker.deaf_until = now() + LEASE + 2.0
        await anyio.sleep(LEASE + 6.0)
        for _ in range(3):
            world.keep_copies = 0.3
            await anyio.sleep(3.0)
            world.keep_copies = 0.0
            before = world.store.items["s/term"][0]
            world.crash(index := leader(world))
            await anyio.sleep(world.rng.uniform(0.2, 2.0))
            world.boot(index)
            await until(lambda b=before: world.store.items["s/term"][0] > b, 20.0, 0.001)
            if when == "after it has acted":
                newest = world.store.items["s/term"][0]
                with anyio.move_on_after(15.0):
                    await until(lambda t=newest: any(w.token >= t for w in up(world)), 15.0)
            ended = set(world.done)
            told = [r for _, _, r in world.copies if any(n.encode() in r.body for n in ended)]
            world.met["of a task that has ended"] += bool(told)
            world.release_copies()
            await anyio.sleep(4.0)

    play(
        world,
        lambda: day(world, (meeting,), 14),
        "old report at every controller",
        "of an earlier session",
        "of a task that has ended",
    )


@pytest.mark.parametrize("outage", [False, True], ids=["", "inside an outage"])
def test_ten_changes_of_leader_in_two_minutes(outage: bool) -> None:
    world = World(1140 + outage, cancel_s=CANCEL_S)

    async def meeting(world: World) -> None:
        began = now()
        for number in range(10):
            if outage and number == 3:
                world.store.outage(True)
            if outage and number == 7:
                world.store.outage(False)
            index = leader(world)
            world.met["changes in an outage"] += world.store.down
            await restart(world, index, world.rng.uniform(0.2, 4.0))
            world.met["changes of leader"] += 1
            await anyio.sleep(max(0.0, began + 12.0 * (number + 1) - now()))

    async def main() -> None:
        await day(world, (meeting,), 14)
        assert world.met["changes of leader"] == 10

    play(world, main, *(["changes in an outage"] if outage else []))


@pytest.mark.parametrize("count", [3, 7])
def test_all_controllers_are_away_for_longer_than_a_lease(count: int) -> None:
    world = World(1150 + count, count, cancel_s=CANCEL_S)

    async def meeting(world: World) -> None:
        for _ in range(2):
            await anyio.sleep(5.0)
            before = {w.name: w.session for w, _ in running(world)}
            for index in range(world.count):
                world.crash(index)
            await anyio.sleep(LEASE + world.rng.uniform(2.0, 8.0))
            lapsed = [w for w in up(world) if w.session > before.get(w.name, w.session)]
            world.met["leases ended while all were away"] += len(lapsed)
            world.met["nobody was there"] += not world.nodes
            for index in world.rng.sample(range(world.count), world.count):
                world.boot(index)
                await anyio.sleep(world.rng.uniform(0.0, 2.0))
            await anyio.sleep(10.0)

    signs = ("leases ended while all were away", "nobody was there")
    play(world, lambda: day(world, (meeting,), 14), *signs)


@pytest.mark.parametrize("seconds", [LEASE + 4.0, CANCEL_S + 8.0], ids=["lease", "cancel"])
@pytest.mark.parametrize("count", [3, 7])
def test_a_zone_with_workers_and_a_controller_is_cut_off(count: int, seconds: float) -> None:
    """Inside, all goes on; outside, jobs of the zone are called off and leaders are without it."""
    world = World(1160 + count + int(seconds), count, cancel_s=CANCEL_S)
    zone = ZONES[1]

    def inside(host: str) -> bool:
        if host.startswith("node-"):
            return host == "node-1"
        worker = world.cloud.workers.get(host)
        return worker is not None and worker.zone == zone

    async def meeting(world: World) -> None:
        await anyio.sleep(8.0)
        # Its machines report to the controller of the zone.
        for worker in up(world):
            if worker.zone == zone:
                worker.reporting_controller = 1
        await anyio.sleep(4.0)
        hosts = ["state", "cloud", "user", *(f"node-{i}" for i in range(count))]
        hosts += list(world.cloud.workers)
        for one in filter(inside, hosts):
            for other in hosts:
                if not inside(other):
                    world.network.cut(one, other, "hold" if other == "state" else "drop")
        began = now()
        await anyio.sleep(0.1)
        at_once = {name.partition("/")[0] for w, name in running(world) if inside(w.name)}
        for job_id in sorted(at_once)[:4]:
            world.network.tasks.start_soon(world.cancel, job_id, 240)
        while now() < began + seconds:
            there = [
                (w, name)
                for w, name in running(world)
                if inside(w.name) and w.reporting_controller == 1
            ]
            world.met["work in the zone"] += bool(there)
            told = {i for i, at in world.cancelled_at.items() if began < at < now()}
            there = [name for _, name in there if name.partition("/")[0] in told]
            world.met["called off and still there"] += len(there)
            if (
                there := [name.partition("/")[0] for w, name in running(world) if inside(w.name)]
            ) and world.rng.random() < 0.3:
                world.network.tasks.start_soon(world.cancel, world.rng.choice(there), 240)
            await anyio.sleep(0.5)
        world.network.heal()

    def long(world: World, number: int) -> dict[str, Any]:
        expect_s = world.rng.choice([4.0, 20.0, 60.0])
        district = world.rng.choice([zone, None])
        return job(number, vcpus=1.0, expect_s=expect_s, district=district, image_gb=0.2)

    play(
        world,
        lambda: day(world, (meeting,), 14, long, cancels=0.1),
        "work in the zone",
        "called off and still there",
    )
