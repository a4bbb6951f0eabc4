"""The exchange between controllers.

`PeerService` sends and receives; `HeartbeatExchange` makes the heartbeats and knows what the peers
said in theirs, `RequestForwarder` has users' requests served by a peer, `WriteRateShare` divides
the state service's write rate by demand, and `TeamDirectory` names the controller that schedules a
team.

The package owns the connections to the peers, what their heartbeats said last, and the requests
that wait for a peer's response.  It judges no peer (`membership` does) and never serves a request
itself.  What it sends is advisory: nothing ever rests on a message having arrived.
"""

from sandladder.peers.heartbeats import HeartbeatExchange, LocalStatus
from sandladder.peers.peer_service import PeerEvents, PeerService
from sandladder.peers.request_forwarder import BUSY, PendingResponse, RequestForwarder
from sandladder.peers.team_directory import TeamDirectory
from sandladder.peers.write_rate import WriteRateShare

__all__ = [
    "BUSY",
    "HeartbeatExchange",
    "LocalStatus",
    "PeerEvents",
    "PeerService",
    "PendingResponse",
    "RequestForwarder",
    "TeamDirectory",
    "WriteRateShare",
]
