"""HTTP and the connections between controllers: bytes in and out.

`Server` and `Client` speak HTTP/1.1 with whoever is outside; `peer_transport` has the messages
between controllers and the connections that carry them.  Each owns its sockets and nothing else:
what is said, and to whom, is decided by those who use them.  It never retries a request and never
looks into a body.
"""

from sandladder.transport.http import (
    Connect,
    Handler,
    HttpError,
    Request,
    Requester,
    Response,
)
from sandladder.transport.http_client import Client
from sandladder.transport.http_server import Server

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
