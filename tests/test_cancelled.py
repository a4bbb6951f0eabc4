"""Cancellations during a fault: tasks of the job end within `cancel_s`, and none is started.

The simulation checks these rules; each test verifies that the cancellation was answered during the
fault.  `docs/combined-faults.md` describes the combinations.
"""

import anyio
import pytest

from simulation import LEASE_S, SimulatedCluster, Worker, now
from simulation.fault_scenarios import (
    CANCEL_S,
    cancel_all_and_recover,
    cancel_running_jobs,
    leader,
    run_and_expect,
    run_long_jobs,
    running_tasks,
    wait_until,
)
from simulation.faults import restart
from simulation.workloads import wait_until_healthy


def accepts_token(cluster: SimulatedCluster, worker: Worker) -> bool:
    """Return whether a worker accepts the fencing token of its reporting controller."""
    node = cluster.nodes.get(f"node-{worker.reporting_controller}")
    agent = node.reconciler.agents.get(worker.name) if node is not None else None
    return agent is not None and agent.accepts_token and agent.synced


def machines_with_cancelled_work(cluster: SimulatedCluster, index: int) -> int:
    """Return the number of machines that run cancelled tasks and report to this controller."""
    cancelled = {job_id for job_id, at in cluster.cancelled_at.items() if at < now()}
    return len(
        {
            w.name
            for w, t in cluster.tasks_on_machines()
            if w.reporting_controller == index and t.spec["id"] in cancelled
        }
    )


def running_jobs_of(cluster: SimulatedCluster, index: int) -> list[str]:
    """Return the job of each running task on the workers that report to this controller."""
    return [
        name.partition("/")[0]
        for worker, name in running_tasks(cluster)
        if worker.reporting_controller == index
    ]


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("partitioned", [False, True], ids=["connected", "partitioned"])
def test_cancelled_tasks_end_when_the_store_refuses_the_leader_just_before_an_outage(
    partitioned: bool, count: int
) -> None:
    """The store refuses only the leader; a second later it fails for longer than `cancel_s`."""
    cluster = SimulatedCluster(1000 + count + 2 * partitioned, count, cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await run_long_jobs(cluster, 10)
        index = leader(cluster)
        cluster.store.refused_sources = {f"node-{index}"}
        for other in range(count) if partitioned else ():
            if other != index:
                cluster.network.cut(f"node-{index}", f"node-{other}", "drop")
        # Cancelled through another controller, as the leader cannot commit.
        leader_jobs = running_jobs_of(cluster, index)
        for job_id in dict.fromkeys(leader_jobs):
            other = cluster.rng.choice([i for i in range(count) if i != index])
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240, other)
        await cancel_running_jobs(cluster, 6)
        await anyio.sleep(1.0)
        cluster.observed["answered before the outage"] += len(cluster.answers.final_states)
        cluster.observed["its machines report to the leader"] += machines_with_cancelled_work(
            cluster, index
        )
        cluster.store.outage(True)
        cluster.store.refused_sources = set()
        await anyio.sleep(CANCEL_S + LEASE_S)
        assert cluster.store.down
        overdue = {j for j, at in cluster.cancelled_at.items() if now() - at > CANCEL_S}
        cluster.observed["answered more than cancel_s ago"] += len(overdue)
        assert overdue and not running_tasks(cluster, *overdue)
        await cancel_all_and_recover(cluster, ids)

    run_and_expect(
        cluster,
        main,
        "answered before the outage",
        "answered more than cancel_s ago",
        "cancelled while it ran",
    )


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("mode", ["drop", "hold"])
def test_tasks_cancelled_through_others_end_while_the_leader_is_partitioned_with_its_workers(
    mode: str, count: int
) -> None:
    """The leader loses the store and the other controllers, but not its workers and users."""
    cluster = SimulatedCluster(1060 + (mode == "hold") + count, count, cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await run_long_jobs(cluster, 10)
        index = leader(cluster)
        for other in ["state", *(f"node-{i}" for i in range(count) if i != index)]:
            cluster.network.cut(f"node-{index}", other, mode)
        await anyio.sleep(cluster.rng.uniform(0.1, 0.4))
        other = cluster.rng.choice([i for i in range(count) if i != index])
        leader_jobs = running_jobs_of(cluster, index)
        cluster.observed["work reported to the leader"] += len(leader_jobs)
        for job_id in dict.fromkeys(leader_jobs):
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240, other)
        await cancel_running_jobs(cluster, 6, node=other)
        started_at = now()
        while now() - started_at < CANCEL_S + LEASE_S:
            cluster.observed["cancelled work reported to the leader"] += (
                machines_with_cancelled_work(cluster, index)
            )
            # The partitioned leader must not return older states than the other controllers.
            await cluster.poll(cluster.rng.choice(ids), index)
            await cluster.cancel(ids[0], 1, index)
            await anyio.sleep(0.5)
        await cancel_all_and_recover(cluster, ids)

    run_and_expect(
        cluster,
        main,
        "work reported to the leader",
        "cancelled work reported to the leader",
        "cancelled while it ran",
    )


@pytest.mark.parametrize("fault", ["none", "the leader changes", "outage", "a restart after"])
def test_cancelled_tasks_end_while_workers_reach_no_controller(fault: str) -> None:
    """Heartbeats are lost; workers report status only in responses to direct commands."""
    faults = ["none", "the leader changes", "outage", "a restart after"]
    cluster = SimulatedCluster(1080 + faults.index(fault), cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await run_long_jobs(cluster, 10)
        # A worker that was just redirected rejects commands until it accepts the new fencing token.
        await wait_until(
            lambda: all(accepts_token(cluster, w) for w, _ in running_tasks(cluster)), 60.0, 0.05
        )
        workers = {w.name: w for w, _ in running_tasks(cluster)}
        for worker in workers.values():
            worker.heartbeats_lost_until = now() + CANCEL_S + LEASE_S
        await anyio.sleep(cluster.rng.uniform(0.5, 3.0))
        index = leader(cluster)
        jobs = 6
        if fault == "the leader changes":
            await restart(cluster, index, 1.0)
            # The machines of the other controllers may hold the tasks of a single job.
            jobs = len(ids)
        await cancel_running_jobs(cluster, jobs)
        await anyio.sleep(0.5)
        answered = [i for i in ids if cluster.answers.final_states.get(i) == "cancelled"]
        cluster.observed["answered while heartbeats were lost"] += len(answered)
        if fault == "outage":
            cluster.store.outage(True)
        elif fault == "a restart after":
            await restart(cluster, index, 3.0)
        await anyio.sleep(CANCEL_S + LEASE_S)
        cluster.store.outage(False)
        await cancel_all_and_recover(cluster, ids)

    run_and_expect(
        cluster,
        main,
        "heartbeat lost",
        "answered while heartbeats were lost",
        "commanded while heartbeats are lost",
    )
