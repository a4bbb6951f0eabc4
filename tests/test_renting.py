"""What is rented: within the cloud's rate, once, and the kind of machine that the work needs."""

from random import Random
from typing import Any

import anyio
import pytest

from helpers import accept, scene
from sandladder.autoscaling import CloudClient, CloudError, ScalingPolicy
from sandladder.config import TeamLimits
from sandladder.model import AgentHeartbeat, Machine, MachineType
from sandladder.scheduling import ClusterView
from sandladder.transport import Response
from world import VirtualLoop

GPU_TYPE = MachineType("gpu", 12.0, 2.0, 48.0, 20.0, 1.0, 5.0, 1.0, 9.0, ("north", "south"))
GPU_TASK = {"vcpus": 10.0, "gpus": 2.0, "ram_gb": 30.0, "breeds": ["gpu"]}


def with_gpus(machines: dict[str, str]):
    """The scene with machines that have GPUs, by name and zone."""
    cluster_view, planner, cache, reconciler = scene()
    cluster_view.limits["red"] = TeamLimits("red")
    cache.types["gpu"] = GPU_TYPE
    for name, zone in machines.items():
        report = AgentHeartbeat(name, f"{name}:1", "gpu", zone, False, 1, 1, 1, None, ())
        cluster_view.heard(reconciler.heard(report, 0.0, direct=False).agent)
    return cluster_view, planner, cache


def rented(cluster_view: ClusterView, **unwritten: Machine) -> dict[tuple[str, str], int]:
    found: dict[tuple[str, str], int] = {}
    for request in ScalingPolicy(cluster_view).rental_requests(0.0, unwritten):
        key = request.type, request.zone
        found[key] = found.get(key, 0) + request.number
    return found


def test_one_request_an_offer_and_nothing_twice() -> None:
    """Seen in a measured day: five requests of 50 for one offer at once, and all of them again."""
    cluster_view, _, cache, _ = scene()
    cluster_view.limits["red"] = TeamLimits("red")
    accept(cache, entries=2000, vcpus=4.0, ram_gb=1.0, rank="urgent")
    requests = ScalingPolicy(cluster_view).rental_requests(0.0)
    offers = [(request.type, request.zone, request.spot) for request in requests]
    assert offers and len(offers) == len(set(offers))
    cluster_view, _, cache, _ = scene()
    accept(cache, entries=12, vcpus=4.0, ram_gb=1.0, rank="urgent")
    requested = ScalingPolicy(cluster_view).rental_requests(0.0)
    unwritten = {
        f"vm-{request.zone}-{request.type}-{number}": Machine(
            request.type, request.zone, request.spot, "rented", 0.0
        )
        for request in requested
        for number in range(request.number)
    }
    assert unwritten
    assert ScalingPolicy(cluster_view).rental_requests(0.0, unwritten) == []


def test_work_without_gpus_leaves_the_machines_with_gpus_alone() -> None:
    cluster_view, planner, cache = with_gpus({"vm-8": "north", "vm-9": "south"})
    gang = accept(cache, entries=1, form="group", **GPU_TASK)
    small = accept(cache, number=2, entries=100, vcpus=1.0, ram_gb=1.0)
    placed = planner.plan([gang, small], {})
    taken = next(i.placement.machine for i in placed if i.spec is gang.spec)
    where = {
        pending_start.placement.machine
        for pending_start in placed
        if pending_start.spec is small.spec
    }
    assert where == {"vm-1", "vm-2", taken}
    # Nor is any rented for it, whatever else is refused.
    provisioner = ScalingPolicy(cluster_view)
    for request in provisioner.rental_requests(0.0):
        provisioner.refused(request)
    assert not any(request.type == "gpu" for request in provisioner.rental_requests(0.0))


def test_what_gpus_in_use_leave_of_their_machine_may_be_used() -> None:
    cluster_view, planner, cache = with_gpus({"vm-8": "north"})
    gang = accept(cache, entries=1, form="group", **GPU_TASK)
    planner.plan([gang], {})
    small = accept(cache, number=2, entries=100, vcpus=1.0, ram_gb=1.0)
    placed = planner.plan([gang, small], {})
    beside = [i for i in placed if i.spec is small.spec and i.placement.machine == "vm-8"]
    assert len(beside) == 2


def test_work_that_has_waited_long_may_use_idle_machines_with_gpus() -> None:
    """No job is left waiting while a machine that fits has room."""
    cluster_view, planner, cache = with_gpus({"vm-8": "north"})
    accept(cache, entries=1, form="group", **GPU_TASK | {"vcpus": 11.0, "breeds": ["small"]})
    small = accept(cache, number=2, entries=100, vcpus=1.0, ram_gb=1.0)
    lease_s = cluster_view.settings.platform.deployment.workers.lease_s
    planner.plan([small], {})
    assert not [i for i in cluster_view.gate.pending.values() if i.placement.machine == "vm-8"]
    cluster_view.ahead = 4 * lease_s + 1.0
    planner.plan([small], {})
    assert [i for i in cluster_view.gate.pending.values() if i.placement.machine == "vm-8"]


def test_without_gpu_work_every_machine_serves() -> None:
    _, planner, cache = with_gpus({"vm-8": "north"})
    small = accept(cache, entries=100, vcpus=1.0, ram_gb=1.0)
    assert "vm-8" in {
        pending_start.placement.machine for pending_start in planner.plan([small], {})
    }


def test_a_gang_bound_to_one_zone_is_rented_for_in_one_zone() -> None:
    """Machines for two of its tasks in each of two zones are no room for a gang of four."""
    cluster_view, planner, cache = with_gpus(
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
    found = rented(cluster_view)
    assert len(found) == 1 and list(found.values()) == [2]
    # Where one zone's offers are refused, the other is filled.
    provisioner = ScalingPolicy(cluster_view)
    (first,) = provisioner.rental_requests(0.0)
    provisioner.refused(first)
    (second,) = provisioner.rental_requests(0.0)
    assert second.zone != first.zone and second.number == 2


@pytest.mark.parametrize("rps", [3.0, 8.0])
def test_requests_to_the_cloud_keep_to_its_rate(rps: float) -> None:
    """A stand-in that refuses above the rate, with bursts of two seconds' worth, never has to."""
    refused = 0

    class Rated:
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
        client, rng, sent = CloudClient(Rated(), 4.0, rps), Random(3), 0
        while anyio.current_time() < 1060.0:
            while client.requests.delay(1) <= 0:
                sent += 1
                await client.give_back(["vm-1"])
            await anyio.sleep(rng.uniform(0.01, 1.0))
        assert sent > 0.4 * rps * 60.0

    anyio.run(main, backend_options={"loop_factory": VirtualLoop})
    assert refused == 0


def test_a_refusal_over_the_rate_slows_the_requests_down() -> None:
    class Refusing:
        async def request(self, method: str, target: str, body: bytes = b"", *, timeout: float):
            return Response(429)

        async def aclose(self) -> None:
            pass

    async def main() -> None:
        client = CloudClient(Refusing(), 4.0, 3.0)
        assert client.requests.delay(1) <= 0
        with pytest.raises(CloudError):
            await client.give_back(["vm-1"])
        assert client.requests.delay(1) > 0

    anyio.run(main, backend_options={"loop_factory": VirtualLoop})


def test_a_long_backlog_is_rented_for_in_few_pieces(monkeypatch) -> None:
    """Seen in a measured day: hundreds of machines were chosen one by one in each round."""
    chosen = 0
    cheapest = ScalingPolicy._cheapest

    def counted(self: ScalingPolicy, *args: Any) -> Any:
        nonlocal chosen
        chosen += 1
        return cheapest(self, *args)

    monkeypatch.setattr(ScalingPolicy, "_cheapest", counted)
    cluster_view, _, cache, _ = scene()
    cluster_view.limits["red"] = TeamLimits("red")
    accept(cache, entries=8000, vcpus=2.0, ram_gb=1.0, rank="urgent")
    requested = ScalingPolicy(cluster_view).rental_requests(0.0)
    assert sum(request.number for request in requested) >= 50
    assert chosen <= 150
