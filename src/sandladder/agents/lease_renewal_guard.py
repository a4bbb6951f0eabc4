"""Suspension of lease renewals while this controller may not know all recent cancellations.

An agent's lease expires `lease_s` after its last answered heartbeat was sent, and the tasks of a
cancelled job must have ended within `cancel_s` of the confirmation to its user.  A controller
therefore answers a heartbeat only if it knows all cancellations that were confirmed up to some time
less than `cancel_s - lease_s` ago.  The answer stops the tasks of the cancellations that it knows;
all others were confirmed later, and the lease expires in time for them.

All cancellations are known up to the time when the latest store read was *sent*.  During a store
outage the heartbeats of the other controllers advance that time: each heartbeat lists the cancelled
jobs that its sender knows and acknowledges the latest clock reading received from this controller,
so it was made after that reading.  A silent controller does not advance the time.  Neither does a
process whose first heartbeat arrived after the store read, because its heartbeats lack the
cancellations that its predecessor confirmed.

All times are in seconds on this controller's steady clock.  Performs no I/O and reads no clock.
"""

import math
from collections.abc import Iterable

from sandladder.config import AgentSettings
from sandladder.model import ClockReading


class _Peer:
    """State derived from another controller's heartbeats."""

    def __init__(self) -> None:
        self.process: int | None = None
        self.first_heartbeat_at = math.inf  # first heartbeat of that process
        self.known_until = -math.inf  # its confirmations up to this time are known here


class LeaseRenewalGuard:
    """Tracks the time up to which this controller knows all confirmed cancellations."""

    def __init__(
        self, node: str, peers: Iterable[str], process: int, workers: AgentSettings
    ) -> None:
        """Initialize so that no lease may be renewed yet.

        Args:
            node: this controller.
            peers: all other controllers named in the settings.
            process: distinguishes this process from others with the same node name.
            workers: lease duration and cancellation deadline.
        """
        self._node, self._process = node, process
        self._peers = {name: _Peer() for name in peers}
        self._max_age_s = workers.cancellation_knowledge_age_s
        self._last_read_at = -math.inf  # request time of the latest store read
        # The latest clock reading received from each peer, acknowledged in heartbeats to it.
        self.acknowledged_readings: dict[str, ClockReading] = {}

    def record_store_read(self, sent_at: float) -> None:
        """Record the request time of a completed store read."""
        self._last_read_at = max(self._last_read_at, sent_at)

    def record_peer_heartbeat(
        self,
        node: str,
        made_at: ClockReading,
        acknowledged: dict[str, ClockReading],
        lists_all_cancelled: bool,
        now: float,
    ) -> None:
        """Record a heartbeat of another controller.

        Args:
            node: the sender.
            made_at: when the heartbeat was made, on the sender's clock.
            acknowledged: by controller, the latest clock reading that the sender received.
            lists_all_cancelled: whether it lists all cancelled jobs that the sender knows.
            now: when the heartbeat arrived.
        """
        peer = self._peers.get(node)
        if peer is None:
            return
        self.acknowledged_readings[node] = made_at
        if peer.process != made_at.process:
            peer.process, peer.first_heartbeat_at = made_at.process, now
            peer.known_until = -math.inf
        own_reading = acknowledged.get(self._node)
        if lists_all_cancelled and own_reading is not None and own_reading.process == self._process:
            peer.known_until = max(peer.known_until, own_reading.at)

    def _known_until(self, peer: _Peer) -> float:
        """Return the time up to which all confirmations of a peer, in any process, are known."""
        # Strictly less: otherwise the confirmations of a process that was replaced within the
        # clock's resolution would be missed.
        if peer.first_heartbeat_at < self._last_read_at:
            return peer.known_until
        return -math.inf

    def cancellations_known_until(self) -> float:
        """Return the time up to which all cancellations confirmed to users are known here."""
        if self._last_read_at == -math.inf:
            return -math.inf
        # Without peers, this controller confirmed all cancellations itself.
        peers_known_until = min(
            (self._known_until(peer) for peer in self._peers.values()), default=math.inf
        )
        return max(self._last_read_at, peers_known_until)

    def permits_renewal(
        self, now: float, late_start_cancellations_known_until: float = math.inf
    ) -> bool:
        """Return whether a heartbeat may be answered, which renews the agent's lease.

        Args:
            now: the current time.
            late_start_cancellations_known_until: if a start may still be delivered to the agent,
                the time up to which all cancellations were known when it was sent; infinite
                otherwise.
        """
        known_until = min(self.cancellations_known_until(), late_start_cancellations_known_until)
        return now - known_until <= self._max_age_s

    def explain(self, now: float) -> str:
        """Return a log text with the state that permits or suspends renewals."""
        missing = [
            f"{name} unknown for {now - known_until:.1f} s"
            if known_until > -math.inf
            else f"{name} unknown"
            for name, peer in self._peers.items()
            if now - (known_until := self._known_until(peer)) > self._max_age_s
        ]
        return (
            f"last store read {now - self._last_read_at:.1f} s ago; cancellations confirmed "
            f"by other controllers since the read: {', '.join(missing) or 'all known'}"
        )
