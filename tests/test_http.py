"""Tests of the HTTP server and client on loopback, with valid and misbehaving peers."""

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


async def handle(request: Request) -> Response:
    """Answer as the path requests."""
    if request.path == "/busy":
        return Response(503, b"", 7)
    if request.path == "/never":
        await anyio.sleep_forever()
    if request.path == "/broken":
        raise ValueError("handler failure")
    return Response(200, request.method.encode() + b" " + request.body)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@asynccontextmanager
async def running_server() -> AsyncIterator[int]:
    """Run a server, wait until it responds, and yield its port."""
    port = free_port()
    server = HttpServer(
        handle, body_limit=BODY_LIMIT, idle_s=20.0, read_s=READ_S, max_connections=MAX_CONNECTIONS
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
    """Run a test against a server and check that it still serves other clients afterwards."""

    async def main() -> None:
        async with running_server() as port:
            await test(port)
            client = HttpClient("127.0.0.1", port)
            for _ in range(3):
                response = await client.request("POST", "/", b"hello", timeout=5.0)
                assert response == Response(200, b"POST hello")
            await client.aclose()

    anyio.run(main)


async def exchange_bytes(port: int, data: bytes) -> bytes:
    """Send bytes and return everything received until the server closes the connection."""
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
        pytest.param(b"nonsense\r\n\r\n", b" 400 ", id="not HTTP"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n",
            b" 413 ",
            id="content length over the limit",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNK * 2,
            b" 413 ",
            id="chunked body over the limit",
        ),
    ],
)
def test_an_invalid_request_is_rejected_without_affecting_other_clients(
    data: bytes, status: bytes
) -> None:
    async def test(port: int) -> None:
        assert status in await exchange_bytes(port, data)

    run_with_server(test)


def test_a_connection_that_stalls_within_a_request_is_closed() -> None:
    async def test(port: int) -> None:
        started_at = time.monotonic()
        data = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Le"
        assert await exchange_bytes(port, data) == b""
        assert time.monotonic() - started_at >= 0.9 * READ_S

    run_with_server(test)


def test_connections_over_the_limit_are_closed_immediately() -> None:
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
        # The server accepts connections again after it has noticed that these are closed.
        with anyio.fail_after(5.0):
            while b" 200 " not in await exchange_bytes(port, LAST_GET):
                await anyio.sleep(0.01)

    run_with_server(test)


def test_a_failing_handler_closes_only_its_own_connection() -> None:
    async def test(port: int) -> None:
        client = HttpClient("127.0.0.1", port)
        with pytest.raises(HttpError):
            await client.request("GET", "/broken", timeout=5.0)

    run_with_server(test)


def test_the_client_reads_retry_after() -> None:
    async def test(port: int) -> None:
        client = HttpClient("127.0.0.1", port)
        response = await client.request("GET", "/busy", timeout=5.0)
        assert response == Response(503, b"", 7)
        await client.aclose()

    run_with_server(test)


def test_a_response_timeout_raises_an_error() -> None:
    async def test(port: int) -> None:
        client = HttpClient("127.0.0.1", port)
        with pytest.raises(HttpError, match=r"no answer within 0\.1 s"):
            await client.request("GET", "/never", timeout=0.1)

    run_with_server(test)


def test_a_refused_connection_raises_an_error() -> None:
    async def main() -> None:
        client = HttpClient("127.0.0.1", free_port())
        with pytest.raises(HttpError, match="Error"):
            await client.request("GET", "/", timeout=5.0)

    anyio.run(main)
