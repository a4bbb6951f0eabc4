"""Scale-out: rate limits, no duplicate requests, and the choice of machine types and zones."""

from collections import Counter
from random import Random
from typing import Any

import anyio
import pytest

from helpers import accept, commit, scheduler_with_two_machines, spec
from sandladder.autoscaling import (
    CloudClient,
    CloudError,
    ScalingPolicy,
    headroom,
    scale_out,
    waiting_work,
)
from sandladder.config import TeamLimits
from sandladder.jobs import submit
from sandladder.model import ACTIVE, AgentHeartbeat, Machine, MachineType
from sandladder.scheduling import ClusterView, bin_packing
from sandladder.state import Transaction
from sandladder.transport import Response
from simulation import VirtualTimeEventLoop

GPU_TYPE = MachineType("gpu", 12.0, 2.0, 48.0, 20.0, 1.0, 5.0, 1.0, 9.0, ("north", "south"))
GPU_TASK = {"vcpus": 10.0, "gpus": 2.0, "ram_gb": 30.0, "breeds": ["gpu"]}


def observe_machine(cluster_view: ClusterView, name: str, type_name: str, zone: str) -> None:
    """Record the first heartbeat of an on-demand machine."""
    heartbeat = AgentHeartbeat(name, f"{name}:1", type_name, zone, False, 1, 1, 1, None, ())
    agent = cluster_view.reconciler.receive_heartbeat(
        heartbeat, cluster_view.now, direct=False
    ).agent
    cluster_view.record_heartbeat(agent)


def scene_with_gpus(machines: dict[str, str]):
    """Return `scheduler_with_two_machines` with additional GPU machines, given as zones by name."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    cluster_view.team_limits["red"] = TeamLimits("red")
    cache.machine_types["gpu"] = GPU_TYPE
    for name, zone in machines.items():
        observe_machine(cluster_view, name, "gpu", zone)
    return cluster_view, planner, cache


def requested_instances(cluster_view: ClusterView) -> dict[tuple[str, str], int]:
    """Return the number of requested instances by type and zone."""
    requested: Counter[tuple[str, str]] = Counter()
    for request in ScalingPolicy(cluster_view).scale_out_requests(0.0):
        requested[request.type, request.zone] += request.number
    return dict(requested)


def test_there_is_one_request_per_offer_and_none_for_unwritten_instances() -> None:
    """Guards against duplicate requests for the same shortage."""
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    cluster_view.team_limits["red"] = TeamLimits("red")
    accept(cache, entries=2000, vcpus=4.0, ram_gb=1.0, rank="urgent")
    requests = ScalingPolicy(cluster_view).scale_out_requests(0.0)
    offers = [(request.type, request.zone, request.spot) for request in requests]
    assert offers and len(offers) == len(set(offers))
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    accept(cache, entries=12, vcpus=4.0, ram_gb=1.0, rank="urgent")
    requested = ScalingPolicy(cluster_view).scale_out_requests(0.0)
    unwritten = {
        f"vm-{request.zone}-{request.type}-{number}": Machine(
            request.type, request.zone, request.spot, ACTIVE, 0.0
        )
        for request in requested
        for number in range(request.number)
    }
    assert unwritten
    assert ScalingPolicy(cluster_view).scale_out_requests(0.0, unwritten) == []


def test_work_without_gpus_does_not_use_idle_gpu_machines() -> None:
    cluster_view, planner, cache = scene_with_gpus({"vm-8": "north", "vm-9": "south"})
    gang = accept(cache, entries=1, form="group", **GPU_TASK)
    small = accept(cache, number=2, entries=100, vcpus=1.0, ram_gb=1.0)
    placed = planner.plan([gang, small], {})
    gang_machine = next(i.placement.machine for i in placed if i.spec is gang.spec)
    small_machines = {
        pending_start.placement.machine
        for pending_start in placed
        if pending_start.spec is small.spec
    }
    assert small_machines == {"vm-1", "vm-2", gang_machine}
    # No GPU instance is requested for such work either, even when other offers are refused.
    policy = ScalingPolicy(cluster_view)
    for request in policy.scale_out_requests(0.0):
        policy.record_refusal(request)
    assert not any(request.type == "gpu" for request in policy.scale_out_requests(0.0))


def test_work_without_gpus_may_use_the_rest_of_a_machine_whose_gpus_are_in_use() -> None:
    _, planner, cache = scene_with_gpus({"vm-8": "north"})
    gang = accept(cache, entries=1, form="group", **GPU_TASK)
    planner.plan([gang], {})
    small = accept(cache, number=2, entries=100, vcpus=1.0, ram_gb=1.0)
    placed = planner.plan([gang, small], {})
    placed_beside_gang = [
        i for i in placed if i.spec is small.spec and i.placement.machine == "vm-8"
    ]
    assert len(placed_beside_gang) == 2


def test_work_that_has_waited_long_may_use_idle_gpu_machines() -> None:
    """Guards against starvation of a job while a machine that fits it has free capacity."""
    cluster_view, planner, cache = scene_with_gpus({"vm-8": "north"})
    accept(cache, entries=1, form="group", **GPU_TASK | {"vcpus": 11.0, "breeds": ["small"]})
    small = accept(cache, number=2, entries=100, vcpus=1.0, ram_gb=1.0)
    lease_s = cluster_view.settings.platform.deployment.workers.lease_s
    planner.plan([small], {})
    assert not [i for i in cluster_view.gate.pending.values() if i.placement.machine == "vm-8"]
    cluster_view.wall_offset_s = 4 * lease_s + 1.0
    planner.plan([small], {})
    assert [i for i in cluster_view.gate.pending.values() if i.placement.machine == "vm-8"]


def test_gpu_machines_are_used_while_no_work_needs_gpus() -> None:
    _, planner, cache = scene_with_gpus({"vm-8": "north"})
    small = accept(cache, entries=100, vcpus=1.0, ram_gb=1.0)
    assert "vm-8" in {
        pending_start.placement.machine for pending_start in planner.plan([small], {})
    }


def test_instances_for_a_single_zone_gang_are_requested_in_one_zone() -> None:
    """Guards against counting capacity for parts of a gang in two zones as capacity for all of it."""
    cluster_view, planner, cache = scene_with_gpus(
        {f"vm-{6 + n}": ("north", "south")[n % 2] for n in range(4)}
    )
    gang = accept(
        cache,
        entries=4,
        form="group",
        same_place=True,
        loaners=False,
        due_s=60.0,
        expect_s=50.0,
        **GPU_TASK,
    )
    assert planner.plan([gang], {}) == []
    requested = requested_instances(cluster_view)
    assert len(requested) == 1 and list(requested.values()) == [2]
    # When one zone's offers are refused, the instances are requested in the other zone.
    policy = ScalingPolicy(cluster_view)
    (first,) = policy.scale_out_requests(0.0)
    policy.record_refusal(first)
    (second,) = policy.scale_out_requests(0.0)
    assert second.zone != first.zone and second.number == 2


@pytest.mark.parametrize("rps", [3.0, 8.0])
def test_requests_to_the_cloud_stay_within_its_rate_limit(rps: float) -> None:
    """The fake cloud has a token bucket with a burst of two seconds and never rejects a request."""
    refused = 0

    class RateLimitedCloud:
        def __init__(self) -> None:
            self.tokens, self.at = 2 * rps, anyio.current_time()

        async def request(self, method: str, target: str, body: bytes = b"", *, timeout: float):
            nonlocal refused
            now = anyio.current_time()
            self.tokens = min(2 * rps, self.tokens + (now - self.at) * rps)
            self.at = now
            if self.tokens < 1:
                refused += 1
                return Response(429)
            self.tokens -= 1
            return Response(200)

        async def aclose(self) -> None:
            pass

    async def main() -> None:
        client, rng, sent = CloudClient(RateLimitedCloud(), 4.0, rps), Random(3), 0
        while anyio.current_time() < 1060.0:
            while client.rate_limit.delay(1) <= 0:
                sent += 1
                await client.return_instances(["vm-1"])
            await anyio.sleep(rng.uniform(0.01, 1.0))
        assert sent > 0.4 * rps * 60.0

    anyio.run(main, backend_options={"loop_factory": VirtualTimeEventLoop})
    assert refused == 0


def test_a_rate_limit_rejection_delays_further_requests() -> None:
    class RefusingCloud:
        async def request(self, method: str, target: str, body: bytes = b"", *, timeout: float):
            return Response(429)

        async def aclose(self) -> None:
            pass

    async def main() -> None:
        client = CloudClient(RefusingCloud(), 4.0, 3.0)
        assert client.rate_limit.delay(1) <= 0
        with pytest.raises(CloudError):
            await client.return_instances(["vm-1"])
        assert client.rate_limit.delay(1) > 0

    anyio.run(main, backend_options={"loop_factory": VirtualTimeEventLoop})


@pytest.mark.parametrize("placement", [{}, {"apart": True}, {"same_place": True}])
def test_instances_for_a_long_backlog_are_chosen_in_few_chunks(
    monkeypatch, placement: dict[str, bool]
) -> None:
    """Guards against choosing hundreds of instances one by one in each round."""
    choices = 0
    cheapest_offer = scale_out.cheapest_offer

    def counted(*args: Any) -> Any:
        nonlocal choices
        choices += 1
        return cheapest_offer(*args)

    monkeypatch.setattr(scale_out, "cheapest_offer", counted)
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    cluster_view.team_limits["red"] = TeamLimits("red")
    accept(cache, entries=8000, vcpus=2.0, ram_gb=1.0, rank="urgent", **placement)
    requested = ScalingPolicy(cluster_view).scale_out_requests(0.0)
    assert sum(request.number for request in requested) >= 50
    assert 0 < choices <= 150


def test_machines_are_scanned_once_per_set_of_requirements_that_do_not_fit(
    monkeypatch,
) -> None:
    """Guards against a scan of all machines for each waiting job."""
    scans: Counter[int] = Counter()
    pack = bin_packing.pack

    def counted(spec, count, bins, *rest, **named):
        scans[jobs] += bool(count) and len(bins) > 100
        return pack(spec, count, bins, *rest, **named)

    for module in (waiting_work, headroom, scale_out):
        monkeypatch.setattr(module, "pack", counted)
    for jobs in (20, 200):
        cluster_view, _, cache, _ = scheduler_with_two_machines()
        cluster_view.team_limits = {}
        for number in range(150):
            observe_machine(cluster_view, f"vm-{number:06d}", "small", "north")
        cluster_view.team_limits["red"] = TeamLimits("red", 1e6, 1e6, 0.0, 0.0)
        for number in range(jobs):
            transaction = Transaction(cache)
            wide = number % 2
            submit(transaction, spec(number, entries=40, vcpus=2.0 + wide, ram_gb=1.0), 0.0)
            commit(cache, transaction)
        requests = ScalingPolicy(cluster_view).scale_out_requests(0.0)
        assert sum(request.number for request in requests) > 0
    assert 0 < scans[200] <= scans[20]


@pytest.mark.parametrize("entries", [7, 40, 1001])
def test_instances_chosen_in_chunks_keep_the_limit_of_each_zone(monkeypatch, entries: int) -> None:
    """The other side: at most half of a spread job's tasks, rounded up, go to one zone."""
    monkeypatch.setattr(scale_out, "_MAX_INSTANCES_PER_REQUEST", entries)
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    cluster_view.team_limits["red"] = TeamLimits("red")
    cluster_view.now = 100.0  # the two machines are silent
    # One task fits a small machine, which is the only type allowed.
    accept(cache, entries=entries, vcpus=4.0, ram_gb=1.0, rank="prod", apart=True, breeds=["small"])
    by_zone = Counter[str]()
    for (_, zone), number in requested_instances(cluster_view).items():
        by_zone[zone] += number
    assert sum(by_zone.values()) == entries
    assert max(by_zone.values()) <= (entries + 1) // 2
