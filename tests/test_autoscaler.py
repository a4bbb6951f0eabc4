"""The autoscaler's components: lease, instance records, launches, unresponsive instances, demand."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
import pytest

from helpers import commit, scheduler_with_two_machines
from sandladder.autoscaling import CloudError, NoCapacityError, ScaleOutRequest, ScalingPolicy
from sandladder.autoscaling.autoscaler_lease import AutoscalerLease
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.autoscaling.demand import CoreDemand, DemandHistory
from sandladder.autoscaling.instance_launcher import InstanceLauncher
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.offers import Offer, RefusedOffers
from sandladder.autoscaling.provisioned_capacity import BootedMachines
from sandladder.autoscaling.unresponsive import boot_is_overdue, unresponsive_instances
from sandladder.model import ACTIVE, DRAINING, GONE, AgentHeartbeat, ListedMachine, Machine
from sandladder.protocol.codec import BODY_LIMIT
from sandladder.scheduling import ClusterView
from sandladder.state import (
    AUTOSCALER_KEY,
    LeaseExpiredError,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreLimits,
    Transaction,
)
from sandladder.state.batch import Batch
from simulation import VirtualTimeEventLoop, settings

NODE, TTL_S = "node-0", 4.0
STATUS = ControllerStatus(
    records_loaded=lambda: True,
    lease_alive=lambda: True,
    isolated=lambda now: False,
    uptime_s=lambda now: 100.0,
    fencing_token=lambda: 7,
    wall_clock_s=lambda: 50.0,
)
REQUEST = ScaleOutRequest("small", "north", True, 2)


def in_virtual_time(main: Callable[[], Awaitable[None]]) -> None:
    anyio.run(main, backend_options={"loop_factory": VirtualTimeEventLoop})


class ImmediateCommitter:
    """Commits each change on its own, or rejects it."""

    def __init__(self, cache: StateCache) -> None:
        self.cache, self.rejects, self.names = cache, False, []
        self.largest_bytes = 0  # of a transaction, as the store's limit counts it
        self.on_committed: Callable[[], None] = lambda: None  # called before the answer arrives

    def add(self, change: PendingChange) -> "ImmediateCommitter":
        self.change = change
        return self

    async def wait(self) -> None:
        await anyio.sleep(0.1)
        if self.rejects:
            raise PreconditionFailedError("rejected")
        transaction = Transaction(self.cache)
        if self.change.apply(transaction):
            size = Batch(transaction, [self.change]).body_bytes
            self.largest_bytes = max(self.largest_bytes, size)
            commit(self.cache, transaction)
            self.change.revision = self.cache.revision
        self.on_committed()
        self.names.append(self.change.name)


class GrantingStore:
    """Grants and renews leases, or reports them as expired."""

    def __init__(self) -> None:
        self.granted, self.renewed, self.expired = 0, 0, False

    async def grant_lease(self, ttl_s: float) -> int:
        self.granted += 1
        return self.granted

    async def renew(self, lease: int) -> None:
        if self.expired:
            raise LeaseExpiredError
        self.renewed += 1


class LeaseScene:
    """An autoscaler lease with its collaborators."""

    def __init__(self, status: ControllerStatus = STATUS) -> None:
        self.cache, self.store, self.acquisitions = StateCache(), GrantingStore(), 0
        self.committer = ImmediateCommitter(self.cache)
        self.lease = AutoscalerLease(
            NODE,
            TTL_S,
            self.cache,
            self.store,
            self.committer,
            status,
            self._acquired,
        )

    def _acquired(self) -> None:
        self.acquisitions += 1

    def write(self, node: str) -> None:
        """Write the autoscaler's key as another process would."""
        version = self.cache.revision + 1
        self.cache.apply(version, [(AUTOSCALER_KEY, node, version)])


def test_a_free_lease_is_acquired_once_and_renewed_before_expiry() -> None:
    async def main() -> None:
        setup = LeaseScene()
        assert await setup.lease.ensure_held() and setup.cache.autoscaler_node == NODE
        assert await setup.lease.ensure_held()
        assert (setup.store.granted, setup.store.renewed, setup.acquisitions) == (1, 0, 1)
        for _ in range(20):
            await anyio.sleep(TTL_S / 4)
            assert await setup.lease.ensure_held()
        assert setup.store.granted == 1 and setup.store.renewed >= 5

    in_virtual_time(main)


def test_an_expired_lease_is_given_up_and_acquired_again() -> None:
    async def main() -> None:
        setup = LeaseScene()
        assert await setup.lease.ensure_held()
        await anyio.sleep(2 * TTL_S)
        setup.store.expired = True
        assert not await setup.lease.ensure_held() and not setup.lease.acquired
        assert await setup.lease.ensure_held() and setup.store.granted == 2

    in_virtual_time(main)


def test_a_lease_held_by_another_controller_is_not_acquired() -> None:
    async def main() -> None:
        setup = LeaseScene()
        setup.write("node-1")
        assert not await setup.lease.ensure_held()
        assert setup.store.granted == 0 and setup.cache.autoscaler_node == "node-1"

    in_virtual_time(main)


def test_a_key_of_an_earlier_process_of_the_same_controller_is_acquired() -> None:
    async def main() -> None:
        setup = LeaseScene()
        setup.write(NODE)
        assert await setup.lease.ensure_held()

    in_virtual_time(main)


def test_the_lease_is_given_up_when_another_process_writes_the_key() -> None:
    async def main() -> None:
        setup = LeaseScene()
        assert await setup.lease.ensure_held()
        setup.write(NODE)
        assert not await setup.lease.ensure_held() and not setup.lease.acquired

    in_virtual_time(main)


def test_a_lease_whose_key_was_replaced_before_the_answer_is_not_acquired() -> None:
    """Guards against two autoscalers: the answer to the commit came after a read of the other's."""

    async def main() -> None:
        setup = LeaseScene()
        setup.committer.on_committed = lambda: setup.write("node-1")
        assert not await setup.lease.ensure_held()
        assert not setup.lease.acquired and setup.acquisitions == 0
        assert setup.cache.autoscaler_node == "node-1"

    in_virtual_time(main)


def test_a_controller_without_its_own_lease_does_not_become_the_autoscaler() -> None:
    async def main() -> None:
        setup = LeaseScene(replace(STATUS, lease_alive=lambda: False))
        assert not await setup.lease.ensure_held() and setup.store.granted == 0

    in_virtual_time(main)


def test_an_isolated_controller_gives_up_the_lease() -> None:
    isolated = False

    async def main() -> None:
        nonlocal isolated
        setup = LeaseScene(replace(STATUS, isolated=lambda now: isolated))
        assert await setup.lease.ensure_held()
        isolated = True
        assert not await setup.lease.ensure_held() and not setup.lease.acquired

    in_virtual_time(main)


def record(state: str) -> Machine:
    return Machine("small", "north", True, state, 0.0)


def record_writer(
    cache: StateCache, committer: ImmediateCommitter, **store: Any
) -> InstanceRecordWriter:
    state = settings(0, 1, **store).platform.deployment.state
    limits = StoreLimits(state, cache)
    return InstanceRecordWriter(cache, committer, limits, state.value_bytes, interval_s=4.0)


def test_record_writes_are_batched_but_proof_of_lost_tasks_is_written_at_once() -> None:
    async def main() -> None:
        cache = StateCache()
        committer = ImmediateCommitter(cache)
        records = record_writer(cache, committer)
        records.queue({"vm-000001": record(ACTIVE), "vm-000002": record(ACTIVE)})
        await records.flush()
        assert set(cache.instances) == {"vm-000001", "vm-000002"} and not records.unwritten
        records.queue({"vm-000003": record(ACTIVE)})
        await records.flush()
        assert "vm-000003" not in cache.instances
        assert records.record("vm-000003") == record(ACTIVE)
        # With an attempt recorded on the instance, its GONE state proves that a task is lost.
        cache.attempts_by_machine["vm-000001"] = {("job-000001", 0): None}
        records.queue({"vm-000001": record(GONE)})
        await records.flush()
        assert cache.instances["vm-000001"].state == GONE and "vm-000003" in cache.instances
        assert len(committer.names) == 2

    in_virtual_time(main)


def test_the_records_of_many_instances_are_written_in_transactions_that_fit_the_limit() -> None:
    """Guards against transactions that the store rejects as too large."""

    async def main() -> None:
        cache = StateCache()
        committer = ImmediateCommitter(cache)
        records = record_writer(cache, committer, value_kb=16.0, txn_ops=32)
        states = (ACTIVE, DRAINING, GONE)
        records.queue(
            {
                f"vm-{number:06d}": Machine(
                    f"type-{number % 7}",
                    f"zone-{number % 4}",
                    number % 2 == 0,
                    states[number % 3],
                    1.7e9 + 1.37 * number,
                )
                for number in range(4_000)
            }
        )
        await records.flush()
        assert len(cache.instances) == 4_000
        assert 0.5 * BODY_LIMIT < committer.largest_bytes <= BODY_LIMIT

    in_virtual_time(main)


def test_rejected_record_changes_stay_queued_and_newer_ones_take_precedence() -> None:
    async def main() -> None:
        cache = StateCache()
        committer = ImmediateCommitter(cache)
        records = record_writer(cache, committer)
        records.queue({"vm-000001": record(ACTIVE), "vm-000002": record(ACTIVE)})
        committer.rejects = True

        async def queue_newer_change() -> None:
            records.queue({"vm-000001": record(DRAINING)})

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue_newer_change)
            with pytest.raises(PreconditionFailedError):
                await records.flush()
        assert records.unwritten == {
            "vm-000001": record(DRAINING),
            "vm-000002": record(ACTIVE),
        }

    in_virtual_time(main)


class ScriptedCloud:
    """Responds to requests for instances with scripted outcomes."""

    def __init__(self, *outcomes: Any) -> None:
        self.outcomes, self.names = list(outcomes), []

    async def create_instances(self, name: str, request: ScaleOutRequest) -> list[str]:
        self.names.append(name)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class LaunchScene:
    """A launcher with a scripted cloud, the queued records and the recorded refusals."""

    def __init__(self, *outcomes: Any) -> None:
        cluster_view, _, self.cache, _ = scheduler_with_two_machines()
        self.cloud, self.refused = ScriptedCloud(*outcomes), []
        self.policy = ScalingPolicy(cluster_view)
        self.policy.record_refusal = self.refused.append  # type: ignore[method-assign]
        self.records = record_writer(self.cache, ImmediateCommitter(self.cache))
        self.launcher = InstanceLauncher(
            NODE, self.cloud, self.policy, self.records, STATUS, retry_interval_s=1.0
        )


def test_a_failed_scale_out_request_is_retried_under_the_same_name() -> None:
    async def main() -> None:
        setup = LaunchScene(CloudError("lost"), CloudError("lost"), ["vm-000001", "vm-000002"], [])
        await setup.launcher.launch(REQUEST)
        await setup.launcher.launch(REQUEST)
        assert setup.cloud.names == ["node-0-7-1"] * 3 + ["node-0-7-2"]
        created = Machine("small", "north", True, ACTIVE, 50.0)
        assert setup.records.unwritten == {"vm-000001": created, "vm-000002": created}
        assert setup.refused == [REQUEST]

    in_virtual_time(main)


def test_a_scale_out_request_is_abandoned_after_three_attempts() -> None:
    async def main() -> None:
        setup = LaunchScene(*[CloudError("lost")] * 3)
        await setup.launcher.launch(REQUEST)
        assert len(setup.cloud.names) == 3
        assert not setup.records.unwritten and not setup.refused

    in_virtual_time(main)


@pytest.mark.parametrize("answer", [NoCapacityError("none"), ["vm-000001"]])
def test_an_offer_with_too_little_capacity_is_recorded_as_refused(answer: Any) -> None:
    async def main() -> None:
        setup = LaunchScene(answer)
        await setup.launcher.launch(REQUEST)
        assert setup.refused == [REQUEST] and len(setup.cloud.names) == 1
        assert list(setup.records.unwritten) == (answer if isinstance(answer, list) else [])

    in_virtual_time(main)


def single_zone_scene(responsive: int, unresponsive: int) -> tuple[ClusterView, BootedMachines]:
    """Return a view of instances in one zone, of which some sent recent heartbeats."""
    cluster_view, _, cache, reconciler = scheduler_with_two_machines()
    booted = BootedMachines()
    names = [f"vm-{number:06d}" for number in range(10, 10 + responsive + unresponsive)]
    cache.instances.update(dict.fromkeys(names, record(ACTIVE)))
    booted.observe(names, cache.instances)
    cluster_view.now = 100.0
    for name in names[:responsive]:
        heartbeat = AgentHeartbeat(name, f"{name}:1", "small", "north", True, 1, 1, 1, None, ())
        cluster_view.record_heartbeat(
            reconciler.receive_heartbeat(heartbeat, 100.0, direct=False).agent
        )
    return cluster_view, booted


@pytest.mark.parametrize(
    ("responsive", "unresponsive", "expected"),
    [(3, 1, 1), (2, 2, 2), (1, 3, 0), (0, 1, 1), (0, 2, 0)],
)
def test_instances_are_reported_unresponsive_unless_most_of_their_zone_is(
    responsive: int, unresponsive: int, expected: int
) -> None:
    """Guards against returning the running instances of a partitioned zone."""
    cluster_view, booted = single_zone_scene(responsive, unresponsive)
    instances = unresponsive_instances(cluster_view, booted, wall_clock_s=100.0)
    assert instances == [f"vm-{10 + responsive + number:06d}" for number in range(expected)]


def test_instances_that_never_booted_or_are_gone_are_not_unresponsive() -> None:
    cluster_view, booted = single_zone_scene(3, 1)
    cluster_view.cache.instances["vm-000013"] = record(GONE)
    cluster_view.cache.instances["vm-000014"] = record(ACTIVE)
    assert unresponsive_instances(cluster_view, booted, wall_clock_s=100.0) == []


def test_a_boot_is_overdue_after_four_times_the_boot_time() -> None:
    _, _, cache, _ = scheduler_with_two_machines()  # both types boot in 9 seconds
    booting = ListedMachine("vm-1", "small", "north", True, "booting", 36.0, "vm-1:1")
    assert not boot_is_overdue(booting, cache.machine_types)
    assert boot_is_overdue(booting._replace(age_s=36.1), cache.machine_types)
    assert not boot_is_overdue(booting._replace(age_s=99.0, state="running"), cache.machine_types)
    assert not boot_is_overdue(booting._replace(age_s=240.0, type="unknown"), cache.machine_types)
    assert boot_is_overdue(booting._replace(age_s=240.1, type="unknown"), cache.machine_types)


def test_an_offer_counts_as_refused_until_the_retry_delay_has_passed() -> None:
    refused = RefusedOffers(retry_after_s=10.0)
    refused.add(Offer("small", "north", True), now=5.0)
    assert refused.is_refused(Offer("small", "north", True), now=14.9)
    assert not refused.is_refused(Offer("small", "north", True), now=15.0)
    assert not refused.is_refused(Offer("small", "north", False), now=14.9)


def test_usual_demand_is_the_sixty_percent_quantile_of_the_recent_samples() -> None:
    history = DemandHistory(span_s=100.0)
    assert history.usual_cores() == 0.0
    for second in range(10):
        history.record(CoreDemand(cannot_wait=second, can_wait=10.0), now=second)
    assert history.usual_cores_that_cannot_wait() == 6.0 and history.usual_cores() == 16.0
    history.record(CoreDemand(cannot_wait=1.0), now=200.0)
    assert history.usual_cores() == 1.0
