"""Draining instances that are taken back for waiting work."""

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from helpers import accept, scheduler_with_two_machines
from sandladder.autoscaling import ScalingPolicy
from sandladder.autoscaling.instance_drainer import InstanceDrainer
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.model import ACTIVE, DRAINING, AgentHeartbeat, Machine, Placement
from sandladder.scheduling import ClusterView
from sandladder.state import StoreLimits
from scheduling_scenes import commit_placements
from simulation import SimulatedCluster, job, run, settings
from simulation.workloads import wait_until_healthy

# The longest wait while a machine has room, in seconds.
MAX_WAIT_S = 90.0
# The boot time of the machines of `scheduler_with_two_machines`, in seconds.
BOOT_S = 9.0
REPLICA = {"form": "service", "rank": "prod", "entries": 1, "loaners": False, "expect_s": 0.0}


def draining_scene(vcpus: float = 8.0) -> ClusterView:
    """Return a view with a replica on the draining large machine, and a job that waits."""
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    service = accept(cache, number=1, **REPLICA)
    commit_placements(cache, service, [Placement(0, "vm-2", "south", 1)])
    cache.instances["vm-2"] = Machine("large", "south", False, DRAINING, 0.0)
    cluster_view.instances_changed()
    accept(cache, number=2, entries=1, vcpus=vcpus, ram_gb=8.0)
    return cluster_view


def reactivated(cluster_view: ClusterView, wall_clock_s: float = BOOT_S + 0.1) -> list[str]:
    policy = ScalingPolicy(cluster_view)
    policy.scale_out_requests(wall_clock_s)
    return policy.reactivated


def send_heartbeat(cluster_view: ClusterView, notice_s: float | None = None) -> Any:
    heartbeat = AgentHeartbeat("vm-2", "vm-2:1", "large", "south", False, 1, 2, 1, notice_s, ())
    agent, _ = cluster_view.reconciler.receive_heartbeat(heartbeat, 0.0, direct=False)
    cluster_view.record_heartbeat(agent)
    return agent


def give_notice(cluster_view: ClusterView) -> None:
    send_heartbeat(cluster_view, notice_s=20.0)


def fail_jobs(cluster_view: ClusterView) -> None:
    agent = send_heartbeat(cluster_view)
    agent.failed_jobs = {"job-000091": 0.0, "job-000092": 0.0}
    cluster_view.record_heartbeat(agent)


def fall_silent(cluster_view: ClusterView) -> None:
    cluster_view.now = cluster_view.fresh_s + 0.1


def end_replica(cluster_view: ClusterView) -> None:
    cluster_view.cache.attempts_by_machine.pop("vm-2")


def test_a_draining_machine_with_tasks_is_taken_back_once_a_new_one_would_have_booted() -> None:
    cluster_view = draining_scene()
    assert reactivated(cluster_view, BOOT_S) == []
    policy = ScalingPolicy(cluster_view)
    requests = policy.scale_out_requests(BOOT_S + 0.1)
    assert policy.reactivated == ["vm-2"]
    # The waiting job is not also given a new machine.
    assert "large" not in [request.type for request in requests]


def test_a_draining_machine_without_room_for_the_waiting_job_is_not_taken_back() -> None:
    assert reactivated(draining_scene(vcpus=15.0)) == []


@pytest.mark.parametrize("change", [give_notice, fail_jobs, fall_silent, end_replica])
def test_a_machine_that_must_not_get_work_is_not_taken_back(
    change: Callable[[ClusterView], None],
) -> None:
    cluster_view = draining_scene()
    change(cluster_view)
    assert reactivated(cluster_view) == []


class ReturningCloud:
    """Records the instances that are returned."""

    def __init__(self) -> None:
        self.returned: list[str] = []

    async def return_instances(self, machines: list[str]) -> None:
        self.returned += machines


def test_a_machine_that_is_taken_back_is_not_returned_before_its_record_is_written() -> None:
    cluster_view = draining_scene()
    cache, cloud = cluster_view.cache, ReturningCloud()
    limits = StoreLimits(settings(0, 1).platform.deployment.state, cache)
    records = InstanceRecordWriter(cache, None, limits, 8192, 4.0)  # type: ignore[arg-type]
    drainer = InstanceDrainer(
        cluster_view,
        ScalingPolicy(cluster_view),
        cloud,  # type: ignore[arg-type]
        records,
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
    )
    drainer.reactivate(["vm-2"], 20.0)
    assert records.unwritten == {"vm-2": Machine("large", "south", False, ACTIVE, 20.0)}
    end_replica(cluster_view)
    anyio.run(drainer.return_drained, 20.0)
    assert cloud.returned == []
    records.discard()
    anyio.run(drainer.return_drained, 20.0)
    assert cloud.returned == ["vm-2"]


def test_an_underutilized_machine_that_cannot_be_emptied_gets_waiting_work() -> None:
    """Guards against a machine that can neither be emptied nor be given work."""
    cluster = SimulatedCluster(64)

    async def main() -> None:
        cluster.cloud.capacity = 1
        cluster.cloud.add("large", "north", False)
        await wait_until_healthy(cluster)
        await cluster.submit(job(1, district="north", **REPLICA))
        await cluster.until_running("job-000001", 1)
        instances = cluster.nodes["node-0"].cache.instances
        with anyio.fail_after(MAX_WAIT_S):
            while not any(record.state == DRAINING for record in instances.values()):
                await anyio.sleep(0.5)
        work = job(100, bureau="blue")
        await cluster.submit(work)
        assert not await cluster.until_done([work["id"]], MAX_WAIT_S)

    run(cluster, main)
    assert cluster.violations == []
