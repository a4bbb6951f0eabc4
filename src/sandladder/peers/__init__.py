"""The communication between controllers.

`PeerService` sends and receives messages.  `HeartbeatExchange` builds the heartbeats and keeps the
contents of the peers' last ones, `RequestForwarder` forwards users' requests to a peer,
`WriteRateShare` divides the store's write rate by demand, and `TeamDirectory` returns the
controller that schedules a team.

The package owns the connections to the peers, the contents of their last heartbeats, and the
requests that wait for a peer's response.  It does not assess the peers (`membership` does) and
does not serve requests itself.  Its messages are advisory: safety does not depend on their
delivery.
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
