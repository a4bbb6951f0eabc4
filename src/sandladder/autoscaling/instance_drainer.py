"""Draining of instances, and their return to the cloud once nothing runs there."""

import logging

import anyio

from sandladder import clock
from sandladder.autoscaling.cloud_client import MOST_RETURNED, CloudClient
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.autoscaling.instance_reconciler import InstanceReconciler
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.instance_states import ACTIVE, DRAINING, GONE
from sandladder.autoscaling.scaling_policy import ScalingPolicy
from sandladder.config import parse_address
from sandladder.model import Machine
from sandladder.protocol import agent_messages
from sandladder.scheduling import ClusterView
from sandladder.transport import HttpConnector, HttpError

log = logging.getLogger(__name__)


class InstanceDrainer:
    """Drains the instances that are not needed or do not respond, and returns them."""

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
        """
        Args:
            cluster_view: what is known of the machines, with the records and the settings.
            policy: decides which instances to drain.
            cloud: takes instances back.
            records: takes the changes of instances' records.
            reconciler: knows the instances' addresses.
            connect: makes a client for an instance's agent.
            controller: for how long this controller has run.
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

    async def drain(self, wall: float) -> None:
        """Mark instances that are to be returned, so that nothing more is placed there.

        `wall` is the time of day, in seconds.  Cancelled, none is marked.
        """
        draining = self._scaled_in(wall)
        if self._controller.uptime_s(clock.now()) > self._lease_s:
            for machine in await self._unreachable(self._unresponsive(wall)):
                log.info("instance %s is unresponsive: draining it", machine)
                record = self._cache.instances[machine]
                draining[machine] = record._replace(state=DRAINING, since=wall)
        self._records.note(draining)

    def _scaled_in(self, wall: float) -> dict[str, Machine]:
        """The instances that are not needed, or not fit for work, with their new records."""
        draining = {}
        for machine in self._policy.scale_in_candidates(wall):
            capacity = self._cluster_view.free_capacity(machine)
            record = self._records.record(machine)
            if capacity is not None and (record is None or record.state == ACTIVE):
                log.info("draining instance %s", machine)
                draining[machine] = Machine(
                    capacity.type, capacity.zone, capacity.spot, DRAINING, wall
                )
        return draining

    def _unresponsive(self, wall: float) -> list[str]:
        """The unresponsive instances that are not being drained already."""
        found = []
        for machine in self._policy.unresponsive(wall):
            record = self._records.record(machine)
            if record is not None and record.state == ACTIVE:
                found.append(machine)
        return found

    async def _unreachable(self, machines: list[str]) -> list[str]:
        """Those of the machines that do not answer this controller either."""
        found: list[str] = []

        async def probe(machine: str) -> None:
            address = self._reconciler.address(machine)
            if address is None:
                return
            # No connection is kept, so there is nothing to close.
            client = self._connect(*parse_address(address), keep=0)
            try:
                await client.request(
                    "GET", agent_messages.STATUS_PATH, timeout=self._probe_timeout_s
                )
            except HttpError:
                found.append(machine)

        async with anyio.create_task_group() as probes:
            for machine in machines:
                probes.start_soon(probe, machine)
        return found

    async def return_drained(self, wall: float) -> None:
        """Return drained instances, and unresponsive ones whatever runs there.

        `wall` is the time of day, in seconds.

        Raises:
            CloudError: the cloud did not say that it took them; they are returned again.

        Cancelled, instances may be returned without a change of their records: the cloud's list
        shows it.
        """
        unresponsive = set(self._policy.unresponsive(wall))
        ready = [
            machine
            for machine, record in self._cache.instances.items()
            if record.state == DRAINING
            and (machine not in self._cache.attempts_by_machine or machine in unresponsive)
        ][:MOST_RETURNED]
        if not ready:
            return
        await self._cloud.return_instances(ready)
        log.info("returned instances %s", ready)
        instances = self._cache.instances
        self._records.note({m: instances[m]._replace(state=GONE, since=wall) for m in ready})
