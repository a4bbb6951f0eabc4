"""Load tests: large jobs among small ones, overload, and zones that lose machines."""

from collections import Counter
from typing import Any

import anyio
import pytest

from sandladder.state.cache import job_tables
from simulation import ZONES, SimulatedCluster, job, now
from simulation.fault_scenarios import (
    CANCEL_S,
    check_recovery,
    leader,
    run_and_expect,
    run_with_faults,
    running_tasks,
)
from simulation.faults import restart, running_machines
from simulation.workloads import wait_until_healthy

# The time within which the large jobs must start, in seconds.
START_WITHIN_S = 240.0


async def slow_links(cluster: SimulatedCluster) -> None:
    cluster.network.delay_s = 0.25
    await anyio.sleep(40.0)
    cluster.network.delay_s = 0.01


@pytest.mark.parametrize("form", ["array", "group", "whole machine"])
@pytest.mark.parametrize("seed", [1200, 1201])
def test_the_largest_jobs_start_under_more_work_than_capacity(form: str, seed: int) -> None:
    """Guards against the starvation of large jobs by small and urgent ones, over slow links."""
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    cluster.cloud.capacity = 3
    kinds: dict[str, dict[str, Any]] = {
        "array": {"entries": 12, "vcpus": 2.0},
        "group": {"entries": 5, "vcpus": 2.0, "form": "group"},
        "whole machine": {"entries": 1, "vcpus": 4.0, "breeds": ["small"]},
    }
    first_start_at: dict[str, float] = {}

    async def main() -> None:
        await wait_until_healthy(cluster)
        submitted_at: dict[str, float] = {}
        large = [
            job(900 + n, ram_gb=1.0, expect_s=4.0, docket="large", **kinds[form]) for n in range(4)
        ]
        ids: list[str] = []
        started_at, number = now(), 0
        cluster.network.delay_s = 0.25
        while now() < started_at + 200.0:
            if large and now() - started_at > 20.0 * (5 - len(large)):
                spec = large.pop()
            else:
                urgent = number % 3 == 0
                spec = job(
                    number, entries=2, vcpus=2.0, ram_gb=1.0, expect_s=6.0, image_gb=0.2,
                    rank="urgent" if urgent else "normal", bureau=("red", "blue")[number % 2],
                )  # fmt: skip
                number += 1
            ids.append(spec["id"])
            submitted_at[spec["id"]] = now()
            cluster.network.tasks.start_soon(cluster.submit, spec, 240)
            await anyio.sleep(cluster.rng.uniform(1.3, 2.7))
            waiting = [i for i in ids if i in cluster.accepted and not running_tasks(cluster, i)]
            cluster.observed["more work than capacity"] += len(waiting) > 5
            for _, name in running_tasks(cluster):
                first_start_at.setdefault(name.partition("/")[0], now())
        cluster.network.delay_s = 0.01
        while now() < started_at + 200.0 + START_WITHIN_S and len(first_start_at) < len(ids):
            await anyio.sleep(0.5)
            for _, name in running_tasks(cluster):
                first_start_at.setdefault(name.partition("/")[0], now())
        large_ids = [job_id for job_id in ids if cluster.specs[job_id]["docket"] == "large"]
        late = {
            job_id: first_start_at.get(job_id, now()) - submitted_at[job_id]
            for job_id in large_ids
            if first_start_at.get(job_id, now()) - submitted_at[job_id] > START_WITHIN_S
        }
        assert not late, f"large jobs started too late: {late}"
        await check_recovery(cluster, ids, 600.0)

    run_and_expect(cluster, main, "more work than capacity")


@pytest.mark.parametrize("form", ["array", "group", "service"])
def test_jobs_bound_to_a_zone_finish_though_machines_are_lost(form: str) -> None:
    """Capacity returns in the other zone first, and the leader restarts meanwhile."""
    cluster = SimulatedCluster(1220 + ["array", "group", "service"].index(form), cancel_s=CANCEL_S)
    zone = ZONES[1]
    service = form == "service"

    async def main() -> None:
        await wait_until_healthy(cluster)
        specs = [
            job(
                number, form=form, entries=3, vcpus=2.0, ram_gb=2.0,
                rank="prod" if service else "normal",
                district=zone if number % 3 else None, same_place=number % 2 == 0,
                expect_s=0.0 if service else 25.0, bookmark_s=0.0 if number % 2 else 5.0, stamp_s=1.0,
            )
            for number in range(6)
        ]  # fmt: skip
        for spec in specs:
            assert await cluster.submit(spec) == 201
        ids = [spec["id"] for spec in specs]
        bound = [spec["id"] for spec in specs if spec["district"]]
        with anyio.fail_after(90.0):
            while not running_tasks(cluster, *bound):
                await anyio.sleep(0.2)
        for _ in range(2):
            cluster.cloud.full_zones = {zone}
            machines_in_zone = [w for w in running_machines(cluster) if w.zone == zone]
            cluster.observed["bound tasks lost"] += sum(
                w in machines_in_zone for w, _ in running_tasks(cluster, *bound)
            )
            for worker in machines_in_zone:
                worker.terminate(cluster.rng.random() < 0.5)
            await restart(cluster, leader(cluster), 1.0)
            await anyio.sleep(20.0)
            cluster.observed["capacity elsewhere first"] += any(
                w.zone != zone for w in running_machines(cluster)
            )
            cluster.cloud.full_zones = set()
            await anyio.sleep(15.0)
        if service:
            for job_id in ids:
                await cluster.until_running(job_id, 3, 120.0)
            for job_id in ids:
                assert await cluster.cancel(job_id) == "cancelled"
        await check_recovery(cluster, ids)

    run_and_expect(cluster, main, "bound tasks lost", "capacity elsewhere first")


def test_four_small_jobs_a_second_cost_bounded_writes_and_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows with finished jobs, and against extra writes per job.

    Up to a quarter of the jobs are cancelled.
    """
    monkeypatch.setattr(job_tables, "FINISHED_JOBS_KEPT", 64)
    cluster = SimulatedCluster(1240, cancel_s=CANCEL_S, write_rps=60.0)
    cluster.store.write_rps = 60.0
    max_sizes: Counter[str] = Counter()

    def small_job(number: int) -> dict[str, Any]:
        return job(
            number, entries=1, vcpus=0.5, ram_gb=0.5, expect_s=1.5, image_gb=0.2,
            bureau=("red", "blue")[number % 2],
        )  # fmt: skip

    def sizes(node: Any) -> dict[str, int]:
        """Return the number of entries in each of a controller's tables."""
        committer, cache = node.job_committer, node.cache
        return {
            "finished jobs": len(cache.finished_jobs),
            "live": len(cache.jobs),
            "versions": len(cache.versions),
            "proved": len(committer.proved_ends),
            "unarchived": len(cache.unarchived),
            "queue": node.committer.queued,
            "avoid": len(node.planner.failed_machines),
            "gate": len(node.gate.pending),
        }  # fmt: skip

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids: list[str] = []
        started_at = now()
        while now() < started_at + 180.0:
            spec = small_job(len(ids))
            ids.append(spec["id"])
            cluster.network.tasks.start_soon(cluster.submit, spec, 240)
            if len(ids) % 4 == 0:
                chosen = cluster.rng.choice(ids[-8:])
                if chosen in cluster.accepted:
                    cluster.observed["cancelled"] += 1
                    cluster.network.tasks.start_soon(cluster.cancel, chosen, 240)
            await anyio.sleep(0.25)
            if now() > started_at + 60.0:
                half = "first" if now() < started_at + 120.0 else "second"
                for node in cluster.nodes.values():
                    for name, size in sizes(node).items():
                        max_sizes[f"{half} {name}"] = max(max_sizes[f"{half} {name}"], size)
        jobs = len(ids)
        cluster.observed["700 jobs submitted"] += jobs >= 700
        writes = sum(
            count for kind, count in cluster.store.writes.items() if kind in ("s/j/", "s/f/")
        )
        await check_recovery(cluster, ids)
        # Five writes are expected per job: accepted, started, ended, and two to archive it.
        assert writes <= 6.2 * jobs, writes / jobs
        for name in (
            "finished jobs", "live", "versions", "proved", "unarchived", "queue", "gate", "avoid",
        ):  # fmt: skip
            first, second = max_sizes[f"first {name}"], max_sizes[f"second {name}"]
            assert second <= 1.5 * first + 40, f"{name} grew from {first} to {second}"
        # The store still answers for jobs that every controller has evicted from its cache.
        early = ids[:20]
        assert not any(
            node.cache.finished_jobs.keys() & set(early) for node in cluster.nodes.values()
        )
        for job_id in early:
            body = await cluster.poll(job_id)
            assert body is not None and body["standing"] in ("done", "cancelled")

    run_and_expect(cluster, main, "cancelled", "700 jobs submitted")


def test_mixed_work_beyond_capacity_finishes_over_slow_links() -> None:
    """Urgent and other arrays and gangs finish although the leader restarts."""
    cluster = SimulatedCluster(1250, cancel_s=CANCEL_S)
    cluster.cloud.capacity = 4

    async def slow_links_and_leader_restart(cluster: SimulatedCluster) -> None:
        await slow_links(cluster)
        await restart(cluster, leader(cluster), 2.0)
        await slow_links(cluster)
        cluster.observed["jobs waited"] += sum(
            not running_tasks(cluster, i) for i in cluster.accepted
        )

    def random_job(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
        kind = cluster.rng.choice(
            [
                {"entries": 8, "rank": "urgent", "expect_s": 3.0},
                {"entries": 10, "expect_s": 5.0, "bureau": "blue"},
                {"entries": 4, "form": "group", "expect_s": 5.0},
                {"entries": 4, "rank": "idle", "expect_s": 3.0, "bureau": "blue"},
            ]
        )
        return job(number, vcpus=2.0, ram_gb=1.0, image_gb=0.2, **kind)

    async def main() -> None:
        await run_with_faults(
            cluster,
            (slow_links_and_leader_restart,),
            40,
            random_job,
            cancels=0.1,
            every_s=(0.1, 0.5),
        )

    run_and_expect(cluster, main, "jobs waited")
