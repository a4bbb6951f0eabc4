"""What passes between controllers: msgspec messages in length-prefixed frames over TCP.

Everything said here is a hint that makes things quick.  What must not be missed goes
through the state service.
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
from sandladder.config import Peer, split_addr
from sandladder.model import SCHEMA_V1, ClockReading, MachineStatus

log = logging.getLogger(__name__)

_FRAME_LIMIT = 256 * 1024
_QUEUE_LIMIT = 256


class PeerHeartbeat(msgspec.Struct, tag="beat", array_like=True):
    """A sign of life; `store_reachable` says that the sender reaches the state service.

    `demand` is how many changes it has waiting for the store, `form` the newest form of
    records that it understands.  The version before sends three fields and ignores more.  From
    `term` on they are what `membership` goes by: the term with which the sender's process
    entered and its term now, how late its timers are, how many machines report to it, whether it
    is about to go, and by peer for how long it has not heard it and whether that refuses it.

    From `process` on they are what `fence` goes by: the process, a moment on its steady clock, the
    latest such moment that it heard of each peer, the cancelled jobs that it knows, which are
    committed, and whether these are all.
    """

    node: str
    store_reachable: bool
    demand: int = 0
    schema_version: int = SCHEMA_V1
    term: int = 0
    token: int = 0
    late_s: float = 0.0
    machines: int | None = None
    leaving: bool = False
    heard: dict[str, tuple[float, bool]] = {}
    process: int = 0
    stamp: float = 0.0
    echoes: dict[str, ClockReading] = {}
    cancelled: list[str] = []
    whole: bool = False


class ChangeNotice(msgspec.Struct, tag="poke", array_like=True):
    """Something that concerns the receiver was committed: read the changes now."""

    revision: int


class EndedTask(msgspec.Struct, array_like=True):
    """An end that a worker's report proves."""

    job: str
    task: int
    machine: str
    zone: str
    session: int
    attempt: int
    outcome: str


class MachineUpdate(msgspec.Struct, tag="sighting", array_like=True):
    """A machine came, changed or is about to go, as its controller hears it."""

    node: str
    machine: str
    seen: MachineStatus


class EndedTasks(msgspec.Struct, tag="ends", array_like=True):
    """Proved ends: room for all, and for whoever places the jobs' team to commit."""

    ends: list[EndedTask]


class ForwardedRequest(msgspec.Struct, tag="ask", array_like=True):
    """A user's request that the asker cannot serve, for one who can."""

    node: str
    number: int
    method: str
    path: str
    body: bytes


class ForwardedResponse(msgspec.Struct, tag="answer", array_like=True):
    """What the receiver's user is to be told."""

    number: int
    status: int
    body: bytes
    retry_after: int | None


# How a connection may end that we sent on.
_BROKEN = (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError)

Message = (
    PeerHeartbeat | ChangeNotice | MachineUpdate | EndedTasks | ForwardedRequest | ForwardedResponse
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class PeerConnection:
    """Our side of the way to one peer: a bounded queue that one routine sends."""

    def __init__(
        self, peer: Peer, heartbeat_interval_s: float, told: Callable[[str, bool], None]
    ) -> None:
        """`told` hears that the link broke or was made, and whether connections are refused."""
        self.peer = peer
        self._beat_s = heartbeat_interval_s
        self._told = told
        self._queue: deque[Message] = deque(maxlen=_QUEUE_LIMIT)
        self._work = Signal()
        self.heard_at = float("-inf")
        self.demand = 0
        self.schema_version = SCHEMA_V1

    def send(self, message: Message) -> None:
        """Queue a hint; when the queue is full the oldest is dropped."""
        self._queue.append(message)
        self._work.set()

    def flush(self) -> None:
        """Send a beat now: there is something new in it."""
        self._work.set()

    async def run(self, heartbeat: Callable[[], PeerHeartbeat | None]) -> None:
        """Keep a connection and send what is queued, with beats in between."""
        host, port = split_addr(self.peer.addr)
        while True:
            try:
                with anyio.fail_after(4 * self._beat_s):
                    stream = await anyio.connect_tcp(host, port)
            except (OSError, TimeoutError) as error:
                refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
                self._told(self.peer.node_name, refused)
                self._queue.clear()
                await anyio.sleep(self._beat_s)
                continue
            self._told(self.peer.node_name, False)
            try:
                async with stream:
                    await self._until_broken(stream, heartbeat)
            except _BROKEN:
                pass
            log.info("the link to %s broke", self.peer.node_name)

    async def _until_broken(
        self, stream: SocketStream, heartbeat: Callable[[], PeerHeartbeat | None]
    ) -> None:
        """Send until the peer closes.

        It never answers here, but its end is only seen by reading.  Seen in a measured day: a
        controller that had stood still wrote for minutes to peers that had closed meanwhile.
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

    async def _send_all(
        self, stream: SocketStream, heartbeat: Callable[[], PeerHeartbeat | None]
    ) -> None:
        while True:
            sign = heartbeat()
            messages = [*self._queue, *([sign] if sign else [])]
            self._queue.clear()
            data = b"".join(_frame(message) for message in messages)
            with anyio.fail_after(4 * self._beat_s):
                await stream.send(data)
            # What is said within a moment goes together, with one sign of life.
            await anyio.sleep(self._beat_s / 12)
            await self._work.wait(self._beat_s)


def _frame(message: Message) -> bytes:
    body = _encoder.encode(message)
    return len(body).to_bytes(4, "big") + body


async def serve(addr: str, most: int, silent_s: float, receive: Callable[[Message], None]) -> None:
    """Take in the peers' messages until cancelled."""
    host, port = split_addr(addr)
    count = 0

    async def connection(stream: SocketStream) -> None:
        nonlocal count
        count += 1
        try:
            if count <= most:
                await _receive_all(stream, silent_s, receive)
        except (
            OSError,
            TimeoutError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass
        except ValueError as error:
            log.warning("a peer sent what cannot be read: %s", error)
        finally:
            count -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    async with listener:
        await listener.serve(connection)


async def _receive_all(
    stream: SocketStream, silent_s: float, receive: Callable[[Message], None]
) -> None:
    buffer = bytearray()
    heard = clock.now()
    while True:
        with anyio.fail_after(silent_s - (clock.now() - heard)):
            buffer += await stream.receive(_FRAME_LIMIT)
        # What came together is taken in at one go: each wait costs more than a message.
        while (body := _cut_frame(buffer)) is not None:
            heard = clock.now()
            try:
                message = _decoder.decode(body)
            except msgspec.DecodeError as error:
                # A later version may say things that we do not know; its other words count.
                log.warning("a peer sent what cannot be read: %s", error)
                continue
            receive(message)


def _cut_frame(buffer: bytearray) -> bytes | None:
    """Take the first whole frame's body out of what was received, if there is one."""
    if len(buffer) < 4:
        return None
    size = int.from_bytes(buffer[:4], "big")
    if not 0 < size <= _FRAME_LIMIT:
        raise ValueError(f"a frame of {size} bytes")
    if len(buffer) < 4 + size:
        return None
    body = bytes(buffer[4 : 4 + size])
    del buffer[: 4 + size]
    return body
