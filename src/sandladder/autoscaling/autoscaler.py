"""Scales the instances out and in while this controller is the autoscaler."""

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

# Three rounds in a heartbeat interval, but no more than one in the time of two cloud requests.
_ROUNDS_PER_HEARTBEAT, _REQUESTS_PER_ROUND = 3, 2
# The worker lease is so many times the autoscaler lease's time to live.
_TTLS_PER_WORKER_LEASE = 3
# How often the cloud's catalog is read, in worker leases.
_CATALOG_LEASES = 2
# How often records that can wait are written, in heartbeat intervals.
_WRITE_HEARTBEATS = 2


class Autoscaler:
    """Acquires the autoscaler's lease when it is free, and scales while it lasts."""

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
        """
        Args:
            cluster_view: what is known of the machines, with the records and the settings.
            store: grants and renews the autoscaler's lease.
            committer: writes records.
            limits: how large a transaction may be.
            cloud: creates, lists and returns instances.
            connect: makes a client for an instance's agent.
            controller: what is asked of the controller that this is part of.
        """
        settings, cache = cluster_view.settings, cluster_view.cache
        deployment = settings.platform.deployment
        workers = deployment.workers
        self._cluster_view = cluster_view
        self._cloud = cloud
        self._controller = controller
        self._pause_s = max(
            workers.report_s / _ROUNDS_PER_HEARTBEAT, _REQUESTS_PER_ROUND / deployment.cloud.rps
        )
        self._policy = ScalingPolicy(cluster_view)
        self._types = MachineTypeUpdater(cache, cloud, committer, _CATALOG_LEASES * workers.lease_s)
        self._records = InstanceRecordWriter(
            cache,
            committer,
            limits,
            deployment.state.value_bytes,
            _WRITE_HEARTBEATS * workers.report_s,
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
            settings.node, cloud, self._policy, self._records, controller, self._pause_s
        )
        self._lease = AutoscalerLease(
            settings.node,
            workers.lease_s / _TTLS_PER_WORKER_LEASE,
            cache,
            store,
            committer,
            controller,
            self._start_anew,
        )

    async def run(self) -> None:
        """Run rounds until cancelled; an error that the cloud or the store causes ends a round.

        Cancelled, a request to the cloud may have been carried out: the next autoscaler sees it in
        the cloud's list.
        """
        while True:
            await anyio.sleep(self._pause_s)
            if not self._controller.records_loaded():
                continue
            try:
                await self._round()
            except CloudError as error:
                log.info("no scaling this round, as the cloud failed: %s", error)
            except (
                StoreRequestError,
                LeaseExpiredError,
                PreconditionFailedError,
                MalformedMessageError,
            ) as error:
                log.info("no scaling this round: %s", error)

    async def _round(self) -> None:
        now = self._cluster_view.now = clock.now()
        self._cluster_view.wall_offset_s = self._controller.wall_clock_s() - now
        self._policy.observe_jobs()
        await self._types.update(self._lease.acquired)
        if await self._lease.ensure():
            await self._scale()

    def _start_anew(self) -> None:
        """Forget what was learnt when this controller last was the autoscaler."""
        self._records.discard()
        self._reconciler.forget_sightings()

    async def _scale(self) -> None:
        now, wall = clock.now(), self._controller.wall_clock_s()
        await self._reconciler.reconcile(now, wall)
        await self._drainer.drain(wall)
        await self._drainer.return_drained(wall)
        await self._records.flush()
        self._cluster_view.now = clock.now()
        if log.isEnabledFor(logging.DEBUG):
            log.debug("cores of all instances: %s", self._policy.describe_utilization())
        await self._scale_out()
        await self._records.flush()

    async def _scale_out(self) -> None:
        """Ask for instances, for all at once: the rest of a round should not wait for refusals."""
        async with anyio.create_task_group() as launches:
            wall = self._controller.wall_clock_s()
            for request in self._policy.scale_out_requests(wall, self._records.unwritten):
                if self._cloud.rate_limit.delay(1) > 0:
                    break  # the most urgent come first; the rest is worked out anew next time
                launches.start_soon(self._launcher.launch, request)
                # It counts against the limit before the next one is begun.
                await anyio.sleep(0)  # noqa: ASYNC115 (the same; needs no further import)
