"""The HTTP/1.1 server, over anyio streams, parsed by h11, with limits and timeouts."""

import logging
from http import HTTPStatus

import anyio
import h11
from anyio.abc import SocketStream

from sandladder import clock
from sandladder.errors import SandladderError
from sandladder.transport.http import CONTENT_TYPE, READ_SIZE, Handler, Request, Response

log = logging.getLogger(__name__)

_HEADER_LIMIT = 16 * 1024
_BACKLOG_LIMIT = 512


class _BodyTooLargeError(SandladderError):
    """A request body over the limit."""


class HttpServer:
    """Serves one address; each connection is a task of its own."""

    def __init__(
        self, handler: Handler, *, body_limit: int, idle_s: float, read_s: float, most: int
    ) -> None:
        """Make a server that does not listen yet.

        Args:
            handler: answers each request; connections are served concurrently.
            body_limit: bytes of a request body; a larger one gets 413.
            idle_s: seconds for which a connection may wait for its next request.
            read_s: seconds for which a request that was begun may stall.
            most: connections at a time; further ones are closed at once.
        """
        self._handler = handler
        self._body_limit = body_limit
        self._idle_s = idle_s
        self._read_s = read_s
        self._most = most
        self._open = 0

    async def serve(self, host: str, port: int) -> None:
        """Accept connections until cancelled, which closes all of them.

        Raises:
            OSError: the address cannot be listened on.
        """
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            backlog=min(self._most, _BACKLOG_LIMIT),
            reuse_port=False,
        )
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        # Past our own bound the connection is closed at once, so that the process keeps
        # sockets for its own connections to the key-value store and to agents.
        if self._open >= self._most:
            await anyio.aclose_forcefully(stream)
            return
        self._open += 1
        try:
            await self._serve_requests(stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError):
            pass
        except Exception:
            # A connection's failure is its own: it must not end the others.
            log.exception("a connection ended with an unexpected failure")
        finally:
            self._open -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: SocketStream) -> None:
        """Serve one request after the other until either side closes the connection."""
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=_HEADER_LIMIT)
        while True:
            try:
                request = await self._read_request(stream, conn)
            except (h11.RemoteProtocolError, _BodyTooLargeError) as error:
                await self._refuse(stream, conn, error)
                return
            if request is None:
                return
            response = await self._handler(request)
            await stream.send(encode_response(conn, response))
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_request(self, stream: SocketStream, conn: h11.Connection) -> Request | None:
        """The next request; None if the connection ends or stalls before it is whole.

        Raises:
            _BodyTooLargeError: its body is over the limit.
            h11.RemoteProtocolError: it is no HTTP/1.1.
        """
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        deadline = clock.now() + self._idle_s
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(stream, conn, deadline)
                if data is None:
                    return None
                conn.receive_data(data)
                # A peer that has begun a request must finish it soon: a stalled one
                # is closed and costs no one else.
                deadline = min(deadline, clock.now() + self._read_s)
            elif isinstance(event, h11.Request):
                head = event
                self._check_announced_size(head)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._body_limit:
                    raise _BodyTooLargeError
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return Request(
                    head.method.decode("ascii"), head.target.decode("ascii"), b"".join(chunks)
                )
            else:
                return None

    def _check_announced_size(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._body_limit:
                raise _BodyTooLargeError

    @staticmethod
    async def _receive(stream: SocketStream, conn: h11.Connection, deadline: float) -> bytes | None:
        """What comes next: empty at the end of the stream, None when nothing came in time."""
        if conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE.value, headers=[])
            await stream.send(conn.send(go_on) or b"")
        with anyio.move_on_after(max(deadline - clock.now(), 0)):
            try:
                return await stream.receive(READ_SIZE)
            except anyio.EndOfStream:
                return b""
        return None

    async def _refuse(self, stream: SocketStream, conn: h11.Connection, error: Exception) -> None:
        """Answer what is no request, or too large a one, as far as that can still be answered."""
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        too_large = isinstance(error, _BodyTooLargeError)
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE if too_large else HTTPStatus.BAD_REQUEST
        with anyio.move_on_after(self._read_s):
            await stream.send(encode_response(conn, Response(status.value), close=True))


def encode_response(conn: h11.Connection, response: Response, close: bool = False) -> bytes:
    """The bytes of a response.

    Args:
        conn: the server's side of the connection, which this takes a step further.
        response: what to send.
        close: whether to announce that the connection is closed after it.
    """
    headers = [CONTENT_TYPE, (b"content-length", str(len(response.body)).encode())]
    if response.retry_after is not None:
        headers.append((b"retry-after", str(response.retry_after).encode()))
    if close:
        headers.append((b"connection", b"close"))
    parts = [
        conn.send(h11.Response(status_code=response.status, headers=headers)),
        conn.send(h11.Data(data=response.body)) if response.body else b"",
        conn.send(h11.EndOfMessage()),
    ]
    return b"".join(part for part in parts if part)
