"""The server on loopback, against well and badly behaved peers."""

import socket

import anyio

from sandladder.transport import Client, Request, Response, Server


async def echo(request: Request) -> Response:
    if request.path == "/busy":
        return Response(503, b"", 7)
    return Response(200, request.method.encode() + b" " + request.body)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_hostile_peers_are_refused_and_cost_no_one_else() -> None:
    async def main() -> None:
        port = free_port()
        server = Server(echo, body_limit=1000, idle_s=20.0, read_s=0.2, most=20)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, "127.0.0.1", port)
            client = Client("127.0.0.1", port)
            while True:
                try:
                    answer = await client.request("GET", "/", timeout=5.0)
                    break
                except Exception:
                    await anyio.sleep(0.01)
            assert answer == Response(200, b"GET ")

            async def raw(data: bytes) -> bytes:
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(data)
                    found = b""
                    try:
                        while True:
                            found += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return found

            assert b" 400 " in await raw(b"nonsense\r\n\r\n")
            assert b" 413 " in await raw(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n"
            )
            chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
            assert b" 413 " in await raw(
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 2
            )
            # A peer that stalls in the middle of a request is closed.
            assert await raw(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Le") == b""
            for _ in range(3):
                answer = await client.request("POST", "/", b"hello", timeout=5.0)
                assert answer == Response(200, b"POST hello")
            assert (await client.request("GET", "/busy", timeout=5.0)).retry_after == 7
            await client.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(main)
