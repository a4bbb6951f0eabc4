"""The messages between this controller and its peers."""

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
    """Callbacks of the services above this package for the peers' messages."""

    on_machine_update: Callable[[MachineUpdate], None]
    on_ended_attempt: Callable[[EndedAttempt], None]
    # Serves a forwarded request; it must not raise, and must not forward the request again.
    serve_request: Callable[[Request], Awaitable[Response]]


class PeerService:
    """Owns the connections to the other controllers, and sends and receives messages on them."""

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
        """Create a connection to each peer; the caller runs them and calls `receive`.

        Args:
            node: the controller of this process.
            process: distinguishes the controller's processes.
            peers: the other controllers.
            heartbeat_interval_s: the maximum interval between two heartbeats, in seconds.
            response_timeout_s: how long to wait for the response to a forwarded request, in
                seconds.
            rng: selects one of the peers that can serve.
            cache: this process's cache of the records.
            watch: woken when a peer has committed a change.
            membership: provides the peers that can serve.
            teams: provides the members and the teams' assignees.
            heartbeats: builds and processes heartbeats.
            background: runs the forwarded requests.
            events: callbacks of the services above this package.
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

    # Team assignments and serving peers

    def live_nodes(self) -> list[str]:
        """Return the current members."""
        return self._teams.live_nodes()

    def is_assigned(self, team: str) -> bool:
        """Return whether this process may commit starts of a team now."""
        return self._teams.is_assigned(team)

    def assignee(self, team: str) -> str:
        """Return the controller that is responsible for a team."""
        return self._teams.assignee(team)

    def outdated_peers(self) -> set[str]:
        """Return the peers that send heartbeats and support schema version 1 only."""
        return self._heartbeats.outdated_peers()

    def find_serving_peer(self, schema_version: int = SCHEMA_V1) -> str | None:
        """Return a random peer that can serve and supports a schema version, or None."""
        serving = [
            node
            for node in self._membership.serving_peers()
            if self._heartbeats.supports_schema(node, schema_version)
        ]
        return self._rng.choice(serving) if serving else None

    # Sending

    def heartbeat(self) -> PeerHeartbeat | None:
        """Return the heartbeat to send now, or None while this process is fenced."""
        return self._heartbeats.build()

    def announce_cancellations(self) -> None:
        """Send heartbeats at once after a job was cancelled, before its user gets the response.

        A controller that commands the job's tasks can then stop them even if it cannot read the
        store.
        """
        for connection in self.connections.values():
            connection.flush()

    def notify(self, nodes: set[str]) -> None:
        """Notify the peers among these controllers that there are changes to read."""
        for node, connection in self.connections.items():
            if node in nodes:
                connection.send(ChangeNotice(self._cache.revision))

    async def forward(self, request: Request, peer: str) -> Response:
        """Forward a user's request to a peer and return its response, or `BUSY` after a timeout.

        After a timeout or a cancellation the peer may still have served the request.
        """
        return await self.forwarder.forward(request, peer)

    def _send(self, node: str, message: ForwardedRequest | ForwardedResponse) -> None:
        self.connections[node].send(message)

    # Events

    def connection_changed(self, node: str, refused: bool) -> None:
        """Record a new or failed connection; announce a refusal to the other peers at once."""
        self._membership.connection_changed(node, refused)
        if refused:
            for name, connection in self.connections.items():
                if name != node:
                    connection.flush()

    def receive(self, message: Message) -> None:
        """Process a peer's message; a forwarded request is served in the background."""
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
                self._receive_ended_tasks(message)

    def _receive_ended_tasks(self, message: EndedTasks) -> None:
        for end in message.ends:
            attempt = Attempt(end.machine, end.zone, end.agent_epoch, end.attempt)
            self._events.on_ended_attempt(EndedAttempt(end.job, end.task, attempt, end.outcome))
