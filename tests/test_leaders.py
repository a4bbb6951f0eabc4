"""Leaders change while machines start, end, are cut off, or old heartbeats arrive once more.

Each test shows that the fault was on while the leader changed; the rules are checked after every
step, and everything recovers.  `docs/combined-faults.md` describes the combinations.
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

# What becomes of transactions and their responses.
LAGS = ["answered late", "applied late", "responses lost"]


def burst(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
    """Wide jobs, so that machines are rented all the time; some long, some gangs."""
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
    """The controller whose autoscaler acts, if any."""
    record = cluster.store.items.get("s/renter")
    return None if record is None else int(record[0].rpartition("-")[2])


@pytest.mark.parametrize("lag", LAGS)
@pytest.mark.parametrize("who", ["autoscaler", "leader"])
def test_a_leader_ends_as_new_machines_get_work(who: str, lag: str) -> None:
    """New machines are up within two seconds and get work at once, while writes lag."""
    seed = 1100 + 10 * (who == "autoscaler") + LAGS.index(lag)
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    cluster.cloud.fast_boot_share, cluster.cloud.capacity = 1.0, 12

    def young() -> int:
        """Machines that came up a moment ago and have work."""
        return sum(bool(w.tasks) and now() - w.boots_at < 4.0 for w in running_machines(cluster))

    async def scenario(cluster: SimulatedCluster) -> None:
        unanswered = cluster.store.unanswered
        if lag == "answered late":
            cluster.store.commit_response_delay_s = {f"node-{i}": 0.8 for i in range(cluster.count)}
        else:
            unanswered.share, unanswered.at_once = 0.25, lag == "responses lost"
        for number in range(3):
            # By then all have been up for long, so that their silence says something.
            await anyio.sleep(2 * LEASE_S)
            # One of the others gets no message: it learns of new machines from the store alone.
            first = leader(cluster)
            isolated = [i for i in range(cluster.count) if i != first][number % 2]
            for other in range(cluster.count):
                cluster.network.one_way[f"node-{other}", f"node-{isolated}"] = "drop"
            # What runs now is lost, so that machines are rented anew.
            for worker in running_machines(cluster)[::2]:
                worker.terminate(True)
            with anyio.move_on_after(25.0):
                await wait_until(lambda: young() > 0, 25.0)
            index = autoscaler_node(cluster) if who == "autoscaler" else leader(cluster)
            cluster.observed["a leader ended as new machines had work"] += young()
            await anyio.sleep(cluster.rng.uniform(0.0, 2.0))
            await restart(cluster, leader(cluster) if index is None else index, 1.0)
            await anyio.sleep(3.0)
            cluster.network.one_way.clear()
        cluster.store.commit_response_delay_s = {}
        unanswered.share, unanswered.at_once = 0.0, False

    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (scenario,), 100, burst, cancels=0.15, every_s=(0.6, 1.4)),
        "a leader ended as new machines had work",
    )


@pytest.mark.parametrize("when", ["as it begins", "after it has acted"])
@pytest.mark.parametrize("count", [3, 7])
def test_old_heartbeats_reach_every_controller_as_a_new_leader_begins(
    when: str, count: int
) -> None:
    """Copies of all kinds of heartbeats, also of earlier epochs and attempts."""
    cluster = SimulatedCluster(1120 + (when == "as it begins") + count, count, cancel_s=CANCEL_S)

    async def scenario(cluster: SimulatedCluster) -> None:
        cluster.kept_heartbeat_share = 0.5
        await anyio.sleep(6.0)
        # Some of the machines lose their lease: what they ran is in the copies.
        for worker in random_machines(cluster, 2):
            worker.responses_lost_until = now() + LEASE_S + 2.0
        await anyio.sleep(LEASE_S + 6.0)
        for _ in range(3):
            cluster.kept_heartbeat_share = 0.3
            await anyio.sleep(3.0)
            cluster.kept_heartbeat_share = 0.0
            before = cluster.store.items["s/term"][0]
            cluster.crash(index := leader(cluster))
            await anyio.sleep(cluster.rng.uniform(0.2, 2.0))
            cluster.boot(index)
            await wait_until(lambda b=before: cluster.store.items["s/term"][0] > b, 20.0, 0.001)
            if when == "after it has acted":
                newest = cluster.store.items["s/term"][0]
                with anyio.move_on_after(15.0):
                    await wait_until(
                        lambda t=newest: any(
                            w.fencing_token >= t for w in running_machines(cluster)
                        ),
                        15.0,
                    )
            ended = set(cluster.done)
            with_ended = [
                r for _, _, r in cluster.kept_heartbeats if any(n.encode() in r.body for n in ended)
            ]
            cluster.observed["of a task that has ended"] += bool(with_ended)
            cluster.replay_kept_heartbeats()
            await anyio.sleep(4.0)

    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (scenario,), 14),
        "old heartbeat at every controller",
        "of an earlier epoch",
        "of a task that has ended",
    )


@pytest.mark.parametrize("outage", [False, True], ids=["", "inside an outage"])
def test_ten_changes_of_leader_in_two_minutes(outage: bool) -> None:
    cluster = SimulatedCluster(1140 + outage, cancel_s=CANCEL_S)

    async def scenario(cluster: SimulatedCluster) -> None:
        began = now()
        for number in range(10):
            if outage and number == 3:
                cluster.store.outage(True)
            if outage and number == 7:
                cluster.store.outage(False)
            index = leader(cluster)
            cluster.observed["changes in an outage"] += cluster.store.down
            await restart(cluster, index, cluster.rng.uniform(0.2, 4.0))
            cluster.observed["changes of leader"] += 1
            await anyio.sleep(max(0.0, began + 12.0 * (number + 1) - now()))

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
            before = {w.name: w.epoch for w, _ in running_tasks(cluster)}
            for index in range(cluster.count):
                cluster.crash(index)
            await anyio.sleep(LEASE_S + cluster.rng.uniform(2.0, 8.0))
            expired = [
                w for w in running_machines(cluster) if w.epoch > before.get(w.name, w.epoch)
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
    """Work in the zone goes on, while jobs that run there are cancelled from outside."""
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
        # Its machines report to the controller of the zone.
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
        began = now()
        await anyio.sleep(0.1)
        for job_id in sorted({job_id for _, job_id in tasks_inside()})[:4]:
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240)
        while now() < began + seconds:
            reported = [job_id for w, job_id in tasks_inside() if w.reporting_controller == 1]
            cluster.observed["work in the zone"] += bool(reported)
            cancelled = {i for i, at in cluster.cancelled_at.items() if began < at < now()}
            remaining = [job_id for job_id in reported if job_id in cancelled]
            cluster.observed["cancelled and still on a machine"] += len(remaining)
            jobs = [job_id for _, job_id in tasks_inside()]
            if jobs and cluster.rng.random() < 0.3:
                cluster.network.tasks.start_soon(cluster.cancel, cluster.rng.choice(jobs), 240)
            await anyio.sleep(0.5)
        cluster.network.heal()

    def long(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
        expect_s = cluster.rng.choice([4.0, 20.0, 60.0])
        district = cluster.rng.choice([zone, None])
        return job(number, vcpus=1.0, expect_s=expect_s, district=district, image_gb=0.2)

    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (scenario,), 14, long, cancels=0.1),
        "work in the zone",
        "cancelled and still on a machine",
    )
