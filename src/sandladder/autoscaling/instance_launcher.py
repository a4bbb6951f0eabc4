"""Carries out requests to scale out."""

import logging

import anyio

from sandladder.autoscaling.cloud_client import CloudClient, CloudError, NoCapacityError
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.instance_states import ACTIVE
from sandladder.autoscaling.offers import ScaleOutRequest
from sandladder.autoscaling.scaling_policy import ScalingPolicy
from sandladder.model import Machine
from sandladder.protocol import MalformedMessageError
from sandladder.state import PreconditionFailedError

log = logging.getLogger(__name__)

# How often a request is sent that gets no answer.
_ATTEMPTS = 3


class InstanceLauncher:
    """Asks the cloud for instances, and notes those that it created."""

    def __init__(
        self,
        node: str,
        cloud: CloudClient,
        policy: ScalingPolicy,
        records: InstanceRecordWriter,
        controller: ControllerStatus,
        retry_pause_s: float,
    ) -> None:
        """
        Args:
            node: this controller's name.
            cloud: creates instances.
            policy: remembers what the cloud refused.
            records: takes the new instances.
            controller: the fencing token and the time of day.
            retry_pause_s: how long to wait before a request is sent again, in seconds.
        """
        self._node = node
        self._cloud = cloud
        self._policy = policy
        self._records = records
        self._controller = controller
        self._retry_pause_s = retry_pause_s
        self._requests = 0

    async def launch(self, request: ScaleOutRequest) -> None:
        """Ask for instances; what fails is logged.

        Cancelled, or without an answer, whatever came of it shows in the cloud's list.
        """
        try:
            await self._launch(request)
        except (CloudError, PreconditionFailedError, MalformedMessageError) as error:
            log.info("scaling out with %s: %s", request, error)

    async def _launch(self, request: ScaleOutRequest) -> None:
        self._requests += 1
        # Never used again: a fencing token belongs to one process.
        name = f"{self._node}-{self._controller.fencing_token()}-{self._requests}"
        log.info("scaling out with %s", request)
        machines = await self._create(name, request)
        if len(machines) < request.number:
            self._policy.note_refused(request)
        if machines:
            wall = self._controller.wall_clock_s()
            record = Machine(request.type, request.zone, request.spot, ACTIVE, wall)
            self._records.note(dict.fromkeys(machines, record))

    async def _create(self, name: str, request: ScaleOutRequest) -> list[str]:
        """The instances that the cloud created; none if it has no capacity."""
        attempts_left = _ATTEMPTS
        while True:
            attempts_left -= 1
            try:
                return await self._cloud.create_instances(name, request)
            except NoCapacityError:
                return []
            except CloudError:
                # Sent again under the same name, it creates nothing twice.
                if not attempts_left:
                    raise
                await anyio.sleep(self._retry_pause_s)
