"""Construction of a controller's services, from the lowest package up."""

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
    TokenRenewal,
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

# Times in agent leases: timeouts of requests to the store and to the cloud, the time until store
# limits that were reduced are restored, and the interval of statistics in the log.
_STORE_TIMEOUT_LEASES = 1 / 8
_LIMIT_RESET_LEASES = 8
_CLOUD_TIMEOUT_LEASES = 1 / 3
_STATISTICS_LEASES = 5
# Heartbeats between controllers in each agent heartbeat interval.
_HEARTBEATS_PER_REPORT = 6
# Persistent connections to the store and to the cloud.
_STORE_CONNECTIONS, _CLOUD_CONNECTIONS = 6, 2


class ControllerServices:
    """Constructs the services of one controller; `Controller` starts them.

    Policy and state belong to the services.  A service that uses another one in a higher package
    receives it as a callback.
    """

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        connect: HttpConnector = HttpClient,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Construct the services; send nothing before `run`.

        Args:
            settings: the contents of both settings files, read when the process started.
            rng: the source of all random numbers.
            connect: creates HTTP clients; tests pass a simulated network.
            wall: returns the time of day, in seconds.
        """
        for kind in settings.unknown_objectives:
            log.info("ignoring objectives of unknown kind %s", kind)
        self.settings = settings
        self.node = settings.node
        self.nodes = settings.node_names
        self.rng = rng
        self.connect = connect
        self.wall_clock = wall
        self.process = rng.getrandbits(40)  # distinguishes it from other processes of this node
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
            limits_reset_s=_LIMIT_RESET_LEASES * self.lease_s,
            max_wait_s=self.report_s,
        )

    def _make_scheduling(self) -> None:
        """Construct the agents' state, lease expiry proofs and the scheduler."""
        workers = self.settings.platform.deployment.workers
        self.reconciler = Reconciler()
        self.token_renewal = TokenRenewal(
            self.reconciler,
            self.lease_s,
            len(self.nodes),
            self.settings.platform.deployment.state.write_rps,
        )
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
        """Construct the controller's lease and the membership service."""
        platform = self.settings.platform
        reporting_agents = ReportingAgents(
            self.lease_expiry,
            self.reconciler,
            self.cluster_view.images.cached_images,
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
                reporting_agents.inventory,
            ),
            fencing_token=self._fencing_token,
            on_fencing_token=self._token_acquired,
            token_due=lambda: self.token_renewal.is_due(clock.now()),
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
            wall_clock=self.wall_clock,
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
                on_ended_attempt=self._handle_peer_end,
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
                record_ended_attempts=self._record_proved_ends,
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
            self.wall_clock,
        )
        canceller = DependentCanceller(
            self.node,
            workers,
            self.cache,
            self.committer,
            self.peers,
            self.background,
            self.wall_clock,
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
                wall_clock_s=self.wall_clock,
            ),
        )

    def _make_job_api(self) -> None:
        read_timeout_s, commit_timeout_s = self.report_s / 2, self.report_s
        lookup = JobLookup(self.cache, self.watch, self.dependency_resolver, read_timeout_s)
        admission = AdmissionCheck(
            lookup,
            DependencyCheck(lookup),
            self.cache,
            self.limits,
            self.cluster_view.team_limits,
            self.wall_clock,
        )
        submissions = SubmissionService(
            lookup=lookup,
            admission=admission,
            cache=self.cache,
            committer=self.committer,
            peers=self.peers,
            store_reachable=self.store_reachable,
            wall_clock=self.wall_clock,
            timeout_s=commit_timeout_s,
        )
        cancellations = CancellationService(
            lookup=lookup,
            cache=self.cache,
            cluster_view=self.cluster_view,
            committer=self.committer,
            peers=self.peers,
            wall_clock=self.wall_clock,
            timeout_s=commit_timeout_s,
        )
        self.job_api = JobApi(
            JobRouter(lookup, submissions, cancellations),
            RequestForwarder(self.peers, self.store, self.store_reachable, self.report_s),
            HealthCheck(self.cache, self.watch, self.peers, self.store_reachable),
            self.agent_service.handle_heartbeat,
        )

    def _make_controller_services(self) -> None:
        """Construct the change handler, the planning loop and the statistics log."""
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
            wall_clock=self.wall_clock,
        )
        self.statistics = StatisticsLog(
            self.gate, self.committer, self.agent_service, _STATISTICS_LEASES * self.lease_s
        )

    # Callbacks into services of higher packages

    def store_reachable(self) -> bool:
        """Return whether the store answered this controller recently."""
        return clock.now() - self.store.last_answer_at < self.report_s / 2

    def _fencing_token(self) -> int:
        return self.reconciler.fencing_token

    def _token_acquired(self, token: int) -> None:
        self.reconciler.adopt_fencing_token(token)
        self.token_renewal.record_token(clock.now())

    def _advance_time(self) -> float:
        """Set the cluster view's time to now and return it, in seconds on the steady clock."""
        now = self.cluster_view.now = clock.now()
        return now

    def _records_changed(self, keys: dict[str, None]) -> None:
        self.change_handler.records_changed(keys)

    def _read_completed(self, sent_at: float) -> None:
        self.change_handler.read_completed(sent_at)

    def _lease_acquired(self, fencing_token: int) -> None:
        self.membership.lease_acquired(fencing_token)

    def _assignments_changed(self) -> None:
        """Wake the watch and request planning after a team's assignment changed."""
        self.watch.wake()
        self.triggers.due.set()

    def _reporting_agents(self, now: float) -> int | None:
        """Return the number of reporting agents, or None if agents cannot reach this controller."""
        return None if self.agent_service.is_isolated(now) else self.agent_service.agent_count

    def _jobs_cancelled(self, job_ids: list[str]) -> None:
        self.agent_service.stop_cancelled(job_ids)

    def _machine_updated(self, update: MachineUpdate) -> None:
        """Record the status of a new or changed machine that a peer observed."""
        self._advance_time()
        self.cluster_view.record_peer_status(update.node, update.machine, update.status)
        self.triggers.due.set()

    def _record_proved_ends(self, ends: Iterable[EndedAttempt]) -> None:
        self.job_committer.record_ended_attempts(ends)

    def _handle_peer_end(self, ended: EndedAttempt) -> None:
        self.job_committer.handle_peer_end(ended)

    def _commit_due_ends(self) -> None:
        self.job_committer.sweep()

    async def _serve_forwarded(self, request: Request) -> Response:
        """Serve a request that a peer forwarded; every error becomes a response."""
        return await self.job_api.serve_locally(request)
