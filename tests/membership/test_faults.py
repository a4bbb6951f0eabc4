"""Whole controllers through each kind of fault, also with a slow state service."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import pytest

from simulation import SimulatedCluster, job, now, run
from simulation.workloads import wait_until_healthy

Fault = Callable[[SimulatedCluster, int], Coroutine[Any, Any, None]]
# Of the simulation, in seconds: an agent's lease, a controller's, between an agent's heartbeats.
AGENT_LEASE_S, CONTROLLER_LEASE_S, REPORT_S = 12.0, 24.0, 2.0


async def ends(cluster: SimulatedCluster, index: int) -> None:
    cluster.crash(index)
    await anyio.sleep(4.0)
    cluster.boot(index)


async def _freeze(cluster: SimulatedCluster, index: int, seconds: float) -> None:
    cluster.freeze(index)
    await anyio.sleep(seconds)
    cluster.thaw(index)


async def stands_still_for_a_moment(cluster: SimulatedCluster, index: int) -> None:
    await _freeze(cluster, index, 0.8 * REPORT_S)


async def stands_still_past_a_lease(cluster: SimulatedCluster, index: int) -> None:
    await _freeze(cluster, index, AGENT_LEASE_S + 3.0)


async def stands_still_past_its_hold(cluster: SimulatedCluster, index: int) -> None:
    await _freeze(cluster, index, CONTROLLER_LEASE_S + 4.0)


async def is_slow(cluster: SimulatedCluster, index: int) -> None:
    cluster.slow(index, 0.01)
    await anyio.sleep(20.0)
    cluster.slow(index, 0.0)


async def _cut(
    cluster: SimulatedCluster, index: int, others: list[str], one_way: bool = False
) -> None:
    for other in others:
        if one_way:
            cluster.network.one_way[f"node-{index}", other] = "drop"
        else:
            cluster.network.cut(f"node-{index}", other, "hold")
    await anyio.sleep(16.0)
    cluster.network.heal()


def _others(cluster: SimulatedCluster, index: int) -> list[str]:
    return [f"node-{i}" for i in range(cluster.count) if i != index]


async def is_not_heard(cluster: SimulatedCluster, index: int) -> None:
    await _cut(cluster, index, _others(cluster, index), one_way=True)


async def is_cut_from_one_peer(cluster: SimulatedCluster, index: int) -> None:
    await _cut(cluster, index, _others(cluster, index)[:1])


async def is_refused_by_all(cluster: SimulatedCluster, index: int) -> None:
    for other in _others(cluster, index):
        cluster.network.refused.add(frozenset((f"node-{index}", other)))
    await anyio.sleep(16.0)
    cluster.network.heal()


async def loses_the_store(cluster: SimulatedCluster, index: int) -> None:
    await _cut(cluster, index, ["state"])


async def loses_the_machines(cluster: SimulatedCluster, index: int) -> None:
    await _cut(cluster, index, list(cluster.cloud.workers))


async def is_refused_by_the_store(cluster: SimulatedCluster, index: int) -> None:
    cluster.store.refused_sources = {f"node-{index}"}
    await anyio.sleep(30.0)
    cluster.store.refused_sources = set()


async def two_end(cluster: SimulatedCluster, index: int) -> None:
    for other in (index, (index + 1) % cluster.count):
        cluster.crash(other)
    await anyio.sleep(5.0)
    for other in (index, (index + 1) % cluster.count):
        cluster.boot(other)


async def all_end(cluster: SimulatedCluster, index: int) -> None:
    for other in range(cluster.count):
        cluster.crash(other)
    await anyio.sleep(3.0)
    for other in range(cluster.count):
        cluster.boot(other)


async def all_roll(cluster: SimulatedCluster, index: int) -> None:
    for other in range(cluster.count):
        cluster.crash(other)
        await anyio.sleep(3.0)
        cluster.boot(other)
        await anyio.sleep(5.0)


async def flaps(cluster: SimulatedCluster, index: int) -> None:
    for _ in range(8):
        await _freeze(cluster, index, 3.5)
        await anyio.sleep(1.5)


# With the most moves of its team that each may cause, and of any other team.
FAULTS: dict[Fault, tuple[int, int]] = {
    ends: (2, 0),
    stands_still_for_a_moment: (0, 0),
    stands_still_past_a_lease: (2, 0),
    stands_still_past_its_hold: (2, 0),
    is_slow: (2, 0),
    is_not_heard: (0, 0),
    is_cut_from_one_peer: (0, 0),
    is_refused_by_all: (0, 0),
    loses_the_store: (2, 0),
    loses_the_machines: (0, 0),
    is_refused_by_the_store: (2, 0),
    two_end: (2, 2),
    all_end: (0, 0),
    all_roll: (4, 4),
    flaps: (2, 0),
}


def moves(cluster: SimulatedCluster, since: float) -> dict[str, int]:
    """How often each team went from one controller to another."""
    last: dict[str, Any] = {}
    found = {"red": 0, "blue": 0}
    for at, key, value in cluster.store.history:
        if key.startswith("s/t/"):
            team = key[4:]
            found[team] += at >= since and last.get(team, value["p"]) != value["p"]
            last[team] = value["p"]
    return found


@pytest.mark.parametrize("slow", [0.0, 0.15], ids=["", "slow store"])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_no_rule_is_broken_and_teams_move_no_more_than_they_must(fault: Fault, slow: float) -> None:
    """The controller that schedules `red` meets the fault; work of both teams goes on."""
    play_fault(300 + list(FAULTS).index(fault), fault, slow)


def play_fault(seed: int, fault: Fault, slow: float = 0.0) -> None:
    cluster = SimulatedCluster(seed)
    began = 0.0

    async def main() -> None:
        nonlocal began
        await wait_until_healthy(cluster)
        while len(cluster.store.items.get("s/m/roster", ({},))[0]) < 3:
            await anyio.sleep(0.5)
        await anyio.sleep(3.0)
        cluster.store.mean_delay_s = slow
        assignee = cluster.store.items["s/t/red"][0]["p"]
        specs = [
            job(n, entries=3, bureau=("red", "blue")[n % 2], expect_s=4.0 + 30.0 * (n < 2))
            for n in range(10)
        ]
        for spec in specs[:4]:
            await cluster.submit(spec)
        await anyio.sleep(14.0)
        began = now()

        async def users() -> None:
            for spec in specs[4:]:
                cluster.network.tasks.start_soon(cluster.submit, spec)
                await anyio.sleep(2.5)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(users)
            tasks.start_soon(fault, cluster, int(assignee[-1]))
        assert not await cluster.until_done([spec["id"] for spec in specs], 120.0)
        cluster.check()

    run(cluster, main)
    assert cluster.violations == []
    own, other = FAULTS[fault]
    moved = moves(cluster, began)
    assert moved["red"] <= own and moved["blue"] <= other, moved


def test_an_outage_of_the_store_makes_nobody_suspected() -> None:
    """Seen in a measured day: what each had decided of the others was written after the outage."""
    cluster = SimulatedCluster(351)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await anyio.sleep(6.0)
        began = now()
        for seconds in (2.0, 5.0, 15.0):
            cluster.store.outage(True)
            await anyio.sleep(seconds)
            cluster.store.outage(False)
            await anyio.sleep(10.0)
        assert [
            at for at, key, _ in cluster.store.history if key == "s/m/roster" and at > began
        ] == []

    run(cluster, main)
    assert cluster.violations == []


def test_a_controller_that_shuts_down_hands_its_team_over_first() -> None:
    cluster = SimulatedCluster(350)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await anyio.sleep(6.0)
        assignee = cluster.store.items["s/t/red"][0]["p"]
        began = now()
        await cluster.nodes[assignee].membership.leave(REPORT_S)
        assert now() - began < 0.5
        assert cluster.store.items["s/t/red"][0]["p"] != assignee
        cluster.crash(int(assignee[-1]))
        await anyio.sleep(3.0)
        cluster.boot(int(assignee[-1]))
        await anyio.sleep(15.0)
        assert cluster.store.items["s/t/red"][0]["p"] == assignee
        assert moves(cluster, began) == {"red": 2, "blue": 0}

    run(cluster, main)
    assert cluster.violations == []


@pytest.mark.parametrize("fault", [ends, stands_still_past_a_lease, loses_the_store])
def test_a_team_starts_again_soon_after_its_controller_is_gone(fault: Fault) -> None:
    """Measured from the fault to the next start of the team's work, machines being at hand."""
    cluster = SimulatedCluster(340)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await anyio.sleep(5.0)
        for number in range(2):
            await cluster.submit(job(number, entries=8, expect_s=20.0))
        await anyio.sleep(40.0)
        assignee = cluster.store.items["s/t/red"][0]["p"]
        cluster.network.tasks.start_soon(fault, cluster, int(assignee[-1]))
        began = now()
        while now() - began < 2 * REPORT_S:
            number = int(now() * 100) % 10**6
            spec = job(number, entries=1)
            cluster.specs[spec["id"]] = spec
            others = [i for i in range(3) if f"node-{i}" != assignee]
            cluster.network.tasks.start_soon(
                cluster.ask, "POST", "/work", spec, cluster.rng.choice(others)
            )
            await anyio.sleep(0.5)
        starts = [
            at
            for at, key, value in cluster.store.history
            if key.startswith("s/j/job-") and isinstance(value, dict) and value.get("l")
            if at > began + 0.2
        ]
        assert starts and min(starts) - began <= (2.0 if fault is ends else 2 * REPORT_S)

    run(cluster, main)
    assert cluster.violations == []
