"""Messages between controllers, and requests forwarded from one to another."""

from sandladder.peers.peer_service import BUSY, PeerService, PendingResponse

__all__ = ["BUSY", "PeerService", "PendingResponse"]
