"""The simulated connections between controllers."""

from typing import Any

import anyio
import msgspec

from simulation.shared_state import SharedState
from simulation.tracing import TRACE

# Range of the delay of a message, in seconds.
_DELAY_S = (0.001, 0.01)


class SimulatedPeerConnection:
    """Replaces `peer_transport.PeerConnection`.

    Each end encodes and decodes messages with its own version.
    """

    def __init__(self, shared: SharedState, source: str, target: str, transport: Any) -> None:
        self._shared, self._source, self._target = shared, source, target
        self._transport = transport
        self.refused = False
        self._queue: list[Any] = []  # messages since the last attempt to connect
        # Status of the peer, set by the controller.
        self.heard_at = float("-inf")
        self.store_reachable = self.state_ok = False  # production version: `state_ok`
        self.demand = 0
        self.schema_version = self.form = 1  # production version: `form`

    def probe(self) -> None:
        """Update whether the peer refuses connections."""
        pair = frozenset((self._source, self._target))
        refused = self._target not in self._shared.nodes or pair in self._shared.network.refused
        if refused != self.refused:
            self.refused = refused
            peers = self._shared.nodes[self._source].peers
            # Versions without `connection_changed` read `refused` instead.
            if hasattr(peers, "connection_changed"):
                peers.connection_changed(self._target, refused)
        # Like the real connection, sends the messages queued since the last attempt to connect.
        queue, self._queue = self._queue, []
        for message in [] if refused else queue:
            self.send(message)

    def flush(self) -> None:
        """Send a heartbeat immediately."""
        heartbeat = self._shared.nodes[self._source].peers.heartbeat()
        if heartbeat is not None:
            self.send(heartbeat)

    nudge = flush  # name in the production version

    def send(self, message: Any) -> None:
        """Send a message; it may be lost."""
        if self.refused:
            self._queue.append(message)
            return
        if self._shared.on_peer_message is not None:
            self._shared.on_peer_message(self._source, self._target, message)
        body = self._transport._encoder.encode(message)
        TRACE.record("frame", self._source, self._target, body)

        async def carry() -> None:
            await anyio.sleep(self._shared.rng.uniform(*_DELAY_S))
            self._arrive(body)

        self._shared.network.start(carry)

    def _arrive(self, body: bytes) -> None:
        """Deliver a message to the peer unless it has crashed or is cut off."""
        node = self._shared.nodes.get(self._target)
        if node is None or self._shared.network.cut_mode(self._source, self._target) is not None:
            return
        try:
            message = node.version.mesh._decoder.decode(body)
        except msgspec.DecodeError as error:
            detail = f"{self._target} cannot read {body!r}: {error}"
            self._shared.record_violation("mesh", detail)
        else:
            node.on_processor(lambda: node.peers.receive(message))
