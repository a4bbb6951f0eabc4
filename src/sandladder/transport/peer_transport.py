"""Connections between controllers over TCP.

Each controller connects to every other one and only sends on that connection; what others send
arrives on the connections that they made.  Bytes in and out, no decisions.
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
    FrameTooLargeError,
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

# Messages that wait for a connection at the most; the oldest are dropped.
_QUEUE_LIMIT = 256
# Connecting and sending are given up after so many heartbeat intervals.
_TIMEOUT_INTERVALS = 4
# What is sent within this part of a heartbeat interval goes out together.
_BATCHES_PER_INTERVAL = 12

# How a connection may end that was sent on.
_BROKEN = (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError)

# Builds the heartbeat to send now; None: none is to be sent.
HeartbeatSource = Callable[[], PeerHeartbeat | None]


class PeerConnection:
    """The connection to one peer: a bounded queue of messages, with heartbeats in between."""

    def __init__(
        self,
        peer: PeerAddress,
        heartbeat_interval_s: float,
        on_connection_change: Callable[[str, bool], None],
    ) -> None:
        """Prepare the connection; `run` makes it.

        Args:
            peer: whom to connect to.
            heartbeat_interval_s: between two heartbeats at the most, in seconds.
            on_connection_change: called with the peer's name and whether the connection was
                refused, whenever one was made or could not be made.
        """
        self.peer = peer
        self._heartbeat_interval_s = heartbeat_interval_s
        self._timeout_s = _TIMEOUT_INTERVALS * heartbeat_interval_s
        self._on_connection_change = on_connection_change
        self._queue: deque[Message] = deque(maxlen=_QUEUE_LIMIT)
        self._work = Signal()

    def send(self, message: Message) -> None:
        """Queue a message; when the queue is full the oldest is dropped."""
        self._queue.append(message)
        self._work.set()

    def flush(self) -> None:
        """Send what is queued, and a heartbeat, now: there is something new in it."""
        self._work.set()

    async def run(self, heartbeat: HeartbeatSource) -> None:
        """Keep a connection and send on it until cancelled; the connection is closed then.

        While the peer cannot be reached, what is queued is dropped.
        """
        while True:
            stream = await self._connect()
            if stream is None:
                self._queue.clear()
                await anyio.sleep(self._heartbeat_interval_s)
                continue
            self._on_connection_change(self.peer.node_name, False)
            with contextlib.suppress(*_BROKEN):
                async with stream:
                    await self._send_until_closed(stream, heartbeat)
            log.info("the connection to %s broke", self.peer.node_name)

    async def _connect(self) -> SocketStream | None:
        """Connect; None if that failed, which is announced."""
        host, port = parse_address(self.peer.addr)
        try:
            with anyio.fail_after(self._timeout_s):
                return await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            self._on_connection_change(self.peer.node_name, refused)
            return None

    async def _send_until_closed(self, stream: SocketStream, heartbeat: HeartbeatSource) -> None:
        """Send until the peer closes the connection or sending fails.

        The peer never sends here, but the connection's end is only seen by reading.  Seen in a
        measured day: a controller that had been paused wrote for minutes to peers that had closed
        the connection meanwhile.
        """
        async with anyio.create_task_group() as tasks:

            async def send() -> None:
                with contextlib.suppress(*_BROKEN):
                    await self._send_all(stream, heartbeat)
                tasks.cancel_scope.cancel()

            tasks.start_soon(send)
            with contextlib.suppress(anyio.EndOfStream, *_BROKEN):
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
            # What is queued within a moment goes together, with one heartbeat.
            await anyio.sleep(self._heartbeat_interval_s / _BATCHES_PER_INTERVAL)
            await self._work.wait(self._heartbeat_interval_s)


async def serve(
    addr: str,
    max_connections: int,
    idle_timeout_s: float,
    receive: Callable[[Message], None],
) -> None:
    """Receive the peers' messages until cancelled; all connections are closed then.

    Args:
        addr: host and port to listen at.
        max_connections: those past this number are closed at once.
        idle_timeout_s: a connection without a message for so many seconds is closed.
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
        except (anyio.EndOfStream, *_BROKEN):
            pass
        except (ValueError, FrameTooLargeError) as error:
            log.warning("closing the connection of a peer: %s", error)
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
        # What came together is taken in without waiting in between: each wait costs more than a
        # message.
        while (body := take_frame(buffer)) is not None:
            received_at = clock.now()
            try:
                message = decode_body(body)
            except msgspec.DecodeError as error:
                # A later version may send messages that this one does not know; others count.
                log.warning("ignoring a peer's message that cannot be read: %s", error)
                continue
            receive(message)
