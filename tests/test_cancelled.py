"""Cancellations that meet a trouble: what runs of the job is gone in time, and nothing starts of it.

The rule checks are the stand-in's; each test shows that the cancellation was told while the trouble
was on.  The meetings are told in `docs/meetings.md`; `test_gap.py` has the gap.
"""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from days import warm
from meeting import (
    CANCEL_S,
    LEASE,
    cancel_now,
    leader,
    play,
    restart,
    running,
    settle,
    until,
    up,
)
from sandladder.model import SUSPECT
from sandladder.state import ROSTER
from world import REPORT_S, Worker, World, job, now

LONG_S = 500.0


async def fill(world: World, jobs: int, **fields: object) -> list[str]:
    """Jobs with long tasks, all running; some of both teams, some gangs, some that save."""
    kinds: list[dict[str, object]] = [
        {"entries": 2},
        {"entries": 1, "bureau": "blue"},
        {"entries": 2, "form": "group"},
        {"entries": 2, "bookmark_s": 3.0, "stamp_s": 2.0},
    ]
    specs = [
        job(number, **{"vcpus": 1.0, "expect_s": LONG_S, **kinds[number % len(kinds)], **fields})
        for number in range(jobs)
    ]
    for spec in specs:
        assert await world.submit(spec) == 201
    tasks = sum(spec["entries"] for spec in specs)
    await until(lambda: len(running(world)) == tasks, 120.0, 0.2)
    return [spec["id"] for spec in specs]


async def end_all(world: World, ids: list[str]) -> None:
    """The troubles are over: what is left is called off, and all is answered for."""
    world.network.heal()
    world.store.outage(False)
    world.store.refuses = set()
    for index in range(world.count):
        world.boot(index)
    with anyio.fail_after(75.0):
        for job_id in ids:
            while await world.poll(job_id) is None:
                await anyio.sleep(0.5)
    for job_id in ids:
        assert await world.cancel(job_id, 60) == "cancelled"
    await settle(world, ids)
    # A machine that cannot be commanded directly just then learns of it with its next report, long
    # before the page's `cancel_s`.
    await until(lambda: not running(world), 2 * REPORT_S)


def accepts_token(world: World, worker: Worker) -> bool:
    """Whether the controller that a machine reports to may command it."""
    node = world.nodes.get(f"node-{worker.reporting_controller}")
    agent = node.reconciler.machines.get(worker.name) if node is not None else None
    return agent is not None and agent.accepts_token and agent.synced


def reports_to(world: World, index: int) -> int:
    """Machines that run cancelled work and report to this controller."""
    told = {job_id for job_id, at in world.cancelled_at.items() if at < now()}
    return len(
        {
            w.name
            for w, t in world.present()
            if w.reporting_controller == index and t.spec["id"] in told
        }
    )


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("words", ["the others are heard", "nobody is heard"])
def test_called_off_at_the_moment_the_leader_is_refused_before_an_outage(
    words: str, count: int
) -> None:
    """The store refuses the leader alone; a second later it is out for longer than `cancel_s`."""
    alone = words == "nobody is heard"
    world = World(1000 + count + 2 * alone, count, cancel_s=CANCEL_S)

    async def main() -> None:
        await warm(world)
        ids = await fill(world, 10)
        index = leader(world)
        world.store.refuses = {f"node-{index}"}
        for other in range(count) if alone else ():
            if other != index:
                world.network.cut(f"node-{index}", f"node-{other}", "drop")
        # Also of what reports to the leader, and through the others: so it is told at once.
        theirs = [n.partition("/")[0] for w, n in running(world) if w.reporting_controller == index]
        for job_id in dict.fromkeys(theirs):
            other = world.rng.choice([i for i in range(count) if i != index])
            world.network.tasks.start_soon(world.cancel, job_id, 240, other)
        await cancel_now(world, 6)
        await anyio.sleep(1.0)
        world.met["told before the outage"] += len(world.answers.over)
        world.met["its machines report to the leader"] += reports_to(world, index)
        world.store.outage(True)
        world.store.refuses = set()
        await anyio.sleep(CANCEL_S + LEASE)
        assert world.store.down
        told = {j for j, at in world.cancelled_at.items() if now() - at > CANCEL_S}
        world.met["told for longer than it may take"] += len(told)
        assert told and not running(world, *told)
        await end_all(world, ids)

    play(
        world,
        main,
        "told before the outage",
        "told for longer than it may take",
        "called off while it ran",
    )


# How a controller's work goes over to others.


async def crash(world: World, index: int) -> None:
    await restart(world, index, 8.0)


async def roll(world: World, index: int) -> None:
    for number in range(world.count):
        await restart(world, (index + number) % world.count, 1.5)
        await anyio.sleep(4.0)


async def leave(world: World, index: int) -> None:
    """It ends in order, as it does when it is told to."""
    node = world.nodes[f"node-{index}"]
    done = anyio.Event()

    async def go() -> None:
        with anyio.CancelScope():
            await node.membership.leave(node.report_s)
        done.set()

    node.on_processor(lambda: node.tasks.start_soon(go))
    await done.wait()
    await restart(world, index, 6.0)


async def moved(world: World, index: int) -> None:
    """It stands still until the others have taken over, and goes on."""
    world.freeze(index)
    await anyio.sleep(2 * LEASE + 6.0)
    world.thaw(index)


HANDOVERS: list[Callable[[World, int], Awaitable[None]]] = [crash, roll, leave, moved]


def team_moves(world: World) -> list[tuple[float, str]]:
    """When which team's record came to name another process."""
    moves: list[tuple[float, str]] = []
    assignment: dict[str, object] = {}
    for at, key, value in world.store.history:
        if key.startswith("s/t/") and isinstance(value, dict):
            if key in assignment and assignment[key] != value:
                moves.append((at, key[4:]))
            assignment[key] = value
    return moves


def suspected(world: World, index: int) -> bool:
    """Whether the agreed roster says that this controller is under suspicion."""
    roster = world.store.items.get(ROSTER, ({}, 0, None))[0]
    member = roster.get(f"node-{index}")
    return member is not None and SUSPECT in member


async def called_off(world: World, job_id: str, index: int) -> None:
    """A user calls off a job at any controller but one."""
    others = [other for other in range(world.count) if other != index]
    await world.cancel(job_id, 240, world.rng.choice(others))


def cancellations(world: World) -> list[tuple[float, str]]:
    """When the cancellation of which job was committed."""
    found: dict[str, float] = {}
    for at, key, value in world.store.history:
        called_off = isinstance(value, dict) and value.get("c")
        called_off = called_off or isinstance(value, list) and value and value[0] == "cancelled"
        if key.startswith("s/j/") and called_off:
            found.setdefault(key[4:], at)
    return [(at, job_id) for job_id, at in found.items()]


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("handover", HANDOVERS, ids=lambda h: h.__name__)
def test_called_off_in_the_seconds_in_which_work_changes_hands(
    handover: Callable[[World, int], Awaitable[None]], count: int
) -> None:
    """Before, at and after the commits by which teams go over; starts wait and are under way too."""
    world = World(1010 + HANDOVERS.index(handover), count, cancel_s=CANCEL_S)

    async def main() -> None:
        await warm(world)
        ids = await fill(world, 18, entries=1)
        world.close_looks = 0.3
        # More of each team comes all the while, and waits or is being started as it is called off.
        more = [
            job(100 + n, vcpus=1.0, entries=2, expect_s=LONG_S, bureau=("red", "blue")[n % 2])
            for n in range(12)
        ]
        assignments = [
            value["p"] for key, (value, _, _) in world.store.items.items() if key.startswith("s/t/")
        ]
        busiest = max(sorted(set(assignments)), key=assignments.count)
        index = int(busiest.rpartition("-")[2])
        over = False
        began = len(team_moves(world))

        left = list(ids)
        # Called off when the move is seen coming, so that these are committed just before it.
        first = [left.pop() for _ in range(3)]

        async def trouble() -> None:
            nonlocal over
            if handover is leave:
                # It hands over as soon as it is told to; so they are called off before that.
                for job_id in first:
                    await called_off(world, job_id, index)
            await handover(world, index)
            over = True

        async def forewarned() -> None:
            await until(lambda: suspected(world, index), 2 * LEASE)
            for job_id in first:
                world.network.tasks.start_soon(called_off, world, job_id, index)

        async def users() -> None:
            for number in range(120):
                if number % 4 == 0 and number // 4 < len(more):
                    world.network.tasks.start_soon(world.submit, more[number // 4], 240)
                moved_at = [at for at, _ in team_moves(world)[began:]]
                near = moved_at and now() - moved_at[-1] < 2.0
                if number % 4 == 0 or near:
                    fresh = [s["id"] for s in more if s["id"] in world.accepted]
                    fresh = [job_id for job_id in fresh if job_id not in world.cancelled_at]
                    pool = fresh if number % 8 and fresh else left
                    if pool:
                        chosen = pool[world.rng.randrange(len(pool))]
                        if chosen in left:
                            left.remove(chosen)
                        world.network.tasks.start_soon(world.cancel, chosen, 240)
                await anyio.sleep(0.25)
                if over and number > 60:
                    break

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(trouble)
            tasks.start_soon(users)
            if handover is not leave:
                tasks.start_soon(forewarned)
        moves = [at for at, team in team_moves(world)[began:]]
        for at, _ in cancellations(world):
            world.met["within two seconds before a move"] += any(0 <= m - at < 2.0 for m in moves)
            world.met["within two seconds after a move"] += any(0 < at - m < 2.0 for m in moves)
        submitted = [s["id"] for s in more if s["id"] in world.specs]
        await end_all(world, ids + submitted)

    play(
        world,
        main,
        "within two seconds before a move",
        "within two seconds after a move",
    )


async def at_limits(world: World, teams: list[str], waiting: bool) -> list[str]:
    """Jobs with long tasks until these teams are at their limits, and more that waits."""
    specs = []
    for team, most in (("red", 48), ("blue", 32)):
        size = most // 4 if team in teams else 2
        for number in range(size):
            # Gangs of two save; single ones do not.
            kind: dict[str, object] = {"entries": 2}
            if number % 3 == 1:
                kind |= {"form": "group", "bookmark_s": 2.0, "stamp_s": 1.0}
            specs.append(
                job(len(specs), bureau=team, vcpus=2.0, ram_gb=2.0, expect_s=LONG_S, **kind)
            )
    for spec in specs:
        assert await world.submit(spec) == 201
    tasks = sum(spec["entries"] for spec in specs)
    await until(lambda: len(running(world)) == tasks, 150.0, 0.2)
    for team in teams if waiting else []:
        # So much that the last of the limit is contended for as others take over.
        for _ in range(10):
            specs.append(
                job(len(specs), bureau=team, vcpus=2.0, ram_gb=2.0, entries=1, expect_s=3.0)
            )
            assert await world.submit(specs[-1]) == 201
    return [spec["id"] for spec in specs]


def team_tasks(world: World, team: str) -> set[str]:
    """The tasks of a team that run."""
    return {name for _, name in running(world) if world.specs[name[:10]]["bureau"] == team}


def at_limit(world: World) -> set[str]:
    used = {"red": 0.0, "blue": 0.0}
    for _, task in world.present():
        used[task.spec["bureau"]] += task.spec["vcpus"]
    return {team for team, most in (("red", 48.0), ("blue", 32.0)) if used[team] == most}


@pytest.mark.parametrize("teams", [["red", "blue"], ["blue"]], ids=["every team", "one team"])
@pytest.mark.parametrize("way", ["cut off", "hang", "hang and go on"])
def test_teams_at_their_limit_as_jobs_on_lost_machines_are_called_off(
    way: str, teams: list[str]
) -> None:
    """The leader changes meanwhile.  Nothing is free before its end is proved, nothing waits then."""
    seed = 1030 + 10 * len(teams) + ["cut off", "hang", "hang and go on"].index(way)
    world = World(seed, cancel_s=CANCEL_S)
    world.cloud.most = 12

    async def main() -> None:
        await warm(world)
        ids = await at_limits(world, teams, waiting=True)
        assert at_limit(world) >= set(teams)
        world.met["at the limit"] += 1
        by_team = {
            team: sorted({w.name for w, n in running(world) if n in team_tasks(world, team)})
            for team in teams
        }
        machines = sorted({worker.name for worker, _ in running(world)})
        lost = set(world.rng.sample(machines, max(1, len(machines) // 3)))
        lost |= {world.rng.choice(names) for names in by_team.values()}
        on_lost = {n.partition("/")[0] for w, n in running(world) if w.name in lost}
        index = leader(world)
        for name in sorted(lost):
            if way == "cut off":
                for node in range(world.count):
                    world.network.cut(name, f"node-{node}", world.rng.choice(["drop", "hold"]))
            else:
                # One that hangs for much longer than a third of its lease is returned meanwhile.
                soon = world.rng.uniform(2.5, 5.0)
                seconds = soon if way == "hang and go on" else 2 * LEASE
                world.cloud.workers[name].hung_until = now() + seconds
        # Some of each of these teams, so that there is room once their ends are proved.
        chosen = [
            job_id
            for team in teams
            for job_id in sorted(i for i in on_lost if world.specs[i]["bureau"] == team)[:3]
        ]
        for job_id in chosen:
            world.network.tasks.start_soon(world.cancel, job_id, 240)
        await anyio.sleep(world.rng.uniform(0.2, 1.0))
        told = [job_id for job_id in chosen if world.answers.over.get(job_id) == "cancelled"]
        there = {w.name for w, _ in running(world, *told)} & lost if told else set()
        world.met["called off on a machine that can't be asked"] += len(there)
        await restart(world, index, 2.0)
        world.met["the leader changed"] += 1
        await anyio.sleep(LEASE)
        went_on = [w for w in up(world) if w.name in lost and w.session == 1]
        world.met["went on within its lease"] += len(went_on)
        await anyio.sleep(2 * LEASE)
        world.network.heal()
        # What waited for the room begins before the rest is called off.
        short = [i for i in ids if world.specs[i]["expect_s"] < LONG_S]
        assert not await world.until_done(short, 90.0), "room is free and work waits"
        await end_all(world, [i for i in ids if i not in short])

    signs = ["at the limit", "called off on a machine that can't be asked", "the leader changed"]
    if way == "hang and go on":
        signs.append("went on within its lease")
    play(world, main, *signs)


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("mode", ["drop", "hold"])
def test_called_off_through_the_others_while_a_leader_is_alone_with_its_workers(
    mode: str, count: int
) -> None:
    """It has lost the store and the other controllers, not its workers and users."""
    world = World(1060 + (mode == "hold") + count, count, cancel_s=CANCEL_S)

    async def main() -> None:
        await warm(world)
        ids = await fill(world, 10)
        index = leader(world)
        for other in ["state", *(f"node-{i}" for i in range(count) if i != index)]:
            world.network.cut(f"node-{index}", other, mode)
        await anyio.sleep(world.rng.uniform(0.1, 0.4))
        other = world.rng.choice([i for i in range(count) if i != index])
        theirs = [n.partition("/")[0] for w, n in running(world) if w.reporting_controller == index]
        world.met["reported to it"] += len(theirs)
        for job_id in dict.fromkeys(theirs):
            world.network.tasks.start_soon(world.cancel, job_id, 240, other)
        await cancel_now(world, 6, node=other)
        began = now()
        while now() - began < CANCEL_S + LEASE:
            world.met["cancelled work reported to it"] += reports_to(world, index)
            # Whatever it still answers must not be older than what the others have said.
            await world.poll(world.rng.choice(ids), index)
            await world.cancel(ids[0], 1, index)
            await anyio.sleep(0.5)
        await end_all(world, ids)

    play(world, main, "reported to it", "cancelled work reported to it", "called off while it ran")


@pytest.mark.parametrize("trouble", ["none", "the leader changes", "outage", "a restart after"])
def test_called_off_while_machines_reach_no_controller(trouble: str) -> None:
    """Mute machines: direct commands reach them, their reports come as answers to these alone."""
    troubles = ["none", "the leader changes", "outage", "a restart after"]
    world = World(1080 + troubles.index(trouble), cancel_s=CANCEL_S)

    async def main() -> None:
        await warm(world)
        ids = await fill(world, 10)
        # One that has just gone over to a controller and not heard its term yet obeys nobody.
        await until(lambda: all(accepts_token(world, w) for w, _ in running(world)), 60.0, 0.05)
        mute = {w.name: w for w, _ in running(world)}
        for worker in mute.values():
            worker.mute_until = now() + CANCEL_S + LEASE
        await anyio.sleep(world.rng.uniform(0.5, 3.0))
        index = leader(world)
        if trouble == "the leader changes":
            await restart(world, index, 1.0)
        await cancel_now(world, 6)
        await anyio.sleep(0.5)
        told = [i for i in ids if world.answers.over.get(i) == "cancelled"]
        world.met["told while they were mute"] += len(told)
        if trouble == "outage":
            world.store.outage(True)
        elif trouble == "a restart after":
            await restart(world, index, 3.0)
        await anyio.sleep(CANCEL_S + LEASE)
        world.store.outage(False)
        await end_all(world, ids)

    play(world, main, "mute", "told while they were mute", "told while mute")
