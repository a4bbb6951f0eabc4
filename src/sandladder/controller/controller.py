"""A controller: its duties joined, the plan of what runs where, and what changes set off."""

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from sandladder import clock
from sandladder.agents.agent_service import Workers
from sandladder.agents.lease_expiry import LossProof
from sandladder.agents.lease_renewal_guard import Fence
from sandladder.agents.reconciler import Delivery
from sandladder.api.job_api import Users
from sandladder.autoscaling.autoscaler import Renter
from sandladder.autoscaling.cloud_client import CloudClient
from sandladder.concurrency import Signal
from sandladder.config.settings import Settings, split_addr
from sandladder.jobs.dependency_resolver import Following
from sandladder.jobs.job_committer import Work
from sandladder.jobs.transitions import stop
from sandladder.membership.controller_lease import Hold
from sandladder.membership.duty import Membership
from sandladder.membership.grading import Ears
from sandladder.membership.steward import Steward
from sandladder.model.jobs import HIGH, LOW, Job
from sandladder.peers.peer_service import Peers
from sandladder.protocol import wire
from sandladder.scheduling.cluster_view import Picture
from sandladder.scheduling.planner import Planner
from sandladder.scheduling.preemption import Evictor, Victim
from sandladder.scheduling.premises import Gate, Outcome, Resource
from sandladder.state.cache import Mirror
from sandladder.state.errors import Refused
from sandladder.state.group_commit import P_WORK, Change, Committer
from sandladder.state.records import FINAL, FLEET, JOB, NODE, ROSTER, TEAM, TYPES
from sandladder.state.schema_migration import Upgrade
from sandladder.state.store_client import StateClient
from sandladder.state.store_limits import Limits
from sandladder.state.transaction import View
from sandladder.state.watch import Watch
from sandladder.transport import peer_transport
from sandladder.transport.http import Client, Connect, Server

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
        self.state_timeout_s = self.lease_s / 8
        self.beat_s = self.report_s / 6

        self.mirror = Mirror()
        self.delivery = Delivery()
        self.loss = LossProof(self.node, self.nodes, self.lease_s, clock.now(), self.process)
        peers = [name for name in self.nodes if name != self.node]
        self.fence = Fence(self.node, peers, self.process, workers)
        self.limits = Limits(deployment.state, self.mirror)
        self.gate = Gate()
        self.picture = Picture(settings, self.mirror, self.delivery, self.loss, self.gate)
        self.planner = Planner(self.picture, self.limits, rng)
        self.evictor = Evictor(self.planner)
        self.hold = Hold(self)
        self.peers = Peers(self)
        self.workers = Workers(self)
        self.users = Users(self)
        self.work = Work(self)
        self.following = Following(self)
        self.upgrade = Upgrade(self)
        host, port = split_addr(settings.platform.external.state)
        self.state = StateClient(
            connect(host, port, keep=6), deployment.state, self.state_timeout_s
        )
        self.watch = Watch(
            self.state, self.mirror, len(self.nodes), self._changed, self._synced, self.report_s
        )
        self.committer = Committer(
            self.state,
            self.mirror,
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
        self.renter = Renter(self)
        ears = Ears(
            self.node,
            peers,
            self.beat_s,
            self.report_s,
            self.picture.summary_s,
        )
        teams = [team.name for team in deployment.teams]
        self.membership = Membership(
            Steward(ears, self.nodes, teams, self.mirror),
            {p.node_name: p.location for p in settings.platform.peers}
            | {self.node: settings.platform.location},
            self.mirror,
            self.committer,
            self.hold,
            self.state_ok,
            self.limits,
            wall,
            self._moved,
            self.picture.doubt_clerks,
        )
        self.plan_due = Signal()
        self._urgent_due = Signal()  # something that must start at once waits
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self._listen(tasks)
            for duty in (
                self.watch.run,
                self.committer.run,
                self.hold.run,
                self.hold.summarise,
                self.upgrade.run,
                self.membership.run,
                self.following.run,
                self._plan,
                self.workers.sweep,
                self._tell,
                self.renter.run,
            ):
                tasks.start_soon(self._duty, duty)

    async def leave(self) -> None:
        """End in order: hand over what is placed here, tell the others, and stop serving."""
        await self.membership.leave(self.report_s)
        for link in self.peers.links.values():
            link.nudge()
        await anyio.sleep(self.beat_s / 6)
        if self.tasks is not None:
            self.tasks.cancel_scope.cancel()

    def _listen(self, tasks: TaskGroup) -> None:
        """Start serving users, workers and peers."""
        platform = self.settings.platform
        host, port = split_addr(platform.api_addr)
        server = Server(
            self.users.handle,
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
            20 * self.beat_s,
            self.peers.hear,
        )
        for link in self.peers.links.values():
            tasks.start_soon(link.run, self.peers.beat)

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
        self.loss.synced(sent, self.mirror.revision)
        self.mirror.synced(sent)
        self.fence.read(sent)

    def _changed(self, keys: dict[str, None]) -> None:
        """The records changed: check the premises that this reaches, and deliver."""
        now = self.picture.now = clock.now()
        if any(key.startswith(NODE) for key in keys):
            self.loss.observe(self.mirror.nodes, now, self.mirror.opaque)
            self.hold.observe()
            self.membership.observe(now)
            self.picture.observe()
        if ROSTER in keys:
            self.membership.observe(now)
        if TYPES in keys:
            self.picture.recount()
        elif any(key.startswith(FLEET) for key in keys):
            self.picture.relist()
        resources: list[Resource] = []
        touched, self.mirror.touched = self.mirror.touched, {}
        begun, self.mirror.begun = self.mirror.begun, {}
        for machine in touched:
            self.picture.touch(machine)
            resources.append(("machine", machine))
        for job_id, task in begun:
            resources.append(("task", f"{job_id}/{task}"))
            job = self.mirror.jobs.get(job_id)
            if job is not None and task in job.live:
                self.picture.note_start(job.spec, job.live[task])
        for key in keys:
            if key.startswith((JOB, FINAL)):
                resources.append(("job", key[len(JOB) :]))
                job = self.mirror.jobs.get(key[len(JOB) :])
                if job and job.waiting and self.picture.outlook(job).priority >= HIGH:
                    self._urgent_due.set()
            elif key.startswith(TEAM):
                resources.append(("team", key[len(TEAM) :]))
        for verdict in self.gate.changed(resources, self.picture):
            if verdict.outcome >= Outcome.REPLAN:
                log.debug(
                    "%s %s on %s: %s", verdict.outcome.name, verdict.intent.key,
                    verdict.intent.placement.machine, verdict.reason,
                )  # fmt: skip
        for machine in touched:
            dialogue = self.delivery.machines.get(machine)
            if dialogue is not None:
                self.workers.push(dialogue)
        self.following.due.set()
        self.plan_due.set()

    def _moved(self) -> None:
        """A team came or went: see it in the records, and plan."""
        self.watch.poke()
        self.plan_due.set()

    def _owned(self) -> list[Job]:
        mine = {
            team.name
            for team in self.settings.platform.deployment.teams
            if self.peers.places(team.name)
        }
        return [job for job in self.mirror.jobs.values() if job.spec.team in mine]

    async def _plan(self) -> None:
        while True:
            await self.plan_due.wait(min(self.report_s, self.planner.again_s))
            if not self.hold.alive() or not self.watch.loaded or not self.mirror.types:
                await anyio.sleep(self.report_s / 10)
                continue
            began = self.picture.now = clock.now()
            self.picture.ahead = self.wall() - began
            owned = self._owned()
            # What cannot be written yet would only grow stale: another controller takes the room.
            soon = self.committer.free_in_s <= self.report_s / 16
            admitted = self.planner.plan(owned, self.work.barred, LOW if soon else HIGH)
            self.work.start(admitted)
            for victim in self.evictor.preempt(owned, self.work.barred) + self.evictor.moves(owned):
                self._commit_stop(victim)
            # Planning may take a quarter of our time; the more there is to do, the more
            # is done at once.  Without urgent work the next round can wait for more of it: seen
            # in a measured day, where a sixth of the processor time went into fifteen a second.
            took = clock.now() - began
            await anyio.sleep(max(self.report_s / 32, 3 * took))
            if not self.planner.urgent:
                await self._urgent_due.wait(self.report_s / 12)

    def _commit_stop(self, victim: Victim) -> None:
        """Have a running task stopped so that more urgent work gets its room."""
        log.info("stopping %s/%d for %s", *victim[:2], victim.reason)

        def apply(view: View) -> bool:
            return stop(view, victim.job, [victim.task], victim.grace_s)

        change = self.committer.add(Change(f"stop in {victim.job}", P_WORK, 1, apply))
        assert self.tasks is not None
        self.tasks.start_soon(self._after_stop, change, victim)

    async def _after_stop(self, change: Change, victim: Victim) -> None:
        try:
            await change.wait()
        except Refused as refusal:
            log.debug("%s: %s", change.name, refusal)
        finally:
            self.evictor.settled(victim)
        sight = self.picture.sight(victim.machine)
        if sight is not None:
            self.peers.poke({sight.clerk})

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

    def state_ok(self) -> bool:
        return clock.now() - self.state.ok_at < self.report_s / 2
