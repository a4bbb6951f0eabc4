"""Two troubles at once: each meeting is brought about, shown to have been, and breaks no rule.

`docs/meetings.md` tells of each what could go wrong and which guard stands there.
"""

import anyio
import pytest

from meeting import CANCEL_S, LEASE, Meeting, cancel_now, day, leader, restart, up
from world import ZONES, World, now, run


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
                len(node.reconciler.ends(d, node.cache)) for d in node.reconciler.machines.values()
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
        reports += any(w.reporting_controller == index for w, _ in world.present())
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


async def answers_lost(world: World) -> None:
    """Transactions are carried out at once and only their answers are lost, while leaders end."""
    world.store.late_writes, world.store.at_once = 0.25, True
    for _ in range(3):
        await anyio.sleep(world.rng.uniform(3.0, 6.0))
        await restart(world, leader(world), world.rng.uniform(0.1, 2.0))
    world.store.late_writes, world.store.at_once = 0.0, False


async def mute_machines(world: World) -> None:
    """Half of the machines reach no controller while what runs there is called off."""
    for _ in range(2):
        await anyio.sleep(world.rng.uniform(3.0, 6.0))
        for worker in world.rng.sample(up(world), len(up(world)) // 2):
            worker.mute_until = now() + world.rng.uniform(5.0, 2 * LEASE)
        await cancel_now(world, 2)
        await restart(world, leader(world), world.rng.uniform(0.3, 4.0))
        await anyio.sleep(world.rng.uniform(4.0, LEASE))


async def kept_reports(world: World) -> None:
    """Old reports reach every controller just as a new leader begins."""
    for _ in range(3):
        world.keep_copies = 0.4
        await anyio.sleep(world.rng.uniform(3.0, 6.0))
        world.keep_copies = 0.0
        await restart(world, leader(world), world.rng.uniform(0.1, 1.0))
        await anyio.sleep(world.rng.uniform(0.3, 1.0))
        world.release_copies()
        await anyio.sleep(world.rng.uniform(1.0, 4.0))


async def called_off_hanging(world: World) -> None:
    """Jobs are called off, their machines hang, some within their lease, and the leader ends."""
    for _ in range(3):
        await anyio.sleep(world.rng.uniform(3.0, 6.0))
        await cancel_now(world, 3, world.rng.uniform(4.0, LEASE + 4.0))
        await anyio.sleep(world.rng.uniform(0.0, 0.5))
        await restart(world, leader(world), world.rng.uniform(0.3, 3.0))


async def looked_at(world: World) -> None:
    """Users look closely at what is accepted, ends or is cancelled."""
    world.close_looks = 0.7
    await anyio.sleep(25.0)
    world.close_looks = 0.0


async def called_off_at_end(world: World) -> None:
    """Jobs are called off as their last task ends."""
    world.cancel_at_end = 0.4
    await anyio.sleep(25.0)
    world.cancel_at_end = 0.0


async def machines_at_once(world: World) -> None:
    """Machines go, and those that take their place are up at once and get work."""
    world.cloud.quick = 1.0
    for _ in range(3):
        for worker in up(world)[::2]:
            worker.vanish(world.rng.random() < 0.5)
        await anyio.sleep(world.rng.uniform(4.0, 8.0))
        young = [w for w in up(world) if w.tasks and now() - w.boots_at < 8.0]
        world.met["work on machines just up"] += len(young)
        await restart(world, leader(world), world.rng.uniform(0.3, 2.0))
    world.cloud.quick = 0.0


async def zone_alone(world: World) -> None:
    """A zone with workers and a controller is cut off from everything else."""
    await anyio.sleep(4.0)
    # It is a meeting only where work runs inside: there is none before that.
    with anyio.move_on_after(10 * LEASE):
        while not any(worker.zone == ZONES[1] for worker, _ in world.present()):
            await anyio.sleep(0.1)
    hosts = ["state", "cloud", "user", *(f"node-{i}" for i in range(world.count))]
    inside = [w.name for w in up(world) if w.zone == ZONES[1]] + ["node-1"]
    for one in inside:
        for other in [*hosts, *(w.name for w in up(world))]:
            if other not in inside:
                world.network.cut(one, other, world.rng.choice(["hold", "drop"]))
    there = [w for w, _ in world.present() if w.name in inside]
    world.met["work in a cut zone"] += len(there)
    await anyio.sleep(LEASE + world.rng.uniform(2.0, 8.0))
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
    answers_lost: ("read by others while its writer did not know",),
    mute_machines: ("mute",),
    kept_reports: ("old report at every controller",),
    called_off_hanging: ("hung with cancelled work",),
    looked_at: ("looked at when accepted", "looked at when done"),
    called_off_at_end: ("cancelled at its end",),
    machines_at_once: ("work on machines just up",),
    zone_alone: ("work in a cut zone",),
}


def play_meeting(seed: int, *meetings: Meeting, jobs: int = 14) -> list[str]:
    """Play a day with these meetings at once; what was not really on of them."""
    world = World(seed, cancel_s=CANCEL_S)
    run(world, lambda: day(world, meetings, jobs))
    assert world.broken == [], world.broken[:3]
    return [sign for meeting in meetings for sign in MEETINGS[meeting] if not world.met[sign]]


@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda m: m.__name__)
def test_a_meeting_breaks_no_rule(meeting: Meeting) -> None:
    assert not play_meeting(700 + list(MEETINGS).index(meeting), meeting)
