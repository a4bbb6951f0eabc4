"""HTTP and the frames between controllers: bytes in and out, no decisions."""

from sandladder.transport.http import (
    Client,
    Connect,
    Handler,
    HttpError,
    Request,
    Requester,
    Response,
    Server,
)

__all__ = [
    "Client",
    "Connect",
    "Handler",
    "HttpError",
    "Request",
    "Requester",
    "Response",
    "Server",
]
