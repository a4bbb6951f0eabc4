"""A controller that returns, answers agents and ends between two reads of another one."""

import anyio
import pytest

from simulation import LEASE_S, SimulatedCluster, job, run
from simulation.fault_scenarios import LONG_TASK_S, running_tasks, wait_until
from simulation.workloads import wait_until_healthy

JOB_ID = "job-000001"
# A controller's lease, and the delay of its end, in seconds.
_CONTROLLER_LEASE_S, _LEASE_END_DELAY_S = 2 * LEASE_S, 0.2


def play(seed: int, log_is_complete: bool) -> SimulatedCluster:
    """Let one controller return and end while the other one, the reader, cannot read the store.

    `log_is_complete` tells whether the reader then reads all changes, or the records as they are.
    """
    cluster = SimulatedCluster(seed, count=2)

    async def main() -> None:
        await wait_until_healthy(cluster)
        keeper = job(900, form="service", entries=4, rank="prod", breeds=["large"], apart=True)
        await cluster.submit(keeper)
        await cluster.until_running(keeper["id"], keeper["entries"], 60.0)
        cluster.crash(1)
        spec = job(1, entries=1, vcpus=1.0, breeds=["large"], image_gb=0.0, expect_s=LONG_TASK_S)
        await cluster.submit(spec, 240)
        await wait_until(lambda: len(running_tasks(cluster, JOB_ID)) == 1, 90.0, 0.2)
        await anyio.sleep(_CONTROLLER_LEASE_S + LEASE_S)
        machine = running_tasks(cluster, JOB_ID)[0][0]
        # The machine reaches only the controller that returns, and the reader not the store.
        cluster.store.refused_sources = {"node-0"}
        cluster.network.cut(machine.name, "node-0", "drop")
        cluster.boot(1)
        await wait_until(lambda: answers(cluster, machine.name), LEASE_S, 0.05)
        cluster.network.cut("node-0", "node-1", "drop")
        cluster.network.cut("state", "node-1", "drop")
        await anyio.sleep(_CONTROLLER_LEASE_S + _LEASE_END_DELAY_S)
        assert machine.epoch == 1
        if not log_is_complete:
            cluster.store.forget_log()
        cluster.store.refused_sources = set()
        await anyio.sleep(2 * LEASE_S)
        cluster.check()

    run(cluster, main)
    return cluster


def answers(cluster: SimulatedCluster, machine: str) -> bool:
    """Return whether the controller that returned commands a machine's agent."""
    node = cluster.nodes.get("node-1")
    agent = None if node is None else node.reconciler.agents.get(machine)
    return agent is not None and agent.accepts_token and node.controller_lease.alive()


@pytest.mark.parametrize("log_is_complete", [True, False], ids=["log", "full read"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_task_does_not_run_twice_after_a_controller_returned_between_two_reads(
    seed: int, log_is_complete: bool
) -> None:
    assert play(seed, log_is_complete).violations == []
