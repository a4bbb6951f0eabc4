"""HTTP messages as handlers see them, and what the program needs of a client."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from sandladder.errors import SandladderError

CONTENT_TYPE = (b"content-type", b"application/cbor")
# Bytes that are read from a connection at a time.
READ_SIZE = 64 * 1024


class Request(NamedTuple):
    """A request as handlers see it; `path` holds the query too."""

    method: str
    path: str
    body: bytes


class Response(NamedTuple):
    """A response as handlers give it; `retry_after` is in whole seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


class HttpError(SandladderError):
    """No usable response came; the request may or may not have been carried out."""


Handler = Callable[[Request], Awaitable[Response]]


class HttpRequester(Protocol):
    """What the rest of the program needs of a client."""

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response:
        """Send one request and wait for its response, for `timeout` seconds at most.

        Cancelled, it leaves open whether the request is carried out.

        Raises:
            HttpError: no whole response came in time.
        """
        ...

    async def aclose(self) -> None:
        """Close the kept connections."""
        ...


class HttpConnector(Protocol):
    """Makes a client for an address; tests put their own network here."""

    def __call__(self, host: str, port: int, *, keep: int) -> HttpRequester:
        """A client that keeps up to `keep` idle connections; it connects when it has to."""
        ...
