"""The loop that scales instances out and in while this controller is the autoscaler."""

import logging

import anyio

from sandladder import clock
from sandladder.autoscaling.autoscaler_lease import AutoscalerLease
from sandladder.autoscaling.cloud_client import CloudClient, CloudError
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.autoscaling.instance_drainer import InstanceDrainer
from sandladder.autoscaling.instance_launcher import InstanceLauncher
from sandladder.autoscaling.instance_reconciler import InstanceReconciler
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.machine_types import MachineTypeUpdater
from sandladder.autoscaling.scaling_policy import ScalingPolicy
from sandladder.protocol import MalformedMessageError
from sandladder.scheduling import ClusterView
from sandladder.state import (
    GroupCommitter,
    LeaseExpiredError,
    PreconditionFailedError,
    StoreClient,
    StoreLimits,
    StoreRequestError,
)
from sandladder.transport import HttpConnector

log = logging.getLogger(__name__)

# Limits on the frequency of rounds: the number per heartbeat interval, and the number of requests
# that the cloud's rate limit must allow between two rounds.
_ROUNDS_PER_HEARTBEAT_INTERVAL, _CLOUD_REQUESTS_PER_ROUND = 3, 2
# The autoscaler lease's time to live is the agent lease divided by this.
_LEASE_TTLS_PER_AGENT_LEASE = 3
# Interval between reads of the cloud's catalog, in agent leases.
_CATALOG_INTERVAL_LEASES = 2
# Interval between writes of records that are not urgent, in heartbeat intervals.
_WRITE_INTERVAL_HEARTBEATS = 2


class Autoscaler:
    """Acquires the autoscaler lease when it is free, and scales while the lease is valid."""

    def __init__(
        self,
        cluster_view: ClusterView,
        store: StoreClient,
        committer: GroupCommitter,
        limits: StoreLimits,
        cloud: CloudClient,
        connect: HttpConnector,
        controller: ControllerStatus,
    ) -> None:
        """Initialize the autoscaler and its components.

        Args:
            cluster_view: the state of the machines, with the records and the settings.
            store: grants and renews the autoscaler lease.
            committer: writes records.
            limits: the limits on the size of a transaction.
            cloud: creates, lists and returns instances.
            connect: creates a client for an instance's agent.
            controller: the status of this controller.
        """
        settings, cache = cluster_view.settings, cluster_view.cache
        deployment = settings.platform.deployment
        workers = deployment.workers
        self._cluster_view = cluster_view
        self._cloud = cloud
        self._controller = controller
        self._round_interval_s = max(
            workers.report_s / _ROUNDS_PER_HEARTBEAT_INTERVAL,
            _CLOUD_REQUESTS_PER_ROUND / deployment.cloud.rps,
        )
        self._policy = ScalingPolicy(cluster_view)
        self._machine_types = MachineTypeUpdater(
            cache, cloud, committer, _CATALOG_INTERVAL_LEASES * workers.lease_s
        )
        self._records = InstanceRecordWriter(
            cache,
            committer,
            limits,
            deployment.state.value_bytes,
            _WRITE_INTERVAL_HEARTBEATS * workers.report_s,
        )
        self._reconciler = InstanceReconciler(
            cache, cloud, self._records, deployment.cloud.list_lag_s
        )
        self._drainer = InstanceDrainer(
            cluster_view,
            self._policy,
            cloud,
            self._records,
            self._reconciler,
            connect,
            controller,
        )
        self._launcher = InstanceLauncher(
            settings.node, cloud, self._policy, self._records, controller, self._round_interval_s
        )
        self._lease = AutoscalerLease(
            settings.node,
            workers.lease_s / _LEASE_TTLS_PER_AGENT_LEASE,
            cache,
            store,
            committer,
            controller,
            self._reset,
        )

    async def run(self) -> None:
        """Run rounds until cancelled; an error from the cloud or the store ends only the round.

        On cancellation a request to the cloud may have been carried out; the next autoscaler
        finds its result in the cloud's list.
        """
        while True:
            await anyio.sleep(self._round_interval_s)
            if not self._controller.records_loaded():
                continue
            try:
                await self._run_round()
            except CloudError as error:
                log.info("autoscaling round aborted by a cloud error: %s", error)
            except (
                StoreRequestError,
                LeaseExpiredError,
                PreconditionFailedError,
                MalformedMessageError,
            ) as error:
                log.info("autoscaling round aborted: %s", error)

    async def _run_round(self) -> None:
        now = self._cluster_view.now = clock.now()
        self._cluster_view.wall_offset_s = self._controller.wall_clock_s() - now
        self._policy.observe_jobs()
        await self._machine_types.update(self._lease.acquired)
        if await self._lease.ensure_held():
            await self._scale()

    def _reset(self) -> None:
        """Discard the state left from an earlier period as the autoscaler."""
        self._records.discard()
        self._reconciler.clear_listing_times()

    async def _scale(self) -> None:
        now, wall_clock_s = clock.now(), self._controller.wall_clock_s()
        await self._reconciler.reconcile(now, wall_clock_s)
        await self._drainer.drain(wall_clock_s)
        await self._drainer.return_drained(wall_clock_s)
        await self._records.flush()
        self._cluster_view.now = clock.now()
        if log.isEnabledFor(logging.DEBUG):
            log.debug("cores by market and use: %s", self._policy.describe_utilization())
        await self._scale_out()
        await self._records.flush()

    async def _scale_out(self) -> None:
        """Take back draining instances, and send the scale-out requests.

        The requests are concurrent, so that refusals do not delay the round.
        """
        wall_clock_s = self._controller.wall_clock_s()
        requests = self._policy.scale_out_requests(wall_clock_s, self._records.unwritten)
        self._drainer.reactivate(self._policy.reactivated, wall_clock_s)
        async with anyio.create_task_group() as launches:
            for request in requests:
                if self._cloud.rate_limit.delay(1) > 0:
                    break  # requests are in order of urgency; the next round recomputes the rest
                launches.start_soon(self._launcher.launch, request)
                # Lets the request spend its token before the rate limit is checked again.
                await anyio.sleep(0)  # noqa: ASYNC115 (equivalent, without another import)
