"""How long workers may be kept on: by what this controller knows of cancellations.  Pure.

A worker's lease ends `lease_s` after the last answered report was sent, and the tasks of a
cancelled job must be gone within `cancel_s` of the word to its user.  So a controller answers a
report only while all cancellations that were confirmed up to a moment are known to it, and that
moment is less than `cancel_s - lease_s` ago: the cancellations that it knows are stopped with the
answer, those that it does not know were confirmed later, and the lease ends in time for them.

Such a moment is when its newest reading of the state service was *sent*.  In an outage the others'
words go on from there: each beat names the cancelled jobs that its sender knows, and the latest
stamp that it heard of ours, so it was made after that.  Nobody's silence counts, nor the word of a
process that we first heard after that reading: what its predecessor confirmed is not in it.
"""

import math
from collections.abc import Iterable

from sandladder.config import WorkerSettings
from sandladder.model import ClockReading


class _Peer:
    """What another controller's words prove."""

    def __init__(self) -> None:
        self.process: int | None = None
        self.since = math.inf  # when we first heard this process
        self.known = -math.inf  # what it had confirmed by then we know


class LeaseRenewalGuard:
    """Up to which moment this controller surely knows all cancellations told to users."""

    def __init__(
        self, node: str, peers: Iterable[str], process: int, workers: WorkerSettings
    ) -> None:
        self._node, self._process = node, process
        self._peers = {name: _Peer() for name in peers}
        self._age_s = workers.knowledge_s
        self._read = -math.inf  # when our newest reading of the state service was sent
        self.echoes: dict[str, ClockReading] = {}  # the latest stamp heard of each peer

    def read(self, sent: float) -> None:
        """A reading of the state service that was sent then has come."""
        self._read = max(self._read, sent)

    def heard(
        self,
        node: str,
        stamp: ClockReading,
        echoes: dict[str, ClockReading],
        whole: bool,
        now: float,
    ) -> None:
        """A beat came; `whole`: it named all cancelled jobs that its sender knows."""
        peer = self._peers.get(node)
        if peer is None:
            return
        self.echoes[node] = stamp
        if peer.process != stamp.process:
            peer.process, peer.since, peer.known = stamp.process, now, -math.inf
        echo = echoes.get(self._node)
        if whole and echo is not None and echo.process == self._process:
            peer.known = max(peer.known, echo.at)

    def _told(self, peer: _Peer) -> float:
        # Strictly: one that was ended and back within the clock's resolution would pass else, and
        # what its predecessor had confirmed be missed.  Found by the search of the model.
        return peer.known if peer.since < self._read else -math.inf

    def known_at(self) -> float:
        """All cancellations that were confirmed to users up to then are known here."""
        # Alone we have confirmed them all ourselves.
        told = min((self._told(peer) for peer in self._peers.values()), default=math.inf)
        return max(self._read, told) if self._read > -math.inf else -math.inf

    def open(self, now: float, unsure: float = math.inf) -> bool:
        """Whether a report may be answered so that the worker's lease goes on.

        `unsure`: a start that may still arrive at the machine was sent on what was known then.
        """
        return now - min(self.known_at(), unsure) <= self._age_s

    def reason(self, now: float) -> str:
        """Why it is closed, or what keeps it open."""
        silent = [
            f"{name} not for {now - told:.1f} s" if told > -math.inf else f"{name} not since then"
            for name, peer in self._peers.items()
            if now - (told := self._told(peer)) > self._age_s
        ]
        return (
            f"the state service was read {now - self._read:.1f} s ago; "
            f"what the others confirmed since: {', '.join(silent) or 'told by all'}"
        )
