"""Controllers come back while dependency chains are cancelled, and read single records late."""

from functools import partial

import anyio
import pytest

from simulation import SimulatedCluster, job
from simulation.fault_scenarios import run_and_expect
from simulation.workloads import pipeline, submit_in_order, wait_until_healthy


async def cancel_while_controllers_are_away(cluster: SimulatedCluster, first_number: int) -> None:
    """Cancel the first job of a pipeline while some controllers are away; ask them on their return."""
    rng = cluster.rng
    jobs = pipeline(cluster, first_number)
    jobs[0]["expect_s"] = 500.0
    await submit_in_order(cluster, jobs)
    away = rng.sample(range(cluster.count), rng.randint(1, cluster.count - 1))
    node = next(index for index in range(cluster.count) if index not in away)
    for index in away:
        cluster.crash(index)
    assert await cluster.cancel(jobs[0]["id"], node=node) == "cancelled"
    for spec in jobs:
        await cluster.poll(spec["id"], node)
    await anyio.sleep(rng.uniform(0.5, 4.0))
    for index in away:
        cluster.boot(index)
    for look in range(40):
        for spec in jobs:
            cluster.network.start(partial(cluster.poll, spec["id"], rng.choice(away)))
        dependent = job(first_number + 50 + look, awaits=[rng.choice(jobs)["id"]])
        cluster.specs[dependent["id"]] = dependent
        for spec in (dependent, rng.choice(jobs)):
            cluster.network.start(partial(cluster.submit_once, spec, rng.choice(away)))
        await anyio.sleep(0.05)


@pytest.mark.parametrize("seed", [1001, 1023, 1029, 1047, 1051, 1070])
def test_no_answer_goes_back_when_controllers_return_and_read_late(seed: int) -> None:
    """Guards against answers of a record from before a wait and of outcomes from after it."""
    assert play_returns(seed)


def play_returns(seed: int) -> int:
    """Play three cancellations with late answers of the store; return the number of late reads."""
    cluster = SimulatedCluster(seed)

    async def main() -> None:
        await wait_until_healthy(cluster)
        cluster.store.reads_late = True
        for number in range(3):
            late = f"node-{cluster.rng.randrange(cluster.count)}"
            cluster.store.commit_response_delay_s = {late: cluster.rng.uniform(0.0, 0.6)}
            await cancel_while_controllers_are_away(cluster, 100 * number)
            await wait_until_healthy(cluster)

    run_and_expect(cluster, main)
    return cluster.observed["late read"]
