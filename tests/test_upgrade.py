"""Upgrades: controllers of the version in production and of the current one share a store."""

from random import Random
from typing import Any

import anyio
import pytest

import production
from sandladder.model import SCHEMA_V1, SCHEMA_V2, MachineInventory
from sandladder.state import (
    INVENTORY_PREFIX,
    PreconditionFailedError,
    StateCache,
    Transaction,
    inventory_values_v1,
    mark_schema_version,
    raise_schema_version,
    retire_controller,
)
from simulation import NEXT_LIMITS, THIS_VERSION, SimulatedCluster, job, now, run
from simulation.faults import (
    Fault,
    all_faults,
    controller_crashes,
    machine_failures,
    network_cuts,
    no_fault,
    store_outage,
)
from simulation.workloads import mixed_job, pipeline, submit_in_order, wait_until_healthy

requires_history = pytest.mark.skipif(
    production.unavailable_reason() is not None, reason=str(production.unavailable_reason())
)


def test_production_commit_is_in_the_history() -> None:
    if production.unavailable_reason() is not None:
        pytest.skip(str(production.unavailable_reason()))
    production._git("merge-base", "--is-ancestor", production.commit(), "HEAD")


async def upgrade_controllers(cluster: SimulatedCluster, order: list[int], pause_s: float) -> None:
    """Kill the controllers in order, and restart each with the current version."""
    for index in order:
        cluster.crash(index)
        cluster.versions[index] = THIS_VERSION
        await anyio.sleep(cluster.rng.uniform(1.0, 3.0))
        cluster.boot(index)
        await anyio.sleep(cluster.rng.uniform(0.0, pause_s))


async def run_upgrade(cluster: SimulatedCluster, fault: Fault) -> None:
    """Upgrade the controllers under a fault, then submit dependent jobs and reduce the limits."""
    await wait_until_healthy(cluster)
    job_count = 10
    ids = [f"job-{n:06d}" for n in range(job_count)]
    service = job(900, form="service", entries=2, rank="prod", docket="web", loaners=False)
    wide = job(901, entries=40, vcpus=1.0, ram_gb=1.0, expect_s=20.0)

    async def users() -> None:
        await cluster.submit(service)
        await cluster.submit(wide, 120)
        for number in range(job_count):
            cluster.network.tasks.start_soon(cluster.submit, mixed_job(cluster, number), 120)
            await anyio.sleep(cluster.rng.uniform(1.0, 4.0))
            await cluster.poll(cluster.rng.choice(ids[: number + 1]))

    order = cluster.rng.sample(range(cluster.count), cluster.count)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(users)
        tasks.start_soon(fault, cluster)
        await anyio.sleep(cluster.rng.uniform(5.0, 15.0))
        await upgrade_controllers(cluster, order, 8.0)
    cluster.network.heal()
    for index in range(cluster.count):
        if f"node-{index}" not in cluster.nodes:
            cluster.boot(index)
    await wait_until_healthy(cluster)
    while any(node.cache.schema_version != 2 for node in cluster.nodes.values()):
        await anyio.sleep(0.5)
    # Dependencies may be jobs that either version accepted.
    pipelines = [pipeline(cluster, 1000 * n) for n in (1, 2)]
    pipelines[0][0]["awaits"] = [cluster.rng.choice(ids)]
    pipelines[1][0]["awaits"] = [wide["id"]]
    await submit_in_order(cluster, pipelines[0])
    await anyio.sleep(cluster.rng.uniform(0.0, 5.0))
    cluster.apply_next_limits()
    await submit_in_order(cluster, pipelines[1])
    cancelled = pipelines[1][2]["id"]
    assert await cluster.cancel(cancelled) in ("cancelled", "done")
    ids += [wide["id"], *(spec["id"] for specs in pipelines for spec in specs)]
    unfinished = await cluster.until_done(ids, 300.0)
    assert not unfinished, [(i, await cluster.poll(i)) for i in unfinished]
    await cluster.until_running(service["id"], 2)


FAULTS = [no_fault, controller_crashes, store_outage, network_cuts, machine_failures, all_faults]


@requires_history
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_rules_hold_during_an_upgrade_with_faults(fault: Fault) -> None:
    play_upgrade(900 + FAULTS.index(fault), fault)


@requires_history
def test_jobs_complete_after_an_upgrade_beside_a_waiting_job_that_needs_gpus() -> None:
    """Guards against aged jobs that are held to one task each, so that a gang never starts."""
    play_upgrade(932, all_faults)


def play_upgrade(seed: int, fault: Fault) -> None:
    cluster = SimulatedCluster(seed, old=True, next=NEXT_LIMITS)
    run(cluster, lambda: run_upgrade(cluster, fault))
    assert cluster.violations == []
    assert cluster.store.too_large == 0


@requires_history
def test_old_and_new_controllers_share_records_in_any_upgrade_order() -> None:
    """Controllers are upgraded and downgraded again while one still runs the old version."""
    cluster = SimulatedCluster(920, old=True, next=NEXT_LIMITS)
    old = production.load()

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = [f"job-{n:06d}" for n in range(12)]
        for number in range(12):
            cluster.network.tasks.start_soon(cluster.submit, mixed_job(cluster, number), 120)
            index = cluster.rng.randrange(2)  # the third keeps the old version
            cluster.crash(index)
            cluster.versions[index] = cluster.rng.choice([old, THIS_VERSION])
            await anyio.sleep(cluster.rng.uniform(0.5, 2.0))
            cluster.boot(index)
            await anyio.sleep(cluster.rng.uniform(1.0, 6.0))
        assert not await cluster.until_done(ids, 240.0)
        assert all(key != "s/j/form" for key in cluster.store.items)
        # A job with dependencies is rejected while a controller does not support them.
        answer = await cluster.ask("POST", "/work", job(50, awaits=[ids[0]]), node=0)
        if cluster.versions[0] is THIS_VERSION:
            assert answer.status == 503 and answer.retry_after is not None

    run(cluster, main)
    assert cluster.violations == []


@requires_history
def test_old_controller_started_after_the_upgrade_is_blocked(caplog: Any) -> None:
    cluster = SimulatedCluster(930, next=NEXT_LIMITS)

    async def main() -> None:
        await wait_until_healthy(cluster)
        assert all(node.cache.schema_version == 2 for node in cluster.nodes.values())
        specs = pipeline(cluster, 100)
        await submit_in_order(cluster, specs)
        cluster.crash(2)
        cluster.versions[2] = production.load()
        cluster.boot(2)
        await anyio.sleep(20.0)
        assert (await cluster.ask("GET", "/healthz", node=2)).status == 503
        ids = [spec["id"] for spec in specs]
        unfinished = list(ids)
        while unfinished:
            for name in list(unfinished):
                answer = await cluster.ask("GET", f"/work/{name}", node=0)
                if answer.status == 200 and b"done" in answer.body.split(b"standing")[1][:8]:
                    unfinished.remove(name)
            assert (await cluster.ask("GET", "/healthz", node=2)).status == 503
            assert (await cluster.ask("POST", "/work", job(300), node=2)).status == 503
            await anyio.sleep(1.0)
            assert now() < 1300.0, unfinished

    run(cluster, main)
    # The only violations are the old controller's failures, which name the cause.
    assert cluster.violations and all(
        "sandladder 0.2 or later" in text for text in cluster.violations
    )


@requires_history
def test_schema_version_is_not_raised_before_an_absent_controller_is_retired() -> None:
    cluster = SimulatedCluster(940, old=True)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await upgrade_controllers(cluster, [0, 1], 2.0)
        cluster.crash(2)
        await anyio.sleep(60.0)
        assert all(node.cache.schema_version == 1 for node in cluster.nodes.values())
        node = cluster.nodes["node-0"]
        assert await retire_controller(node.store, "node-2") is None
        await anyio.sleep(5.0)
        assert all(node.cache.schema_version == 2 for node in cluster.nodes.values())
        assert "is running" in str(await retire_controller(node.store, "node-1"))

    run(cluster, main)
    assert cluster.violations == []


def test_schema_version_is_not_raised_while_an_older_program_runs() -> None:
    cache = StateCache()
    for node in "ab":
        transaction = Transaction(cache)
        assert mark_schema_version(transaction, node, SCHEMA_V2)
        cache.apply(
            cache.revision + 1, [(k, v, cache.revision + 1) for k, v, _ in transaction.changes()]
        )
    for schema_version in (SCHEMA_V1, SCHEMA_V2):
        value = inventory_values_v1(MachineInventory(3, 5.0, 1, {}, schema_version), 8192)[0]
        if schema_version == SCHEMA_V1:
            value.pop("w")  # absent in records of the previous version
        cache.apply(cache.revision + 1, [(INVENTORY_PREFIX + "b", value, cache.revision + 1)])
        transaction = Transaction(cache)
        if schema_version == SCHEMA_V1:
            with pytest.raises(PreconditionFailedError):
                raise_schema_version(transaction, ["a", "b"])
        else:
            assert raise_schema_version(transaction, ["a", "b"])
            # The transaction expects both inventories' versions; that of "a" does not exist.
            assert (
                transaction.expected_versions[INVENTORY_PREFIX + "a"] == 0
                and transaction.expected_versions[INVENTORY_PREFIX + "b"] > 0
            )
            assert {"s/term", "s/j/form", "s/n/forms"} <= transaction.expected_versions.keys()
            with pytest.raises(PreconditionFailedError):
                raise_schema_version(Transaction(cache), ["a", "b", "c"])


@pytest.mark.parametrize("seed", [1, 2])
def test_wide_jobs_run_within_the_smallest_limits(seed: int) -> None:
    """Wide arrays, gangs and services with values of 2 KiB and 4 operations per transaction."""
    cluster = SimulatedCluster(950 + seed, large=True, next=NEXT_LIMITS)
    cluster.cloud.capacity = 60
    cluster.apply_next_limits()

    async def main() -> None:
        await wait_until_healthy(cluster)
        wide = job(1, entries=250, vcpus=1.0, ram_gb=1.0, expect_s=30.0)
        gang = job(2, entries=40, form="group", vcpus=2.0, bureau="blue", expect_s=5.0)
        web = job(900, form="service", entries=16, rank="prod", docket="web", loaners=False)
        for spec in (web, gang, wide):
            await cluster.submit(spec)
        names = ["small", "large", *(f"type-{n:03d}-{'x' * 60}" for n in range(40))]
        await cluster.submit(job(3, breeds=names, entries=30))
        max_running = 0
        while not cluster.is_done("job-000001"):
            await anyio.sleep(1.0)
            body = await cluster.poll("job-000001")
            max_running = max(max_running, (body or {}).get("running", 0))
        assert max_running >= 200
        assert not await cluster.until_done(["job-000002", "job-000003"], 200.0)
        await cluster.until_running(web["id"], 16)

    run(cluster, main)
    assert cluster.violations == []
    assert cluster.store.largest_value_bytes <= 2048 and cluster.store.too_large == 0


def test_limits_that_shrink_without_notice_stop_no_service() -> None:
    """Guards against endless retries of a transaction that exceeds the store's limits."""
    cluster = SimulatedCluster(960, large=True, value_kb=8.0)
    cluster.cloud.capacity = 60
    wide = {"entries": 60, "vcpus": 16.0, "ram_gb": 16.0, "expect_s": 8.0}

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = [f"job-{n:06d}" for n in range(4)]
        for number in range(2):
            await cluster.submit(job(number, **wide))
        await anyio.sleep(20.0)
        cluster.store.txn_ops, cluster.store.value_bytes = 4, 500.0
        for number in range(2, 4):
            await cluster.submit(job(number, **wide), 60)
        assert not await cluster.until_done(ids, 240.0)

    run(cluster, main)
    assert cluster.violations == []
    assert 0 < cluster.store.too_large < 20


def test_malformed_records_stop_neither_the_watch_nor_a_service() -> None:
    cluster = SimulatedCluster(970)
    rng = Random(3)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await cluster.submit(job(1, entries=2))
        malformed: list[Any] = [7, "text", [], {"~": "!", "p": 2}, {"s": 1}, {"k": 1}, [1, 2, 3, 4]]
        for key in ("s/j/job-000777", "s/v/99", "s/p/node-9", "s/x/j/job-000778/1", "s/t/green"):
            cluster.store.revision += 1
            cluster.store._change(key, rng.choice(malformed), None)
        cluster.store.revision += 1
        cluster.store._change("s/f/job-000779", ["nonsense", 1], None)
        await anyio.sleep(5.0)
        assert (await cluster.ask("GET", "/work/job-000777", node=0)).status == 503
        # The team's usage is unknown while the record of one of its jobs is unreadable.
        await cluster.submit(job(2, entries=2))
        await anyio.sleep(20.0)
        assert not any(name.startswith("job-000002") for name in cluster.starts)
        cluster.store.revision += 1
        cluster.store._change("s/j/job-000777", None, None)
        assert not await cluster.until_done(["job-000001", "job-000002"], 60.0)

    run(cluster, main)
    assert cluster.violations == []
