"""The faults of a run, drawn from its seed before it begins, so that a record repeats them."""

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, NamedTuple

import anyio

from simulation.deployment import CANCEL_S, LEASE_S, LIST_LAG_S
from simulation.event_loop import now
from simulation.fault_scenarios import cancel_running_jobs, leader
from simulation.faults import random_machines, restart, restart_with_copies, running_machines
from simulation.network import CutMode
from soak.cluster import SoakCluster

# Faults overlap: the range of the time between the beginnings of two, in seconds.
_INTERVAL_S = (1.0, 7.0)
# Time before the first and after the last fault, in seconds.
_QUIET_S = 6.0
_PAGE_MACHINES = 5
_CUT_MODES: list[CutMode] = ["hold", "drop"]


class FaultPlan(NamedTuple):
    """A fault: its kind, when it begins and how long it lasts, in seconds."""

    kind: str
    at_s: float
    for_s: float
    node: int  # index of the controller that it meets, unless it meets the leader
    share: float  # of the machines, requests or messages that it meets

    def __str__(self) -> str:
        return (
            f"{self.at_s:6.1f} s {self.kind} for {self.for_s:.1f} s, "
            f"node-{self.node}, share {self.share:.2f}"
        )


Fault = Callable[[SoakCluster, FaultPlan], Coroutine[Any, Any, None]]


async def kill(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Kill a controller, and start it again."""
    await restart(cluster, plan.node, plan.for_s)


async def leaders_change(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Kill one leader after another."""
    for _ in range(4):
        await restart(cluster, leader(cluster), plan.share)
        await anyio.sleep(plan.for_s / 4)


async def freeze(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Freeze the leader."""
    index = leader(cluster)
    cluster.freeze(index)
    await anyio.sleep(plan.for_s)
    cluster.thaw(index)


async def _cut_for(cluster: SoakCluster, plan: FaultPlan, hosts: list[str]) -> None:
    node = f"node-{plan.node}"
    mode: CutMode = cluster.rng.choice(_CUT_MODES)
    for host in hosts:
        cluster.network.cut(node, host, mode)
    await anyio.sleep(plan.for_s)
    for host in hosts:
        cluster.network.cuts.pop(frozenset((node, host)), None)


async def cut_from_peers(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Cut a controller off from one or all others."""
    peers = [f"node-{i}" for i in range(cluster.count) if i != plan.node]
    await _cut_for(cluster, plan, peers if plan.share < 0.4 else [cluster.rng.choice(peers)])


async def cut_from_store(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Cut a controller off from the store, and perhaps from the others."""
    peers = [f"node-{i}" for i in range(cluster.count) if i != plan.node]
    await _cut_for(cluster, plan, ["state", *(peers if plan.share < 0.5 else [])])


async def cut_from_workers(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Cut a controller off from a share of the workers."""
    workers = [w.name for w in running_machines(cluster) if cluster.rng.random() < plan.share]
    await _cut_for(cluster, plan, workers)


async def store_refuses(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Let the store refuse one controller."""
    cluster.store.refused_sources = {f"node-{plan.node}"}
    await anyio.sleep(plan.for_s)
    cluster.store.refused_sources = set()


async def store_outage(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Let the store refuse everybody."""
    cluster.store.outage(True)
    await anyio.sleep(plan.for_s)
    cluster.store.outage(False)


async def slow_store(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Slow down the store for everybody, and the answers to the commits of one controller."""
    node = f"node-{plan.node}"
    cluster.store.mean_delay_s = 0.4 * plan.share
    cluster.store.commit_response_delay_s[node] = 4.0 * plan.share
    await anyio.sleep(plan.for_s)
    cluster.store.mean_delay_s = 0.0
    cluster.store.commit_response_delay_s.pop(node, None)


async def late_transactions(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Leave transactions unanswered and apply them late."""
    cluster.store.unanswered.share = plan.share / 2
    await anyio.sleep(plan.for_s)
    cluster.store.unanswered.share = 0.0


async def late_reports(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Deliver copies of heartbeats late, and to every controller at the end."""
    cluster.duplicated_heartbeat_share, cluster.kept_heartbeat_share = plan.share, 0.1
    await anyio.sleep(plan.for_s)
    cluster.duplicated_heartbeat_share = cluster.kept_heartbeat_share = 0.0
    cluster.replay_kept_heartbeats()


async def late_commands(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Hold up the direct commands to a share of the machines."""
    for worker in running_machines(cluster):
        if cluster.rng.random() < plan.share:
            worker.commands_held_until = now() + plan.for_s


async def copied_commands(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Deliver copies of all commands as a controller or the machines return within a second."""
    copies = cluster.network.command_copies
    copies.kept = []
    await anyio.sleep(plan.for_s)
    if plan.share < 0.3:
        for worker in random_machines(cluster, 2):
            worker.hung_until = now() + plan.share
        copies.deliver_kept()
    else:
        await restart_with_copies(cluster, plan.node, plan.share)
    copies.kept = None


async def deaf_machines(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Lose all responses and commands to some machines."""
    for worker in random_machines(cluster, 3):
        worker.responses_lost_until = now() + plan.for_s


async def mute_machines(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Lose all heartbeats of some machines."""
    for worker in random_machines(cluster, 3):
        worker.heartbeats_lost_until = now() + plan.for_s


async def hanging_machines(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Let some machines hang."""
    for worker in random_machines(cluster, 4):
        worker.hung_until = now() + plan.for_s


async def machines_end(cluster: SoakCluster, plan: FaultPlan) -> None:
    """End some machines without a notice."""
    for worker in random_machines(cluster, 5):
        worker.terminate(cluster.rng.random() < 0.5)


async def slow_list(cluster: SoakCluster, plan: FaultPlan) -> None:
    """List machines in small pages, slowly, as old as allowed, and refuse some pages."""
    cloud = cluster.cloud
    cloud.page_machines, cloud.list_delay_s = _PAGE_MACHINES, plan.share
    cloud.list_lag_s = cluster.rng.choice([None, 0.0, 2 * LIST_LAG_S])
    cloud.on_list = lambda after: 429 if cluster.rng.random() < 0.2 * plan.share else None
    await anyio.sleep(plan.for_s)
    cloud.page_machines, cloud.list_delay_s, cloud.list_lag_s = 500, 0.0, None
    cloud.on_list = None


async def cancellations(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Cancel running jobs, and let some of their machines hang."""
    await cancel_running_jobs(cluster, 6, plan.for_s if plan.share < 0.5 else 0.0)


# By kind, the range of the duration in seconds.
FAULTS: dict[Fault, tuple[float, float]] = {
    kill: (0.2, 20.0),
    leaders_change: (8.0, 24.0),
    freeze: (0.5, LEASE_S + 6.0),
    cut_from_peers: (3.0, 30.0),
    cut_from_store: (2.0, CANCEL_S),
    cut_from_workers: (3.0, 2 * LEASE_S),
    store_refuses: (2.0, CANCEL_S),
    store_outage: (1.0, 25.0),
    slow_store: (5.0, 30.0),
    late_transactions: (5.0, 25.0),
    late_reports: (5.0, 20.0),
    late_commands: (2.0, 20.0),
    copied_commands: (2.0, 2 * LEASE_S),
    deaf_machines: (2.0, 2 * LEASE_S),
    mute_machines: (2.0, 2 * LEASE_S),
    hanging_machines: (2.0, 2 * LEASE_S),
    machines_end: (0.0, 0.1),
    slow_list: (8.0, 30.0),
    cancellations: (1.0, LEASE_S),
}
_BY_NAME = {fault.__name__: fault for fault in FAULTS}


def draw_faults(seed: int, count: int, seconds: float) -> list[FaultPlan]:
    """Draw the faults of a run with `count` controllers.

    Every fault begins within the run and ends with it at the latest.
    """
    rng = Random(f"faults of {seed}")
    plans: list[FaultPlan] = []
    at_s = rng.uniform(0.0, _QUIET_S)
    while at_s < seconds - _QUIET_S:
        fault = rng.choice(list(FAULTS))
        for_s = min(rng.uniform(*FAULTS[fault]), seconds - at_s)
        plans.append(
            FaultPlan(fault.__name__, at_s, for_s, rng.randrange(count), rng.uniform(0.1, 1.0))
        )
        at_s += rng.uniform(*_INTERVAL_S)
    return plans


async def inject(cluster: SoakCluster, plan: FaultPlan) -> None:
    """Wait for the beginning of a fault and inject it."""
    await anyio.sleep(plan.at_s)
    await _BY_NAME[plan.kind](cluster, plan)


def end_all(cluster: SoakCluster) -> None:
    """End all faults that are still in force, and start all controllers."""
    cluster.network.heal()
    cluster.store.outage(False)
    cluster.store.refused_sources = set()
    cluster.store.mean_delay_s = cluster.store.unanswered.share = 0.0
    cluster.store.commit_response_delay_s.clear()
    cluster.cloud.on_list, cluster.cloud.list_delay_s, cluster.cloud.list_lag_s = None, 0.0, None
    for worker in running_machines(cluster):
        worker.hung_until = worker.commands_held_until = 0.0
        worker.responses_lost_until = worker.heartbeats_lost_until = 0.0
    for index in range(cluster.count):
        cluster.thaw(index)
        cluster.boot(index)
