"""HTTP and the frames between controllers: bytes in and out, no decisions."""

from sandladder.transport.http import (
    Client,
    Connect,
    HttpError,
    Request,
    Requester,
    Response,
    Server,
)

__all__ = ["Client", "Connect", "HttpError", "Request", "Requester", "Response", "Server"]
