"""How much is worked out again for a change: counted, not timed, so that it cannot creep back."""

from collections import Counter
from random import Random
from typing import Any

from helpers import LIMITS, accept, commit, scene
from sandladder.jobs import start
from sandladder.model import AgentHeartbeat, EndedAttempt, Machine, Placement
from sandladder.scheduling import ClusterView
from sandladder.state import Transaction
from simulation import SimulatedCluster, job, now, run
from simulation.workloads import wait_until_healthy


def report(number: int, seq: int, session: int = 1, notice: float | None = None) -> AgentHeartbeat:
    name = f"vm-{number:06d}"
    return AgentHeartbeat(name, f"{name}:1", "small", "north", False, session, seq, 1, notice, ())


def hear(cluster_view: ClusterView, found: AgentHeartbeat) -> None:
    cluster_view.record_heartbeat(
        cluster_view.reconciler.receive_heartbeat(found, cluster_view.now, direct=False).agent
    )


def test_one_report_has_one_room_worked_out_however_many_machines_there_are() -> None:
    for machines in (100, 300, 600):
        cluster_view, _, _, _ = scene()
        for number in range(machines):
            hear(cluster_view, report(number, 1))
        before = cluster_view.usable_free_capacities()
        assert len(before) == machines + 2
        hear(cluster_view, report(7, 2))
        after = cluster_view.usable_free_capacities()
        assert [m for m in after if after[m] is not before[m]] == ["vm-000007"]
        cluster_view.now += cluster_view.fresh_s / 2
        again = cluster_view.usable_free_capacities()
        assert all(again[m] is after[m] for m in after)


def test_a_room_kept_is_the_room_that_would_be_worked_out() -> None:
    """Random reports, doubts, drains, starts and time, against a picture that keeps nothing."""
    for seed in range(40):
        rng = Random(seed)
        cluster_view, _, cache, _ = scene()
        job = accept(cache, entries=60, vcpus=0.5, ram_gb=0.5)
        for step in range(120):
            cluster_view.now += rng.choice([0.0, 0.1, 1.0, 4.0])
            number = rng.randrange(6)
            name = f"vm-{number:06d}"
            what = rng.randrange(6)
            if what < 2:
                notice = rng.choice([None, None, None, 5.0])
                hear(cluster_view, report(number, step + 1, 1 + step // 50, notice))
            elif what == 2:
                cluster_view.avoid_machine(name, rng.uniform(0.5, 3.0))
            elif what == 3:
                state = rng.choice(["rented", "draining", "gone"])
                cache.instances[name] = Machine("small", "north", False, state, 0.0)
                cluster_view.instances_changed()
            elif what == 4 and job.waiting:
                transaction = Transaction(cache)
                task = next(iter(job.pending()))
                start(transaction, job.id, [Placement(task, name, "north", 1)], LIMITS)
                commit(cache, transaction)
                job = cache.jobs[job.id]
                cluster_view.machine_changed(name)
            elif job.live:
                task = rng.choice(list(job.live))
                cluster_view.note_ended(EndedAttempt(job.id, task, job.live[task], "done"))
            kept = {m: cluster_view.free_capacity(m) for m in cluster_view.machines()}
            usable = cluster_view.usable_free_capacities(0.5)
            cluster_view.types_changed()
            fresh = {m: cluster_view.free_capacity(m) for m in cluster_view.machines()}
            assert kept == fresh
            assert usable == {m: r for m, r in fresh.items() if r and r.usable and r.cpus >= 0.5}


def test_rounds_of_planning_for_work_that_is_not_urgent_are_few() -> None:
    """Rounds and readings are counted: work that cannot start must not cost a round each time."""
    counted: dict[str, Counter[str]] = {}

    async def main(cluster: SimulatedCluster, rank: str) -> None:
        await wait_until_healthy(cluster)
        cluster.cloud.capacity = 2
        for number in range(40):
            # Ends, starts and questions all the while, and more than there is room for.
            spec = job(number, entries=4, rank=rank, vcpus=1.0, ram_gb=1.0, expect_s=2.0)
            assert await cluster.submit(spec) == 201
        found = counted[rank] = Counter()
        for node in cluster.nodes.values():
            follow, plan = node.store.follow, node.planner.plan

            async def read(after: int, follow: Any = follow) -> Any:
                found["readings"] += 1
                return await follow(after)

            def planned(*args: Any, plan: Any = plan) -> Any:
                found["rounds"] += 1
                return plan(*args)

            node.store.follow, node.planner.plan = read, planned
        began = now()
        while now() < began + 20.0:
            await cluster.poll(f"job-{cluster.rng.randrange(40):06d}")
        found["ended"] = len(cluster.done)

    for rank in ("normal", "urgent"):
        cluster = SimulatedCluster(1300)
        run(cluster, lambda w=cluster, r=rank: main(w, r))
        assert cluster.violations == [] and counted[rank]["ended"] > 20
    report_s, nodes, seconds = 2.0, 3, 20.0
    assert counted["normal"]["rounds"] < 1.1 * nodes * seconds / (report_s / 32 + report_s / 12)
    # What must start at once is planned as often as ever.
    assert counted["urgent"]["rounds"] > counted["normal"]["rounds"]
    for found in counted.values():
        assert found["readings"] < 1.1 * nodes * seconds / (report_s / 32)
