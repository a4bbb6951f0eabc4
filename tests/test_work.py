"""Counts of recomputations and planning rounds, which guard against performance regressions."""

from collections import Counter
from random import Random
from typing import Any

from helpers import LIMITS, accept, commit, scheduler_with_two_machines
from sandladder.jobs import start
from sandladder.model import AgentHeartbeat, EndedAttempt, Machine, Placement
from sandladder.scheduling import ClusterView
from sandladder.state import Transaction
from simulation import SimulatedCluster, job, now, run
from simulation.workloads import wait_until_healthy


def heartbeat(
    number: int, seq: int, agent_epoch: int = 1, notice: float | None = None
) -> AgentHeartbeat:
    name = f"vm-{number:06d}"
    return AgentHeartbeat(
        name, f"{name}:1", "small", "north", False, agent_epoch, seq, 1, notice, ()
    )


def record_heartbeat(cluster_view: ClusterView, received: AgentHeartbeat) -> None:
    cluster_view.record_heartbeat(
        cluster_view.reconciler.receive_heartbeat(received, cluster_view.now, direct=False).agent
    )


def test_a_heartbeat_recomputes_the_free_capacity_of_one_machine_only() -> None:
    for machines in (100, 300, 600):
        cluster_view, _, _, _ = scheduler_with_two_machines()
        for number in range(machines):
            record_heartbeat(cluster_view, heartbeat(number, 1))
        before = cluster_view.usable_free_capacities()
        assert len(before) == machines + 2
        record_heartbeat(cluster_view, heartbeat(7, 2))
        after = cluster_view.usable_free_capacities()
        assert [m for m in after if after[m] is not before[m]] == ["vm-000007"]
        cluster_view.now += cluster_view.fresh_s / 2
        again = cluster_view.usable_free_capacities()
        assert all(again[m] is after[m] for m in after)


def test_cached_free_capacities_equal_recomputed_ones() -> None:
    """Compares them after random heartbeats, refusals, drains, starts, ends and time steps."""
    for seed in range(40):
        rng = Random(seed)
        cluster_view, _, cache, _ = scheduler_with_two_machines()
        job = accept(cache, entries=60, vcpus=0.5, ram_gb=0.5)
        for step in range(120):
            cluster_view.now += rng.choice([0.0, 0.1, 1.0, 4.0])
            number = rng.randrange(6)
            name = f"vm-{number:06d}"
            action = rng.randrange(6)
            if action < 2:
                notice = rng.choice([None, None, None, 5.0])
                record_heartbeat(cluster_view, heartbeat(number, step + 1, 1 + step // 50, notice))
            elif action == 2:
                cluster_view.avoid_machine(name, rng.uniform(0.5, 3.0))
            elif action == 3:
                state = rng.choice(["rented", "draining", "gone"])
                cache.instances[name] = Machine("small", "north", False, state, 0.0)
                cluster_view.instances_changed()
            elif action == 4 and job.waiting:
                transaction = Transaction(cache)
                task = next(iter(job.pending()))
                start(transaction, job.id, [Placement(task, name, "north", 1)], LIMITS)
                commit(cache, transaction)
                job = cache.jobs[job.id]
                cluster_view.machine_changed(name)
            elif job.live:
                task = rng.choice(list(job.live))
                cluster_view.note_ended(EndedAttempt(job.id, task, job.live[task], "done"))
            cached = {m: cluster_view.free_capacity(m) for m in cluster_view.machines()}
            usable = cluster_view.usable_free_capacities(0.5)
            cluster_view.types_changed()
            recomputed = {m: cluster_view.free_capacity(m) for m in cluster_view.machines()}
            assert cached == recomputed
            assert usable == {
                m: r for m, r in recomputed.items() if r and r.usable and r.cpus >= 0.5
            }


def test_the_rate_of_planning_rounds_without_urgent_work_is_bounded() -> None:
    """Tasks that cannot start must not cause a planning round or a store read for every event."""
    counts: dict[str, Counter[str]] = {}

    async def main(cluster: SimulatedCluster, rank: str) -> None:
        await wait_until_healthy(cluster)
        cluster.cloud.capacity = 2
        for number in range(40):
            # More tasks than capacity, with continuous starts, ends and status requests.
            spec = job(number, entries=4, rank=rank, vcpus=1.0, ram_gb=1.0, expect_s=2.0)
            assert await cluster.submit(spec) == 201
        rank_counts = counts[rank] = Counter()
        for node in cluster.nodes.values():
            follow, plan = node.store.follow, node.planner.plan

            async def counted_follow(after: int, follow: Any = follow) -> Any:
                rank_counts["reads"] += 1
                return await follow(after)

            def counted_plan(*args: Any, plan: Any = plan) -> Any:
                rank_counts["rounds"] += 1
                return plan(*args)

            node.store.follow, node.planner.plan = counted_follow, counted_plan
        started_at = now()
        while now() < started_at + 20.0:
            await cluster.poll(f"job-{cluster.rng.randrange(40):06d}")
        rank_counts["ended"] = len(cluster.done)

    for rank in ("normal", "urgent"):
        cluster = SimulatedCluster(1300)
        run(cluster, lambda w=cluster, r=rank: main(w, r))
        assert cluster.violations == [] and counts[rank]["ended"] > 20
    report_s, nodes, seconds = 2.0, 3, 20.0
    assert counts["normal"]["rounds"] < 1.1 * nodes * seconds / (report_s / 32 + report_s / 12)
    # Urgent work is planned without this bound.
    assert counts["urgent"]["rounds"] > counts["normal"]["rounds"]
    for rank_counts in counts.values():
        assert rank_counts["reads"] < 1.1 * nodes * seconds / (report_s / 32)
