"""Faults of a whole simulated cluster, drawn from its random generator.

A fault is a routine that injects a fault and ends it, except for network cuts, which the caller
must heal.  Faults of single machines, of the store and of the network are attributes of these
(`Machine.hung_until`, `Store.refused_sources`, `Network.one_way` and others).
"""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from simulation.cluster import SimulatedCluster
from simulation.deployment import LEASE_S, ZONES
from simulation.event_loop import now
from simulation.network import CutMode
from simulation.workers import Worker

Fault = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]

_CUT_MODES: list[CutMode] = ["drop", "hold"]


def running_machines(cluster: SimulatedCluster) -> list[Worker]:
    """Return the machines that are up."""
    return [worker for worker in cluster.cloud.workers.values() if worker.state == "running"]


def random_machines(cluster: SimulatedCluster, one_in: int) -> list[Worker]:
    """Return a random sample of the machines that are up, one in `one_in`."""
    machines = running_machines(cluster)
    return cluster.rng.sample(machines, len(machines) // one_in)


async def restart(cluster: SimulatedCluster, index: int, after_s: float) -> None:
    """Crash a controller, and start it again after `after_s` seconds."""
    cluster.crash(index)
    await anyio.sleep(after_s)
    cluster.boot(index)


async def no_fault(cluster: SimulatedCluster) -> None:
    """Inject no fault."""
    await anyio.sleep(1.0)


async def controller_crashes(cluster: SimulatedCluster) -> None:
    """Crash and restart some or all controllers, five times."""
    for _ in range(5):
        await anyio.sleep(cluster.rng.uniform(2.0, 8.0))
        crashed = cluster.rng.sample(range(cluster.count), cluster.rng.randint(1, cluster.count))
        for index in crashed:
            cluster.crash(index)
            await anyio.sleep(cluster.rng.uniform(0.0, 1.0))
        await anyio.sleep(3.0)
        for index in range(cluster.count):
            if f"node-{index}" not in cluster.nodes:
                cluster.boot(index)


async def restart_with_copies(cluster: SimulatedCluster, index: int, after_s: float) -> None:
    """Restart a controller within a second; all kept copies of commands arrive as it returns."""
    await restart(cluster, index, after_s)
    cluster.network.command_copies.deliver_kept()


async def copied_commands(cluster: SimulatedCluster) -> None:
    """Copy answered commands, while controllers restart within a second and machines hang."""
    copies = cluster.network.command_copies
    copies.share = cluster.rng.uniform(0.5, 1.0)
    for _ in range(6):
        copies.kept = []
        for worker in random_machines(cluster, 4):
            worker.hung_until = now() + cluster.rng.uniform(0.2, 0.9 * LEASE_S)
        await anyio.sleep(cluster.rng.uniform(2.0, 8.0))
        index = cluster.rng.randrange(cluster.count)
        await restart_with_copies(cluster, index, cluster.rng.uniform(0.1, 0.9))
    copies.kept = None


async def store_outage(cluster: SimulatedCluster) -> None:
    """Make the store refuse all controllers for 8 or 40 seconds, later a single controller."""
    await anyio.sleep(6.0)
    cluster.store.outage(True)
    await anyio.sleep(cluster.rng.choice([8.0, 40.0]))
    cluster.store.outage(False)
    await anyio.sleep(5.0)
    cluster.store.refused_sources = {"node-1"}
    await anyio.sleep(30.0)
    cluster.store.refused_sources = set()


async def network_cuts(cluster: SimulatedCluster) -> None:
    """Cut controllers off from three other hosts each; not all cuts are healed."""
    hosts = ["state", "cloud", "node-0", "node-1", "node-2"]
    for _ in range(8):
        await anyio.sleep(cluster.rng.uniform(1.0, 4.0))
        machines = [w.name for w in cluster.cloud.workers.values() if w.terminated_at is None]
        source = cluster.rng.choice(hosts[2:])
        for target in cluster.rng.sample(hosts + machines, 3):
            if target != source:
                cluster.network.cut(source, target, cluster.rng.choice(_CUT_MODES))
        if cluster.rng.random() < 0.4:
            await anyio.sleep(cluster.rng.uniform(5.0, 30.0))
            cluster.network.heal()


async def machine_failures(cluster: SimulatedCluster) -> None:
    """Make machines fail, hang, become faulty, or be reclaimed after a spot notice."""
    for _ in range(8):
        await anyio.sleep(cluster.rng.uniform(2.0, 6.0))
        machines = running_machines(cluster)
        if not machines:
            continue
        worker = cluster.rng.choice(machines)
        kind = cluster.rng.randrange(4)
        if kind == 0:
            worker.terminate(True)
        elif kind == 1:
            worker.hung_until = now() + cluster.rng.uniform(3.0, 25.0)
        elif kind == 2:
            worker.faulty = True
        else:
            worker.notice_until = now() + 5.0
            await anyio.sleep(5.0)
            worker.terminate(False)


async def all_faults(cluster: SimulatedCluster) -> None:
    """Run controller crashes, network cuts and machine failures concurrently."""
    async with anyio.create_task_group() as tasks:
        for fault in (controller_crashes, network_cuts, machine_failures):
            tasks.start_soon(fault, cluster)


async def zone_cut_off(cluster: SimulatedCluster) -> None:
    """Partition one zone from the rest; some messages are delayed until it is healed."""
    await anyio.sleep(8.0)
    workers = cluster.cloud.workers.values()
    inside = {f"node-{i}" for i in range(cluster.count) if i % 2}
    inside |= {w.name for w in workers if w.zone == ZONES[1]}
    outside = {"state", "cloud", *(f"node-{i}" for i in range(cluster.count) if i % 2 == 0)}
    outside |= {w.name for w in workers if w.zone == ZONES[0]}
    for source in sorted(inside):
        for target in sorted(outside):
            cluster.network.cut(source, target, cluster.rng.choice(_CUT_MODES))
    await anyio.sleep(25.0)
    cluster.network.heal()


async def spot_reclaim_wave(cluster: SimulatedCluster) -> None:
    """Reclaim most spot machines, half of them without notice, while controllers restart."""
    await anyio.sleep(10.0)
    spot = [w for w in cluster.cloud.workers.values() if w.spot and w.terminated_at is None]
    for worker in spot:
        if cluster.rng.random() < 0.5:
            worker.notice_until = now() + 8.0
    await anyio.sleep(3.0)
    for index in (0, 1, 2):
        cluster.crash(index)
    await anyio.sleep(4.0)
    for index in (0, 1, 2):
        cluster.boot(index)
    for worker in spot:
        if worker.terminated_at is None and cluster.rng.random() < 0.8:
            worker.terminate(False)


async def slow_store(cluster: SimulatedCluster) -> None:
    """Slow down the store, then stop it for longer than a controller's lease."""
    await anyio.sleep(6.0)
    cluster.store.mean_delay_s = 0.3
    await anyio.sleep(15.0)
    cluster.store.mean_delay_s = 0.0
    cluster.store.outage(True)
    await anyio.sleep(27.0)
    cluster.store.outage(False)
