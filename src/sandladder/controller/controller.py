"""A controller: its duties joined, the plan of what runs where, and what changes set off."""

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from sandladder import clock
from sandladder.agents import AgentService, LeaseExpiryProof, LeaseRenewalGuard, Reconciler
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
from sandladder.autoscaling import Autoscaler, CloudClient
from sandladder.concurrency import Signal
from sandladder.config import Settings, split_addr
from sandladder.jobs import DependencyResolver, JobCommitter, stop
from sandladder.membership import (
    ControllerLease,
    FailureDetector,
    MembershipPolicy,
    MembershipService,
)
from sandladder.model import HIGH, LOW, Job
from sandladder.peers import PeerService
from sandladder.protocol import wire
from sandladder.scheduling import (
    ClusterView,
    Gate,
    Outcome,
    Planner,
    PreemptionPolicy,
    PreemptionVictim,
    Resource,
)
from sandladder.state import (
    FINAL,
    INSTANCE,
    JOB,
    NODE,
    P_WORK,
    ROSTER,
    TEAM,
    TYPES,
    GroupCommitter,
    PendingChange,
    PreconditionFailedError,
    SchemaMigration,
    StateCache,
    StoreClient,
    StoreLimits,
    StoreWatch,
    Transaction,
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
        self.preemption = PreemptionPolicy(self.planner)
        self.controller_lease = ControllerLease(self)
        self.peers = PeerService(self)
        self.agent_service = AgentService(self)
        self.job_committer = JobCommitter(self)
        self.dependency_resolver = DependencyResolver(self)
        self.schema_migration = SchemaMigration(self)
        host, port = split_addr(settings.platform.external.state)
        self.store = StoreClient(
            connect(host, port, keep=6), deployment.state, self.store_timeout_s
        )
        self.watch = StoreWatch(
            self.store, self.cache, len(self.nodes), self._changed, self._synced, self.report_s
        )
        self.committer = GroupCommitter(
            self.store,
            self.cache,
            self.watch,
            rng,
            self._changed,
            self.limits,
            trust_s=8 * self.lease_s,
            patience_s=self.report_s,
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
            self._moved,
            self.cluster_view.doubt_controllers,
        )
        self.job_api = self._make_job_api()
        self.plan_due = Signal()
        self._urgent_due = Signal()  # something that must start at once waits
        self.tasks: TaskGroup | None = None

    def _make_job_api(self) -> JobApi:
        """The job API with the services behind it."""
        read_timeout_s, commit_timeout_s = self.report_s / 2, self.report_s
        lookup = JobLookup(self.cache, self.watch, self.dependency_resolver, read_timeout_s)
        admission = AdmissionCheck(
            lookup,
            DependencyCheck(lookup, self.watch, self.dependency_resolver, read_timeout_s),
            self.cache,
            self.limits,
            self.cluster_view.limits,
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
        return JobApi(
            JobRouter(lookup, submissions, cancellations),
            RequestForwarder(self.peers, self.store, self.store_reachable, self.report_s),
            HealthCheck(self.cache, self.watch, self.peers, self.store_reachable),
            self.agent_service.report,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self._listen(tasks)
            for duty in (
                self.watch.run,
                self.committer.run,
                self.controller_lease.run,
                self.controller_lease.summarise,
                self.schema_migration.run,
                self.membership.run,
                self.dependency_resolver.run,
                self._plan,
                self.agent_service.sweep,
                self._tell,
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

    def _synced(self, sent: float) -> None:
        self.lease_expiry.synced(sent, self.cache.revision)
        self.cache.synced(sent)
        self.renewal_guard.read(sent)

    def _changed(self, keys: dict[str, None]) -> None:
        """The records changed: check the premises that this reaches, and deliver."""
        now = self.cluster_view.now = clock.now()
        if any(key.startswith(NODE) for key in keys):
            self.lease_expiry.observe(self.cache.nodes, now, self.cache.unreadable_nodes)
            self.controller_lease.observe()
            self.membership.observe(now)
            self.cluster_view.observe()
        if ROSTER in keys:
            self.membership.observe(now)
        if TYPES in keys:
            self.cluster_view.recount()
        elif any(key.startswith(INSTANCE) for key in keys):
            self.cluster_view.relist()
        resources: list[Resource] = []
        changed_machines, self.cache.changed_machines = self.cache.changed_machines, {}
        started_tasks, self.cache.started_tasks = self.cache.started_tasks, {}
        for machine in changed_machines:
            self.cluster_view.touch(machine)
            resources.append(("machine", machine))
        for job_id, task in started_tasks:
            resources.append(("task", f"{job_id}/{task}"))
            job = self.cache.jobs.get(job_id)
            if job is not None and task in job.live:
                self.cluster_view.note_start(job.spec, job.live[task])
        for key in keys:
            if key.startswith((JOB, FINAL)):
                resources.append(("job", key[len(JOB) :]))
                job = self.cache.jobs.get(key[len(JOB) :])
                if job and job.waiting and self.cluster_view.outlook(job).priority >= HIGH:
                    self._urgent_due.set()
            elif key.startswith(TEAM):
                resources.append(("team", key[len(TEAM) :]))
        for verdict in self.gate.changed(resources, self.cluster_view):
            if verdict.outcome >= Outcome.REPLAN:
                log.debug(
                    "%s %s on %s: %s", verdict.outcome.name, verdict.pending_start.key,
                    verdict.pending_start.placement.machine, verdict.reason,
                )  # fmt: skip
        for machine in changed_machines:
            agent = self.reconciler.machines.get(machine)
            if agent is not None:
                self.agent_service.push(agent)
        self.dependency_resolver.due.set()
        self.plan_due.set()

    def _moved(self) -> None:
        """A team came or went: see it in the records, and plan."""
        self.watch.wake()
        self.plan_due.set()

    def _owned(self) -> list[Job]:
        mine = {
            team.name
            for team in self.settings.platform.deployment.teams
            if self.peers.places(team.name)
        }
        return [job for job in self.cache.jobs.values() if job.spec.team in mine]

    async def _plan(self) -> None:
        while True:
            await self.plan_due.wait(min(self.report_s, self.planner.again_s))
            if not self.controller_lease.alive() or not self.watch.loaded or not self.cache.types:
                await anyio.sleep(self.report_s / 10)
                continue
            began = self.cluster_view.now = clock.now()
            self.cluster_view.ahead = self.wall() - began
            owned = self._owned()
            # What cannot be written yet would only grow stale: another controller takes the room.
            soon = self.committer.free_in_s <= self.report_s / 16
            admitted = self.planner.plan(
                owned, self.job_committer.backing_off, LOW if soon else HIGH
            )
            self.job_committer.start(admitted)
            for victim in self.preemption.preempt(
                owned, self.job_committer.backing_off
            ) + self.preemption.moves(owned):
                self._commit_stop(victim)
            # Planning may take a quarter of our time; the more there is to do, the more
            # is done at once.  Without urgent work the next round can wait for more of it: seen
            # in a measured day, where a sixth of the processor time went into fifteen a second.
            took = clock.now() - began
            await anyio.sleep(max(self.report_s / 32, 3 * took))
            if not self.planner.urgent:
                await self._urgent_due.wait(self.report_s / 12)

    def _commit_stop(self, victim: PreemptionVictim) -> None:
        """Have a running task stopped so that more urgent work gets its room."""
        log.info("stopping %s/%d for %s", *victim[:2], victim.reason)

        def apply(transaction: Transaction) -> bool:
            return stop(transaction, victim.job, [victim.task], victim.grace_s)

        change = self.committer.add(PendingChange(f"stop in {victim.job}", P_WORK, 1, apply))
        assert self.tasks is not None
        self.tasks.start_soon(self._after_stop, change, victim)

    async def _after_stop(self, change: PendingChange, victim: PreemptionVictim) -> None:
        try:
            await change.wait()
        except PreconditionFailedError as refusal:
            log.debug("%s: %s", change.name, refusal)
        finally:
            self.preemption.settled(victim)
        observation = self.cluster_view.observation(victim.machine)
        if observation is not None:
            self.peers.notify({observation.reporting_controller})

    async def _tell(self) -> None:
        """Log now and then how much was checked, committed and rejected."""
        while True:
            await anyio.sleep(5 * self.lease_s)
            gate = self.gate
            log.info(
                "gate: %d premises checked (a full scan: %d), verdicts %s; "
                "%d transactions committed (%s), %d rejected (%s), %d changes waiting",
                gate.checked,
                gate.full_scan,
                dict(gate.verdicts),
                self.committer.committed,
                dict(self.committer.wrote),
                self.committer.rejected,
                dict(self.committer.refused_over),
                self.committer.queued,
            )

    def store_reachable(self) -> bool:
        return clock.now() - self.store.ok_at < self.report_s / 2
