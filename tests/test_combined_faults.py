"""Concurrent faults: each scenario must occur, as its observations show, and violate no rule.

`docs/combined-faults.md` describes the risk of each scenario and the guard against it.
"""

import anyio
import pytest

from sandladder.agents import reported_ends
from simulation import LEASE_S, ZONES, SimulatedCluster, now, run
from simulation.fault_scenarios import (
    CANCEL_S,
    FaultScenario,
    cancel_running_jobs,
    leader,
    run_with_faults,
)
from simulation.faults import random_machines, restart, restart_with_copies, running_machines


async def leaders_crash_with_uncommitted_task_ends(cluster: SimulatedCluster) -> None:
    """Restart leaders one after another while the ends of tasks are proved but not committed."""
    for _ in range(3):
        await anyio.sleep(cluster.rng.uniform(4.0, 8.0))
        index = leader(cluster)
        cluster.store.refused_sources = {f"node-{index}"}
        await anyio.sleep(cluster.rng.uniform(0.3, 1.5))
        node = cluster.nodes.get(f"node-{index}")
        if node is not None:
            ends = sum(len(reported_ends(d, node.cache)) for d in node.reconciler.agents.values())
            cluster.observed["end proved, not committed"] += ends
        cluster.store.refused_sources = set()
        await restart(cluster, index, cluster.rng.uniform(0.3, 4.0))


async def delayed_heartbeats(cluster: SimulatedCluster) -> None:
    """Deliver copies of heartbeats up to 1.5 leases late, while workers change controllers."""
    cluster.duplicated_heartbeat_share = 0.5
    for _ in range(4):
        await anyio.sleep(cluster.rng.uniform(3.0, 6.0))
        index = leader(cluster)
        kind = cluster.rng.randrange(3)
        if kind == 0:
            await restart(cluster, index, cluster.rng.uniform(0.1, 3.0))
        elif kind == 1:
            for worker in random_machines(cluster, 2):
                cluster.network.cut(worker.name, f"node-{index}", "hold")
            await anyio.sleep(cluster.rng.uniform(5.0, LEASE_S))
            cluster.network.heal()
        else:
            cluster.freeze(index)
            await anyio.sleep(cluster.rng.uniform(4.0, LEASE_S + 4.0))
            cluster.thaw(index)
    await anyio.sleep(10.0)
    cluster.duplicated_heartbeat_share = 0.0


async def slow_store_then_outage(cluster: SimulatedCluster) -> None:
    """Slow down the store, then refuse the leader, then all clients for longer than `cancel_s`."""
    cluster.store.mean_delay_s = 0.4
    await anyio.sleep(6.0)
    cluster.store.refused_sources = {f"node-{leader(cluster)}"}
    await anyio.sleep(cluster.rng.uniform(0.5, 6.0))
    cluster.store.outage(True)
    cluster.store.refused_sources, cluster.store.mean_delay_s = set(), 0.0
    answered_at = [at for at in cluster.cancelled_at.values() if at < float("inf")]
    cluster.observed["cancelled just before"] += sum(now() - at < 8.0 for at in answered_at)
    await anyio.sleep(CANCEL_S + 6.0)
    cluster.store.outage(False)


async def responses_lost(cluster: SimulatedCluster) -> None:
    """Restart the leader while workers get no responses or are unreachable."""
    for _ in range(2):
        await anyio.sleep(cluster.rng.uniform(4.0, 8.0))
        index = leader(cluster)
        for worker in random_machines(cluster, 2):
            worker.responses_lost_until = now() + cluster.rng.uniform(5.0, 2 * LEASE_S)
        for worker in random_machines(cluster, 4):
            for other in range(cluster.count):
                cluster.network.cut(
                    worker.name, f"node-{other}", cluster.rng.choice(["hold", "drop"])
                )
        cluster.observed["leader crashed"] += 1
        await restart(cluster, index, cluster.rng.uniform(0.3, 4.0))
        await anyio.sleep(cluster.rng.uniform(4.0, 2 * LEASE_S))
        cluster.network.heal()


async def late_transactions(cluster: SimulatedCluster) -> None:
    """Apply transactions late and without a response, also after the writer has crashed."""
    cluster.store.unanswered.share = 0.25
    for _ in range(3):
        await anyio.sleep(cluster.rng.uniform(4.0, 8.0))
        await restart(cluster, leader(cluster), cluster.rng.uniform(0.1, 2.0))
    await anyio.sleep(5.0)
    cluster.store.unanswered.share = 0.0


async def all_controllers_restart(cluster: SimulatedCluster) -> None:
    """Restart the controllers in turn, then crash all, and start one within a second."""
    for index in range(cluster.count):
        await restart(cluster, index, cluster.rng.uniform(0.2, 3.0))
        await anyio.sleep(cluster.rng.uniform(0.5, 4.0))
    for index in range(cluster.count):
        cluster.crash(index)
    cluster.observed["all controllers crashed"] += not cluster.nodes
    first_to_start = cluster.rng.randrange(cluster.count)
    await anyio.sleep(cluster.rng.uniform(0.1, 0.9))
    cluster.boot(first_to_start)
    await anyio.sleep(cluster.rng.uniform(1.0, 6.0))
    for index in range(cluster.count):
        cluster.boot(index)
    await anyio.sleep(3.0)


async def leader_partitioned(cluster: SimulatedCluster) -> None:
    """Partition the leader from the store and its peers, but not from workers and users."""
    index = leader(cluster)
    for other in ["state", *(f"node-{i}" for i in range(cluster.count) if i != index)]:
        cluster.network.cut(f"node-{index}", other, cluster.rng.choice(["hold", "drop"]))
    began, seconds = now(), 0
    while now() - began < CANCEL_S + 8.0:
        seconds += any(w.reporting_controller == index for w, _ in cluster.tasks_on_machines())
        await anyio.sleep(1.0)
        answer = await cluster.ask("GET", "/work/job-000000", node=index)
        cluster.observed["the leader answered a user"] += answer.status == 200
    cluster.observed["work reported to the leader"] += seconds
    cluster.network.heal()


async def commands_delayed(cluster: SimulatedCluster) -> None:
    """Delay commands and responses by seconds; machines hang, and resume within their lease."""
    for _ in range(5):
        await anyio.sleep(cluster.rng.uniform(2.0, 5.0))
        index = leader(cluster)
        for worker in random_machines(cluster, 2):
            worker.hung_until = now() + cluster.rng.uniform(1.0, LEASE_S - 1.0)
        for worker in random_machines(cluster, 2):
            cluster.network.one_way[f"node-{index}", worker.name] = "hold"
        await anyio.sleep(cluster.rng.uniform(2.5, LEASE_S - 2.0))
        cluster.network.heal()


async def commands_copied(cluster: SimulatedCluster) -> None:
    """Copy answered commands while leaders change within a second and running jobs are cancelled."""
    copies = cluster.network.command_copies
    copies.share = cluster.rng.uniform(0.5, 1.0)
    for _ in range(4):
        copies.kept = []
        await anyio.sleep(cluster.rng.uniform(3.0, 8.0))
        await cancel_running_jobs(cluster, 1, cluster.rng.uniform(0.2, LEASE_S - 1.0))
        await restart_with_copies(cluster, leader(cluster), cluster.rng.uniform(0.1, 0.9))
    copies.kept = None


async def store_responses_lost(cluster: SimulatedCluster) -> None:
    """Apply transactions immediately but lose their responses, while leaders restart."""
    cluster.store.unanswered.share, cluster.store.unanswered.at_once = 0.25, True
    for _ in range(3):
        await anyio.sleep(cluster.rng.uniform(3.0, 6.0))
        await restart(cluster, leader(cluster), cluster.rng.uniform(0.1, 2.0))
    cluster.store.unanswered.share, cluster.store.unanswered.at_once = 0.0, False


async def heartbeats_lost(cluster: SimulatedCluster) -> None:
    """Lose the heartbeats of half of the workers while running jobs are cancelled."""
    for _ in range(2):
        await anyio.sleep(cluster.rng.uniform(3.0, 6.0))
        for worker in random_machines(cluster, 2):
            worker.heartbeats_lost_until = now() + cluster.rng.uniform(5.0, 2 * LEASE_S)
        await cancel_running_jobs(cluster, 2)
        await restart(cluster, leader(cluster), cluster.rng.uniform(0.3, 4.0))
        await anyio.sleep(cluster.rng.uniform(4.0, LEASE_S))


async def replayed_heartbeats(cluster: SimulatedCluster) -> None:
    """Deliver old heartbeats to every controller just after a leader change."""
    for _ in range(3):
        cluster.kept_heartbeat_share = 0.4
        await anyio.sleep(cluster.rng.uniform(3.0, 6.0))
        cluster.kept_heartbeat_share = 0.0
        await restart(cluster, leader(cluster), cluster.rng.uniform(0.1, 1.0))
        await anyio.sleep(cluster.rng.uniform(0.3, 1.0))
        cluster.replay_kept_heartbeats()
        await anyio.sleep(cluster.rng.uniform(1.0, 4.0))


async def cancelled_on_hanging_machines(cluster: SimulatedCluster) -> None:
    """Cancel jobs, let their machines hang, some within their lease, and restart the leader."""
    for _ in range(3):
        await anyio.sleep(cluster.rng.uniform(3.0, 6.0))
        await cancel_running_jobs(cluster, 3, cluster.rng.uniform(4.0, LEASE_S + 4.0))
        await anyio.sleep(cluster.rng.uniform(0.0, 0.5))
        await restart(cluster, leader(cluster), cluster.rng.uniform(0.3, 3.0))


async def concurrent_reads(cluster: SimulatedCluster) -> None:
    """Read jobs at all controllers concurrently as they are accepted, complete or are cancelled."""
    cluster.concurrent_read_share = 0.7
    await anyio.sleep(25.0)
    cluster.concurrent_read_share = 0.0


async def cancelled_at_completion(cluster: SimulatedCluster) -> None:
    """Cancel jobs when their last task ends."""
    cluster.cancel_at_end_share = 0.4
    await anyio.sleep(25.0)
    cluster.cancel_at_end_share = 0.0


async def machines_replaced_at_once(cluster: SimulatedCluster) -> None:
    """Terminate machines whose replacements boot quickly and get tasks."""
    cluster.cloud.fast_boot_share = 1.0
    for _ in range(3):
        for worker in running_machines(cluster)[::2]:
            worker.terminate(cluster.rng.random() < 0.5)
        await anyio.sleep(cluster.rng.uniform(4.0, 8.0))
        young_workers = [
            w for w in running_machines(cluster) if w.tasks and now() - w.boots_at < 8.0
        ]
        cluster.observed["tasks on recently booted machines"] += len(young_workers)
        await restart(cluster, leader(cluster), cluster.rng.uniform(0.3, 2.0))
    cluster.cloud.fast_boot_share = 0.0


async def zone_partitioned(cluster: SimulatedCluster) -> None:
    """Partition a zone with workers and a controller from all other hosts."""
    await anyio.sleep(4.0)
    # The scenario requires a task in the zone.
    with anyio.move_on_after(10 * LEASE_S):
        while not any(worker.zone == ZONES[1] for worker, _ in cluster.tasks_on_machines()):
            await anyio.sleep(0.1)
    hosts = ["state", "cloud", "user", *(f"node-{i}" for i in range(cluster.count))]
    inside = [w.name for w in running_machines(cluster) if w.zone == ZONES[1]] + ["node-1"]
    for one in inside:
        for other in [*hosts, *(w.name for w in running_machines(cluster))]:
            if other not in inside:
                cluster.network.cut(one, other, cluster.rng.choice(["hold", "drop"]))
    tasks_inside = [w for w, _ in cluster.tasks_on_machines() if w.name in inside]
    cluster.observed["work in a cut zone"] += len(tasks_inside)
    await anyio.sleep(LEASE_S + cluster.rng.uniform(2.0, 8.0))
    cluster.network.heal()


# The scenarios, each with the observations that show that it occurred.
SCENARIOS: dict[FaultScenario, tuple[str, ...]] = {
    leaders_crash_with_uncommitted_task_ends: ("end proved, not committed",),
    delayed_heartbeats: ("duplicated heartbeat",),
    slow_store_then_outage: ("cancelled just before",),
    responses_lost: ("response lost", "leader crashed"),
    late_transactions: ("late write refused",),
    all_controllers_restart: ("all controllers crashed",),
    leader_partitioned: ("work reported to the leader",),
    commands_delayed: ("late command",),
    store_responses_lost: ("change read by others after its response was lost",),
    heartbeats_lost: ("heartbeat lost",),
    replayed_heartbeats: ("replayed heartbeat at every controller",),
    cancelled_on_hanging_machines: ("hung with cancelled tasks",),
    concurrent_reads: ("read concurrently when accepted", "read concurrently when done"),
    cancelled_at_completion: ("cancelled at completion",),
    machines_replaced_at_once: ("tasks on recently booted machines",),
    zone_partitioned: ("work in a cut zone",),
    commands_copied: ("copied command",),
}


def play_scenarios(seed: int, *scenarios: FaultScenario, jobs: int = 14) -> list[str]:
    """Run scenarios concurrently, check the rules, and return the missing observations."""
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    run(cluster, lambda: run_with_faults(cluster, scenarios, jobs))
    assert cluster.violations == [], cluster.violations[:3]
    expected = [name for scenario in scenarios for name in SCENARIOS[scenario]]
    return [name for name in expected if not cluster.observed[name]]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.__name__)
def test_rules_hold_under_combined_faults(scenario: FaultScenario) -> None:
    assert not play_scenarios(700 + list(SCENARIOS).index(scenario), scenario)
