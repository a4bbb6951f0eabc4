"""What passes between this controller and the others, by kind of message."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random

from sandladder.concurrency import BackgroundTasks
from sandladder.config import PeerAddress
from sandladder.membership import MembershipService
from sandladder.model import SCHEMA_V1, Attempt, EndedAttempt
from sandladder.peers.heartbeats import HeartbeatExchange
from sandladder.peers.request_forwarder import RequestForwarder
from sandladder.peers.team_directory import TeamDirectory
from sandladder.state import StateCache, StoreWatch
from sandladder.transport import (
    ChangeNotice,
    EndedTasks,
    ForwardedRequest,
    ForwardedResponse,
    MachineUpdate,
    PeerConnection,
    PeerHeartbeat,
    Request,
    Response,
)
from sandladder.transport.peer_messages import Message


@dataclass(frozen=True)
class PeerEvents:
    """What the services above this package do with the peers' messages."""

    on_machine_update: Callable[[MachineUpdate], None]
    on_ended_attempt: Callable[[EndedAttempt], None]
    # Serves a forwarded request; never raises, and never forwards it again.
    serve_request: Callable[[Request], Awaitable[Response]]


class PeerService:
    """The connections to the other controllers, and what is sent and received on them."""

    def __init__(
        self,
        *,
        node: str,
        process: int,
        peers: Sequence[PeerAddress],
        heartbeat_interval_s: float,
        response_timeout_s: float,
        rng: Random,
        cache: StateCache,
        watch: StoreWatch,
        membership: MembershipService,
        teams: TeamDirectory,
        heartbeats: HeartbeatExchange,
        background: BackgroundTasks,
        events: PeerEvents,
    ) -> None:
        """Prepare a connection to each peer; whoever listens runs them and calls `handle`.

        Args:
            node: the controller of this process.
            process: distinguishes the controller's processes.
            peers: the other controllers.
            heartbeat_interval_s: between two heartbeats at the most, in seconds.
            response_timeout_s: how long to wait for a peer that serves a request, in seconds.
            rng: chooses among the peers that can serve.
            cache: the records as this process knows them.
            watch: woken when a peer has committed something.
            membership: knows which peers can serve.
            teams: knows the teams' assignees.
            heartbeats: makes and takes in heartbeats.
            background: serves forwarded requests.
            events: what the services above do with messages.
        """
        self._rng = rng
        self._cache = cache
        self._watch = watch
        self._membership = membership
        self._teams = teams
        self._heartbeats = heartbeats
        self._events = events
        self.connections = {
            peer.node_name: PeerConnection(peer, heartbeat_interval_s, self.connection_changed)
            for peer in peers
        }
        self.forwarder = RequestForwarder(
            node=node,
            process=process,
            timeout_s=response_timeout_s,
            background=background,
            send=self._send,
            serve=events.serve_request,
        )

    # Who is responsible, and who can serve

    def live_nodes(self) -> list[str]:
        """The controllers that take part."""
        return self._teams.live_nodes()

    def is_assigned(self, team: str) -> bool:
        """Whether starts of this team are this process's to commit now."""
        return self._teams.is_assigned(team)

    def assignee(self, team: str) -> str:
        """The controller that should learn of what concerns a team."""
        return self._teams.assignee(team)

    def outdated_peers(self) -> set[str]:
        """The controllers that send heartbeats and understand only the first schema."""
        return self._heartbeats.outdated_peers()

    def find_serving_peer(self, schema_version: int = SCHEMA_V1) -> str | None:
        """A peer that reaches the state service and understands this schema, if there is any."""
        serving = [
            node
            for node in self._membership.serving_peers()
            if self._heartbeats.understands(node, schema_version)
        ]
        return self._rng.choice(serving) if serving else None

    # What is sent

    def heartbeat(self) -> PeerHeartbeat | None:
        """The heartbeat to send now; None while this process is fenced."""
        return self._heartbeats.make()

    def announce_cancellations(self) -> None:
        """A job was cancelled here: the other controllers are informed before its user is.

        Whoever commands its tasks may be refused by the state service, and stops them all the same.
        """
        for connection in self.connections.values():
            connection.flush()

    def notify(self, nodes: set[str]) -> None:
        """Have those of these controllers that are peers read the changes now."""
        for node, connection in self.connections.items():
            if node in nodes:
                connection.send(ChangeNotice(self._cache.revision))

    async def forward(self, request: Request, peer: str) -> Response:
        """Have a peer serve a user's request, and wait for its response.

        `BUSY` if none has come in time.  Then, or cancelled, the peer may have served the request
        all the same.
        """
        return await self.forwarder.forward(request, peer)

    def _send(self, node: str, message: ForwardedRequest | ForwardedResponse) -> None:
        self.connections[node].send(message)

    # What happens

    def connection_changed(self, node: str, refused: bool) -> None:
        """The connection to a peer was made, or could not be; a refusal is announced at once."""
        self._membership.connection_changed(node, refused)
        if refused:
            for name, connection in self.connections.items():
                if name != node:
                    connection.flush()

    def receive(self, message: Message) -> None:
        """Take in a peer's message; a forwarded request is served in the background."""
        match message:
            case PeerHeartbeat():
                self._heartbeats.receive(message)
            case ChangeNotice():
                self._watch.wake()
            case ForwardedRequest():
                if message.node in self.connections:
                    self.forwarder.receive_request(message)
            case ForwardedResponse():
                self.forwarder.receive_response(message)
            case MachineUpdate():
                self._events.on_machine_update(message)
            case EndedTasks():
                self._receive_ends(message)

    def _receive_ends(self, message: EndedTasks) -> None:
        for end in message.ends:
            attempt = Attempt(end.machine, end.zone, end.session, end.attempt)
            self._events.on_ended_attempt(EndedAttempt(end.job, end.task, attempt, end.outcome))
