"""Faults that strike a whole simulated cluster, drawn from its randomness.

A fault is a routine that strikes and heals by itself, except for cuts of the network, which whoever
started it ends.  Faults of single machines, of the store and of the network are attributes of these
(`Machine.hung_until`, `Store.refused_sources`, `Network.one_way` and the like).
"""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from simulation.cluster import SimulatedCluster
from simulation.deployment import ZONES
from simulation.event_loop import now
from simulation.network import CutMode
from simulation.workers import Worker

Fault = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]

_CUT_MODES: list[CutMode] = ["drop", "hold"]


def running_machines(cluster: SimulatedCluster) -> list[Worker]:
    """The machines that are up."""
    return [worker for worker in cluster.cloud.workers.values() if worker.state == "running"]


def random_machines(cluster: SimulatedCluster, one_in: int) -> list[Worker]:
    """One in so many of the machines that are up, at random."""
    machines = running_machines(cluster)
    return cluster.rng.sample(machines, len(machines) // one_in)


async def restart(cluster: SimulatedCluster, index: int, after_s: float) -> None:
    """End a controller, and start it again after so many seconds."""
    cluster.crash(index)
    await anyio.sleep(after_s)
    cluster.boot(index)


async def no_fault(cluster: SimulatedCluster) -> None:
    """Nothing fails."""
    await anyio.sleep(1.0)


async def controller_crashes(cluster: SimulatedCluster) -> None:
    """Some or all controllers end together and start again, five times."""
    for _ in range(5):
        await anyio.sleep(cluster.rng.uniform(2.0, 8.0))
        chosen = cluster.rng.sample(range(cluster.count), cluster.rng.randint(1, cluster.count))
        for index in chosen:
            cluster.crash(index)
            await anyio.sleep(cluster.rng.uniform(0.0, 1.0))
        await anyio.sleep(3.0)
        for index in range(cluster.count):
            if f"node-{index}" not in cluster.nodes:
                cluster.boot(index)


async def store_outage(cluster: SimulatedCluster) -> None:
    """The store refuses everybody for a short or long while, later one controller alone."""
    await anyio.sleep(6.0)
    cluster.store.outage(True)
    await anyio.sleep(cluster.rng.choice([8.0, 40.0]))
    cluster.store.outage(False)
    await anyio.sleep(5.0)
    cluster.store.refused_sources = {"node-1"}
    await anyio.sleep(30.0)
    cluster.store.refused_sources = set()


async def network_cuts(cluster: SimulatedCluster) -> None:
    """Controllers are cut off from a few other hosts each; not all cuts are healed."""
    hosts = ["state", "cloud", "node-0", "node-1", "node-2"]
    for _ in range(8):
        await anyio.sleep(cluster.rng.uniform(1.0, 4.0))
        machines = [w.name for w in cluster.cloud.workers.values() if w.gone_at is None]
        one = cluster.rng.choice(hosts[2:])
        for other in cluster.rng.sample(hosts + machines, 3):
            if other != one:
                cluster.network.cut(one, other, cluster.rng.choice(_CUT_MODES))
        if cluster.rng.random() < 0.4:
            await anyio.sleep(cluster.rng.uniform(5.0, 30.0))
            cluster.network.heal()


async def machine_failures(cluster: SimulatedCluster) -> None:
    """Machines fail, hang, become faulty, or are taken back after a notice."""
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
    """Controllers crash, the network is cut and machines fail, all at once."""
    async with anyio.create_task_group() as tasks:
        for fault in (controller_crashes, network_cuts, machine_failures):
            tasks.start_soon(fault, cluster)


async def zone_cut_off(cluster: SimulatedCluster) -> None:
    """Everything in one zone is cut off from the rest; some of its packets arrive late."""
    await anyio.sleep(8.0)
    workers = cluster.cloud.workers.values()
    inside = {f"node-{i}" for i in range(cluster.count) if i % 2}
    inside |= {w.name for w in workers if w.zone == ZONES[1]}
    outside = {"state", "cloud", *(f"node-{i}" for i in range(cluster.count) if i % 2 == 0)}
    outside |= {w.name for w in workers if w.zone == ZONES[0]}
    for one in sorted(inside):
        for other in sorted(outside):
            cluster.network.cut(one, other, cluster.rng.choice(_CUT_MODES))
    await anyio.sleep(25.0)
    cluster.network.heal()


async def spot_reclaim_wave(cluster: SimulatedCluster) -> None:
    """Most spot machines are taken, half of them without notice; then controllers crash."""
    await anyio.sleep(10.0)
    spot = [w for w in cluster.cloud.workers.values() if w.spot and w.gone_at is None]
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
        if worker.gone_at is None and cluster.rng.random() < 0.8:
            worker.terminate(False)


async def slow_store(cluster: SimulatedCluster) -> None:
    """The store answers slowly, then not at all for longer than a controller's lease."""
    await anyio.sleep(6.0)
    cluster.store.mean_delay_s = 0.3
    await anyio.sleep(15.0)
    cluster.store.mean_delay_s = 0.0
    cluster.store.outage(True)
    await anyio.sleep(27.0)
    cluster.store.outage(False)
