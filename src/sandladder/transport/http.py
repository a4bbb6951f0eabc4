"""HTTP requests and responses, and the interfaces of handlers and clients."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from sandladder.errors import SandladderError

CONTENT_TYPE = (b"content-type", b"application/cbor")
# The maximum number of bytes of one read from a connection.
READ_SIZE = 64 * 1024


class Request(NamedTuple):
    """A received request; `path` includes the query."""

    method: str
    path: str
    body: bytes


class Response(NamedTuple):
    """A response; `retry_after` is in whole seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


class HttpError(SandladderError):
    """No valid response was received; the request may or may not have been executed."""


Handler = Callable[[Request], Awaitable[Response]]


class HttpRequester(Protocol):
    """The interface of an HTTP client."""

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response:
        """Send one request and wait at most `timeout` seconds for its response.

        After a cancellation the request may or may not be executed.

        Raises:
            HttpError: no complete response was received in time.
        """
        ...

    async def aclose(self) -> None:
        """Close the idle connections."""
        ...


class HttpConnector(Protocol):
    """A factory of HTTP clients; tests substitute a simulated network."""

    def __call__(self, host: str, port: int, *, keep: int) -> HttpRequester:
        """Return a client that connects on demand and keeps up to `keep` idle connections."""
        ...
