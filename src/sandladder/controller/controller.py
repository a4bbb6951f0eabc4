"""A controller: its services, made, joined and started."""

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from sandladder import clock
from sandladder.agents import AgentService, LeaseExpiryProof, LeaseRenewalGuard, Reconciler
from sandladder.api import JobApi
from sandladder.autoscaling import Autoscaler, CloudClient
from sandladder.concurrency import BackgroundTasks
from sandladder.config import Settings, split_addr
from sandladder.controller.change_handler import ChangeHandler
from sandladder.controller.planning_loop import PlanningLoop, PlanningTriggers
from sandladder.controller.statistics import StatisticsLog
from sandladder.jobs import DependencyResolver, JobCommitter
from sandladder.membership import (
    ControllerLease,
    FailureDetector,
    MembershipPolicy,
    MembershipService,
)
from sandladder.peers import PeerService
from sandladder.protocol import wire
from sandladder.scheduling import (
    ClusterView,
    Gate,
    Planner,
    PreemptionPolicy,
)
from sandladder.state import (
    GroupCommitter,
    SchemaMigration,
    StateCache,
    StoreClient,
    StoreLimits,
    StoreWatch,
)
from sandladder.transport import Client, Connect, Server, peer_transport

log = logging.getLogger(__name__)


class Controller:
    """One controller node."""

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        connect: Connect = Client,
        wall: Callable[[], float] = time.time,
    ) -> None:
        deployment = settings.platform.deployment
        self.settings = settings
        for kind in settings.unknown_aims:
            log.info("aims of the kind %s are not known and ignored", kind)
        self.node = settings.node
        self.nodes = settings.node_names
        self.rng = rng
        self.connect = connect
        self.wall = wall  # the time of day
        self.process = rng.getrandbits(40)  # tells it from another under the same name
        workers = deployment.workers
        self.report_s, self.lease_s = workers.report_s, workers.lease_s
        # A request to the state service that takes this long is given up.
        self.store_timeout_s = self.lease_s / 8
        self.heartbeat_interval_s = self.report_s / 6

        self.cache = StateCache()
        self.reconciler = Reconciler()
        self.lease_expiry = LeaseExpiryProof(
            self.node, self.nodes, self.lease_s, clock.now(), self.process
        )
        peers = [name for name in self.nodes if name != self.node]
        self.renewal_guard = LeaseRenewalGuard(self.node, peers, self.process, workers)
        self.limits = StoreLimits(deployment.state, self.cache)
        self.gate = Gate()
        self.cluster_view = ClusterView(
            settings, self.cache, self.reconciler, self.lease_expiry, self.gate
        )
        self.planner = Planner(self.cluster_view, self.limits, rng)
        self.preemption = PreemptionPolicy(self.cluster_view, self.planner.selector)
        self.controller_lease = ControllerLease(self)
        self.peers = PeerService(self)
        self.agent_service = AgentService(self)
        self.job_api = JobApi(self)
        self.job_committer = JobCommitter(self)
        self.dependency_resolver = DependencyResolver(self)
        host, port = split_addr(settings.platform.external.state)
        self.store = StoreClient(
            connect(host, port, keep=6), deployment.state, self.store_timeout_s
        )
        self.watch = StoreWatch(
            self.store,
            self.cache,
            len(self.nodes),
            self._records_changed,
            self._read_completed,
            self.report_s,
        )
        self.committer = GroupCommitter(
            self.store,
            self.cache,
            self.watch,
            rng,
            self._records_changed,
            self.limits,
            trust_s=8 * self.lease_s,
            patience_s=self.report_s,
        )
        self.schema_migration = SchemaMigration(
            self.node,
            self.nodes,
            self.cache,
            self.watch,
            self.committer,
            self.limits,
            self.peers,
            self.controller_lease.alive,
            self.report_s,
        )
        host, port = split_addr(settings.platform.external.cloud)
        self.cloud = CloudClient(
            connect(host, port, keep=2), self.lease_s / 3, deployment.cloud.rps
        )
        self.autoscaler = Autoscaler(self)
        detector = FailureDetector(
            self.node,
            peers,
            self.heartbeat_interval_s,
            self.report_s,
            self.cluster_view.inventory_interval_s,
        )
        teams = [team.name for team in deployment.teams]
        self.membership = MembershipService(
            MembershipPolicy(detector, self.nodes, teams, self.cache),
            {p.node_name: p.location for p in settings.platform.peers}
            | {self.node: settings.platform.location},
            self.cache,
            self.committer,
            self.controller_lease,
            self.store_reachable,
            self.limits,
            wall,
            self._assignment_moved,
            self.cluster_view.doubt_controllers,
        )
        self.triggers = PlanningTriggers()
        self.plan_due = self.triggers.due
        self.background = BackgroundTasks()
        self.tasks: TaskGroup | None = None
        self.change_handler = ChangeHandler(
            triggers=self.triggers,
            cache=self.cache,
            lease_expiry=self.lease_expiry,
            renewal_guard=self.renewal_guard,
            controller_lease=self.controller_lease,
            membership=self.membership,
            cluster_view=self.cluster_view,
            gate=self.gate,
            reconciler=self.reconciler,
            agent_service=self.agent_service,
            dependency_resolver=self.dependency_resolver,
        )
        self.planning_loop = PlanningLoop(
            triggers=self.triggers,
            teams=teams,
            report_s=self.report_s,
            cache=self.cache,
            watch=self.watch,
            committer=self.committer,
            controller_lease=self.controller_lease,
            peers=self.peers,
            cluster_view=self.cluster_view,
            planner=self.planner,
            preemption=self.preemption,
            job_committer=self.job_committer,
            background=self.background,
            wall=wall,
        )
        self.statistics = StatisticsLog(self.gate, self.committer, 5 * self.lease_s)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.background.open(tasks)
            self._listen(tasks)
            for duty in (
                self.watch.run,
                self.committer.run,
                self.controller_lease.run,
                self.controller_lease.summarise,
                self.schema_migration.run,
                self.membership.run,
                self.dependency_resolver.run,
                self.planning_loop.run,
                self.agent_service.sweep,
                self.statistics.run,
                self.autoscaler.run,
            ):
                tasks.start_soon(self._duty, duty)

    async def leave(self) -> None:
        """End in order: hand over what is placed here, tell the others, and stop serving."""
        await self.membership.leave(self.report_s)
        for link in self.peers.connections.values():
            link.flush()
        await anyio.sleep(self.heartbeat_interval_s / 6)
        if self.tasks is not None:
            self.tasks.cancel_scope.cancel()

    def _listen(self, tasks: TaskGroup) -> None:
        """Start serving users, workers and peers."""
        platform = self.settings.platform
        host, port = split_addr(platform.api_addr)
        server = Server(
            self.job_api.handle,
            body_limit=wire.BODY_LIMIT,
            idle_s=20 * self.lease_s,
            read_s=self.report_s,
            most=int(platform.deployment.quota.max_sockets * 0.8),
        )
        tasks.start_soon(server.serve, host, port)
        tasks.start_soon(
            peer_transport.serve,
            platform.mesh_addr,
            8 * len(self.nodes),
            20 * self.heartbeat_interval_s,
            self.peers.handle,
        )
        for link in self.peers.connections.values():
            tasks.start_soon(link.run, self.peers.heartbeat)

    async def _duty(self, duty: Callable[[], Awaitable[None]]) -> None:
        """Run a duty; one that fails unexpectedly is logged and started again alone."""
        while True:
            try:
                await duty()
            except Exception:
                self._duty_failed(getattr(duty, "__qualname__", str(duty)))
            await anyio.sleep(self.report_s / 3)

    def _duty_failed(self, name: str) -> None:
        log.exception("a duty failed: %s", name)

    def _records_changed(self, keys: dict[str, None]) -> None:
        self.change_handler.records_changed(keys)

    def _read_completed(self, sent: float) -> None:
        self.change_handler.read_completed(sent)

    def _assignment_moved(self) -> None:
        """A team was assigned to us or to another: see it in the records, and plan."""
        self.watch.wake()
        self.triggers.due.set()

    def store_reachable(self) -> bool:
        return clock.now() - self.store.ok_at < self.report_s / 2
