"""An HTTP/1.1 client based on anyio and h11, with timeouts."""

from collections.abc import Iterable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

from sandladder.transport.http import CONTENT_TYPE, READ_SIZE, HttpError, Response


class _Connection(NamedTuple):
    stream: SocketStream
    state: h11.Connection


class HttpClient:
    """Sends requests to one address over a pool of persistent connections.

    Requests may be concurrent; each has exclusive use of a connection until it completes.
    """

    def __init__(self, host: str, port: int, *, keep: int = 4) -> None:
        """Create a client without connections.

        Args:
            host: the server's host.
            port: the server's port.
            keep: the maximum number of idle connections kept for later requests.
        """
        self._host = host
        self._port = port
        self._keep = keep
        self._idle: list[_Connection] = []
        self._host_header = f"{host}:{port}".encode()

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response:
        """Send one request and wait at most `timeout` seconds for its response.

        A cancellation closes the connection; the request may or may not be executed.

        Raises:
            HttpError: no complete response was received in time.
        """
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
        connection = await self._connect()
        stream, state = connection
        reusable = False
        try:
            await stream.send(self._encode_request(state, method, target, body))
            response = await _read_response(stream, state)
            reusable = state.our_state is h11.DONE and state.their_state is h11.DONE
            return response
        finally:
            if reusable and len(self._idle) < self._keep:
                state.start_next_cycle()
                self._idle.append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def _connect(self) -> _Connection:
        """Return an idle connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            # A request on a connection that the server has closed would fail with an unknown
            # outcome.
            if not _is_closed(connection.stream):
                return connection
            await anyio.aclose_forcefully(connection.stream)
        stream = await anyio.connect_tcp(self._host, self._port)
        return _Connection(stream, h11.Connection(h11.CLIENT))

    def _encode_request(
        self, state: h11.Connection, method: str, target: str, body: bytes
    ) -> bytes:
        headers = [(b"host", self._host_header)]
        if body or method == "POST":
            headers += [CONTENT_TYPE, (b"content-length", str(len(body)).encode())]
        data = state.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += state.send(h11.Data(data=body)) or b""
        return data + (state.send(h11.EndOfMessage()) or b"")

    async def aclose(self) -> None:
        """Close the idle connections; a pending request still returns its own to the pool."""
        idle, self._idle = self._idle, []
        for stream, _ in idle:
            await anyio.aclose_forcefully(stream)


async def _read_response(stream: SocketStream, state: h11.Connection) -> Response:
    status = 0
    retry_after = None
    chunks: list[bytes] = []
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            try:
                state.receive_data(await stream.receive(READ_SIZE))
            except anyio.EndOfStream:
                state.receive_data(b"")
        elif isinstance(event, h11.Response):
            status = event.status_code
            retry_after = _parse_retry_after(event.headers)
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, b"".join(chunks), retry_after)
        elif isinstance(event, h11.ConnectionClosed):
            raise anyio.EndOfStream


def _is_closed(stream: SocketStream) -> bool:
    """Return whether the peer is known to have closed this idle connection."""
    transport = getattr(stream, "_transport", None)
    if transport is not None and transport.is_closing():
        return True
    protocol = getattr(stream, "_protocol", None)
    return bool(protocol is not None and getattr(protocol, "is_at_eof", False))


def _parse_retry_after(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the seconds of the `Retry-After` header, or None if it is absent or a date."""
    for name, value in headers:
        if name == b"retry-after" and value.isdigit():
            return int(value)
    return None
