"""HTTP, and the messages and connections between controllers.

The package turns bytes into requests, responses and messages and back, and owns the sockets.  It
keeps no state of the cluster, decides nothing and retries nothing; who is to be asked, and what an
answer means, is the callers' business.  `http` has the client and the server, `peer_messages` the
messages between controllers and `peer_transport` the connections that carry them.
"""

from sandladder.transport.http import (
    Client,
    Connect,
    HttpError,
    Request,
    Requester,
    Response,
    Server,
)
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
    "Client",
    "Connect",
    "EndedTask",
    "EndedTasks",
    "ForwardedRequest",
    "ForwardedResponse",
    "HttpError",
    "LinkObservation",
    "MachineUpdate",
    "PeerConnection",
    "PeerHeartbeat",
    "Request",
    "Requester",
    "Response",
    "Server",
]
