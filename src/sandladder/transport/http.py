"""HTTP/1.1 over anyio streams: a server and a client with limits and timeouts, parsed by h11."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol

import anyio
import h11
from anyio.abc import SocketStream

from sandladder import clock

log = logging.getLogger(__name__)

CONTENT_TYPE = (b"content-type", b"application/cbor")
_READ = 64 * 1024


class Request(NamedTuple):
    """One request as handlers see it."""

    method: str
    path: str
    body: bytes


class Response(NamedTuple):
    """One answer; `retry_after` is in whole seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


class HttpError(Exception):
    """No usable answer came; the request may or may not have been carried out."""


Handler = Callable[[Request], Awaitable[Response]]


class Server:
    """Serves one address; each connection is a routine of its own."""

    def __init__(
        self, handler: Handler, *, body_limit: int, idle_s: float, read_s: float, most: int
    ) -> None:
        self._handler = handler
        self._body_limit = body_limit
        self._idle_s = idle_s
        self._read_s = read_s
        self._most = most
        self._open = 0

    async def serve(self, host: str, port: int) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=min(self._most, 512), reuse_port=False
        )
        async with listener:
            await listener.serve(self._connection)

    async def _connection(self, stream: SocketStream) -> None:
        # Past our own bound the connection is closed at once, so that the process keeps
        # sockets for its dealings with the state service and the workers.
        if self._open >= self._most:
            await anyio.aclose_forcefully(stream)
            return
        self._open += 1
        try:
            await self._converse(stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError):
            pass
        except Exception:
            # A connection's failure is its own: it must not end the others.
            log.exception("a connection ended with an unexpected failure")
        finally:
            self._open -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _converse(self, stream: SocketStream) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        while True:
            try:
                request = await self._read_request(stream, conn)
            except (h11.RemoteProtocolError, _TooLargeError) as error:
                await self._refuse(stream, conn, error)
                return
            if request is None:
                return
            answer = await self._handler(request)
            await stream.send(_encode_answer(conn, answer))
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_request(self, stream: SocketStream, conn: h11.Connection) -> Request | None:
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        deadline = clock.now() + self._idle_s
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    await stream.send(
                        conn.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                    )
                left = deadline - clock.now()
                data = None
                with anyio.move_on_after(max(left, 0)):
                    try:
                        data = await stream.receive(_READ)
                    except anyio.EndOfStream:
                        data = b""
                if data is None:
                    return None
                conn.receive_data(data)
                # A peer that has begun a request must finish it soon: a stalled one
                # is closed and costs no one else.
                deadline = min(deadline, clock.now() + self._read_s)
            elif isinstance(event, h11.Request):
                head = event
                for name, value in event.headers:
                    if name == b"content-length" and int(value) > self._body_limit:
                        raise _TooLargeError
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._body_limit:
                    raise _TooLargeError
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return Request(
                    head.method.decode("ascii"), head.target.decode("ascii"), b"".join(chunks)
                )
            else:
                return None

    async def _refuse(self, stream: SocketStream, conn: h11.Connection, error: Exception) -> None:
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = 413 if isinstance(error, _TooLargeError) else 400
        with anyio.move_on_after(self._read_s):
            await stream.send(_encode_answer(conn, Response(status), close=True))


class _TooLargeError(Exception):
    """A request body over the limit."""


def _encode_answer(conn: h11.Connection, answer: Response, close: bool = False) -> bytes:
    headers = [CONTENT_TYPE, (b"content-length", str(len(answer.body)).encode())]
    if answer.retry_after is not None:
        headers.append((b"retry-after", str(answer.retry_after).encode()))
    if close:
        headers.append((b"connection", b"close"))
    parts = [
        conn.send(h11.Response(status_code=answer.status, headers=headers)),
        conn.send(h11.Data(data=answer.body)) if answer.body else b"",
        conn.send(h11.EndOfMessage()),
    ]
    return b"".join(part for part in parts if part)


class Requester(Protocol):
    """What the rest of the program needs of a client."""

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response: ...

    async def aclose(self) -> None: ...


class Connect(Protocol):
    """Makes a client for an address; tests put their own network here."""

    def __call__(self, host: str, port: int, *, keep: int) -> Requester: ...


class Client:
    """Talks to one address over a few kept connections."""

    def __init__(self, host: str, port: int, *, keep: int = 4) -> None:
        self._host = host
        self._port = port
        self._keep = keep
        self._idle: list[tuple[SocketStream, h11.Connection]] = []
        self._host_header = f"{host}:{port}".encode()

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response:
        """Send one request; raises HttpError when no whole answer comes in time."""
        try:
            with anyio.fail_after(timeout):
                return await self._exchange(method, target, body)
        except TimeoutError:
            raise HttpError(f"no answer within {timeout:g} s") from None
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.RemoteProtocolError,
        ) as error:
            raise HttpError(f"{type(error).__name__}: {error}") from None

    async def _exchange(self, method: str, target: str, body: bytes) -> Response:
        stream, conn = await self._connect()
        reusable = False
        try:
            headers = [(b"host", self._host_header)]
            if body or method == "POST":
                headers += [CONTENT_TYPE, (b"content-length", str(len(body)).encode())]
            data = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
            if body:
                data += conn.send(h11.Data(data=body)) or b""
            data += conn.send(h11.EndOfMessage()) or b""
            await stream.send(data)
            answer = await self._read(stream, conn)
            reusable = conn.our_state is h11.DONE and conn.their_state is h11.DONE
            return answer
        finally:
            if reusable and len(self._idle) < self._keep:
                conn.start_next_cycle()
                self._idle.append((stream, conn))
            else:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def _connect(self) -> tuple[SocketStream, h11.Connection]:
        while self._idle:
            stream, conn = self._idle.pop()
            # A peer that closed the kept connection meanwhile would make this request
            # fail with its outcome unknown; a readable idle socket means just that.
            if not _closed(stream):
                return stream, conn
            await anyio.aclose_forcefully(stream)
        return await anyio.connect_tcp(self._host, self._port), h11.Connection(h11.CLIENT)

    async def _read(self, stream: SocketStream, conn: h11.Connection) -> Response:
        status = 0
        retry_after = None
        chunks: list[bytes] = []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                try:
                    conn.receive_data(await stream.receive(_READ))
                except anyio.EndOfStream:
                    conn.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
                retry_after = _seconds(event.headers)
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(chunks), retry_after)
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def aclose(self) -> None:
        """Close the kept connections."""
        idle, self._idle = self._idle, []
        for stream, _ in idle:
            await anyio.aclose_forcefully(stream)


def _closed(stream: SocketStream) -> bool:
    """Whether the peer has ended this idle connection, as far as is known here."""
    transport = getattr(stream, "_transport", None)
    if transport is not None and transport.is_closing():
        return True
    protocol = getattr(stream, "_protocol", None)
    return bool(protocol is not None and getattr(protocol, "is_at_eof", False))


def _seconds(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    for name, value in headers:
        if name == b"retry-after" and value.isdigit():
            return int(value)
    return None
