"""TCP connections between controllers.

Each controller connects to every other controller and only sends on that connection.  It receives
on the connections that the others open.
"""

import contextlib
import logging
from collections import deque
from collections.abc import Callable

import anyio
import msgspec
from anyio.abc import SocketStream

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.config import PeerAddress, parse_address
from sandladder.transport.peer_messages import (
    MAX_FRAME_BYTES,
    ChangeNotice,
    EndedTask,
    EndedTasks,
    ForwardedRequest,
    ForwardedResponse,
    FrameLengthError,
    LinkObservation,
    MachineUpdate,
    Message,
    PeerHeartbeat,
    decode_body,
    encode_frame,
    take_frame,
)

__all__ = [
    "ChangeNotice",
    "EndedTask",
    "EndedTasks",
    "ForwardedRequest",
    "ForwardedResponse",
    "LinkObservation",
    "MachineUpdate",
    "Message",
    "PeerConnection",
    "PeerHeartbeat",
    "serve",
]

log = logging.getLogger(__name__)

# The maximum number of queued messages for one peer; the oldest are dropped.
_QUEUE_LIMIT = 256
# The timeout of connecting and of sending, in heartbeat intervals.
_TIMEOUT_INTERVALS = 4
# The maximum number of batches of messages sent per heartbeat interval.
_BATCHES_PER_INTERVAL = 12

# Exceptions that a closed or broken connection may raise.
_CONNECTION_ERRORS = (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError)

# Builds the next heartbeat; returns None if no heartbeat is to be sent.
HeartbeatSource = Callable[[], PeerHeartbeat | None]


class PeerConnection:
    """The connection to one peer, with a bounded send queue and periodic heartbeats."""

    def __init__(
        self,
        peer: PeerAddress,
        heartbeat_interval_s: float,
        on_connection_attempt: Callable[[str, bool], None],
    ) -> None:
        """Initialize without connecting; `run` opens the connection.

        Args:
            peer: the controller to connect to.
            heartbeat_interval_s: the heartbeat interval, in seconds.
            on_connection_attempt: called after each connection attempt, with the peer's name and
                whether the connection was refused.
        """
        self.peer = peer
        self._heartbeat_interval_s = heartbeat_interval_s
        self._timeout_s = _TIMEOUT_INTERVALS * heartbeat_interval_s
        self._on_connection_attempt = on_connection_attempt
        self._queue: deque[Message] = deque(maxlen=_QUEUE_LIMIT)
        self._send_requested = Signal()

    def send(self, message: Message) -> None:
        """Queue a message; if the queue is full, drop the oldest."""
        self._queue.append(message)
        self._send_requested.set()

    def flush(self) -> None:
        """Send the queued messages and a heartbeat without waiting for the next interval."""
        self._send_requested.set()

    async def run(self, heartbeat: HeartbeatSource) -> None:
        """Keep a connection open and send on it until cancelled, then close it.

        While the peer is unreachable, queued messages are dropped.  A peer may close a connection
        at once, so the next one is opened no sooner than a heartbeat interval after the last one.
        """
        while True:
            stream = await self._connect()
            if stream is None:
                self._queue.clear()
                await anyio.sleep(self._heartbeat_interval_s)
                continue
            opened_at = clock.now()
            self._on_connection_attempt(self.peer.node_name, False)
            with contextlib.suppress(*_CONNECTION_ERRORS):
                async with stream:
                    await self._send_until_closed(stream, heartbeat)
            log.info("connection to peer %s was lost", self.peer.node_name)
            await anyio.sleep(max(0.0, opened_at + self._heartbeat_interval_s - clock.now()))

    async def _connect(self) -> SocketStream | None:
        """Connect to the peer; on a failure call the callback and return None."""
        host, port = parse_address(self.peer.addr)
        try:
            with anyio.fail_after(self._timeout_s):
                return await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            self._on_connection_attempt(self.peer.node_name, refused)
            return None

    async def _send_until_closed(self, stream: SocketStream, heartbeat: HeartbeatSource) -> None:
        """Send until the peer closes the connection or sending fails.

        The peer never sends on this connection, but only a read detects that the peer closed it.
        Without the read, a controller resumed after a pause could write for minutes to closed
        connections.
        """
        async with anyio.create_task_group() as tasks:

            async def send() -> None:
                with contextlib.suppress(*_CONNECTION_ERRORS):
                    await self._send_all(stream, heartbeat)
                tasks.cancel_scope.cancel()

            tasks.start_soon(send)
            with contextlib.suppress(anyio.EndOfStream, *_CONNECTION_ERRORS):
                await stream.receive(1)
            tasks.cancel_scope.cancel()

    async def _send_all(self, stream: SocketStream, heartbeat: HeartbeatSource) -> None:
        while True:
            latest = heartbeat()
            messages = [*self._queue, *([latest] if latest else [])]
            self._queue.clear()
            data = b"".join(encode_frame(message) for message in messages)
            with anyio.fail_after(self._timeout_s):
                await stream.send(data)
            # Batches messages that are queued shortly after each other, with one heartbeat.
            await anyio.sleep(self._heartbeat_interval_s / _BATCHES_PER_INTERVAL)
            await self._send_requested.wait(self._heartbeat_interval_s)


async def serve(
    addr: str,
    max_connections: int,
    idle_timeout_s: float,
    receive: Callable[[Message], None],
) -> None:
    """Receive the peers' messages until cancelled, then close all connections.

    Args:
        addr: the address to listen on, as host:port.
        max_connections: the maximum number of connections; further ones are closed immediately.
        idle_timeout_s: the time without a message after which a connection is closed, in seconds.
        receive: called with each message, in the order of arrival on its connection.
    """
    host, port = parse_address(addr)
    connections = 0

    async def serve_connection(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        try:
            if connections <= max_connections:
                await _receive_all(stream, idle_timeout_s, receive)
        except (anyio.EndOfStream, *_CONNECTION_ERRORS):
            pass
        except (ValueError, FrameLengthError) as error:
            log.warning("closing a peer's connection: %s", error)
        finally:
            connections -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    async with listener:
        await listener.serve(serve_connection)


async def _receive_all(
    stream: SocketStream, idle_timeout_s: float, receive: Callable[[Message], None]
) -> None:
    buffer = bytearray()
    received_at = clock.now()
    while True:
        with anyio.fail_after(idle_timeout_s - (clock.now() - received_at)):
            buffer += await stream.receive(MAX_FRAME_BYTES)
        # Handles all complete messages before the next read, as a read costs more than a message.
        while (body := take_frame(buffer)) is not None:
            received_at = clock.now()
            try:
                message = decode_body(body)
            except msgspec.DecodeError as error:
                # Later versions may send messages that this version does not know.
                log.warning("ignoring a peer's message that cannot be decoded: %s", error)
                continue
            receive(message)
