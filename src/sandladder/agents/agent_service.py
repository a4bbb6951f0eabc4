"""The dealings with workers: reports answered, commands sent, ends and losses looked for."""

import logging
import math
from typing import TYPE_CHECKING

import anyio

from sandladder import clock
from sandladder.agents.reconciler import Dialogue
from sandladder.config.settings import split_addr
from sandladder.membership.spread import Spread
from sandladder.model.agents import Report
from sandladder.model.jobs import Ended
from sandladder.protocol import wire
from sandladder.transport import peer_transport
from sandladder.transport.http import HttpError, Request, Requester, Response

if TYPE_CHECKING:
    from sandladder.controller.controller import Controller

log = logging.getLogger(__name__)


def _state_of(dialogue: Dialogue) -> tuple[int, bool, int]:
    """What the other controllers should soon know of a machine."""
    return dialogue.session, dialogue.notice_at is None, len(dialogue.failed)


# What events may have missed is looked for at this part of the machines each time.
_TURNS = 6


# From so many machines on, none of which reports for so many report intervals, it is our own ears.
_SEVERAL, _DEAF = 4, 1.3


class Workers:
    """Talks with the machines that report to this controller."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.count = 0  # machines that report to us
        self._reported_at = math.inf  # when the last one did
        self._had = 0  # how many there were then
        self._spread = Spread(controller.node, controller.report_s, controller.lease_s)
        self._closed = False  # the fence, when last looked at
        self._clients: dict[str, tuple[str, Requester]] = {}

    async def report(self, request: Request) -> Response:
        try:
            report = wire.parse_report(wire.loads(request.body))
        except wire.Malformed as error:
            return Response(400, wire.error_body(str(error)))
        if not self._c.hold.alive() or self._fenced():
            return Response(421, wire.redirect_body(self._c.peers.abler()))
        if not self._c.state_ok() and (peer := self._c.peers.abler()):
            # We cannot learn what to tell the machine any more, and a peer can.
            return Response(421, wire.redirect_body(peer))
        if (node := self._refer(report)) is not None:
            return Response(421, wire.redirect_body(node))
        if report.token > self._c.delivery.term and not await self._c.hold.rise_above(report.token):
            return Response(421, wire.redirect_body(None))
        self._reported_at, self._had = clock.now(), self.count
        self._note_clerk(report)
        known = self._c.delivery.machines.get(report.machine)
        before = None if known is None else _state_of(known)
        dialogue = self._hear(report, direct=False)
        if dialogue is None:
            return Response(503, wire.error_body("a newer report is known"))
        if before != _state_of(dialogue):
            self._tell_peers(dialogue)
        commands = self._c.delivery.answer(dialogue, self._c.mirror)
        if dialogue.sending:
            commands = [c for c in commands if c.op != "start"]
        # The report was sent before now, and its lease counts from then: from here on the answer
        # may be held up, or we may stand still, for as long as it takes.
        now = clock.now()
        if not self._c.hold.alive() or not self._c.fence.open(now, dialogue.unsure):
            return Response(421, wire.redirect_body(None))
        if any(c.op == "start" for c in commands):
            dialogue.start_in_answer = True
        self._c.loss.answered(report.machine, now)
        return Response(200, wire.dumps(wire.commands_value(self._c.delivery.term, commands)))

    def _fenced(self) -> bool:
        """Whether no worker may be kept on: what was cancelled of late is not surely known."""
        now = clock.now()
        closed = not self._c.fence.open(now)
        if closed != self._closed:
            self._closed = closed
            said = "are not kept on" if closed else "are kept on again"
            log.warning("workers %s: %s", said, self._c.fence.reason(now))
        return closed

    def stop_cancelled(self, job_ids: list[str]) -> None:
        """A peer names cancelled jobs, each committed: what runs of them is stopped at once."""
        mirror = self._c.mirror
        for job_id in mirror.tell(job_ids, clock.now()):
            job = mirror.jobs.get(job_id)
            attempts = job.live.values() if job is not None else ()
            for machine in dict.fromkeys(attempt.machine for attempt in attempts):
                dialogue = self._c.delivery.machines.get(machine)
                if dialogue is not None:
                    self.push(dialogue)

    def deaf(self, now: float) -> bool:
        """Whether no machine reaches us any more, of several that did: it is we who are cut off.

        Seen in a measured day: the renter lost the way to the machines, took its own silence for
        theirs, and returned 136 of them.
        """
        if self._had < _SEVERAL or now - self._reported_at <= _DEAF * self._c.report_s:
            return False
        return self._c.membership.heard_elsewhere()

    def _refer(self, report: Report) -> str | None:
        """The controller that this machine should report to instead, if there is one."""
        now = clock.now()
        known = self._c.delivery.machines.get(report.machine)
        ours = known is not None and known.reported_at > now - self._c.picture.fresh_s
        loads = self._c.membership.loads(self.count, self._c.delivery.term)
        calm = self._c.membership.steward.calm(now)
        sight = self._c.picture.sight(report.machine)
        quiet_s = None if sight is None else now - sight.at
        node = self._spread.refer(
            report.machine, report.zone, report.token, ours, quiet_s, loads, now, calm
        )
        if node is None:
            self.count += not ours
            return None
        self.count -= ours
        log.debug("%s should report to %s", report.machine, node)
        return node

    def _note_clerk(self, report: Report) -> None:
        """A machine that comes over from another controller says something of that one."""
        sight = self._c.picture.sight(report.machine)
        if sight is not None and sight.clerk != self._c.node:
            self._c.membership.ears.came_over(sight.clerk, clock.now())

    def _tell_peers(self, dialogue: Dialogue) -> None:
        """A machine came or changed: others can use that before our next summary."""
        sight = self._c.picture.sight(dialogue.report.machine)
        if sight is not None:
            for link in self._c.peers.links.values():
                link.send(
                    peer_transport.Sighting(self._c.node, dialogue.report.machine, sight.seen)
                )

    def _hear(self, report: Report, *, direct: bool) -> Dialogue | None:
        now = self._c.picture.now = clock.now()
        dialogue, news = self._c.delivery.heard(report, now, direct=direct)
        if not news:
            return None
        self._c.picture.heard(dialogue)
        if dialogue.obeys and not dialogue.synced and self._c.tasks is not None:
            self._c.tasks.start_soon(self._confirm, dialogue, dialogue.epoch)
        self._c.work.collect(self._c.delivery.ends(dialogue, self._c.mirror))
        return dialogue

    async def _confirm(self, dialogue: Dialogue, epoch: int) -> None:
        """Give orders only from records read after the machine came to obey our term."""
        with anyio.move_on_after(self._c.lease_s):
            await self._c.watch.barrier()
            if dialogue.obeys and dialogue.epoch == epoch and not dialogue.synced:
                dialogue.synced = True
                self._c.picture.touch(dialogue.report.machine)
                self.push(dialogue)
                self._c.plan_due.set()

    def push(self, dialogue: Dialogue) -> None:
        """Send the machine its orders directly, if there are any."""
        if dialogue.sending or not self._c.hold.alive() or self._c.tasks is None:
            return
        if any(c.op != "forget" for c in self._c.delivery.orders(dialogue, self._c.mirror)):
            dialogue.sending = True
            self._c.tasks.start_soon(self._command, dialogue)

    async def _command(self, dialogue: Dialogue) -> None:
        machine = dialogue.report.machine
        try:
            again = await self._send_commands(dialogue)
        finally:
            dialogue.sending = False
        if again and self._c.delivery.machines.get(machine) is dialogue:
            self.push(dialogue)

    async def _send_commands(self, dialogue: Dialogue) -> bool:
        dialogue.sending = False
        commands = self._c.delivery.orders(dialogue, self._c.mirror)
        dialogue.sending = True
        if not commands or not self._c.hold.alive():
            return False
        term, report = self._c.delivery.term, dialogue.report
        body = wire.commands_value(term, commands) | {"shift": report.session}
        client = self._client(report.machine, report.addr)
        starts = any(c.op == "start" for c in commands)
        if starts:
            dialogue.unsure = min(dialogue.unsure, self._c.fence.known_at())
        try:
            answer = await client.request(
                "POST", wire.COMMANDS, wire.dumps(body), timeout=self._c.report_s
            )
            fresh = wire.parse_report(wire.loads(answer.body))
        except (HttpError, wire.Malformed) as error:
            log.info("machine %s did not answer a command: %s", report.machine, error)
            if starts:
                dialogue.tainted = term
            await anyio.sleep(self._c.report_s / 2)
            return False
        if fresh.machine != report.machine:
            log.warning("%s answers at the address of %s", fresh.machine, report.machine)
            return False
        sent = {(c.job, c.task, c.attempt) for c in commands if c.op == "stop"}
        self._hear(fresh, direct=True)
        if dialogue.tainted is None:
            dialogue.unsure = math.inf
        if answer.status != 200:
            if fresh.token > term:
                self._c.delivery.lost_touch(report.machine)
            return False
        dialogue.sending = False
        self._c.work.collect(self._c.delivery.never_ran(dialogue, self._c.mirror, commands, term))
        dialogue.sending = True
        told = {(c.job, c.task, c.attempt) for c in commands if c.op != "forget"}
        left = self._c.delivery.orders(dialogue, self._c.mirror)
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
            now = self._c.picture.now = clock.now()
            if not self._c.watch.loaded:
                continue
            lately = now - self._c.picture.fresh_s
            self.count = sum(
                dialogue.reported_at > lately for dialogue in self._c.delivery.machines.values()
            )
            turn = (turn + 1) % _TURNS
            for number, dialogue in enumerate(list(self._c.delivery.machines.values())):
                if number % _TURNS == turn:
                    self._c.work.collect(self._c.delivery.ends(dialogue, self._c.mirror))
                if dialogue.tainted == self._c.delivery.term and dialogue.obeys:
                    await self._c.hold.rise_above(self._c.delivery.term + 1)
            self._c.work.collect(self._losses(now))
            if not turn:
                self._c.delivery.forget_silent(now, 4 * self._c.lease_s)
                self._c.picture.forget()
            for machine in [m for m in self._clients if m not in self._c.delivery.machines]:
                await self._clients.pop(machine)[1].aclose()
            self._c.work.sweep()
            for job_id in self._c.planner.avoid.keys() - self._c.mirror.jobs.keys():
                del self._c.planner.avoid[job_id]
            self._c.plan_due.set()

    def _losses(self, now: float) -> list[Ended]:
        """Attempts on machines that are gone, or whose lease has surely run out."""
        c = self._c
        found = []
        held = c.mirror.sessions
        c.loss.holds([(m, session) for m, sessions in held.items() for session in sessions], now)
        for machine, sessions in held.items():
            listed = c.mirror.fleet.get(machine)
            sight = c.picture.sight(machine)
            if listed is not None and listed.state == "gone":
                over = set(sessions)
            elif sight is not None and c.picture.age_s(sight) < c.lease_s:
                # A later session ends what an earlier one ran.
                over = {session for session in sessions if session < sight.seen.session}
            else:
                over = {s for s in sessions if c.loss.lost(machine, s, now)}
            if not over:
                continue
            found += [
                Ended(job.id, task, attempt, "lost")
                for job, task, attempt in c.mirror.attempts_on(machine)
                if attempt.session in over
            ]
        return found
