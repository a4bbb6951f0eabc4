"""Cancellations during a fault: tasks of the job are gone in time, and none is started.

The simulation checks these rules; each test shows that the cancellation was answered during the
fault.  `docs/meetings.md` describes the combinations; `test_cancel_during_outage.py` has one more.
"""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from sandladder.model import SUSPECT
from sandladder.state import ROSTER
from simulation import LEASE_S, REPORT_S, SimulatedCluster, Worker, job, now
from simulation.fault_scenarios import (
    CANCEL_S,
    cancel_running_jobs,
    check_recovery,
    leader,
    run_and_expect,
    running_tasks,
    wait_until,
)
from simulation.faults import restart, running_machines
from simulation.workloads import wait_until_healthy

LONG_S = 500.0


async def fill(cluster: SimulatedCluster, jobs: int, **fields: object) -> list[str]:
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
        assert await cluster.submit(spec) == 201
    tasks = sum(spec["entries"] for spec in specs)
    await wait_until(lambda: len(running_tasks(cluster)) == tasks, 120.0, 0.2)
    return [spec["id"] for spec in specs]


async def end_all(cluster: SimulatedCluster, ids: list[str]) -> None:
    """The faults are over: cancel what is left, and check that everything recovers."""
    cluster.network.heal()
    cluster.store.outage(False)
    cluster.store.refuses = set()
    for index in range(cluster.count):
        cluster.boot(index)
    with anyio.fail_after(75.0):
        for job_id in ids:
            while await cluster.poll(job_id) is None:
                await anyio.sleep(0.5)
    for job_id in ids:
        assert await cluster.cancel(job_id, 60) == "cancelled"
    await check_recovery(cluster, ids)
    # A machine that cannot be commanded directly just then learns of it with its next heartbeat, long
    # before the page's `cancel_s`.
    await wait_until(lambda: not running_tasks(cluster), 2 * REPORT_S)


def accepts_token(cluster: SimulatedCluster, worker: Worker) -> bool:
    """Whether a worker accepts the fencing token of the controller that it reports to."""
    node = cluster.nodes.get(f"node-{worker.reporting_controller}")
    agent = node.reconciler.machines.get(worker.name) if node is not None else None
    return agent is not None and agent.accepts_token and agent.synced


def reports_to(cluster: SimulatedCluster, index: int) -> int:
    """Machines that run cancelled work and report to this controller."""
    cancelled = {job_id for job_id, at in cluster.cancelled_at.items() if at < now()}
    return len(
        {
            w.name
            for w, t in cluster.present()
            if w.reporting_controller == index and t.spec["id"] in cancelled
        }
    )


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("partitioned", [False, True], ids=["connected", "partitioned"])
def test_cancelled_as_the_store_refuses_the_leader_just_before_an_outage(
    partitioned: bool, count: int
) -> None:
    """The store refuses the leader alone; a second later it is out for longer than `cancel_s`."""
    cluster = SimulatedCluster(1000 + count + 2 * partitioned, count, cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await fill(cluster, 10)
        index = leader(cluster)
        cluster.store.refuses = {f"node-{index}"}
        for other in range(count) if partitioned else ():
            if other != index:
                cluster.network.cut(f"node-{index}", f"node-{other}", "drop")
        # Jobs on workers that report to the leader too, through others: so they are answered at once.
        theirs = [
            n.partition("/")[0]
            for w, n in running_tasks(cluster)
            if w.reporting_controller == index
        ]
        for job_id in dict.fromkeys(theirs):
            other = cluster.rng.choice([i for i in range(count) if i != index])
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240, other)
        await cancel_running_jobs(cluster, 6)
        await anyio.sleep(1.0)
        cluster.met["answered before the outage"] += len(cluster.answers.over)
        cluster.met["its machines report to the leader"] += reports_to(cluster, index)
        cluster.store.outage(True)
        cluster.store.refuses = set()
        await anyio.sleep(CANCEL_S + LEASE_S)
        assert cluster.store.down
        overdue = {j for j, at in cluster.cancelled_at.items() if now() - at > CANCEL_S}
        cluster.met["answered longer ago than it may take"] += len(overdue)
        assert overdue and not running_tasks(cluster, *overdue)
        await end_all(cluster, ids)

    run_and_expect(
        cluster,
        main,
        "answered before the outage",
        "answered longer ago than it may take",
        "cancelled while it ran",
    )


# How a controller's teams are reassigned.


async def controller_crashes(cluster: SimulatedCluster, index: int) -> None:
    await restart(cluster, index, 8.0)


async def controllers_restart_in_turn(cluster: SimulatedCluster, index: int) -> None:
    for number in range(cluster.count):
        await restart(cluster, (index + number) % cluster.count, 1.5)
        await anyio.sleep(4.0)


async def controller_leaves(cluster: SimulatedCluster, index: int) -> None:
    """It shuts down in order, as on a signal."""
    node = cluster.nodes[f"node-{index}"]
    done = anyio.Event()

    async def shut_down() -> None:
        with anyio.CancelScope():
            await node.membership.leave(node.report_s)
        done.set()

    node.on_processor(lambda: node.tasks.start_soon(shut_down))
    await done.wait()
    await restart(cluster, index, 6.0)


async def controller_freezes(cluster: SimulatedCluster, index: int) -> None:
    """It is frozen until the others have taken over, and goes on."""
    cluster.freeze(index)
    await anyio.sleep(2 * LEASE_S + 6.0)
    cluster.thaw(index)


HANDOVERS: list[Callable[[SimulatedCluster, int], Awaitable[None]]] = [
    controller_crashes,
    controllers_restart_in_turn,
    controller_leaves,
    controller_freezes,
]


def team_moves(cluster: SimulatedCluster) -> list[tuple[float, str]]:
    """When which team's record came to name another process."""
    moves: list[tuple[float, str]] = []
    assignment: dict[str, object] = {}
    for at, key, value in cluster.store.history:
        if key.startswith("s/t/") and isinstance(value, dict):
            if key in assignment and assignment[key] != value:
                moves.append((at, key[4:]))
            assignment[key] = value
    return moves


def suspected(cluster: SimulatedCluster, index: int) -> bool:
    """Whether the agreed roster says that this controller is under suspicion."""
    roster = cluster.store.items.get(ROSTER, ({}, 0, None))[0]
    member = roster.get(f"node-{index}")
    return member is not None and SUSPECT in member


async def cancel_elsewhere(cluster: SimulatedCluster, job_id: str, index: int) -> None:
    """A user cancels a job at any controller but one."""
    others = [other for other in range(cluster.count) if other != index]
    await cluster.cancel(job_id, 240, cluster.rng.choice(others))


def cancellations(cluster: SimulatedCluster) -> list[tuple[float, str]]:
    """When the cancellation of which job was committed."""
    found: dict[str, float] = {}
    for at, key, value in cluster.store.history:
        cancelled = isinstance(value, dict) and value.get("c")
        cancelled = cancelled or isinstance(value, list) and value and value[0] == "cancelled"
        if key.startswith("s/j/") and cancelled:
            found.setdefault(key[4:], at)
    return [(at, job_id) for job_id, at in found.items()]


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("handover", HANDOVERS, ids=lambda h: h.__name__)
def test_cancelled_while_teams_are_reassigned(
    handover: Callable[[SimulatedCluster, int], Awaitable[None]], count: int
) -> None:
    """Before, at and after the commits that reassign teams; starts wait and are in flight too."""
    cluster = SimulatedCluster(1010 + HANDOVERS.index(handover), count, cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await fill(cluster, 18, entries=1)
        cluster.close_looks = 0.3
        # More jobs of each team arrive meanwhile, and wait or are being started as they are cancelled.
        more = [
            job(100 + n, vcpus=1.0, entries=2, expect_s=LONG_S, bureau=("red", "blue")[n % 2])
            for n in range(12)
        ]
        assignments = [
            value["p"]
            for key, (value, _, _) in cluster.store.items.items()
            if key.startswith("s/t/")
        ]
        busiest = max(sorted(set(assignments)), key=assignments.count)
        index = int(busiest.rpartition("-")[2])
        over = False
        began = len(team_moves(cluster))

        left = list(ids)
        # Cancelled as soon as the reassignment can be foreseen, so that these are committed before it.
        first = [left.pop() for _ in range(3)]

        async def reassign() -> None:
            nonlocal over
            if handover is controller_leaves:
                # It hands over as soon as it shuts down; so they are cancelled before that.
                for job_id in first:
                    await cancel_elsewhere(cluster, job_id, index)
            await handover(cluster, index)
            over = True

        async def cancel_on_suspicion() -> None:
            await wait_until(lambda: suspected(cluster, index), 2 * LEASE_S)
            for job_id in first:
                cluster.network.tasks.start_soon(cancel_elsewhere, cluster, job_id, index)

        async def users() -> None:
            for number in range(120):
                if number % 4 == 0 and number // 4 < len(more):
                    cluster.network.tasks.start_soon(cluster.submit, more[number // 4], 240)
                moved_at = [at for at, _ in team_moves(cluster)[began:]]
                near = moved_at and now() - moved_at[-1] < 2.0
                if number % 4 == 0 or near:
                    fresh = [s["id"] for s in more if s["id"] in cluster.accepted]
                    fresh = [job_id for job_id in fresh if job_id not in cluster.cancelled_at]
                    pool = fresh if number % 8 and fresh else left
                    if pool:
                        chosen = pool[cluster.rng.randrange(len(pool))]
                        if chosen in left:
                            left.remove(chosen)
                        cluster.network.tasks.start_soon(cluster.cancel, chosen, 240)
                await anyio.sleep(0.25)
                if over and number > 60:
                    break

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reassign)
            tasks.start_soon(users)
            if handover is not controller_leaves:
                tasks.start_soon(cancel_on_suspicion)
        moves = [at for at, team in team_moves(cluster)[began:]]
        for at, _ in cancellations(cluster):
            cluster.met["within two seconds before a reassignment"] += any(
                0 <= m - at < 2.0 for m in moves
            )
            cluster.met["within two seconds after a reassignment"] += any(
                0 < at - m < 2.0 for m in moves
            )
        submitted = [s["id"] for s in more if s["id"] in cluster.specs]
        await end_all(cluster, ids + submitted)

    run_and_expect(
        cluster,
        main,
        "within two seconds before a reassignment",
        "within two seconds after a reassignment",
    )


async def at_limits(cluster: SimulatedCluster, teams: list[str], waiting: bool) -> list[str]:
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
        assert await cluster.submit(spec) == 201
    tasks = sum(spec["entries"] for spec in specs)
    await wait_until(lambda: len(running_tasks(cluster)) == tasks, 150.0, 0.2)
    for team in teams if waiting else []:
        # So much that the last of the limit is contended for as others take over.
        for _ in range(10):
            specs.append(
                job(len(specs), bureau=team, vcpus=2.0, ram_gb=2.0, entries=1, expect_s=3.0)
            )
            assert await cluster.submit(specs[-1]) == 201
    return [spec["id"] for spec in specs]


def team_tasks(cluster: SimulatedCluster, team: str) -> set[str]:
    """The tasks of a team that run."""
    return {
        name for _, name in running_tasks(cluster) if cluster.specs[name[:10]]["bureau"] == team
    }


def at_limit(cluster: SimulatedCluster) -> set[str]:
    used = {"red": 0.0, "blue": 0.0}
    for _, task in cluster.present():
        used[task.spec["bureau"]] += task.spec["vcpus"]
    return {team for team, most in (("red", 48.0), ("blue", 32.0)) if used[team] == most}


@pytest.mark.parametrize("teams", [["red", "blue"], ["blue"]], ids=["every team", "one team"])
@pytest.mark.parametrize("way", ["cut off", "hang", "hang and go on"])
def test_capacity_of_cancelled_jobs_on_lost_machines_is_free_once_their_end_is_proved(
    way: str, teams: list[str]
) -> None:
    """Teams are at their limit and the leader changes.  Nothing is free earlier, nothing waits then."""
    seed = 1030 + 10 * len(teams) + ["cut off", "hang", "hang and go on"].index(way)
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    cluster.cloud.most = 12

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await at_limits(cluster, teams, waiting=True)
        assert at_limit(cluster) >= set(teams)
        cluster.met["at the limit"] += 1
        by_team = {
            team: sorted(
                {w.name for w, n in running_tasks(cluster) if n in team_tasks(cluster, team)}
            )
            for team in teams
        }
        machines = sorted({worker.name for worker, _ in running_tasks(cluster)})
        lost = set(cluster.rng.sample(machines, max(1, len(machines) // 3)))
        lost |= {cluster.rng.choice(names) for names in by_team.values()}
        on_lost = {n.partition("/")[0] for w, n in running_tasks(cluster) if w.name in lost}
        index = leader(cluster)
        for name in sorted(lost):
            if way == "cut off":
                for node in range(cluster.count):
                    cluster.network.cut(name, f"node-{node}", cluster.rng.choice(["drop", "hold"]))
            else:
                # One that hangs for much longer than a third of its lease is returned meanwhile.
                soon = cluster.rng.uniform(2.5, 5.0)
                seconds = soon if way == "hang and go on" else 2 * LEASE_S
                cluster.cloud.workers[name].hung_until = now() + seconds
        # Some of each of these teams, so that there is capacity once their ends are proved.
        chosen = [
            job_id
            for team in teams
            for job_id in sorted(i for i in on_lost if cluster.specs[i]["bureau"] == team)[:3]
        ]
        for job_id in chosen:
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240)
        await anyio.sleep(cluster.rng.uniform(0.2, 1.0))
        answered = [i for i in chosen if cluster.answers.over.get(i) == "cancelled"]
        there = {w.name for w, _ in running_tasks(cluster, *answered)} & lost if answered else set()
        cluster.met["cancelled on an unreachable machine"] += len(there)
        await restart(cluster, index, 2.0)
        cluster.met["the leader changed"] += 1
        await anyio.sleep(LEASE_S)
        went_on = [w for w in running_machines(cluster) if w.name in lost and w.epoch == 1]
        cluster.met["went on within its lease"] += len(went_on)
        await anyio.sleep(2 * LEASE_S)
        cluster.network.heal()
        # What waited for the capacity starts before the rest is cancelled.
        short = [i for i in ids if cluster.specs[i]["expect_s"] < LONG_S]
        assert not await cluster.until_done(short, 90.0), "capacity is free and work waits"
        await end_all(cluster, [i for i in ids if i not in short])

    expected = ["at the limit", "cancelled on an unreachable machine", "the leader changed"]
    if way == "hang and go on":
        expected.append("went on within its lease")
    run_and_expect(cluster, main, *expected)


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("mode", ["drop", "hold"])
def test_cancelled_through_others_while_the_leader_is_partitioned_with_its_workers(
    mode: str, count: int
) -> None:
    """It has lost the store and the other controllers, not its workers and users."""
    cluster = SimulatedCluster(1060 + (mode == "hold") + count, count, cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await fill(cluster, 10)
        index = leader(cluster)
        for other in ["state", *(f"node-{i}" for i in range(count) if i != index)]:
            cluster.network.cut(f"node-{index}", other, mode)
        await anyio.sleep(cluster.rng.uniform(0.1, 0.4))
        other = cluster.rng.choice([i for i in range(count) if i != index])
        theirs = [
            n.partition("/")[0]
            for w, n in running_tasks(cluster)
            if w.reporting_controller == index
        ]
        cluster.met["work reported to the leader"] += len(theirs)
        for job_id in dict.fromkeys(theirs):
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240, other)
        await cancel_running_jobs(cluster, 6, node=other)
        began = now()
        while now() - began < CANCEL_S + LEASE_S:
            cluster.met["cancelled work reported to the leader"] += reports_to(cluster, index)
            # Whatever it still answers must not be older than what the others have said.
            await cluster.poll(cluster.rng.choice(ids), index)
            await cluster.cancel(ids[0], 1, index)
            await anyio.sleep(0.5)
        await end_all(cluster, ids)

    run_and_expect(
        cluster,
        main,
        "work reported to the leader",
        "cancelled work reported to the leader",
        "cancelled while it ran",
    )


@pytest.mark.parametrize("fault", ["none", "the leader changes", "outage", "a restart after"])
def test_cancelled_while_workers_reach_no_controller(fault: str) -> None:
    """Heartbeats are lost; direct commands arrive, and status comes in the responses to these alone."""
    faults = ["none", "the leader changes", "outage", "a restart after"]
    cluster = SimulatedCluster(1080 + faults.index(fault), cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await fill(cluster, 10)
        # A worker that has just changed controllers does not know the new one's token: it obeys nobody.
        await wait_until(
            lambda: all(accepts_token(cluster, w) for w, _ in running_tasks(cluster)), 60.0, 0.05
        )
        workers = {w.name: w for w, _ in running_tasks(cluster)}
        for worker in workers.values():
            worker.heartbeats_lost_until = now() + CANCEL_S + LEASE_S
        await anyio.sleep(cluster.rng.uniform(0.5, 3.0))
        index = leader(cluster)
        if fault == "the leader changes":
            await restart(cluster, index, 1.0)
        await cancel_running_jobs(cluster, 6)
        await anyio.sleep(0.5)
        answered = [i for i in ids if cluster.answers.over.get(i) == "cancelled"]
        cluster.met["answered while heartbeats were lost"] += len(answered)
        if fault == "outage":
            cluster.store.outage(True)
        elif fault == "a restart after":
            await restart(cluster, index, 3.0)
        await anyio.sleep(CANCEL_S + LEASE_S)
        cluster.store.outage(False)
        await end_all(cluster, ids)

    run_and_expect(
        cluster,
        main,
        "heartbeat lost",
        "answered while heartbeats were lost",
        "commanded while heartbeats are lost",
    )
