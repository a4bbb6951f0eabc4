"""Leader changes combined with other faults: machines starting, partitions, replayed heartbeats.

Each test checks that the fault was active while the leader changed, that the safety rules hold
after each step, and that the cluster recovers.  `docs/combined-faults.md` describes the
combinations.
"""

from typing import Any

import anyio
import pytest

from simulation import LEASE_S, ZONES, SimulatedCluster, job, now
from simulation.fault_scenarios import (
    CANCEL_S,
    leader,
    run_and_expect,
    run_with_faults,
    running_tasks,
    wait_until,
)
from simulation.faults import random_machines, restart, running_machines
from simulation.machines import Machine

# Delays and losses of transactions and their responses.
STORE_DELAYS = ["answered late", "applied late", "responses lost"]


def wide_job(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
    """Return a job that needs new machines; some are long, some are gangs."""
    kind = cluster.rng.choice(
        [
            {"entries": 4, "expect_s": 4.0},
            {"entries": 4, "expect_s": 12.0, "bureau": "blue", "rank": "urgent"},
            {"entries": 2, "form": "group", "expect_s": 6.0},
            {"entries": 3, "expect_s": 8.0, "apart": True},
        ]
    )
    return job(number, vcpus=2.0, image_gb=0.2, parcel=f"img-{number % 3}", **kind)


def autoscaler_node(cluster: SimulatedCluster) -> int | None:
    """Return the index of the controller whose autoscaler is active, or None."""
    record = cluster.store.items.get("s/renter")
    return None if record is None else int(record[0].rpartition("-")[2])


@pytest.mark.parametrize("store_delay", STORE_DELAYS)
@pytest.mark.parametrize("role", ["autoscaler", "leader"])
def test_a_leader_crashes_while_new_machines_get_work(role: str, store_delay: str) -> None:
    """New machines start within two seconds and get work at once, while writes are delayed."""
    seed = 1100 + 10 * (role == "autoscaler") + STORE_DELAYS.index(store_delay)
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    cluster.cloud.fast_boot_share, cluster.cloud.capacity = 1.0, 12

    def new_busy_machines() -> int:
        """Return the number of recently started machines that run tasks."""
        return sum(bool(w.tasks) and now() - w.boots_at < 4.0 for w in running_machines(cluster))

    async def scenario(cluster: SimulatedCluster) -> None:
        unanswered = cluster.store.unanswered
        if store_delay == "answered late":
            cluster.store.commit_response_delay_s = {f"node-{i}": 0.8 for i in range(cluster.count)}
        else:
            unanswered.share, unanswered.at_once = 0.25, store_delay == "responses lost"
        for number in range(3):
            # Missing heartbeats count only for machines that have been up for long enough.
            await anyio.sleep(2 * LEASE_S)
            # One of the other controllers gets no messages and sees new machines in the store only.
            leader_index = leader(cluster)
            isolated = [i for i in range(cluster.count) if i != leader_index][number % 2]
            for other in range(cluster.count):
                cluster.network.one_way[f"node-{other}", f"node-{isolated}"] = "drop"
            # Half of the machines fail, so that new ones are rented.
            for worker in running_machines(cluster)[::2]:
                worker.terminate(True)
            with anyio.move_on_after(25.0):
                await wait_until(lambda: new_busy_machines() > 0, 25.0)
            index = autoscaler_node(cluster) if role == "autoscaler" else leader(cluster)
            cluster.observed["a leader crashed while new machines had work"] += new_busy_machines()
            await anyio.sleep(cluster.rng.uniform(0.0, 2.0))
            await restart(cluster, leader(cluster) if index is None else index, 1.0)
            await anyio.sleep(3.0)
            cluster.network.one_way.clear()
        cluster.store.commit_response_delay_s = {}
        unanswered.share, unanswered.at_once = 0.0, False

    run_and_expect(
        cluster,
        lambda: run_with_faults(
            cluster, (scenario,), 100, wide_job, cancels=0.15, every_s=(0.6, 1.4)
        ),
        "a leader crashed while new machines had work",
    )


@pytest.mark.parametrize("when", ["before it acts", "after it has acted"])
@pytest.mark.parametrize("count", [3, 7])
def test_replayed_heartbeats_reach_every_controller_during_a_leader_change(
    when: str, count: int
) -> None:
    """Replayed heartbeats, also of earlier agent epochs and attempts, must be harmless."""
    cluster = SimulatedCluster(1120 + (when == "before it acts") + count, count, cancel_s=CANCEL_S)

    async def scenario(cluster: SimulatedCluster) -> None:
        cluster.kept_heartbeat_share = 0.5
        await anyio.sleep(6.0)
        # Some machines lose their lease; the replayed heartbeats contain their tasks.
        unheard = random_machines(cluster, 2)
        for worker in unheard:
            worker.responses_lost_until = now() + LEASE_S + 2.0
        # The former may be returned before; these answer, and are not.
        kept = {heartbeat.machine.name for heartbeat in cluster.kept_heartbeats}
        for worker in running_machines(cluster):
            if worker.name in kept and worker not in unheard:
                worker.heartbeats_lost_until = now() + LEASE_S + 2.0
        await anyio.sleep(LEASE_S + 6.0)
        for _ in range(3):
            cluster.kept_heartbeat_share = 0.3
            await anyio.sleep(3.0)
            cluster.kept_heartbeat_share = 0.0
            previous_term = cluster.store.items["s/term"][0]
            cluster.crash(index := leader(cluster))
            await anyio.sleep(cluster.rng.uniform(0.2, 2.0))
            cluster.boot(index)
            await wait_until(
                lambda b=previous_term: cluster.store.items["s/term"][0] > b, 20.0, 0.001
            )
            if when == "after it has acted":
                term = cluster.store.items["s/term"][0]
                with anyio.move_on_after(15.0):
                    await wait_until(
                        lambda t=term: any(w.fencing_token >= t for w in running_machines(cluster)),
                        15.0,
                    )
            ended = set(cluster.done)
            of_done_tasks = [
                r for _, _, r in cluster.kept_heartbeats if any(n.encode() in r.body for n in ended)
            ]
            cluster.observed["of a task that has ended"] += bool(of_done_tasks)
            cluster.replay_kept_heartbeats()
            await anyio.sleep(4.0)

    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (scenario,), 14),
        "replayed heartbeat at every controller",
        "replayed heartbeat of an earlier epoch",
        "of a task that has ended",
    )


@pytest.mark.parametrize("outage", [False, True], ids=["", "inside an outage"])
def test_ten_leader_changes_in_two_minutes(outage: bool) -> None:
    cluster = SimulatedCluster(1140 + outage, cancel_s=CANCEL_S)

    async def scenario(cluster: SimulatedCluster) -> None:
        start_time = now()
        for number in range(10):
            if outage and number == 3:
                cluster.store.outage(True)
            if outage and number == 7:
                cluster.store.outage(False)
            index = leader(cluster)
            cluster.observed["changes in an outage"] += cluster.store.down
            await restart(cluster, index, cluster.rng.uniform(0.2, 4.0))
            cluster.observed["changes of leader"] += 1
            await anyio.sleep(max(0.0, start_time + 12.0 * (number + 1) - now()))

    async def main() -> None:
        await run_with_faults(cluster, (scenario,), 14)
        assert cluster.observed["changes of leader"] == 10

    run_and_expect(cluster, main, *(["changes in an outage"] if outage else []))


@pytest.mark.parametrize("count", [3, 7])
def test_all_controllers_are_down_for_longer_than_a_lease(count: int) -> None:
    cluster = SimulatedCluster(1150 + count, count, cancel_s=CANCEL_S)

    async def scenario(cluster: SimulatedCluster) -> None:
        for _ in range(2):
            await anyio.sleep(5.0)
            previous_epochs = {w.name: w.epoch for w, _ in running_tasks(cluster)}
            for index in range(cluster.count):
                cluster.crash(index)
            await anyio.sleep(LEASE_S + cluster.rng.uniform(2.0, 8.0))
            expired = [
                w
                for w in running_machines(cluster)
                if w.epoch > previous_epochs.get(w.name, w.epoch)
            ]
            cluster.observed["leases expired while all were down"] += len(expired)
            cluster.observed["no controller ran"] += not cluster.nodes
            for index in cluster.rng.sample(range(cluster.count), cluster.count):
                cluster.boot(index)
                await anyio.sleep(cluster.rng.uniform(0.0, 2.0))
            await anyio.sleep(10.0)

    expected = ("leases expired while all were down", "no controller ran")
    run_and_expect(cluster, lambda: run_with_faults(cluster, (scenario,), 14), *expected)


@pytest.mark.parametrize("seconds", [LEASE_S + 4.0, CANCEL_S + 8.0], ids=["lease", "cancel"])
@pytest.mark.parametrize("count", [3, 7])
def test_a_zone_with_workers_and_a_controller_is_partitioned(count: int, seconds: float) -> None:
    """Tasks in the zone keep running, while their jobs are cancelled from outside."""
    cluster = SimulatedCluster(1160 + count + int(seconds), count, cancel_s=CANCEL_S)
    zone = ZONES[1]

    def inside(host: str) -> bool:
        if host.startswith("node-"):
            return host == "node-1"
        worker = cluster.cloud.workers.get(host)
        return worker is not None and worker.zone == zone

    def tasks_inside() -> list[tuple[Machine, str]]:
        return [(w, name.partition("/")[0]) for w, name in running_tasks(cluster) if inside(w.name)]

    async def scenario(cluster: SimulatedCluster) -> None:
        await anyio.sleep(8.0)
        # Agents in the zone report to the zone's controller.
        for worker in running_machines(cluster):
            if worker.zone == zone:
                worker.reporting_controller = 1
        await anyio.sleep(4.0)
        hosts = ["state", "cloud", "user", *(f"node-{i}" for i in range(count))]
        hosts += list(cluster.cloud.workers)
        for one in filter(inside, hosts):
            for other in hosts:
                if not inside(other):
                    cluster.network.cut(one, other, "hold" if other == "state" else "drop")
        start_time = now()
        await anyio.sleep(0.1)
        for job_id in sorted({job_id for _, job_id in tasks_inside()})[:4]:
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240)
        while now() < start_time + seconds:
            reported = [job_id for w, job_id in tasks_inside() if w.reporting_controller == 1]
            cluster.observed["work in the zone"] += bool(reported)
            cancelled = {i for i, at in cluster.cancelled_at.items() if start_time < at < now()}
            remaining = [job_id for job_id in reported if job_id in cancelled]
            cluster.observed["cancelled and still on a machine"] += len(remaining)
            jobs = [job_id for _, job_id in tasks_inside()]
            if jobs and cluster.rng.random() < 0.3:
                cluster.network.tasks.start_soon(cluster.cancel, cluster.rng.choice(jobs), 240)
            await anyio.sleep(0.5)
        cluster.network.heal()

    def random_job(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
        expect_s = cluster.rng.choice([4.0, 20.0, 60.0])
        district = cluster.rng.choice([zone, None])
        return job(number, vcpus=1.0, expect_s=expect_s, district=district, image_gb=0.2)

    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (scenario,), 14, random_job, cancels=0.1),
        "work in the zone",
        "cancelled and still on a machine",
    )
