"""Until when agents' leases may be renewed, by what this controller knows of cancellations.

An agent's lease ends `lease_s` after its last answered heartbeat was sent, and the tasks of a
cancelled job must be gone within `cancel_s` of the confirmation to its user.  So a controller
answers a heartbeat only while all cancellations that were confirmed up to a moment are known to
it, and that moment is less than `cancel_s - lease_s` ago: the cancellations that it knows are
stopped with the answer, those that it does not know were confirmed later, and the lease ends in
time for them.

Such a moment is when its newest reading of the store was *sent*.  In an outage the heartbeats of
the other controllers carry it on from there: each names the cancelled jobs that its sender knows
and acknowledges the latest clock reading of ours that its sender received, so it was made after
that.  A controller's silence proves nothing, and neither do the heartbeats of a process whose first
came after that reading of the store: what its predecessor confirmed is not in them.

All times are in seconds on this controller's steady clock.  Pure: no I/O, no clock.
"""

import math
from collections.abc import Iterable

from sandladder.config import AgentSettings
from sandladder.model import ClockReading


class _Peer:
    """What another controller's heartbeats prove."""

    def __init__(self) -> None:
        self.process: int | None = None
        self.first_heartbeat_at = math.inf  # of this process
        self.known_until = -math.inf  # what it had confirmed by then we know


class LeaseRenewalGuard:
    """Up to which moment this controller surely knows all cancellations confirmed to users."""

    def __init__(
        self, node: str, peers: Iterable[str], process: int, workers: AgentSettings
    ) -> None:
        """Begin without any knowledge: no lease may be renewed.

        Args:
            node: this controller.
            peers: all others that the settings name.
            process: distinguishes this process from others under the same name.
            workers: how long leases and cancellations may take.
        """
        self._node, self._process = node, process
        self._peers = {name: _Peer() for name in peers}
        self._max_age_s = workers.cancellation_knowledge_age_s
        self._last_read_at = -math.inf  # when our newest reading of the store was sent
        # The latest clock reading received of each peer, to be acknowledged to it.
        self.acknowledged_readings: dict[str, ClockReading] = {}

    def record_store_read(self, sent_at: float) -> None:
        """The response to a reading of the store that was sent then has come."""
        self._last_read_at = max(self._last_read_at, sent_at)

    def record_peer_heartbeat(
        self,
        node: str,
        made_at: ClockReading,
        acknowledged: dict[str, ClockReading],
        names_all: bool,
        now: float,
    ) -> None:
        """Take in a heartbeat of another controller.

        Args:
            node: its sender.
            made_at: when its sender made it, on the sender's clock.
            acknowledged: by controller, the latest clock reading that its sender received.
            names_all: whether it names all cancelled jobs that its sender knows.
            now: when it came.
        """
        peer = self._peers.get(node)
        if peer is None:
            return
        self.acknowledged_readings[node] = made_at
        if peer.process != made_at.process:
            peer.process, peer.first_heartbeat_at = made_at.process, now
            peer.known_until = -math.inf
        ours = acknowledged.get(self._node)
        if names_all and ours is not None and ours.process == self._process:
            peer.known_until = max(peer.known_until, ours.at)

    def _known_until(self, peer: _Peer) -> float:
        """All cancellations that this peer, in any process, confirmed up to then are known here."""
        # Strictly: a process that ended and was replaced within the clock's resolution would pass
        # else, and what it had confirmed be missed.  Found by the search of the model.
        if peer.first_heartbeat_at < self._last_read_at:
            return peer.known_until
        return -math.inf

    def cancellations_known_until(self) -> float:
        """All cancellations that were confirmed to users up to then are known here."""
        if self._last_read_at == -math.inf:
            return -math.inf
        # Without peers we have confirmed them all ourselves.
        by_peers = min((self._known_until(peer) for peer in self._peers.values()), default=math.inf)
        return max(self._last_read_at, by_peers)

    def permits_renewal(self, now: float, late_start_known_until: float = math.inf) -> bool:
        """Whether a heartbeat may be answered, so that the agent's lease is renewed.

        Args:
            now: when the answer is decided on.
            late_start_known_until: up to when cancellations were known when a start was sent that
                may still arrive at the agent; infinite: there is none.
        """
        known_until = min(self.cancellations_known_until(), late_start_known_until)
        return now - known_until <= self._max_age_s

    def explain(self, now: float) -> str:
        """Why leases may not be renewed, or on what their renewal rests."""
        missing = [
            f"{name} not for {now - known_until:.1f} s"
            if known_until > -math.inf
            else f"{name} not since then"
            for name, peer in self._peers.items()
            if now - (known_until := self._known_until(peer)) > self._max_age_s
        ]
        return (
            f"the store was last read {now - self._last_read_at:.1f} s ago; cancellations "
            f"confirmed by the other controllers since: {', '.join(missing) or 'all known'}"
        )
