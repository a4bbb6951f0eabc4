"""Quotas of teams with limits on CPUs only, on GPUs only, or on neither."""

from random import Random

import anyio
import pytest

import production
from helpers import commit, scheduler_with_two_machines, spec
from sandladder.config import TeamLimits
from sandladder.jobs import rejection_reason, start, submit
from sandladder.model import NO_HEADROOM, Placement, TeamUsage, headroom, within_guarantee
from sandladder.state import PreconditionFailedError, Transaction
from simulation import THIS_VERSION, SimulatedCluster, job
from simulation.answer_consistency import is_over_limit
from simulation.fault_scenarios import run_and_expect, wait_until
from simulation.workloads import wait_until_healthy

GPUS_ONLY = TeamLimits("red", gpus=2.0, gpus_max=4.0)
CPUS_ONLY = TeamLimits("red", cpus=8.0, cpus_max=16.0)
NO_LIMITS = TeamLimits("red")


def test_no_limit_is_unlimited_and_a_limit_may_be_used_up_exactly() -> None:
    usage = TeamUsage(12.0, 3.0)
    gpu_task = spec(vcpus=4.0, gpus=1.0)
    cpu_task = spec(vcpus=4.0)
    assert headroom(GPUS_ONLY, usage).tasks_within(gpu_task, 100) == 1
    assert headroom(GPUS_ONLY, usage).tasks_within(cpu_task, 100) == 100
    assert headroom(CPUS_ONLY, usage).tasks_within(gpu_task, 100) == 1
    assert headroom(NO_LIMITS, usage).tasks_within(gpu_task, 100) == 100
    assert headroom(CPUS_ONLY, TeamUsage(16.0, 0.0)).tasks_within(cpu_task, 1) == 0
    assert headroom(CPUS_ONLY, TeamUsage(20.0, 0.0)).tasks_within(cpu_task, 1) == 0
    # A team that the settings do not name has no headroom rather than an unlimited one.
    assert headroom(None, TeamUsage()) == NO_HEADROOM
    assert not NO_HEADROOM.covers(cpu_task)


def test_headroom_agrees_with_the_simulated_platforms_rule() -> None:
    """Checked with random limits, usages and tasks."""
    rng = Random(7)
    for _ in range(2000):
        limits = TeamLimits(
            "red", cpus_max=rng.choice([0.0, 4.0, 8.0]), gpus_max=rng.choice([0.0, 2.0, 4.0])
        )
        used = TeamUsage(rng.choice([0.0, 2.0, 4.0]), rng.choice([0.0, 1.0, 2.0]))
        task = spec(vcpus=rng.choice([1.0, 2.0, 4.0]), gpus=rng.choice([0.0, 1.0, 2.0]))
        tasks = rng.randint(1, 4)
        after = used.plus(task, tasks)
        platform_limits = {"cpus_max": limits.cpus_max, "gpus_max": limits.gpus_max}
        if is_over_limit(platform_limits, used.cpus, used.gpus):
            continue  # the usage exceeds the limit before the task is added
        expected = not is_over_limit(platform_limits, after.cpus, after.gpus)
        assert headroom(limits, used).covers(task, tasks) == expected, (limits, used, task, tasks)


def test_a_guarantee_covers_only_the_resources_that_it_names() -> None:
    gpu_task, cpu_task = spec(vcpus=4.0, gpus=1.0), spec(vcpus=4.0)
    assert within_guarantee(GPUS_ONLY, TeamUsage(400.0, 1.0), gpu_task)
    assert not within_guarantee(GPUS_ONLY, TeamUsage(0.0, 2.0), gpu_task)
    assert within_guarantee(GPUS_ONLY, TeamUsage(400.0, 2.0), cpu_task)
    assert not within_guarantee(CPUS_ONLY, TeamUsage(8.0, 0.0), cpu_task)
    assert not within_guarantee(NO_LIMITS, TeamUsage(), cpu_task)
    assert not within_guarantee(None, TeamUsage(), cpu_task)


@pytest.mark.parametrize("limits", [GPUS_ONLY, NO_LIMITS])
def test_jobs_of_a_team_without_a_cpu_limit_are_accepted_and_start(limits: TeamLimits) -> None:
    """Guards against the rejection of every submission of a team with a GPU limit only."""
    _, _, cache, _ = scheduler_with_two_machines()
    team_limits = {"red": limits}
    small = spec(1, entries=2, vcpus=2.0)
    assert rejection_reason(small, cache.machine_types, team_limits) is None
    assert (
        rejection_reason(spec(2, bureau="green"), cache.machine_types, team_limits)
        == "unknown team"
    )
    transaction = Transaction(cache)
    submit(transaction, small, 0.0)
    commit(cache, transaction)
    transaction = Transaction(cache)
    with pytest.raises(PreconditionFailedError):
        start(transaction, small.id, [Placement(0, "vm-1", "north", 1)], None)
    start(transaction, small.id, [Placement(0, "vm-1", "north", 1)], limits)


@pytest.mark.parametrize("count", [3, 7])
def test_gpu_gangs_in_one_zone_finish_under_a_limit_on_gpus_only(count: int) -> None:
    """Gangs with pinned types and large images finish while spot machines are reclaimed."""
    limits = [
        {"name": "red", "gpus": 4.0, "gpus_max": 8.0},
        {"name": "blue", "cpus": 8.0, "cpus_max": 16.0},
        {"name": "green"},
    ]
    cluster = SimulatedCluster(1070 + count, count, limits=limits)

    async def reclaim_spot_machines() -> None:
        for _ in range(4):
            await anyio.sleep(20.0)
            spot = [w for w in cluster.cloud.workers.values() if w.spot and w.state == "running"]
            for worker in spot[::2]:
                worker.terminate(False)
                cluster.observed["spot machine reclaimed"] += 1

    async def main() -> None:
        await wait_until_healthy(cluster)
        jobs = [
            *(
                job(
                    number,
                    form="group",
                    entries=(1, 2, 4)[number % 3],
                    vcpus=4.0,
                    gpus=2.0,
                    breeds=["large"],
                    same_place=True,
                    loaners=False,
                    rank="urgent",
                    image_gb=(5.0, 25.0)[number % 2],
                    parcel=f"img-{number % 2}",
                    expect_s=10.0,
                    bookmark_s=3.0,
                    stamp_s=1.0,
                )
                for number in range(6)
            ),
            *(job(10 + n, bureau="green", entries=12, vcpus=1.0, expect_s=4.0) for n in range(3)),
            *(job(20 + n, bureau="blue", entries=6, vcpus=4.0, expect_s=4.0) for n in range(2)),
        ]
        for job_spec in jobs:
            assert await cluster.submit(job_spec) == 201
        # The GPU limit of red allows four tasks of 2 GPUs, so a gang of five is rejected.
        too_many = job(30, form="group", entries=5, vcpus=4.0, gpus=2.0, breeds=["large"])
        assert await cluster.submit(too_many) == 422
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reclaim_spot_machines)
            ids = [job_spec["id"] for job_spec in jobs]
            unfinished: list[str] = ids
            while unfinished:
                unfinished = await cluster.until_done(unfinished, 60.0)
                assert cluster.observed["spot machine reclaimed"] or unfinished
            await wait_until(lambda: all(cluster.is_done(name) for name in ids), 1.0)
        cluster.observed["all done"] += 1

    run_and_expect(cluster, main, "spot machine reclaimed", "all done")


@pytest.mark.skipif(
    production.unavailable_reason() is not None, reason=str(production.unavailable_reason())
)
def test_versions_with_different_admission_rules_agree_on_accepted_jobs() -> None:
    """The version in production rejects jobs of a team with a GPU limit only; this one accepts them."""
    cluster = SimulatedCluster(
        1090, old=True, limits=[{"name": "red", "gpus": 2.0, "gpus_max": 4.0}]
    )
    fields = {"breeds": ["large"], "gpus": 1.0, "vcpus": 2.0, "expect_s": 3.0}

    async def statuses(method: str, path: str, body: object = None) -> list[int]:
        return [(await cluster.ask(method, path, body, node)).status for node in range(3)]

    async def main() -> None:
        await wait_until_healthy(cluster)
        refused = job(1, **fields)
        assert await statuses("POST", "/work", refused) == [422] * 3
        cluster.crash(0)
        cluster.versions[0] = THIS_VERSION
        cluster.boot(0)
        await wait_until_healthy(cluster)
        jobs = [job(2, **fields), job(3, **fields)]
        for job_spec in jobs:
            cluster.specs[job_spec["id"]] = job_spec
            assert (await cluster.ask("POST", "/work", job_spec, 0)).status == 201
            cluster.accepted.add(job_spec["id"])
        assert await cluster.cancel(jobs[1]["id"], node=0) == "cancelled"
        # All controllers know the accepted jobs, including those that would reject them.
        for job_spec in jobs:
            assert await statuses("POST", "/work", job_spec) == [200] * 3
            assert await statuses("GET", f"/work/{job_spec['id']}") == [200] * 3
        for node in range(3):
            assert await cluster.cancel(jobs[1]["id"], node=node) == "cancelled"
        cluster.observed["answered by both versions"] += 1
        for index in (1, 2):
            cluster.crash(index)
            cluster.versions[index] = THIS_VERSION
            await anyio.sleep(2.0)
            cluster.boot(index)
            await anyio.sleep(4.0)
        assert not await cluster.until_done([jobs[0]["id"]], 120.0)

    run_and_expect(cluster, main, "answered by both versions")
