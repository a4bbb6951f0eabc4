"""Execution of scale-out requests."""

import logging

import anyio

from sandladder.autoscaling.cloud_client import CloudClient, CloudError, NoCapacityError
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.offers import ScaleOutRequest
from sandladder.autoscaling.scaling_policy import ScalingPolicy
from sandladder.model import ACTIVE, Machine
from sandladder.protocol import MalformedMessageError
from sandladder.state import PreconditionFailedError

log = logging.getLogger(__name__)

# Per scale-out request; a refusal for lack of capacity is not retried.
_MAX_ATTEMPTS = 3


class InstanceLauncher:
    """Requests instances from the cloud and records those created."""

    def __init__(
        self,
        node: str,
        cloud: CloudClient,
        policy: ScalingPolicy,
        records: InstanceRecordWriter,
        controller: ControllerStatus,
        retry_interval_s: float,
    ) -> None:
        """Initialize the launcher.

        Args:
            node: this controller's name.
            cloud: creates instances.
            policy: keeps track of refused offers.
            records: writes the records of the new instances.
            controller: provides the fencing token and the time of day.
            retry_interval_s: the delay before a retry, in seconds.
        """
        self._node = node
        self._cloud = cloud
        self._policy = policy
        self._records = records
        self._controller = controller
        self._retry_interval_s = retry_interval_s
        self._request_count = 0

    async def launch(self, request: ScaleOutRequest) -> None:
        """Request instances and log a failure.

        Instances created by a request that was cancelled or got no response are found in the
        cloud's list.
        """
        try:
            await self._launch(request)
        except (CloudError, PreconditionFailedError, MalformedMessageError) as error:
            log.info("scale-out request %s failed: %s", request, error)

    async def _launch(self, request: ScaleOutRequest) -> None:
        self._request_count += 1
        # Unique across restarts, because each process has its own fencing token.
        name = f"{self._node}-{self._controller.fencing_token()}-{self._request_count}"
        log.info("sending scale-out request %s", request)
        machines = await self._create(name, request)
        if len(machines) < request.number:
            self._policy.record_refusal(request)
        if machines:
            wall_clock_s = self._controller.wall_clock_s()
            record = Machine(request.type, request.zone, request.spot, ACTIVE, wall_clock_s)
            self._records.queue(dict.fromkeys(machines, record))

    async def _create(self, name: str, request: ScaleOutRequest) -> list[str]:
        """Return the instances that the cloud created; none if it has no capacity."""
        attempts_left = _MAX_ATTEMPTS
        while True:
            attempts_left -= 1
            try:
                return await self._cloud.create_instances(name, request)
            except NoCapacityError:
                return []
            except CloudError:
                # A retry under the same name is idempotent.
                if not attempts_left:
                    raise
                await anyio.sleep(self._retry_interval_s)
