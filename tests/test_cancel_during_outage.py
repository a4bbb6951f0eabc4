"""Cancellations while the store refuses only the leader, then all for longer than `cancel_s`.

Another controller confirms the cancellations while workers still send heartbeats to the old leader.
The tasks of these jobs must still end within `cancel_s`.
"""

from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import pytest

from simulation import LEASE_S, SimulatedCluster, job, now, run
from simulation.fault_scenarios import CANCEL_S
from simulation.workloads import wait_until_healthy

OUTAGE_S = CANCEL_S + LEASE_S
# An additional fault, given the leader and the controller that answers users.
NetworkFault = Callable[[SimulatedCluster, int, int], Awaitable[None]]


async def no_network_fault(cluster: SimulatedCluster, leader: int, other: int) -> None:
    """Inject no additional fault; messages of the others reach the leader."""


async def leader_cut_off(cluster: SimulatedCluster, leader: int, other: int) -> None:
    """Drop all messages between the leader and the other controllers."""
    for index in range(cluster.count):
        if index != leader:
            cluster.network.cut(f"node-{leader}", f"node-{index}", "drop")


async def messages_lost(cluster: SimulatedCluster, leader: int, other: int) -> None:
    """Drop the messages from the controller that answers users to the leader."""
    cluster.network.one_way[f"node-{other}", f"node-{leader}"] = "drop"


async def leader_frozen(cluster: SimulatedCluster, leader: int, other: int) -> None:
    """Cut off the leader and freeze it twice, first as the outage begins."""
    await leader_cut_off(cluster, leader, other)
    for seconds in (3.0, 6.0):
        cluster.freeze(leader)
        await anyio.sleep(seconds)
        cluster.thaw(leader)
        await anyio.sleep(cluster.rng.uniform(2.0, 12.0))


async def workers_redirected(cluster: SimulatedCluster, leader: int, other: int) -> None:
    """Cut half of the workers off the leader during the outage, so that they are redirected."""
    cluster.network.one_way[f"node-{other}", f"node-{leader}"] = "drop"
    await anyio.sleep(cluster.rng.uniform(2.0, 10.0))
    for worker in list(cluster.cloud.workers.values())[::2]:
        cluster.network.cut(f"node-{leader}", worker.name, cluster.rng.choice(["drop", "hold"]))


FAULTS: list[NetworkFault] = [
    no_network_fault,
    leader_cut_off,
    messages_lost,
    leader_frozen,
    workers_redirected,
]
JOBS = [
    {"entries": 2},
    {"entries": 2, "bookmark_s": 3.0, "stamp_s": 2.0},
    {"entries": 2, "form": "group"},
    {"entries": 2, "form": "group", "bookmark_s": 3.0, "stamp_s": 2.0},
    {"entries": 2, "image_gb": 60.0, "parcel": "img-big"},  # still fetching its image
]


def reporting_controllers(cluster: SimulatedCluster) -> Counter[int]:
    """Count the machines with work that report to each controller."""
    return Counter(w.reporting_controller for w, _ in cluster.tasks_on_machines())


async def cancel_during_outage(
    cluster: SimulatedCluster,
    fault: NetworkFault,
    crash_after: bool = False,
    response_delay_s: float = 0.0,
) -> None:
    await wait_until_healthy(cluster)
    specs = [job(n, expect_s=400.0) | f for n, f in enumerate(JOBS)]
    for spec in specs[:-1]:
        assert await cluster.submit(spec) == 201
    with anyio.fail_after(90.0):
        while {t.name for _, t in cluster.tasks_on_machines() if t.state == "running"} != {
            f"{spec['id']}/{task}" for spec in specs[:-1] for task in range(2)
        }:
            await anyio.sleep(0.5)
    assert await cluster.submit(specs[-1]) == 201
    # One more start, which may be committed but not delivered yet.
    specs.append(job(len(specs), expect_s=400.0, entries=1))
    await anyio.sleep(cluster.rng.uniform(0.0, 3.0))
    assert await cluster.submit(specs[-1]) == 201
    await anyio.sleep(cluster.rng.uniform(0.1, 0.6))
    leader = reporting_controllers(cluster).most_common(1)[0][0]
    other = cluster.rng.choice([i for i in range(cluster.count) if i != leader])
    cluster.store.refused_sources = {f"node-{leader}"}
    # The answering controller's transactions are applied at once and answered late.
    cluster.store.commit_response_delay_s = {f"node-{other}": response_delay_s}
    answered_at: dict[str, float] = {}
    # Maximum number of machines with work that reported to the refused leader during cancellations.
    max_reporting = 0

    async def cancel(job_id: str) -> None:
        nonlocal max_reporting
        if response_delay_s:
            # Heartbeats announce the cancellation before the user is answered, so the leader may
            # have stopped the tasks by then.
            max_reporting = max(max_reporting, reporting_controllers(cluster)[leader])
        answer = await cluster.ask("POST", f"/work/{job_id}/cancel", node=other)
        if answer.status == 200:
            cluster.cancelled_at[job_id] = answered_at[job_id] = now()
            max_reporting = max(max_reporting, reporting_controllers(cluster)[leader])

    for spec in specs:
        cluster.cancelled_at.setdefault(spec["id"], float("inf"))
    async with anyio.create_task_group() as network_faults:
        network_faults.start_soon(fault, cluster, leader, other)
        async with anyio.create_task_group() as tasks:
            for spec in specs:
                tasks.start_soon(cancel, spec["id"])
        cluster.store.commit_response_delay_s = {}
        cluster.store.outage(True)
        cluster.store.refused_sources = set()
        started_at = now()
        if crash_after:
            cluster.crash(other)
        while now() < started_at + OUTAGE_S:
            await anyio.sleep(0.5)
    assert cluster.store.down and answered_at, "no cancellation was confirmed before the outage"
    assert now() - min(answered_at.values()) > CANCEL_S
    assert max_reporting, "no machine with work reported to the old leader"
    remaining = {
        t.name for _, t in cluster.tasks_on_machines() if t.name.partition("/")[0] in answered_at
    }
    assert not remaining, remaining
    cluster.store.outage(False)
    cluster.network.heal()
    if crash_after:
        cluster.boot(other)
    for spec in specs:
        assert await cluster.cancel(spec["id"]) == "cancelled"
    assert not await cluster.until_done([spec["id"] for spec in specs], 60.0)


def play_cancel_during_outage(
    seed: int,
    count: int,
    fault: NetworkFault,
    crash_after: bool = False,
    response_delay_s: float = 0.0,
) -> None:
    cluster = SimulatedCluster(seed, count, cancel_s=CANCEL_S)
    run(cluster, lambda: cancel_during_outage(cluster, fault, crash_after, response_delay_s))
    assert cluster.violations == []


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_tasks_cancelled_before_an_outage_end_within_cancel_s(
    fault: NetworkFault, count: int
) -> None:
    number = FAULTS.index(fault)
    # The answering controller crashes after its answer, or its transactions are answered late.
    play_cancel_during_outage(
        100 + number, count, fault, (count + number) % 2 == 1, 0.8 * (number % 3 == 0)
    )
