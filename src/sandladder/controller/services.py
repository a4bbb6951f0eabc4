"""The services of a controller, made from the lowest package up and joined."""

import logging
import time
from collections.abc import Callable, Iterable
from random import Random

from sandladder import clock
from sandladder.agents import (
    AgentRecords,
    AgentService,
    ControllerGroup,
    LeaseExpiryProof,
    LeaseRenewalGuard,
    Reconciler,
    ReportingAgents,
    SchedulerCallbacks,
    StoreAccess,
)
from sandladder.api import (
    AdmissionCheck,
    CancellationService,
    DependencyCheck,
    HealthCheck,
    JobApi,
    JobLookup,
    JobRouter,
    RequestForwarder,
    SubmissionService,
)
from sandladder.autoscaling import Autoscaler, CloudClient, ControllerStatus
from sandladder.concurrency import BackgroundTasks
from sandladder.config import Settings, parse_address
from sandladder.controller.change_handler import ChangeHandler
from sandladder.controller.planning_loop import PlanningLoop, PlanningTriggers
from sandladder.controller.statistics import StatisticsLog
from sandladder.jobs import DependencyResolver, DependentCanceller, JobArchiver, JobCommitter
from sandladder.membership import (
    ControllerLease,
    FailureDetector,
    InventoryWriter,
    MembershipPolicy,
    MembershipService,
)
from sandladder.model import EndedAttempt
from sandladder.peers import (
    HeartbeatExchange,
    LocalStatus,
    PeerEvents,
    PeerService,
    TeamDirectory,
    WriteRateShare,
)
from sandladder.scheduling import ClusterView, Gate, Planner, PreemptionPolicy
from sandladder.state import (
    GroupCommitter,
    SchemaMigration,
    StateCache,
    StoreClient,
    StoreLimits,
    StoreWatch,
)
from sandladder.transport import (
    HttpClient,
    HttpConnector,
    MachineUpdate,
    Request,
    Response,
)

log = logging.getLogger(__name__)

# Times as shares or multiples of the agents' lease (a request to the store that takes longer than
# the first is given up; limits that were found too large are tried again after the second).
_STORE_TIMEOUT_LEASES = 1 / 8
_TRUST_LEASES = 8
_CLOUD_TIMEOUT_LEASES = 1 / 3
_STATISTICS_LEASES = 5
# Heartbeats between controllers in each of the agents' report intervals.
_HEARTBEATS_PER_REPORT = 6
# Connections that are kept open to the store and to the cloud.
_STORE_CONNECTIONS, _CLOUD_CONNECTIONS = 6, 2


class ControllerServices:
    """Constructs the services of one controller; `Controller` starts them.

    Whatever is decided or remembered is theirs.  What a service needs of one that lies above it is
    handed to it here as a callback.
    """

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        connect: HttpConnector = HttpClient,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Make the services; nothing is sent before `run`.

        Args:
            settings: both settings files, as read at the start of the process.
            rng: the source of all random numbers.
            connect: makes HTTP clients; tests put their own network here.
            wall: the time of day, in seconds.
        """
        for kind in settings.unknown_objectives:
            log.info("objectives of the kind %s are not known and ignored", kind)
        self.settings = settings
        self.node = settings.node
        self.nodes = settings.node_names
        self.rng = rng
        self.connect = connect
        self.wall = wall
        self.process = rng.getrandbits(40)  # tells it from another under the same name
        workers = settings.platform.deployment.workers
        self.report_s, self.lease_s = workers.report_s, workers.lease_s
        self.heartbeat_interval_s = self.report_s / _HEARTBEATS_PER_REPORT
        self.teams = [team.name for team in settings.platform.deployment.teams]
        self.other_nodes = [name for name in self.nodes if name != self.node]
        self.background = BackgroundTasks()
        self.triggers = PlanningTriggers()
        self._make_state()
        self._make_scheduling()
        self._make_membership()
        self._make_peers()
        self._make_agent_service()
        self._make_jobs()
        self._make_autoscaling()
        self._make_job_api()
        self._make_controller_services()

    # Construction, from the lowest package up

    def _make_state(self) -> None:
        deployment = self.settings.platform.deployment
        host, port = parse_address(self.settings.platform.external.state)
        self.store = StoreClient(
            self.connect(host, port, keep=_STORE_CONNECTIONS),
            deployment.state,
            self.lease_s * _STORE_TIMEOUT_LEASES,
        )
        self.cache = StateCache()
        self.limits = StoreLimits(deployment.state, self.cache)
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
            self.rng,
            self._records_changed,
            self.limits,
            trust_s=_TRUST_LEASES * self.lease_s,
            patience_s=self.report_s,
        )

    def _make_scheduling(self) -> None:
        """What agents report, what it proves, and what is decided on it."""
        workers = self.settings.platform.deployment.workers
        self.reconciler = Reconciler()
        self.lease_expiry = LeaseExpiryProof(
            self.node, self.nodes, self.lease_s, clock.now(), self.process
        )
        self.renewal_guard = LeaseRenewalGuard(self.node, self.other_nodes, self.process, workers)
        self.gate = Gate()
        self.cluster_view = ClusterView(
            self.settings, self.cache, self.reconciler, self.lease_expiry, self.gate
        )
        self.planner = Planner(self.cluster_view, self.limits, self.rng)
        self.preemption = PreemptionPolicy(self.cluster_view, self.planner.selector)

    def _make_membership(self) -> None:
        """The controller's own lease, and its part in membership and failover."""
        platform = self.settings.platform
        inventory = ReportingAgents(
            self.lease_expiry,
            self.reconciler,
            self.cluster_view.images.names,
            self._advance_time,
        )
        self.controller_lease = ControllerLease(
            node=self.node,
            process=self.process,
            ttl_s=self.settings.operator.hold_leases * self.lease_s,
            report_s=self.report_s,
            inventory_interval_s=self.cluster_view.inventory_interval_s,
            cache=self.cache,
            store=self.store,
            watch=self.watch,
            committer=self.committer,
            inventory=InventoryWriter(
                self.node,
                self.process,
                self.cache,
                self.committer,
                self.limits,
                self._fencing_token,
                inventory.inventory,
            ),
            fencing_token=self._fencing_token,
            on_fencing_token=self.reconciler.adopt_fencing_token,
            on_acquired=self._lease_acquired,
        )
        detector = FailureDetector(
            self.node,
            self.other_nodes,
            self.heartbeat_interval_s,
            self.report_s,
            self.cluster_view.inventory_interval_s,
        )
        zones = {peer.node_name: peer.location for peer in platform.peers}
        self.membership = MembershipService(
            policy=MembershipPolicy(detector, self.nodes, self.teams, self.cache),
            zones=zones | {self.node: platform.location},
            cache=self.cache,
            committer=self.committer,
            limits=self.limits,
            lease=self.controller_lease,
            store_reachable=self.store_reachable,
            wall=self.wall,
            on_teams_moved=self._assignments_changed,
            on_unready_changed=self.cluster_view.avoid_controllers,
        )

    def _make_peers(self) -> None:
        status = LocalStatus(
            fencing_token=self._fencing_token,
            store_reachable=self.store_reachable,
            agents=self._reporting_agents,
            acknowledged=lambda: self.renewal_guard.acknowledged_readings,
        )
        heartbeats = HeartbeatExchange(
            node=self.node,
            process=self.process,
            peers=self.other_nodes,
            interval_s=self.heartbeat_interval_s,
            cache=self.cache,
            lease=self.controller_lease,
            membership=self.membership,
            write_rate=WriteRateShare(self.cache, self.committer, self.limits, self.store),
            status=status,
            on_clock_exchange=self.renewal_guard.record_peer_heartbeat,
            on_cancelled_jobs=self._jobs_cancelled,
        )
        self.peers = PeerService(
            node=self.node,
            process=self.process,
            peers=self.settings.platform.peers,
            heartbeat_interval_s=self.heartbeat_interval_s,
            response_timeout_s=self.report_s / 2,
            rng=self.rng,
            cache=self.cache,
            watch=self.watch,
            membership=self.membership,
            teams=TeamDirectory(self.node, self.nodes, self.teams, self.cache, self.membership),
            heartbeats=heartbeats,
            background=self.background,
            events=PeerEvents(
                on_machine_update=self._machine_updated,
                on_ended_attempt=self._peer_proved_end,
                serve_request=self._serve_forwarded,
            ),
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

    def _make_agent_service(self) -> None:
        self.agent_service = AgentService(
            self.settings.platform.deployment.workers,
            self.connect,
            self.background,
            AgentRecords(self.reconciler, self.lease_expiry, self.renewal_guard),
            StoreAccess(self.cache, self.watch, self.store_reachable),
            ControllerGroup(self.node, self.controller_lease, self.membership, self.peers),
            SchedulerCallbacks(
                cluster=self.cluster_view,
                advance_time=self._advance_time,
                record_ended_attempts=self._ends_proved,
                commit_due_ends=self._commit_due_ends,
                avoided_machines=self.planner.failed_machines,
                request_planning=self.triggers.due.set,
            ),
        )

    def _make_jobs(self) -> None:
        workers = self.settings.platform.deployment.workers
        archiver = JobArchiver(
            self.node,
            self.cache,
            self.store,
            self.committer,
            self.limits,
            self.controller_lease,
            self.peers,
        )
        self.job_committer = JobCommitter(
            workers,
            self.planner,
            self.committer,
            self.controller_lease,
            self.membership,
            self.peers,
            self.agent_service,
            archiver,
            self.background,
            self.triggers.due,
            self.wall,
        )
        canceller = DependentCanceller(
            self.node,
            workers,
            self.cache,
            self.committer,
            self.peers,
            self.background,
            self.wall,
        )
        self.dependency_resolver = DependencyResolver(
            workers,
            self.store,
            self.cache,
            self.watch,
            self.controller_lease,
            canceller,
            self.triggers.due,
        )

    def _make_autoscaling(self) -> None:
        host, port = parse_address(self.settings.platform.external.cloud)
        self.cloud = CloudClient(
            self.connect(host, port, keep=_CLOUD_CONNECTIONS),
            self.lease_s * _CLOUD_TIMEOUT_LEASES,
            self.settings.platform.deployment.cloud.rps,
        )
        self.autoscaler = Autoscaler(
            self.cluster_view,
            self.store,
            self.committer,
            self.limits,
            self.cloud,
            self.connect,
            ControllerStatus(
                records_loaded=lambda: self.watch.loaded,
                lease_alive=self.controller_lease.alive,
                isolated=self.agent_service.is_isolated,
                uptime_s=self.lease_expiry.uptime_s,
                fencing_token=self._fencing_token,
                wall_clock_s=self.wall,
            ),
        )

    def _make_job_api(self) -> None:
        read_timeout_s, commit_timeout_s = self.report_s / 2, self.report_s
        lookup = JobLookup(self.cache, self.watch, self.dependency_resolver, read_timeout_s)
        admission = AdmissionCheck(
            lookup,
            DependencyCheck(lookup, self.watch, self.dependency_resolver, read_timeout_s),
            self.cache,
            self.limits,
            self.cluster_view.team_limits,
            self.wall,
        )
        submissions = SubmissionService(
            lookup=lookup,
            admission=admission,
            cache=self.cache,
            committer=self.committer,
            peers=self.peers,
            store_reachable=self.store_reachable,
            wall=self.wall,
            timeout_s=commit_timeout_s,
        )
        cancellations = CancellationService(
            lookup=lookup,
            cache=self.cache,
            cluster_view=self.cluster_view,
            committer=self.committer,
            peers=self.peers,
            wall=self.wall,
            timeout_s=commit_timeout_s,
        )
        self.job_api = JobApi(
            JobRouter(lookup, submissions, cancellations),
            RequestForwarder(self.peers, self.store, self.store_reachable, self.report_s),
            HealthCheck(self.cache, self.watch, self.peers, self.store_reachable),
            self.agent_service.handle_heartbeat,
        )

    def _make_controller_services(self) -> None:
        """Planning, the reaction to changed records, statistics."""
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
            teams=self.teams,
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
            wall=self.wall,
        )
        self.statistics = StatisticsLog(
            self.gate, self.committer, _STATISTICS_LEASES * self.lease_s
        )

    # What services are handed of those above them

    def store_reachable(self) -> bool:
        """Whether the store has answered this controller of late."""
        return clock.now() - self.store.last_answer_at < self.report_s / 2

    def _fencing_token(self) -> int:
        return self.reconciler.fencing_token

    def _advance_time(self) -> float:
        """Have the cluster view answer as of now; that moment, in seconds on the steady clock."""
        now = self.cluster_view.now = clock.now()
        return now

    def _records_changed(self, keys: dict[str, None]) -> None:
        self.change_handler.records_changed(keys)

    def _read_completed(self, sent: float) -> None:
        self.change_handler.read_completed(sent)

    def _lease_acquired(self, fencing_token: int) -> None:
        self.membership.lease_acquired(fencing_token)

    def _assignments_changed(self) -> None:
        """A team was assigned to us or to another: see it in the records, and plan."""
        self.watch.wake()
        self.triggers.due.set()

    def _reporting_agents(self, now: float) -> int | None:
        """How many agents report here; None: none reaches this controller, so it takes none."""
        return None if self.agent_service.is_isolated(now) else self.agent_service.agent_count

    def _jobs_cancelled(self, job_ids: list[str]) -> None:
        self.agent_service.stop_cancelled(job_ids)

    def _machine_updated(self, update: MachineUpdate) -> None:
        """A peer observed that a machine came or changed."""
        self._advance_time()
        self.cluster_view.record_peer_status(update.node, update.machine, update.status)
        self.triggers.due.set()

    def _ends_proved(self, ends: Iterable[EndedAttempt]) -> None:
        self.job_committer.collect_ends(ends)

    def _peer_proved_end(self, ended: EndedAttempt) -> None:
        self.job_committer.handle_peer_end(ended)

    def _commit_due_ends(self) -> None:
        self.job_committer.sweep()

    async def _serve_forwarded(self, request: Request) -> Response:
        """Serve a request that a peer forwarded; whatever goes wrong becomes a response."""
        return await self.job_api.serve_locally(request)
