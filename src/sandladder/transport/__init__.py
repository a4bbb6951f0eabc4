"""HTTP, and the messages and connections between controllers: bytes in and out.

`HttpServer` and `HttpClient` speak HTTP/1.1 with whoever is outside.  `peer_messages` has the
messages between controllers, `peer_transport` the connections that carry them.  Each owns its
sockets and nothing else: what is said, and to whom, is decided by those who use them.  It keeps no
state of the cluster, never retries a request and never looks into a body.
"""

from sandladder.transport.http import (
    Handler,
    HttpConnector,
    HttpError,
    HttpRequester,
    Request,
    Response,
)
from sandladder.transport.http_client import HttpClient
from sandladder.transport.http_server import HttpServer
from sandladder.transport.peer_messages import (
    ChangeNotice,
    EndedTask,
    EndedTasks,
    ForwardedRequest,
    ForwardedResponse,
    LinkObservation,
    MachineUpdate,
    PeerHeartbeat,
)
from sandladder.transport.peer_transport import PeerConnection

__all__ = [
    "ChangeNotice",
    "EndedTask",
    "EndedTasks",
    "ForwardedRequest",
    "ForwardedResponse",
    "Handler",
    "HttpClient",
    "HttpConnector",
    "HttpError",
    "HttpRequester",
    "HttpServer",
    "LinkObservation",
    "MachineUpdate",
    "PeerConnection",
    "PeerHeartbeat",
    "Request",
    "Response",
]
