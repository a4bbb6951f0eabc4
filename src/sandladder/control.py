"""The duties of a controller, joined: users, workers, the state service, peers, the cloud."""

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from sandladder import mesh, wire
from sandladder.cloud import CloudClient, Renter
from sandladder.delivery import Delivery, Dialogue
from sandladder.http import Client, Connect, HttpError, Request, Requester, Response, Server
from sandladder.lifecycle import (
    Ended,
    LossProof,
    Refused,
    View,
    cancel,
    put_summary,
    rejection,
    stop,
    submit,
)
from sandladder.model import (
    CANCELLED,
    DONE,
    FINAL,
    JOB,
    NODE,
    TEAM,
    TERM,
    TYPES,
    Attempt,
    Final,
    Job,
    JobSpec,
    Mirror,
    Report,
    Seen,
    Summary,
)
from sandladder.placement import Picture, Planner, Victim
from sandladder.premises import Gate, Outcome, Resource
from sandladder.settings import Settings, split_addr
from sandladder.store import (
    P_HOLD,
    P_USER,
    P_WORK,
    Change,
    Committer,
    NoLease,
    Renewal,
    Signal,
    StateClient,
    Unavailable,
    Watch,
)
from sandladder.work import Work

log = logging.getLogger(__name__)


_BUSY = Response(503, wire.error_body("cannot be taken now"), 1)


def _state_of(dialogue: Dialogue) -> tuple[int, bool, int]:
    """What the other controllers should soon know of a machine."""
    return dialogue.session, dialogue.notice_at is None, len(dialogue.failed)


class _Asked:
    """A request that a peer was asked to serve."""

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.answer: Response | None = None


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
        self.node = settings.node
        self.nodes = settings.node_names
        self.rng = rng
        self.connect = connect
        self.wall = wall  # the time of day
        workers = deployment.workers
        self.report_s, self.lease_s = workers.report_s, workers.lease_s
        self.hold_s = settings.operator.hold_leases * self.lease_s
        # A request to the state service that takes this long is given up.
        self.state_timeout_s = self.lease_s / 8
        self.beat_s = self.report_s / 6
        # Room for the key and the braces around a value.
        self._value_bytes = deployment.state.value_kb * 1024 * 0.95

        self.mirror = Mirror()
        self.delivery = Delivery()
        self.loss = LossProof(self.node, self.nodes, self.lease_s, anyio.current_time())
        self.gate = Gate()
        self.picture = Picture(settings, self.mirror, self.delivery, self.loss, self.gate)
        self.planner = Planner(self.picture, rng)
        self.work = Work(self)
        host, port = split_addr(settings.platform.external.state)
        self.state = StateClient(
            connect(host, port, keep=6), deployment.state, self.state_timeout_s
        )
        self.watch = Watch(self.state, self.mirror, len(self.nodes), self._changed, self._synced)
        self.committer = Committer(self.state, self.mirror, self.watch, rng, self._changed)
        host, port = split_addr(settings.platform.external.cloud)
        self.cloud = CloudClient(connect(host, port, keep=2), timeout=self.lease_s / 3)
        self.renter = Renter(self)
        self.links = {
            peer.node_name: mesh.Link(peer, self.beat_s) for peer in settings.platform.peers
        }

        self._renewal: Renewal | None = None
        self._present = False  # our summary is in the store under the current lease
        self._term_lock = anyio.Lock()
        self.plan_due = Signal()
        self._hold_due = Signal()
        self._clients: dict[str, tuple[str, Requester]] = {}
        self._asks = 0
        self._asked: dict[int, _Asked] = {}
        self.tasks: TaskGroup | None = None

    # Life

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self._listen(tasks)
            for duty in (
                self.watch.run,
                self.committer.run,
                self._keep_hold,
                self._keep_summary,
                self._plan,
                self._sweep,
                self._tell,
                self.renter.run,
            ):
                tasks.start_soon(self._duty, duty)

    def _listen(self, tasks: TaskGroup) -> None:
        """Start serving users, workers and peers."""
        platform = self.settings.platform
        host, port = split_addr(platform.api_addr)
        server = Server(
            self.handle,
            body_limit=wire.BODY_LIMIT,
            idle_s=20 * self.lease_s,
            read_s=self.report_s,
            most=int(platform.deployment.quota.max_sockets * 0.8),
        )
        tasks.start_soon(server.serve, host, port)
        tasks.start_soon(
            mesh.serve,
            platform.mesh_addr,
            8 * len(self.nodes),
            20 * self.beat_s,
            self._hear_peer,
        )
        for link in self.links.values():
            tasks.start_soon(link.run, self._beat)

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

    # The hold and the term

    def alive(self) -> bool:
        """Whether our own hold surely lasts: only then do we answer workers or act."""
        renewal = self._renewal
        return self._present and renewal is not None and anyio.current_time() < renewal.until

    def _until(self, sent: float) -> float:
        # Counted from when the request was sent; clocks drift apart.
        return sent + self.hold_s * 0.998 - 0.05

    async def _keep_hold(self) -> None:
        while True:
            try:
                if self._renewal is None or not self._present:
                    await self._enter()
                else:
                    sent = anyio.current_time()
                    await self.state.renew(self._renewal.lease)
                    self._renewal = Renewal(self._renewal.lease, self._until(sent))
            except NoLease:
                log.warning("the hold has ended")
                self._renewal, self._present = None, False
                continue
            except (Unavailable, wire.Malformed) as error:
                log.debug("the hold cannot be renewed: %s", error)
                await anyio.sleep(self.report_s / 10)
                continue
            await self._hold_due.wait(self.hold_s / 8)

    async def _enter(self) -> None:
        """Get a hold, a term, and the presence that the other controllers see."""
        renewal = self._renewal
        if renewal is None or anyio.current_time() >= renewal.until:
            sent = anyio.current_time()
            lease = await self.state.hold(self.hold_s)
            renewal = Renewal(lease, self._until(sent))
        # While the records are read the hold may end, and only a renewal would tell.
        await self.watch.barrier()
        await self._take_term(renewal.lease)
        self._renewal, self._present = renewal, True
        log.info("entered with term %d", self.delivery.term)

    async def _take_term(self, lease: int, above: int = 0) -> None:
        """Increase the one counter of terms; the number is ours alone."""
        taken = 0

        def apply(view: View) -> bool:
            nonlocal taken
            taken = max(self.mirror.term, above) + 1
            view.put(TERM, taken, self.mirror.version(TERM))
            self._put_summary(view, taken, lease)
            return True

        change = self.committer.add(Change("term", P_HOLD, 2, apply, leased=True))
        await change.wait()
        self.delivery.new_term(taken)

    async def _rise_above(self, token: int) -> bool:
        """Take a term above a worker's token, because the worker has come to us."""
        async with self._term_lock:
            if self.delivery.term >= token:
                return True
            try:
                with anyio.fail_after(self.report_s):
                    await self.watch.barrier()
                    if self._renewal is None:
                        return False
                    await self._take_term(self._renewal.lease, token)
            except (TimeoutError, NoLease, Refused):
                return False
            return True

    def _put_summary(self, view: View, term: int, lease: int) -> None:
        put_summary(view, self.node, self._summary(term), lease, self._value_bytes)

    def _summary(self, term: int) -> Summary:
        now = anyio.current_time()
        self.picture.now = now
        machines = {}
        for machine in self.loss.machines():
            age = self.loss.age(machine, now)
            dialogue = self.delivery.machines.get(machine)
            if age is None or dialogue is None:
                continue
            report = dialogue.report
            notice = dialogue.notice_at
            machines[machine] = Seen(
                type=report.type,
                zone=report.zone,
                spot=report.spot,
                session=report.session,
                age_s=round(age, 2),
                notice_s=None if notice is None else round(notice - now, 1),
                errors=len(dialogue.failed),
                images=tuple(self.picture.images.names(machine, report.session)[-4:]),
            )
        return Summary(term, round(self.loss.up_s(now), 2), self.mirror.revision, machines)

    async def _keep_summary(self) -> None:
        """Write the room summary every few seconds."""
        period = self.picture.summary_s
        while True:
            await anyio.sleep(period)
            if not self.alive() or self._renewal is None:
                await anyio.sleep(self.report_s / 6)
                continue
            lease = self._renewal.lease

            def apply(view: View, lease: int = lease) -> bool:
                self._put_summary(view, self.delivery.term, lease)
                return True

            try:
                await self.committer.add(
                    # Others place on our machines by what it says: it must not starve.
                    Change("summary", P_USER, 1, apply, leased=True)
                ).wait()
            except NoLease:
                self._renewal, self._present = None, False
                self._hold_due.set()
            except Refused as refusal:
                log.error("the summary was refused: %s", refusal)

    # What changes set off

    def _synced(self, sent: float) -> None:
        self.loss.synced(sent, self.mirror.revision)

    def _changed(self, keys: set[str]) -> None:
        """The records changed: check the premises that this reaches, and deliver."""
        now = self.picture.now = anyio.current_time()
        if any(key.startswith(NODE) for key in keys):
            self.loss.observe(self.mirror.nodes, now)
            self.picture.observe()
        if TYPES in keys:
            self.picture.recount()
        resources: list[Resource] = []
        touched, self.mirror.touched = self.mirror.touched, set()
        begun, self.mirror.begun = self.mirror.begun, set()
        for machine in touched:
            self.picture.touch(machine)
            resources.append(("machine", machine))
        for job_id, task in begun:
            resources.append(("task", f"{job_id}/{task}"))
            job = self.mirror.jobs.get(job_id)
            if job is not None and task in job.live:
                self.picture.note_start(job.spec, job.live[task])
        for key in keys:
            if key.startswith(JOB):
                resources.append(("job", key[len(JOB) :]))
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
                self.push(dialogue)
        self.plan_due.set()

    # Workers

    async def _report(self, request: Request) -> Response:
        try:
            report = wire.parse_report(wire.loads(request.body))
        except wire.Malformed as error:
            return Response(400, wire.error_body(str(error)))
        if not self.alive():
            return Response(421, wire.redirect_body(self._abler_peer()))
        if not self._state_ok() and (peer := self._abler_peer()):
            # We cannot learn what to tell the machine any more, and a peer can.
            return Response(421, wire.redirect_body(peer))
        if report.token > self.delivery.term and not await self._rise_above(report.token):
            return Response(421, wire.redirect_body(None))
        known = self.delivery.machines.get(report.machine)
        before = None if known is None else _state_of(known)
        dialogue = self._hear(report, direct=False)
        if dialogue is None:
            return Response(503, wire.error_body("a newer report is known"))
        if before != _state_of(dialogue):
            self._tell_peers(dialogue)
        commands = self.delivery.orders(dialogue, self.mirror)
        if dialogue.sending:
            commands = [c for c in commands if c.op != "start"]
        if not self.alive():
            return Response(421, wire.redirect_body(None))
        if any(c.op == "start" for c in commands):
            dialogue.start_in_answer = True
        self.loss.answered(report.machine, anyio.current_time())
        return Response(200, wire.dumps(wire.commands_value(self.delivery.term, commands)))

    def _tell_peers(self, dialogue: Dialogue) -> None:
        """A machine came or changed: others can use that before our next summary."""
        sight = self.picture.sight(dialogue.report.machine)
        if sight is not None:
            for link in self.links.values():
                link.send(mesh.Sighting(self.node, dialogue.report.machine, sight.seen))

    def _hear(self, report: Report, *, direct: bool) -> Dialogue | None:
        now = self.picture.now = anyio.current_time()
        dialogue, news = self.delivery.heard(report, now, direct=direct)
        if not news:
            return None
        self.picture.heard(dialogue)
        if dialogue.obeys and not dialogue.synced and self.tasks is not None:
            self.tasks.start_soon(self._confirm, dialogue, dialogue.epoch)
        self.work.collect(self.delivery.ends(dialogue, self.mirror))
        return dialogue

    async def _confirm(self, dialogue: Dialogue, epoch: int) -> None:
        """Give orders only from records read after the machine came to obey our term."""
        with anyio.move_on_after(self.lease_s):
            await self.watch.barrier()
            if dialogue.obeys and dialogue.epoch == epoch and not dialogue.synced:
                dialogue.synced = True
                self.picture.touch(dialogue.report.machine)
                self.push(dialogue)
                self.plan_due.set()

    def push(self, dialogue: Dialogue) -> None:
        """Send the machine its orders directly, if there are any."""
        if dialogue.sending or not self.alive() or self.tasks is None:
            return
        if any(c.op != "forget" for c in self.delivery.orders(dialogue, self.mirror)):
            dialogue.sending = True
            self.tasks.start_soon(self._command, dialogue)

    async def _command(self, dialogue: Dialogue) -> None:
        machine = dialogue.report.machine
        try:
            again = await self._send_commands(dialogue)
        finally:
            dialogue.sending = False
        if again and self.delivery.machines.get(machine) is dialogue:
            self.push(dialogue)

    async def _send_commands(self, dialogue: Dialogue) -> bool:
        dialogue.sending = False
        commands = self.delivery.orders(dialogue, self.mirror)
        dialogue.sending = True
        if not commands or not self.alive():
            return False
        term, report = self.delivery.term, dialogue.report
        body = wire.commands_value(term, commands) | {"shift": report.session}
        client = self._client(report.machine, report.addr)
        starts = any(c.op == "start" for c in commands)
        try:
            answer = await client.request(
                "POST", wire.COMMANDS, wire.dumps(body), timeout=self.report_s
            )
            fresh = wire.parse_report(wire.loads(answer.body))
        except (HttpError, wire.Malformed) as error:
            log.info("machine %s did not answer a command: %s", report.machine, error)
            if starts:
                dialogue.tainted = term
            await anyio.sleep(self.report_s / 2)
            return False
        if fresh.machine != report.machine:
            log.warning("%s answers at the address of %s", fresh.machine, report.machine)
            return False
        sent = {(c.job, c.task, c.attempt) for c in commands if c.op == "stop"}
        self._hear(fresh, direct=True)
        if answer.status != 200:
            if fresh.token > term:
                self.delivery.lost_touch(report.machine)
            return False
        dialogue.sending = False
        self.work.collect(self.delivery.never_ran(dialogue, self.mirror, commands, term))
        dialogue.sending = True
        told = {(c.job, c.task, c.attempt) for c in commands if c.op != "forget"}
        left = self.delivery.orders(dialogue, self.mirror)
        # What was just told and is under way needs no repeating before the next report.
        return any((c.job, c.task, c.attempt) not in told | sent and c.op != "forget" for c in left)

    def _client(self, machine: str, addr: str) -> Requester:
        known = self._clients.get(machine)
        if known is None or known[0] != addr:
            host, port = split_addr(addr)
            known = self._clients[machine] = addr, self.connect(host, port, keep=1)
        return known[1]

    # Looking again

    async def _sweep(self) -> None:
        """Look again, at a slow pace, for what events may have missed."""
        while True:
            await anyio.sleep(self.report_s / 6)
            now = self.picture.now = anyio.current_time()
            if not self.watch.loaded:
                continue
            for dialogue in list(self.delivery.machines.values()):
                self.work.collect(self.delivery.ends(dialogue, self.mirror))
                if dialogue.tainted == self.delivery.term and dialogue.obeys:
                    await self._rise_above(self.delivery.term + 1)
            self.work.collect(self._losses(now))
            self.delivery.forget_silent(now, 4 * self.lease_s)
            self.picture.forget()
            for machine in [m for m in self._clients if m not in self.delivery.machines]:
                await self._clients.pop(machine)[1].aclose()
            self.work.sweep()
            for job_id in self.planner.avoid.keys() - self.mirror.jobs.keys():
                del self.planner.avoid[job_id]
            self.plan_due.set()

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

    def _losses(self, now: float) -> list[Ended]:
        """Attempts on machines that are gone, or whose lease has surely run out."""
        found = []
        for machine in list(self.mirror.on_machine):
            listed = self.mirror.fleet.get(machine)
            gone = listed is not None and listed.state == "gone"
            if not gone:
                sight = self.picture.sight(machine)
                if sight is not None and self.picture.age_s(sight) < self.lease_s:
                    # A later session ends what an earlier one ran.
                    found += [
                        Ended(job.id, task, attempt, "lost")
                        for job, task, attempt in self.mirror.attempts_on(machine)
                        if attempt.session < sight.seen.session
                    ]
                    continue
                gone = self.loss.lost(machine, now)
            if gone:
                found += [
                    Ended(job.id, task, attempt, "lost")
                    for job, task, attempt in self.mirror.attempts_on(machine)
                ]
        return found

    # Placing

    def live_nodes(self) -> list[str]:
        """The controllers that seem able to place."""
        now = anyio.current_time()
        fresh = {node for node, _, seen in self.loss.statements() if now - seen < 2 * self.report_s}
        found = []
        for name in self.nodes:
            link = self.links.get(name)
            if link is None:
                found.append(name)
            elif now - link.heard_at < 3 * self.beat_s:
                if link.state_ok:
                    found.append(name)
            elif not link.refused and name in fresh:
                found.append(name)
        return found

    def owner(self, team: str) -> str:
        """The controller that places this team's jobs; a disagreement costs only a retry."""
        names = [t.name for t in self.settings.platform.deployment.teams]
        first = names.index(team) if team in names else 0
        live = set(self.live_nodes())
        for step in range(len(self.nodes)):
            name = self.nodes[(first + step) % len(self.nodes)]
            if name in live:
                return name
        return self.node

    def _owned(self) -> list[Job]:
        mine = {
            team.name
            for team in self.settings.platform.deployment.teams
            if self.owner(team.name) == self.node
        }
        return [job for job in self.mirror.jobs.values() if job.spec.team in mine]

    async def _plan(self) -> None:
        while True:
            await self.plan_due.wait(self.report_s)
            if not self.alive() or not self.watch.loaded or not self.mirror.types:
                await anyio.sleep(self.report_s / 10)
                continue
            began = self.picture.now = anyio.current_time()
            admitted = self.planner.plan(self._owned(), self.work.barred)
            self.work.start(admitted)
            owned = self._owned()
            for victim in self.planner.preempt(owned, self.work.barred) + self.planner.moves(owned):
                self._commit_stop(victim)
            # Planning may take a quarter of our time; the more there is to do, the more
            # is done at once.
            took = anyio.current_time() - began
            await anyio.sleep(max(self.report_s / 100, 3 * took))

    def _commit_stop(self, victim: Victim) -> None:
        """Have a running task stopped so that more urgent work gets its room."""
        log.info("stopping %s/%d for %s", *victim[:2], victim.reason)

        def apply(view: View) -> bool:
            return stop(view, victim.job, [victim.task], victim.grace_s)

        change = self.committer.add(Change(f"stop in {victim.job}", P_WORK, 1, apply))
        assert self.tasks is not None
        self.tasks.start_soon(self._after_stop, change, victim.machine)

    async def _after_stop(self, change: Change, machine: str) -> None:
        try:
            await change.wait()
        except Refused as refusal:
            log.debug("%s: %s", change.name, refusal)
        sight = self.picture.sight(machine)
        if sight is not None:
            self.poke({sight.clerk})

    # Peers

    def _beat(self) -> mesh.Beat:
        self._share_writes()
        return mesh.Beat(self.node, self.alive() and self._state_ok(), self.committer.demand)

    def _share_writes(self) -> None:
        """Divide the store's write rate by what each controller has waiting."""
        now = anyio.current_time()
        least = self.settings.platform.deployment.state.txn_ops / 4
        own = least + self.committer.demand
        whole = own
        for name, link in self.links.items():
            if now - link.heard_at < 3 * self.beat_s:
                whole += least + link.demand
            elif name in self.mirror.nodes:
                whole += own  # it lives and we do not hear it: it may need as much as we do
        self.state.writes.share = own / whole

    def poke(self, nodes: set[str]) -> None:
        for name in nodes & self.links.keys():
            self.links[name].send(mesh.Poke(self.mirror.revision))

    def _hear_peer(self, message: mesh.Message) -> None:
        if isinstance(message, mesh.Beat):
            link = self.links.get(message.node)
            if link is not None:
                link.heard_at, link.state_ok = anyio.current_time(), message.state_ok
                link.demand = message.demand
        elif isinstance(message, mesh.Poke):
            self.watch.poke()
        elif isinstance(message, mesh.Ask):
            if message.node in self.links and self.tasks is not None:
                self.tasks.start_soon(self._answer_peer, message)
        elif isinstance(message, mesh.Answer):
            asked = self._asked.pop(message.number, None)
            if asked is not None:
                asked.answer = Response(message.status, message.body, message.retry_after)
                asked.arrived.set()
        elif isinstance(message, mesh.Sighting):
            self.picture.now = anyio.current_time()
            self.picture.tell(message.node, message.machine, message.seen)
            self.plan_due.set()
        else:
            for item in message.ends:
                attempt = Attempt(item.machine, item.zone, item.session, item.attempt)
                ended = Ended(item.job, item.task, attempt, item.outcome)
                self.work.told(ended)

    async def _answer_peer(self, ask: mesh.Ask) -> None:
        """Serve a user's request that came to a peer; it is not passed on again."""
        answer = await self._guarded(
            lambda: self._route(Request(ask.method, ask.path, ask.body)), ask.path
        )
        self.links[ask.node].send(
            mesh.Answer(ask.number, answer.status, answer.body, answer.retry_after)
        )

    async def _relay(self, request: Request, peer: str) -> Response:
        """Have a peer that reaches the state service serve a user's request."""
        self._asks += 1
        number = self._asks
        asked = self._asked[number] = _Asked()
        self.links[peer].send(
            mesh.Ask(self.node, number, request.method, request.path, request.body)
        )
        try:
            with anyio.move_on_after(self.report_s / 2):
                await asked.arrived.wait()
        finally:
            self._asked.pop(number, None)
        return asked.answer or _BUSY

    def _state_ok(self) -> bool:
        return anyio.current_time() - self.state.ok_at < self.report_s / 2

    def _abler_peer(self) -> str | None:
        """A peer that says it reaches the state service, if any does."""
        now = anyio.current_time()
        able = [
            name
            for name, link in self.links.items()
            if link.state_ok and now - link.heard_at < 3 * self.beat_s
        ]
        return self.rng.choice(able) if able else None

    # Users

    async def handle(self, request: Request) -> Response:
        """Answer one request to the node's public address."""
        path = request.path.partition("?")[0]
        if path == wire.REPORT:
            return await self._guarded(lambda: self._only("POST", request, self._report), path)
        if path == wire.HEALTH:
            return await self._only("GET", request, self._health)
        # Users' requests are idempotent.  One that the state service leaves waiting here is
        # given to a peer that reaches it, at once when we know that we do not.
        peer = self._abler_peer()
        if peer is None:
            return await self._guarded(lambda: self._route(request), path)
        if self._state_ok():
            answer = await self._unless_cut_off(request, path)
            if answer is not None:
                return answer
            log.info("the state service does not answer: %s goes to %s", path, peer)
        return await self._relay(request, peer)

    async def _unless_cut_off(self, request: Request, path: str) -> Response | None:
        """Serve a request here, but give up when the state service stops answering us."""
        served = _Asked()

        async def serve() -> None:
            served.answer = await self._guarded(lambda: self._route(request), path)
            served.arrived.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            while served.answer is None:
                with anyio.move_on_after(self.report_s / 16):
                    await served.arrived.wait()
                if anyio.current_time() - self.state.ok_at > self.report_s / 8:
                    break
            tasks.cancel_scope.cancel()
        return served.answer

    async def _guarded(self, serve: Callable[[], Awaitable[Response]], path: str) -> Response:
        """Turn whatever goes wrong into an answer."""
        try:
            return await serve()
        except (Unavailable, TimeoutError):
            return _BUSY
        except Exception:
            log.exception("a request failed: %s", path)
            return Response(500, wire.error_body("internal error"), 1)

    async def _route(self, request: Request) -> Response:
        path = request.path.partition("?")[0]
        if path == wire.JOBS:
            return await self._only("POST", request, self._submit)
        if path.startswith(wire.JOBS + "/"):
            job_id, _, action = path[len(wire.JOBS) + 1 :].partition("/")
            if action == "cancel":
                return await self._only("POST", request, lambda r: self._cancel(job_id))
            if not action:
                return await self._only("GET", request, lambda r: self._status(job_id))
        return Response(404, wire.error_body("no such path"))

    @staticmethod
    async def _only(
        method: str, request: Request, handler: Callable[[Request], Awaitable[Response]]
    ) -> Response:
        if request.method != method:
            return Response(405, wire.error_body("wrong method"))
        return await handler(request)

    async def _health(self, request: Request) -> Response:
        ready = self.watch.loaded and bool(self.mirror.types)
        if not ready or (not self._state_ok() and self._abler_peer() is not None):
            return Response(503)
        return Response(200)

    async def _lookup(self, job_id: str) -> Job | Final | None:
        """A job as of now: read after the question came."""
        final = self.mirror.finals.get(job_id)
        if final is not None:
            return final  # finished jobs do not change
        with anyio.fail_after(self.report_s / 2):
            await self.watch.barrier()
            job = self.mirror.jobs.get(job_id)
            if job is not None:
                return job
            found = self.mirror.finals.get(job_id)
            if found is not None:
                return found
            stored = await self.state.get(FINAL + job_id)
        if stored is None:
            return None
        final = Final(*stored[0])
        self.mirror.remember(job_id, final)
        return final

    async def _status(self, job_id: str) -> Response:
        if not wire.is_job_id(job_id):
            return Response(404, wire.error_body("no such job"))
        return self._state_answer(job_id, await self._lookup(job_id))

    @staticmethod
    def _state_answer(job_id: str, found: Job | Final | None) -> Response:
        if found is None:
            return Response(404, wire.error_body("no such job"))
        if isinstance(found, Final):
            return Response(200, wire.job_status(job_id, found.state, found.done))
        running = len(found.live)
        return Response(200, wire.job_status(job_id, found.state, found.done.count, running))

    async def _submit(self, request: Request) -> Response:
        try:
            spec = wire.parse_job(request.body)
            problem, status = None, 0
        except wire.Malformed as error:
            problem, status = str(error), 400
            job_id = wire.id_of(request.body)
            if job_id is None:
                return Response(400, wire.error_body(problem))
        else:
            job_id = spec.id
            if job_id in self.mirror.jobs or job_id in self.mirror.finals:
                return self._state_answer(job_id, await self._lookup(job_id))
            if not self.mirror.types:
                return Response(503, wire.error_body("the machine types are not known yet"), 1)
            problem = rejection(spec, self.mirror.types, self.picture.limits)
            status = 422
        if problem is not None:
            # A job that was accepted stays so, whatever a later submission says.
            found = await self._lookup(job_id)
            if found is not None:
                return self._state_answer(job_id, found)
            return Response(status, wire.error_body(problem))
        if self.committer.full or not self._state_ok():
            return _BUSY
        now = self.wall()
        change = Change(
            f"submission of {job_id}",
            P_USER,
            1,
            lambda view: self._apply_submit(view, spec, now),
            final=FINAL + job_id,
        )
        try:
            with anyio.fail_after(self.report_s):
                await self.committer.add(change).wait()
        except Refused:
            return self._state_answer(job_id, await self._lookup(job_id))
        self.poke({self.owner(spec.team)})
        return Response(201, wire.job_status(job_id, "pending"))

    @staticmethod
    def _apply_submit(view: View, spec: JobSpec, now: float) -> bool:
        submit(view, spec, now)
        return True

    async def _cancel(self, job_id: str) -> Response:
        if not wire.is_job_id(job_id):
            return Response(404, wire.error_body("no such job"))
        found = await self._lookup(job_id)
        if found is None or isinstance(found, Final) or found.cancelled:
            if found is None:
                return Response(404, wire.error_body("no such job"))
            return Response(200, wire.job_status(job_id, found.state))

        def apply(view: View) -> bool:
            cancel(view, job_id)
            return True

        clerks = set()
        for attempt in found.live.values():
            sight = self.picture.sight(attempt.machine)
            if sight is not None:
                clerks.add(sight.clerk)
        try:
            with anyio.fail_after(self.report_s):
                await self.committer.add(Change(f"cancel {job_id}", P_USER, 2, apply)).wait()
        except Refused:
            found = await self._lookup(job_id)
            if found is None or found.state not in (DONE, CANCELLED):
                return _BUSY
            return Response(200, wire.job_status(job_id, found.state))
        self.poke(clerks)
        return Response(200, wire.job_status(job_id, CANCELLED))
