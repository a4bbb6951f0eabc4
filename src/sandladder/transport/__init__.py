"""HTTP, and the messages and connections between controllers.

`HttpServer` and `HttpClient` implement HTTP/1.1 for users, agents, the cloud and the key-value
store.  `peer_messages` defines the messages between controllers, `peer_transport` the connections
that carry them.  The package owns its sockets and no cluster state.  It neither retries requests
nor interprets HTTP bodies.
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
