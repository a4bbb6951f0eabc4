"""The HTTP server and client on loopback, against well and badly behaved peers."""

import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest

from sandladder.transport import HttpClient, HttpError, HttpServer, Request, Response

BODY_LIMIT = 1000
READ_S = 0.2
MAX_CONNECTIONS = 20
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_GET = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
CHUNK = b"3e8\r\n" + b"x" * BODY_LIMIT + b"\r\n"


async def echo(request: Request) -> Response:
    """The handler of these tests."""
    if request.path == "/busy":
        return Response(503, b"", 7)
    if request.path == "/never":
        await anyio.sleep_forever()
    if request.path == "/broken":
        raise ValueError("a fault of the handler")
    return Response(200, request.method.encode() + b" " + request.body)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@asynccontextmanager
async def serving() -> AsyncIterator[int]:
    """A server that answers; its port."""
    port = free_port()
    server = HttpServer(
        echo, body_limit=BODY_LIMIT, idle_s=20.0, read_s=READ_S, max_connections=MAX_CONNECTIONS
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, "127.0.0.1", port)
        client = HttpClient("127.0.0.1", port)
        with anyio.fail_after(5.0):
            while True:
                try:
                    assert await client.request("GET", "/", timeout=5.0) == Response(200, b"GET ")
                    break
                except HttpError:
                    await anyio.sleep(0.01)
        await client.aclose()
        yield port
        tasks.cancel_scope.cancel()


def run_with_server(test: Callable[[int], Awaitable[None]]) -> None:
    """Run a test against a server; whatever the test did, others must be served afterwards."""

    async def main() -> None:
        async with serving() as port:
            await test(port)
            client = HttpClient("127.0.0.1", port)
            for _ in range(3):
                response = await client.request("POST", "/", b"hello", timeout=5.0)
                assert response == Response(200, b"POST hello")
            await client.aclose()

    anyio.run(main)


async def exchange_bytes(port: int, data: bytes) -> bytes:
    """Send bytes and return all that comes until the server closes the connection."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        received = b""
        try:
            await stream.send(data)
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", b" 400 ", id="no HTTP"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n",
            b" 413 ",
            id="a body announced over the limit",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNK * 2,
            b" 413 ",
            id="a body that grows over the limit",
        ),
    ],
)
def test_a_bad_request_is_refused_and_costs_no_one_else(data: bytes, status: bytes) -> None:
    async def test(port: int) -> None:
        assert status in await exchange_bytes(port, data)

    run_with_server(test)


def test_a_peer_that_stalls_within_a_request_is_closed() -> None:
    async def test(port: int) -> None:
        began = time.monotonic()
        data = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Le"
        assert await exchange_bytes(port, data) == b""
        assert time.monotonic() - began >= 0.9 * READ_S

    run_with_server(test)


def test_connections_over_the_bound_are_closed_at_once() -> None:
    async def test(port: int) -> None:
        async with AsyncExitStack() as connections:
            for _ in range(MAX_CONNECTIONS):
                stream = await connections.enter_async_context(
                    await anyio.connect_tcp("127.0.0.1", port)
                )
                await stream.send(GET)
                assert b" 200 " in await stream.receive()
            with anyio.fail_after(5.0):
                assert await exchange_bytes(port, GET) == b""
        # Once the server has noticed that these have ended, others are served.
        with anyio.fail_after(5.0):
            while b" 200 " not in await exchange_bytes(port, LAST_GET):
                await anyio.sleep(0.01)

    run_with_server(test)


def test_a_handler_that_fails_ends_its_own_connection_alone() -> None:
    async def test(port: int) -> None:
        client = HttpClient("127.0.0.1", port)
        with pytest.raises(HttpError):
            await client.request("GET", "/broken", timeout=5.0)

    run_with_server(test)


def test_retry_after_reaches_the_client() -> None:
    async def test(port: int) -> None:
        client = HttpClient("127.0.0.1", port)
        response = await client.request("GET", "/busy", timeout=5.0)
        assert response == Response(503, b"", 7)
        await client.aclose()

    run_with_server(test)


def test_a_request_without_a_response_in_time_is_an_error() -> None:
    async def test(port: int) -> None:
        client = HttpClient("127.0.0.1", port)
        with pytest.raises(HttpError, match=r"no answer within 0\.1 s"):
            await client.request("GET", "/never", timeout=0.1)

    run_with_server(test)


def test_a_refused_connection_is_an_error() -> None:
    async def main() -> None:
        client = HttpClient("127.0.0.1", free_port())
        with pytest.raises(HttpError, match="Error"):
            await client.request("GET", "/", timeout=5.0)

    anyio.run(main)
