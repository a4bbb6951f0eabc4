"""An HTTP/1.1 server based on anyio and h11, with limits and timeouts."""

import logging
from http import HTTPStatus

import anyio
import h11
from anyio.abc import SocketStream

from sandladder import clock
from sandladder.errors import SandladderError
from sandladder.transport.http import CONTENT_TYPE, READ_SIZE, Handler, Request, Response

log = logging.getLogger(__name__)

_HEADER_LIMIT = 16 * 1024  # bytes
_BACKLOG_LIMIT = 512


class _BodyTooLargeError(SandladderError):
    """A request body exceeds the limit."""


class HttpServer:
    """Serves one address, with a task for each connection."""

    def __init__(
        self,
        handler: Handler,
        *,
        body_limit: int,
        idle_s: float,
        read_s: float,
        max_connections: int,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            handler: returns the response to each request; called concurrently.
            body_limit: the maximum size of a request body in bytes; a larger one is rejected (413).
            idle_s: the timeout of a connection that waits for its next request, in seconds.
            read_s: the maximum time from the first data of a request to its end, in seconds.
            max_connections: the maximum number of connections; further ones are closed immediately.
        """
        self._handler = handler
        self._body_limit = body_limit
        self._idle_s = idle_s
        self._read_s = read_s
        self._max_connections = max_connections
        self._connections = 0

    async def serve(self, host: str, port: int) -> None:
        """Accept connections until cancelled, then close all of them.

        Raises:
            OSError: the server cannot listen on the address.
        """
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            backlog=min(self._max_connections, _BACKLOG_LIMIT),
            reuse_port=False,
        )
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        # Leaves sockets for the process's own connections to the key-value store and to agents.
        if self._connections >= self._max_connections:
            await anyio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            await self._serve_requests(stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError):
            pass
        except Exception:
            # A failure of one connection must not affect the others.
            log.exception("closing an HTTP connection after an unexpected error")
        finally:
            self._connections -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: SocketStream) -> None:
        """Serve requests sequentially until either side closes the connection."""
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=_HEADER_LIMIT)
        while True:
            try:
                request = await self._read_request(stream, conn)
            except (h11.RemoteProtocolError, _BodyTooLargeError) as error:
                await self._send_error(stream, conn, error)
                return
            if request is None:
                return
            response = await self._handler(request)
            await stream.send(encode_response(conn, response))
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_request(self, stream: SocketStream, conn: h11.Connection) -> Request | None:
        """Read the next request; return None if the connection ends or stalls first.

        Raises:
            _BodyTooLargeError: the body exceeds the limit.
            h11.RemoteProtocolError: the received data is not valid HTTP/1.1.
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
                # Limits the time from the request's first data to its end, against stalled peers.
                deadline = min(deadline, clock.now() + self._read_s)
            elif isinstance(event, h11.Request):
                head = event
                self._check_content_length(head)
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

    def _check_content_length(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._body_limit:
                raise _BodyTooLargeError

    @staticmethod
    async def _receive(stream: SocketStream, conn: h11.Connection, deadline: float) -> bytes | None:
        """Receive data; return b"" at the end of the stream, None on a timeout."""
        if conn.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE.value, headers=[]
            )
            await stream.send(conn.send(continue_response) or b"")
        with anyio.move_on_after(max(deadline - clock.now(), 0)):
            try:
                return await stream.receive(READ_SIZE)
            except anyio.EndOfStream:
                return b""
        return None

    async def _send_error(
        self, stream: SocketStream, conn: h11.Connection, error: Exception
    ) -> None:
        """Send the error response to an invalid or too large request, if that is still possible."""
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        too_large = isinstance(error, _BodyTooLargeError)
        if too_large:
            log.info("rejected a request body of more than %d bytes", self._body_limit)
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE if too_large else HTTPStatus.BAD_REQUEST
        with anyio.move_on_after(self._read_s):
            await stream.send(encode_response(conn, Response(status.value), close=True))


def encode_response(conn: h11.Connection, response: Response, close: bool = False) -> bytes:
    """Return the encoded response.

    Args:
        conn: the server's connection state, which is advanced.
        response: the response to encode.
        close: whether to announce that the connection is closed after the response.
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
