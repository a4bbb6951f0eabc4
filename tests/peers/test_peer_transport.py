"""Connections between controllers over real local sockets."""

import socket
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec
import pytest

from sandladder.config import PeerAddress
from sandladder.transport import ChangeNotice, PeerConnection, PeerHeartbeat, peer_transport
from sandladder.transport.peer_messages import MAX_FRAME_BYTES, Message, encode_frame

HEARTBEAT_INTERVAL_S = 0.1
TIMEOUT_S = 5.0
HEARTBEAT = PeerHeartbeat("node-0", True, 3)


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


class Receiver:
    """A controller that records the messages that it receives."""

    def __init__(self, max_connections: int = 8, idle_timeout_s: float = TIMEOUT_S) -> None:
        self.addr = free_address()
        self.received: list[Message] = []
        self._limits = max_connections, idle_timeout_s

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peer_transport.serve, self.addr, *self._limits, self.received.append)
            await wait_until(lambda: is_listening(self.addr))
            task_status.started()

    async def connect(self) -> anyio.abc.SocketStream:
        host, port = self.addr.rsplit(":", 1)
        return await anyio.connect_tcp(host, int(port))


class Sender:
    """A connection to a controller that records the reported connection events."""

    def __init__(self, addr: str, heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S) -> None:
        self.connection_events: list[tuple[str, bool]] = []
        peer = PeerAddress(node_name="node-1", addr=addr)
        self.connection = PeerConnection(
            peer,
            heartbeat_interval_s,
            lambda node, refused: self.connection_events.append((node, refused)),
        )

    async def run(self) -> None:
        await self.connection.run(lambda: HEARTBEAT)


def is_listening(addr: str) -> bool:
    host, port = addr.rsplit(":", 1)
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)


async def wait_until_closed(stream: anyio.abc.SocketStream) -> None:
    """Wait until the peer closes a connection."""
    with (
        anyio.fail_after(TIMEOUT_S),
        pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)),
    ):
        await stream.receive()


def run(main: Callable[[anyio.abc.TaskGroup], Awaitable[None]]) -> None:
    """Run `main` with a task group that is cancelled when `main` returns."""

    async def with_tasks() -> None:
        async with anyio.create_task_group() as tasks:
            await main(tasks)
            tasks.cancel_scope.cancel()

    anyio.run(with_tasks)


def test_queued_messages_and_heartbeats_arrive_in_order() -> None:
    receiver = Receiver()
    sender = Sender(receiver.addr)

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        await tasks.start(receiver.serve)
        tasks.start_soon(sender.run)
        await wait_until(lambda: len(receiver.received) >= 3)
        for revision in range(3):
            sender.connection.send(ChangeNotice(revision))
        await wait_until(lambda: ChangeNotice(2) in receiver.received)

    run(main)
    notices = [message for message in receiver.received if isinstance(message, ChangeNotice)]
    assert notices == [ChangeNotice(revision) for revision in range(3)]
    assert HEARTBEAT in receiver.received
    assert sender.connection_events == [("node-1", False)]


def test_a_refused_connection_is_reported_and_drops_queued_messages() -> None:
    receiver = Receiver()
    sender = Sender(receiver.addr)

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        sender.connection.send(ChangeNotice(1))
        tasks.start_soon(sender.run)
        await wait_until(lambda: len(sender.connection_events) >= 2)
        await tasks.start(receiver.serve)
        await wait_until(lambda: HEARTBEAT in receiver.received)

    run(main)
    assert sender.connection_events[:2] == [("node-1", True), ("node-1", True)]
    assert sender.connection_events[-1] == ("node-1", False)
    assert ChangeNotice(1) not in receiver.received


def test_a_connection_closed_by_the_peer_is_reopened() -> None:
    receiver = Receiver(max_connections=0)  # each connection is closed at once
    sender = Sender(receiver.addr)

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        await tasks.start(receiver.serve)
        tasks.start_soon(sender.run)
        await wait_until(lambda: len(sender.connection_events) >= 3)

    run(main)
    assert set(sender.connection_events) == {("node-1", False)}
    assert receiver.received == []


def test_connections_that_are_closed_at_once_are_opened_once_in_a_heartbeat_interval() -> None:
    """Guards against a controller that does nothing but open connections."""
    receiver = Receiver(max_connections=0)
    sender = Sender(receiver.addr)

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        await tasks.start(receiver.serve)
        began = anyio.current_time()
        tasks.start_soon(sender.run)
        await anyio.sleep(10 * HEARTBEAT_INTERVAL_S)
        elapsed_s = anyio.current_time() - began
        assert 2 <= len(sender.connection_events) <= 1 + elapsed_s / HEARTBEAT_INTERVAL_S

    run(main)


def test_a_connection_that_was_open_for_long_is_reopened_without_delay() -> None:
    """The other side: the pause does not add to the loss of an established connection."""
    interval_s = 1.0
    opened: list[float] = []
    closed: list[float] = []

    async def close_later(stream: anyio.abc.SocketStream) -> None:
        opened.append(anyio.current_time())
        await anyio.sleep(interval_s)
        closed.append(anyio.current_time())
        await stream.aclose()

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        addr = free_address()
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=int(addr.rpartition(":")[2])
        )
        tasks.start_soon(listener.serve, close_later)
        tasks.start_soon(Sender(addr, interval_s).run)
        await wait_until(lambda: len(opened) == 2)

    run(main)
    assert opened[1] - closed[0] < interval_s


def test_a_message_of_unknown_kind_is_ignored_and_the_next_one_is_received() -> None:
    receiver = Receiver()
    unknown = msgspec.msgpack.encode(["greeting", 1])

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        await tasks.start(receiver.serve)
        async with await receiver.connect() as stream:
            frame = len(unknown).to_bytes(4, "big") + unknown
            await stream.send(frame + encode_frame(ChangeNotice(5)))
            await wait_until(lambda: bool(receiver.received))

    run(main)
    assert receiver.received == [ChangeNotice(5)]


def test_a_connection_with_a_frame_of_invalid_length_is_closed() -> None:
    receiver = Receiver()

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        await tasks.start(receiver.serve)
        async with await receiver.connect() as stream:
            await stream.send((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
            await wait_until_closed(stream)

    run(main)
    assert receiver.received == []


def test_an_idle_connection_is_closed() -> None:
    receiver = Receiver(idle_timeout_s=0.1)

    async def main(tasks: anyio.abc.TaskGroup) -> None:
        await tasks.start(receiver.serve)
        async with await receiver.connect() as stream:
            await wait_until_closed(stream)

    run(main)
