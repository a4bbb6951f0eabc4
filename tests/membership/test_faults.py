"""Faults of one or more controllers in the simulated cluster, also with a slow store."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import pytest

from simulation import SimulatedCluster, job, now, run
from simulation.workloads import wait_until_healthy

Fault = Callable[[SimulatedCluster, int], Coroutine[Any, Any, None]]
# The simulation's agent lease, controller lease and agent heartbeat interval, in seconds.
AGENT_LEASE_S, CONTROLLER_LEASE_S, REPORT_S = 12.0, 24.0, 2.0


async def controller_crashes(cluster: SimulatedCluster, index: int) -> None:
    cluster.crash(index)
    await anyio.sleep(4.0)
    cluster.boot(index)


async def _freeze(cluster: SimulatedCluster, index: int, seconds: float) -> None:
    cluster.freeze(index)
    await anyio.sleep(seconds)
    cluster.thaw(index)


async def controller_freezes_briefly(cluster: SimulatedCluster, index: int) -> None:
    await _freeze(cluster, index, 0.8 * REPORT_S)


async def controller_freezes_past_agent_lease(cluster: SimulatedCluster, index: int) -> None:
    await _freeze(cluster, index, AGENT_LEASE_S + 3.0)


async def controller_freezes_past_its_lease(cluster: SimulatedCluster, index: int) -> None:
    await _freeze(cluster, index, CONTROLLER_LEASE_S + 4.0)


async def controller_is_slow(cluster: SimulatedCluster, index: int) -> None:
    cluster.slow(index, 0.01)
    await anyio.sleep(20.0)
    cluster.slow(index, 0.0)


async def _partition(
    cluster: SimulatedCluster, index: int, others: list[str], one_way: bool = False
) -> None:
    for other in others:
        if one_way:
            cluster.network.one_way[f"node-{index}", other] = "drop"
        else:
            cluster.network.cut(f"node-{index}", other, "hold")
    await anyio.sleep(16.0)
    cluster.network.heal()


def _peers(cluster: SimulatedCluster, index: int) -> list[str]:
    return [f"node-{i}" for i in range(cluster.count) if i != index]


async def messages_to_peers_lost(cluster: SimulatedCluster, index: int) -> None:
    await _partition(cluster, index, _peers(cluster, index), one_way=True)


async def partitioned_from_one_peer(cluster: SimulatedCluster, index: int) -> None:
    await _partition(cluster, index, _peers(cluster, index)[:1])


async def connections_to_peers_refused(cluster: SimulatedCluster, index: int) -> None:
    for other in _peers(cluster, index):
        cluster.network.refused.add(frozenset((f"node-{index}", other)))
    await anyio.sleep(16.0)
    cluster.network.heal()


async def partitioned_from_store(cluster: SimulatedCluster, index: int) -> None:
    await _partition(cluster, index, ["state"])


async def partitioned_from_machines(cluster: SimulatedCluster, index: int) -> None:
    await _partition(cluster, index, list(cluster.cloud.workers))


async def refused_by_store(cluster: SimulatedCluster, index: int) -> None:
    cluster.store.refused_sources = {f"node-{index}"}
    await anyio.sleep(30.0)
    cluster.store.refused_sources = set()


async def two_controllers_crash(cluster: SimulatedCluster, index: int) -> None:
    for other in (index, (index + 1) % cluster.count):
        cluster.crash(other)
    await anyio.sleep(5.0)
    for other in (index, (index + 1) % cluster.count):
        cluster.boot(other)


async def all_controllers_crash(cluster: SimulatedCluster, index: int) -> None:
    for other in range(cluster.count):
        cluster.crash(other)
    await anyio.sleep(3.0)
    for other in range(cluster.count):
        cluster.boot(other)


async def rolling_restart(cluster: SimulatedCluster, index: int) -> None:
    for other in range(cluster.count):
        cluster.crash(other)
        await anyio.sleep(3.0)
        cluster.boot(other)
        await anyio.sleep(5.0)


async def controller_flaps(cluster: SimulatedCluster, index: int) -> None:
    for _ in range(8):
        await _freeze(cluster, index, 3.5)
        await anyio.sleep(1.5)


# Each fault, with the maximum number of moves of the controller's own team and of the other team.
FAULTS: dict[Fault, tuple[int, int]] = {
    controller_crashes: (2, 0),
    controller_freezes_briefly: (0, 0),
    controller_freezes_past_agent_lease: (2, 0),
    controller_freezes_past_its_lease: (2, 0),
    controller_is_slow: (2, 0),
    messages_to_peers_lost: (0, 0),
    partitioned_from_one_peer: (0, 0),
    connections_to_peers_refused: (0, 0),
    partitioned_from_store: (2, 0),
    partitioned_from_machines: (0, 0),
    refused_by_store: (2, 0),
    two_controllers_crash: (2, 2),
    all_controllers_crash: (0, 0),
    rolling_restart: (4, 4),
    controller_flaps: (2, 0),
}


def moves(cluster: SimulatedCluster, since: float) -> dict[str, int]:
    """Return how often each team moved to another controller since a time."""
    last: dict[str, Any] = {}
    counts = {"red": 0, "blue": 0}
    for at, key, value in cluster.store.history:
        if key.startswith("s/t/"):
            team = key[4:]
            counts[team] += at >= since and last.get(team, value["p"]) != value["p"]
            last[team] = value["p"]
    return counts


@pytest.mark.parametrize("store_delay_s", [0.0, 0.15], ids=["", "slow store"])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_safety_holds_and_team_moves_are_bounded_under_each_fault(
    fault: Fault, store_delay_s: float
) -> None:
    """The controller that schedules `red` has the fault; jobs of both teams must complete."""
    play_fault(300 + list(FAULTS).index(fault), fault, store_delay_s)


def play_fault(seed: int, fault: Fault, store_delay_s: float = 0.0) -> None:
    cluster = SimulatedCluster(seed)
    start_time = 0.0

    async def main() -> None:
        nonlocal start_time
        await wait_until_healthy(cluster)
        while len(cluster.store.items.get("s/m/roster", ({},))[0]) < 3:
            await anyio.sleep(0.5)
        await anyio.sleep(3.0)
        cluster.store.mean_delay_s = store_delay_s
        assignee = cluster.store.items["s/t/red"][0]["p"]
        specs = [
            job(n, entries=3, bureau=("red", "blue")[n % 2], expect_s=4.0 + 30.0 * (n < 2))
            for n in range(10)
        ]
        for spec in specs[:4]:
            await cluster.submit(spec)
        await anyio.sleep(14.0)
        start_time = now()

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
    max_own_moves, max_other_moves = FAULTS[fault]
    counts = moves(cluster, start_time)
    assert counts["red"] <= max_own_moves and counts["blue"] <= max_other_moves, counts


def test_a_store_outage_causes_no_suspicion() -> None:
    """Suspicions decided during the outage must not be committed after it."""
    cluster = SimulatedCluster(351)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await anyio.sleep(6.0)
        start_time = now()
        for seconds in (2.0, 5.0, 15.0):
            cluster.store.outage(True)
            await anyio.sleep(seconds)
            cluster.store.outage(False)
            await anyio.sleep(10.0)
        assert [
            at for at, key, _ in cluster.store.history if key == "s/m/roster" and at > start_time
        ] == []

    run(cluster, main)
    assert cluster.violations == []


def test_graceful_shutdown_reassigns_teams_first() -> None:
    cluster = SimulatedCluster(350)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await anyio.sleep(6.0)
        assignee = cluster.store.items["s/t/red"][0]["p"]
        start_time = now()
        await cluster.nodes[assignee].membership.leave(REPORT_S)
        assert now() - start_time < 0.5
        assert cluster.store.items["s/t/red"][0]["p"] != assignee
        cluster.crash(int(assignee[-1]))
        await anyio.sleep(3.0)
        cluster.boot(int(assignee[-1]))
        await anyio.sleep(15.0)
        assert cluster.store.items["s/t/red"][0]["p"] == assignee
        assert moves(cluster, start_time) == {"red": 2, "blue": 0}

    run(cluster, main)
    assert cluster.violations == []


@pytest.mark.parametrize(
    "fault", [controller_crashes, controller_freezes_past_agent_lease, partitioned_from_store]
)
def test_starts_resume_soon_after_failover(fault: Fault) -> None:
    """The team's next start must be committed soon after the fault if machines are available."""
    cluster = SimulatedCluster(340)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await anyio.sleep(5.0)
        for number in range(2):
            await cluster.submit(job(number, entries=8, expect_s=20.0))
        await anyio.sleep(40.0)
        assignee = cluster.store.items["s/t/red"][0]["p"]
        cluster.network.tasks.start_soon(fault, cluster, int(assignee[-1]))
        start_time = now()
        while now() - start_time < 2 * REPORT_S:
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
            if at > start_time + 0.2
        ]
        assert starts and min(starts) - start_time <= (
            2.0 if fault is controller_crashes else 2 * REPORT_S
        )

    run(cluster, main)
    assert cluster.violations == []
