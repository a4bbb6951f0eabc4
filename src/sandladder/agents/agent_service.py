"""The dealings with workers: reports answered, commands sent, ends and losses looked for."""

import logging
import math
from typing import TYPE_CHECKING

import anyio

from sandladder import clock
from sandladder.agents.reconciler import AgentSession
from sandladder.config import split_addr
from sandladder.membership import WorkerAssignment
from sandladder.model import AgentHeartbeat, EndedAttempt
from sandladder.protocol import wire
from sandladder.transport import HttpError, Request, Requester, Response, peer_transport

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)


def _state_of(agent: AgentSession) -> tuple[int, bool, int]:
    """What the other controllers should soon know of a machine."""
    return agent.session, agent.notice_at is None, len(agent.failed)


# What events may have missed is looked for at this part of the machines each time.
_TURNS = 6


# From so many machines on, none of which reports for so many report intervals, it is our own ears.
_SEVERAL, _DEAF = 4, 1.3


class AgentService:
    """Talks with the machines that report to this controller."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.count = 0  # machines that report to us
        self._reported_at = math.inf  # when the last one did
        self._had = 0  # how many there were then
        self._spread = WorkerAssignment(controller.node, controller.report_s, controller.lease_s)
        self._closed = False  # the fence, when last looked at
        self._clients: dict[str, tuple[str, Requester]] = {}

    async def report(self, request: Request) -> Response:
        try:
            report = wire.parse_report(wire.loads(request.body))
        except wire.MalformedMessageError as error:
            return Response(400, wire.error_body(str(error)))
        if not self._c.controller_lease.alive() or self._fenced():
            return Response(421, wire.redirect_body(self._c.peers.abler()))
        if not self._c.store_reachable() and (peer := self._c.peers.abler()):
            # We cannot learn what to tell the machine any more, and a peer can.
            return Response(421, wire.redirect_body(peer))
        if (node := self._refer(report)) is not None:
            return Response(421, wire.redirect_body(node))
        if report.token > self._c.reconciler.term and not await self._c.controller_lease.rise_above(
            report.token
        ):
            return Response(421, wire.redirect_body(None))
        self._reported_at, self._had = clock.now(), self.count
        self._note_previous_controller(report)
        known = self._c.reconciler.machines.get(report.machine)
        before = None if known is None else _state_of(known)
        agent = self._hear(report, direct=False)
        if agent is None:
            return Response(503, wire.error_body("a newer report is known"))
        if before != _state_of(agent):
            self._tell_peers(agent)
        commands = self._c.reconciler.answer(agent, self._c.cache)
        if agent.sending:
            commands = [c for c in commands if c.op != "start"]
        # The report was sent before now, and its lease counts from then: from here on the answer
        # may be held up, or we may stand still, for as long as it takes.
        now = clock.now()
        if not self._c.controller_lease.alive() or not self._c.renewal_guard.open(
            now, agent.unsure
        ):
            return Response(421, wire.redirect_body(None))
        if any(c.op == "start" for c in commands):
            agent.start_in_answer = True
        self._c.lease_expiry.answered(report.machine, now)
        return Response(200, wire.dumps(wire.commands_value(self._c.reconciler.term, commands)))

    def _fenced(self) -> bool:
        """Whether no worker may be kept on: what was cancelled of late is not surely known."""
        now = clock.now()
        closed = not self._c.renewal_guard.open(now)
        if closed != self._closed:
            self._closed = closed
            said = "are not kept on" if closed else "are kept on again"
            log.warning("workers %s: %s", said, self._c.renewal_guard.reason(now))
        return closed

    def stop_cancelled(self, job_ids: list[str]) -> None:
        """A peer names cancelled jobs, each committed: what runs of them is stopped at once."""
        cache = self._c.cache
        for job_id in cache.tell(job_ids, clock.now()):
            job = cache.jobs.get(job_id)
            attempts = job.live.values() if job is not None else ()
            for machine in dict.fromkeys(attempt.machine for attempt in attempts):
                agent = self._c.reconciler.machines.get(machine)
                if agent is not None:
                    self.push(agent)

    def deaf(self, now: float) -> bool:
        """Whether no machine reaches us any more, of several that did: it is we who are cut off.

        Seen in a measured day: the renter lost the way to the machines, took its own silence for
        theirs, and returned 136 of them.
        """
        if self._had < _SEVERAL or now - self._reported_at <= _DEAF * self._c.report_s:
            return False
        return self._c.membership.heard_elsewhere()

    def _refer(self, report: AgentHeartbeat) -> str | None:
        """The controller that this machine should report to instead, if there is one."""
        now = clock.now()
        known = self._c.reconciler.machines.get(report.machine)
        ours = known is not None and known.reported_at > now - self._c.cluster_view.fresh_s
        loads = self._c.membership.loads(self.count, self._c.reconciler.term)
        calm = self._c.membership.policy.calm(now)
        observation = self._c.cluster_view.observation(report.machine)
        quiet_s = None if observation is None else now - observation.at
        node = self._spread.refer(
            report.machine, report.zone, report.token, ours, quiet_s, loads, now, calm
        )
        if node is None:
            self.count += not ours
            return None
        self.count -= ours
        log.debug("%s should report to %s", report.machine, node)
        return node

    def _note_previous_controller(self, report: AgentHeartbeat) -> None:
        """A machine that comes over from another controller says something of that one."""
        observation = self._c.cluster_view.observation(report.machine)
        if observation is not None and observation.reporting_controller != self._c.node:
            self._c.membership.detector.came_over(observation.reporting_controller, clock.now())

    def _tell_peers(self, agent: AgentSession) -> None:
        """A machine came or changed: others can use that before our next summary."""
        observation = self._c.cluster_view.observation(agent.report.machine)
        if observation is not None:
            for link in self._c.peers.connections.values():
                link.send(
                    peer_transport.MachineUpdate(
                        self._c.node, agent.report.machine, observation.seen
                    )
                )

    def _hear(self, report: AgentHeartbeat, *, direct: bool) -> AgentSession | None:
        now = self._c.cluster_view.now = clock.now()
        agent, news = self._c.reconciler.heard(report, now, direct=direct)
        if not news:
            return None
        self._c.cluster_view.heard(agent)
        if agent.accepts_token and not agent.synced and self._c.tasks is not None:
            self._c.tasks.start_soon(self._confirm, agent, agent.epoch)
        self._c.job_committer.collect(self._c.reconciler.ends(agent, self._c.cache))
        return agent

    async def _confirm(self, agent: AgentSession, epoch: int) -> None:
        """Give orders only from records read after the machine came to obey our term."""
        with anyio.move_on_after(self._c.lease_s):
            await self._c.watch.barrier()
            if agent.accepts_token and agent.epoch == epoch and not agent.synced:
                agent.synced = True
                self._c.cluster_view.touch(agent.report.machine)
                self.push(agent)
                self._c.plan_due.set()

    def push(self, agent: AgentSession) -> None:
        """Send the machine its orders directly, if there are any."""
        if agent.sending or not self._c.controller_lease.alive() or self._c.tasks is None:
            return
        if any(c.op != "forget" for c in self._c.reconciler.orders(agent, self._c.cache)):
            agent.sending = True
            self._c.tasks.start_soon(self._command, agent)

    async def _command(self, agent: AgentSession) -> None:
        machine = agent.report.machine
        try:
            again = await self._send_commands(agent)
        finally:
            agent.sending = False
        if again and self._c.reconciler.machines.get(machine) is agent:
            self.push(agent)

    async def _send_commands(self, agent: AgentSession) -> bool:
        agent.sending = False
        commands = self._c.reconciler.orders(agent, self._c.cache)
        agent.sending = True
        if not commands or not self._c.controller_lease.alive():
            return False
        term, report = self._c.reconciler.term, agent.report
        body = wire.commands_value(term, commands) | {"shift": report.session}
        client = self._client(report.machine, report.addr)
        starts = any(c.op == "start" for c in commands)
        if starts:
            agent.unsure = min(agent.unsure, self._c.renewal_guard.known_at())
        try:
            answer = await client.request(
                "POST", wire.COMMANDS, wire.dumps(body), timeout=self._c.report_s
            )
            fresh = wire.parse_report(wire.loads(answer.body))
        except (HttpError, wire.MalformedMessageError) as error:
            log.info("machine %s did not answer a command: %s", report.machine, error)
            if starts:
                agent.stale_start_token = term
            await anyio.sleep(self._c.report_s / 2)
            return False
        if fresh.machine != report.machine:
            log.warning("%s answers at the address of %s", fresh.machine, report.machine)
            return False
        sent = {(c.job, c.task, c.attempt) for c in commands if c.op == "stop"}
        self._hear(fresh, direct=True)
        if agent.stale_start_token is None:
            agent.unsure = math.inf
        if answer.status != 200:
            if fresh.token > term:
                self._c.reconciler.lost_touch(report.machine)
            return False
        agent.sending = False
        self._c.job_committer.collect(
            self._c.reconciler.never_ran(agent, self._c.cache, commands, term)
        )
        agent.sending = True
        told = {(c.job, c.task, c.attempt) for c in commands if c.op != "forget"}
        left = self._c.reconciler.orders(agent, self._c.cache)
        # What was just told and is under way needs no repeating before the next report.
        return any((c.job, c.task, c.attempt) not in told | sent and c.op != "forget" for c in left)

    def _client(self, machine: str, addr: str) -> Requester:
        known = self._clients.get(machine)
        if known is None or known[0] != addr:
            host, port = split_addr(addr)
            known = self._clients[machine] = addr, self._c.connect(host, port, keep=1)
        return known[1]

    async def sweep(self) -> None:
        """Look again, at a slow pace, for what events may have missed."""
        turn = 0
        while True:
            await anyio.sleep(self._c.report_s / 6)
            now = self._c.cluster_view.now = clock.now()
            if not self._c.watch.loaded:
                continue
            lately = now - self._c.cluster_view.fresh_s
            self.count = sum(
                agent.reported_at > lately for agent in self._c.reconciler.machines.values()
            )
            turn = (turn + 1) % _TURNS
            for number, agent in enumerate(list(self._c.reconciler.machines.values())):
                if number % _TURNS == turn:
                    self._c.job_committer.collect(self._c.reconciler.ends(agent, self._c.cache))
                if agent.stale_start_token == self._c.reconciler.term and agent.accepts_token:
                    await self._c.controller_lease.rise_above(self._c.reconciler.term + 1)
            self._c.job_committer.collect(self._losses(now))
            if not turn:
                self._c.reconciler.forget_silent(now, 4 * self._c.lease_s)
                self._c.cluster_view.forget()
            for machine in [m for m in self._clients if m not in self._c.reconciler.machines]:
                await self._clients.pop(machine)[1].aclose()
            self._c.job_committer.sweep()
            for job_id in self._c.planner.avoid.keys() - self._c.cache.jobs.keys():
                del self._c.planner.avoid[job_id]
            self._c.plan_due.set()

    def _losses(self, now: float) -> list[EndedAttempt]:
        """Attempts on machines that are gone, or whose lease has surely run out."""
        c = self._c
        found = []
        held = c.cache.sessions
        c.lease_expiry.holds(
            [(m, session) for m, sessions in held.items() for session in sessions], now
        )
        for machine, sessions in held.items():
            listed = c.cache.instances.get(machine)
            observation = c.cluster_view.observation(machine)
            if listed is not None and listed.state == "gone":
                over = set(sessions)
            elif observation is not None and c.cluster_view.age_s(observation) < c.lease_s:
                # A later session ends what an earlier one ran.
                over = {session for session in sessions if session < observation.seen.session}
            else:
                over = {s for s in sessions if c.lease_expiry.lost(machine, s, now)}
            if not over:
                continue
            found += [
                EndedAttempt(job.id, task, attempt, "lost")
                for job, task, attempt in c.cache.attempts_on(machine)
                if attempt.session in over
            ]
        return found
