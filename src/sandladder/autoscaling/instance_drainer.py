"""Draining of instances and their return to the cloud."""

import logging
from collections.abc import Iterable

import anyio

from sandladder import clock
from sandladder.autoscaling.cloud_client import MAX_INSTANCES_PER_RETURN, CloudClient
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.autoscaling.instance_reconciler import InstanceReconciler
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.scaling_policy import ScalingPolicy
from sandladder.config import parse_address
from sandladder.model import ACTIVE, DRAINING, GONE, Machine
from sandladder.protocol import agent_messages
from sandladder.scheduling import ClusterView
from sandladder.transport import HttpConnector, HttpError

log = logging.getLogger(__name__)


class InstanceDrainer:
    """Drains and returns instances that are surplus or unresponsive."""

    def __init__(
        self,
        cluster_view: ClusterView,
        policy: ScalingPolicy,
        cloud: CloudClient,
        records: InstanceRecordWriter,
        reconciler: InstanceReconciler,
        connect: HttpConnector,
        controller: ControllerStatus,
    ) -> None:
        """Initialize the drainer.

        Args:
            cluster_view: the state of the machines, with the records and the settings.
            policy: decides which instances to drain.
            cloud: the client through which instances are returned.
            records: writes the changes of instance records.
            reconciler: provides the instances' addresses.
            connect: creates a client for an instance's agent.
            controller: the status of this controller.
        """
        self._cluster_view = cluster_view
        self._cache = cluster_view.cache
        self._policy = policy
        self._cloud = cloud
        self._records = records
        self._reconciler = reconciler
        self._connect = connect
        self._controller = controller
        workers = cluster_view.settings.platform.deployment.workers
        self._lease_s = workers.lease_s
        self._probe_timeout_s = workers.report_s / 2

    async def drain(self, wall_clock_s: float) -> None:
        """Mark instances as draining, so that no more tasks are placed on them.

        On cancellation no instance is marked.  `wall_clock_s` is the time of day, in seconds.
        """
        draining = self._scale_in_records(wall_clock_s)
        if self._controller.uptime_s(clock.now()) > self._lease_s:
            for machine in await self._unreachable(self._active_unresponsive(wall_clock_s)):
                log.info("draining unresponsive instance %s", machine)
                record = self._cache.instances[machine]
                draining[machine] = record._replace(state=DRAINING, since=wall_clock_s)
        self._records.queue(draining)

    def _scale_in_records(self, wall_clock_s: float) -> dict[str, Machine]:
        """Return the new records of the instances that the policy scales in."""
        draining = {}
        for machine, reason in self._policy.scale_in_candidates(wall_clock_s).items():
            capacity = self._cluster_view.free_capacity(machine)
            record = self._records.record(machine)
            if capacity is not None and (record is None or record.state == ACTIVE):
                log.info("draining instance %s: %s", machine, reason)
                draining[machine] = Machine(
                    capacity.type, capacity.zone, capacity.spot, DRAINING, wall_clock_s
                )
        return draining

    def reactivate(self, machines: Iterable[str], wall_clock_s: float) -> None:
        """Mark draining instances as active, so that tasks are placed on them again.

        `wall_clock_s` is the time of day, in seconds.
        """
        active = {}
        for machine in machines:
            record = self._records.record(machine)
            if record is not None and record.state == DRAINING:
                log.info("reactivating instance %s: work waits for capacity", machine)
                active[machine] = record._replace(state=ACTIVE, since=wall_clock_s)
        self._records.queue(active)

    def _active_unresponsive(self, wall_clock_s: float) -> list[str]:
        """Return the unresponsive instances that are not draining yet."""
        machines = []
        for machine in self._policy.unresponsive(wall_clock_s):
            record = self._records.record(machine)
            if record is not None and record.state == ACTIVE:
                machines.append(machine)
        return machines

    async def _unreachable(self, machines: list[str]) -> list[str]:
        """Return the machines whose agents do not respond to this controller's probe."""
        unreachable: list[str] = []

        async def probe(machine: str) -> None:
            address = self._reconciler.address(machine)
            if address is None:
                return
            # keep=0 keeps no connection open, so the client needs no close.
            client = self._connect(*parse_address(address), keep=0)
            try:
                await client.request(
                    "GET", agent_messages.STATUS_PATH, timeout=self._probe_timeout_s
                )
            except HttpError:
                unreachable.append(machine)

        async with anyio.create_task_group() as probes:
            for machine in machines:
                probes.start_soon(probe, machine)
        return unreachable

    async def return_drained(self, wall_clock_s: float) -> None:
        """Return drained instances, and unresponsive draining ones regardless of their tasks.

        On cancellation instances may be returned without a change of their records; the next
        reconciliation with the cloud's list corrects them.

        Args:
            wall_clock_s: the time of day, in seconds.

        Raises:
            CloudError: the cloud did not confirm the return; it is retried.
        """
        unresponsive = set(self._policy.unresponsive(wall_clock_s))
        ready = [
            machine
            for machine, record in self._cache.instances.items()
            if record.state == DRAINING
            and self._records.record(machine) == record
            and (machine not in self._cache.attempts_by_machine or machine in unresponsive)
        ][:MAX_INSTANCES_PER_RETURN]
        if not ready:
            return
        await self._cloud.return_instances(ready)
        log.info("returned instances %s", ready)
        instances = self._cache.instances
        self._records.queue(
            {m: instances[m]._replace(state=GONE, since=wall_clock_s) for m in ready}
        )
