"""The other controllers: who lives, who places which team, and requests passed on."""

import logging
from typing import TYPE_CHECKING

import anyio

from sandladder import clock
from sandladder.membership import PeerStatus, may_place
from sandladder.model import SCHEMA_V1, SCHEMA_V2, Attempt, ClockReading, EndedAttempt
from sandladder.protocol import wire
from sandladder.transport import Request, Response, peer_transport

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)


# Cancelled jobs that one beat names at the most, the latest; few are ever live.
_NAMED = 256

# How many bits of a request's number count the requests; the rest tell the process.
_ASKS_BITS = 20

# What is answered when a request cannot be taken: come back soon.
BUSY = Response(503, wire.error_body("cannot be taken now"), 1)


class PendingResponse:
    """A request that a peer was asked to serve."""

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.answer: Response | None = None


class PeerService:
    """What passes between this controller and the others."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.connections = {
            peer.node_name: peer_transport.PeerConnection(
                peer, controller.heartbeat_interval_s, self.connection_changed
            )
            for peer in controller.settings.platform.peers
        }
        # Numbers that no former process of this controller gave: a peer may answer what that one
        # asked when we stand in its place.  Seen in the stand-in world: a user was told of one
        # job what another had come to.
        self._asks = controller.process << _ASKS_BITS
        self._asked: dict[int, PendingResponse] = {}

    def connection_changed(self, node: str, refused: bool) -> None:
        """A link broke or was made: the others should hear of it at once."""
        self._c.membership.link(node, refused)
        if refused:
            for name, link in self.connections.items():
                if name != node:
                    link.flush()

    def live_nodes(self) -> list[str]:
        """The controllers that take part: by the roster, the same for all.

        In the plain form there is none; a disagreement there costs only a retry.
        """
        agreed = self._c.membership.members()
        if agreed:
            return agreed
        able = {n for n, found in self._c.membership.policy.findings.items() if found.able}
        return [name for name in self._c.nodes if name == self._c.node or name in able]

    def places(self, team: str) -> bool:
        """Whether starts of this team are this controller's to commit now."""
        if self._c.cache.schema_version == SCHEMA_V1:
            return self._ring_owner(team) == self._c.node
        return may_place(self._c.cache, team, self._c.membership.own)

    def assignee(self, team: str) -> str:
        """The controller that should hear of what concerns a team."""
        if self._c.cache.schema_version != SCHEMA_V1 and (
            found := self._c.membership.assignee(team)
        ):
            return found
        return self._ring_owner(team)

    def _ring_owner(self, team: str) -> str:
        """The controller whose turn this team is round the ring of those that live."""
        names = [t.name for t in self._c.settings.platform.deployment.teams]
        first = names.index(team) if team in names else 0
        live = set(self.live_nodes())
        for step in range(len(self._c.nodes)):
            name = self._c.nodes[(first + step) % len(self._c.nodes)]
            if name in live:
                return name
        return self._c.node

    def older(self) -> set[str]:
        """The controllers that beat and know only the plain form."""
        now = clock.now()
        return {
            name
            for name, link in self.connections.items()
            if link.schema_version == SCHEMA_V1
            and now - link.heard_at < 3 * self._c.heartbeat_interval_s
        }

    def heartbeat(self) -> peer_transport.PeerHeartbeat | None:
        """The sign of life; none while another process is the controller of this name."""
        if self._c.controller_lease.superseded:
            return None
        self._share_writes()
        membership, now = self._c.membership, clock.now()
        return peer_transport.PeerHeartbeat(
            self._c.node,
            self._c.controller_lease.alive() and self._c.store_reachable(),
            self._c.committer.demand,
            SCHEMA_V2,
            term=membership.own.term if membership.own else 0,
            token=self._c.reconciler.term,
            late_s=round(membership.detector.late_s, 3),
            # One that no machine reaches is sent none.
            machines=None if self._c.agent_service.deaf(now) else self._c.agent_service.count,
            leaving=membership.leaving,
            heard=membership.detector.silences(now),
            process=self._c.process,
            stamp=now,
            echoes=self._c.renewal_guard.echoes,
            cancelled=list(self._c.cache.cancelled)[-_NAMED:],
            whole=len(self._c.cache.cancelled) <= _NAMED,
        )

    def announce_cancellations(self) -> None:
        """A job was cancelled here: the others hear of it before its user does.

        Whoever commands its tasks may be refused by the state service, and stops them on our word.
        """
        for link in self.connections.values():
            link.flush()

    def _share_writes(self) -> None:
        """Divide the store's write rate by what each controller has waiting."""
        now = clock.now()
        least = self._c.limits.txn_ops / 4
        own = least + self._c.committer.demand
        whole = own
        for name, link in self.connections.items():
            if now - link.heard_at < 3 * self._c.heartbeat_interval_s:
                whole += least + link.demand
            elif name in self._c.cache.nodes:
                whole += own  # it lives and we do not hear it: it may need as much as we do
        self._c.store.writes.share = own / whole

    def notify(self, nodes: set[str]) -> None:
        for name, link in self.connections.items():
            if name in nodes:
                link.send(peer_transport.ChangeNotice(self._c.cache.revision))

    def handle(self, message: peer_transport.Message) -> None:
        if isinstance(message, peer_transport.PeerHeartbeat):
            link = self.connections.get(message.node)
            if link is not None:
                now = link.heard_at = clock.now()
                link.demand, link.schema_version = message.demand, message.schema_version
                stamp = ClockReading(message.process, message.stamp)
                self._c.renewal_guard.heard(message.node, stamp, message.echoes, message.whole, now)
                self._c.agent_service.stop_cancelled(message.cancelled)
                word = PeerStatus(
                    term=message.term,
                    token=message.token,
                    store_reachable=message.store_reachable,
                    late_s=message.late_s,
                    machines=message.machines,
                    leaving=message.leaving,
                    heard=message.heard,
                )
                self._c.membership.hear(message.node, word)
        elif isinstance(message, peer_transport.ChangeNotice):
            self._c.watch.wake()
        elif isinstance(message, peer_transport.ForwardedRequest):
            if message.node in self.connections and self._c.tasks is not None:
                self._c.tasks.start_soon(self._answer, message)
        elif isinstance(message, peer_transport.ForwardedResponse):
            asked = self._asked.pop(message.number, None)
            if asked is not None:
                asked.answer = Response(message.status, message.body, message.retry_after)
                asked.arrived.set()
        elif isinstance(message, peer_transport.MachineUpdate):
            self._c.cluster_view.now = clock.now()
            self._c.cluster_view.tell(message.node, message.machine, message.seen)
            self._c.plan_due.set()
        else:
            for item in message.ends:
                attempt = Attempt(item.machine, item.zone, item.session, item.attempt)
                ended = EndedAttempt(item.job, item.task, attempt, item.outcome)
                self._c.job_committer.told(ended)

    async def _answer(self, ask: peer_transport.ForwardedRequest) -> None:
        """Serve a user's request that came to a peer; it is not passed on again."""
        answer = await self._c.job_api.guarded(
            lambda: self._c.job_api.route(Request(ask.method, ask.path, ask.body)), ask.path
        )
        self.connections[ask.node].send(
            peer_transport.ForwardedResponse(
                ask.number, answer.status, answer.body, answer.retry_after
            )
        )

    async def relay(self, request: Request, peer: str) -> Response:
        """Have a peer that reaches the state service serve a user's request."""
        self._asks += 1
        number = self._asks
        asked = self._asked[number] = PendingResponse()
        self.connections[peer].send(
            peer_transport.ForwardedRequest(
                self._c.node, number, request.method, request.path, request.body
            )
        )
        try:
            with anyio.move_on_after(self._c.report_s / 2):
                await asked.arrived.wait()
        finally:
            self._asked.pop(number, None)
        return asked.answer or BUSY

    def abler(self, schema_version: int = SCHEMA_V1) -> str | None:
        """A peer that says it reaches the state service and knows this form, if any does."""
        able = [
            name
            for name in self._c.membership.able()
            if name in self.connections and self.connections[name].schema_version >= schema_version
        ]
        return self._c.rng.choice(able) if able else None
