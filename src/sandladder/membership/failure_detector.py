"""What a controller makes of each other one, with the evidence: a graded view, never a verdict.

Four kinds of witnesses speak of a controller: our own link to it, the beats of the others (each
says whom its sender hears), what it writes to the state service, and machines that came over from
it.  A controller that is late itself distrusts its own ears first.  Pure.
"""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

from sandladder.membership.phi_accrual import PhiAccrualWindow

# At these levels a silence is odd, and is as good as none being left.
_ODD_PHI, _SILENT_PHI = 2.0, 8.0
# Late by more than this share of the time between two signs, a controller calls itself late; the
# times that it allows others grow with that, up to so many times.
_LATE, _WIDEST = 0.5, 8.0
# A summary that is overdue by so many of its periods speaks against its writer.
_OVERDUE = 2.5
# What the lateness of the last wakings counts against the one before.
_FRESH_SHARE = 0.25
# Machines come over from a controller one at a time all the while; so many at once say something.
_FEW_MACHINES = 3


class HealthLevel(enum.IntEnum):
    """How a controller is doing, from best to worst."""

    LIVE = 0
    SLOW = 1  # it speaks, late
    CUT = 2  # we do not hear it, and somebody does
    UNABLE = 3  # it says itself that it cannot do its part
    SUSPECT = 4  # nobody hears it
    LEFT = 5  # it said that it goes
    ENDED = 6  # its hold has ended: the one verdict, from the state service


class PeerStatus(NamedTuple):
    """What a controller says of itself and of the others in each beat."""

    term: int  # with which its process entered; 0 before that
    token: int  # its term now
    store_reachable: bool  # it reaches the state service and its hold lasts
    late_s: float  # how late its own timers fire
    machines: int | None  # that report to it; None: it does not say
    leaving: bool
    # By controller, for how long it has not heard it, and whether connections are refused.
    heard: dict[str, tuple[float, bool]]


class HealthAssessment(NamedTuple):
    """A grade with its evidence."""

    grade: HealthLevel
    why: str
    against: int = 0  # independent witnesses that do not see it
    refused: bool = False  # all who speak against it were refused the connection
    silent_s: float = 0.0  # since when nobody has seen a sign of it

    @property
    def able(self) -> bool:
        """Whether it can be given something to do."""
        return self.grade <= HealthLevel.SLOW


class _Peer:
    """What is kept of one other controller."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self.arrivals = PhiAccrualWindow(heartbeat_interval_s)
        self.word: PeerStatus | None = None
        self.refused = False
        self.written_at = -math.inf  # when we saw the last thing that it wrote
        self.held = False  # its hold lasts, as far as the records say
        self.came_over: list[float] = []  # when machines came from it to us
        self.known_at: float | None = None  # since when we could have heard it


class FailureDetector:
    """What one controller perceives of the others."""

    def __init__(
        self,
        node: str,
        peers: Iterable[str],
        heartbeat_interval_s: float,
        report_s: float,
        inventory_interval_s: float,
    ) -> None:
        """All times in seconds; `heartbeat_interval_s`: between two heartbeats at the most."""
        self.node = node
        self.heartbeat_interval_s, self.report_s, self.inventory_interval_s = (
            heartbeat_interval_s,
            report_s,
            inventory_interval_s,
        )
        self._peers = {name: _Peer(heartbeat_interval_s) for name in peers}
        self.late_s = 0.0  # how late our own routines are woken, smoothed
        self._excused = -math.inf  # silence before this is ours

    def peers(self) -> list[str]:
        """The controllers that are judged."""
        return list(self._peers)

    # What is perceived

    def heartbeat(self, node: str, word: PeerStatus, now: float) -> None:
        """A beat came."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.arrivals.heard(now)
            peer.word, peer.refused = word, False

    def refused(self, node: str, refused: bool) -> None:
        """Whether our last connection to a peer was refused; that alone proves nothing."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.refused = refused

    def wrote(self, node: str, now: float) -> None:
        """We saw something in the records that this controller has just written."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.written_at = now

    def holds(self, held: Iterable[str]) -> None:
        """The controllers whose hold lasts, by the records."""
        held = set(held)
        for name, peer in self._peers.items():
            peer.held = name in held

    def came_over(self, node: str, now: float) -> None:
        """A machine that reported to this controller reports to us now."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.came_over = [at for at in peer.came_over if now - at < self.report_s] + [now]

    def woke(self, late_s: float, now: float) -> None:
        """A routine of ours was woken so much after the time it had asked for.

        After standing still, everybody seems silent: what was missed is excused, and judged
        anew from here.  Seen in a measured day: one that had been frozen took all teams.
        """
        self.late_s += (late_s - self.late_s) * _FRESH_SHARE
        if late_s > 2 * self.heartbeat_interval_s:
            self._excused = now
            for peer in self._peers.values():
                peer.arrivals.excuse(now)

    # What is made of it

    @property
    def late(self) -> bool:
        """Whether we are late ourselves, so that we accuse nobody."""
        return self.late_s > _LATE * self.heartbeat_interval_s

    @property
    def widen(self) -> float:
        """How much longer we allow others because we are late."""
        return min(_WIDEST, 1 + self.late_s / self.heartbeat_interval_s)

    def collected(self, now: float) -> bool:
        """Whether we have heard the world for long enough to judge anyone."""
        return now - self._excused > 2 * self.heartbeat_interval_s

    def word(self, node: str) -> PeerStatus | None:
        """What a peer said last."""
        peer = self._peers.get(node)
        return peer.word if peer is not None else None

    def silences(self, now: float) -> dict[str, tuple[float, bool]]:
        """For our own beat: for how long we have not heard each peer, and who refuses us."""
        return {
            name: (round(min(now - peer.arrivals.at, 1e6), 3), peer.refused)
            for name, peer in self._peers.items()
        }

    def hears(self, node: str, now: float) -> bool:
        """Whether we hear a peer ourselves, now."""
        if node == self.node:
            return True
        peer = self._peers.get(node)
        return (
            peer is not None
            and not peer.refused
            and peer.arrivals.phi(now, self.widen) < _SILENT_PHI
        )

    def judge(self, node: str, now: float) -> HealthAssessment:
        """The grade of a peer on the evidence there is."""
        peer = self._peers[node]
        if not peer.held:
            return HealthAssessment(HealthLevel.ENDED, "it holds nothing in the state service")
        if self.hears(node, now):
            return self._judge_heard(peer, now)
        silent_s = now - max(peer.arrivals.at, peer.written_at)
        mine = now - peer.arrivals.at
        against = ["we were refused" if peer.refused else f"not heard for {mine:.1f} s"]
        refused = peer.refused
        for name, other in self._peers.items():
            word = other.word
            if name == node or word is None or not self.hears(name, now):
                continue
            told = word.heard.get(node)
            if told is None or word.late_s > _LATE * self.heartbeat_interval_s:
                continue  # it does not say, or distrusts its own ears
            silence = told[0] + now - other.arrivals.at
            if not told[1] and silence < 4 * self.heartbeat_interval_s:
                return HealthAssessment(HealthLevel.CUT, f"{name} hears it", silent_s=silence)
            silent_s = min(silent_s, silence)
            against.append(f"{name} {'was refused' if told[1] else f'not for {silence:.1f} s'}")
            refused = refused and told[1]
        overdue = now - peer.written_at > _OVERDUE * self.inventory_interval_s
        # What was written before it fell silent and read just after says nothing.
        if not overdue and peer.written_at > peer.arrivals.at + 2 * self.heartbeat_interval_s:
            return HealthAssessment(
                HealthLevel.CUT, "it writes to the state service", silent_s=silent_s
            )
        if overdue:
            against.append("its summary is overdue")
        came = sum(now - at < self.report_s for at in peer.came_over)
        if came >= _FEW_MACHINES:
            against.append(f"{came} machines came over")
        return HealthAssessment(
            HealthLevel.SUSPECT, ", ".join(against), len(against), refused, silent_s
        )

    def _judge_heard(self, peer: _Peer, now: float) -> HealthAssessment:
        word, phi = peer.word, peer.arrivals.phi(now, self.widen)
        if word is None:
            return HealthAssessment(HealthLevel.SLOW, "nothing said yet")
        if word.leaving:
            return HealthAssessment(HealthLevel.LEFT, "it says that it goes")
        if not word.store_reachable:
            return HealthAssessment(HealthLevel.UNABLE, "it does not reach the state service")
        if word.late_s > _LATE * self.heartbeat_interval_s:
            return HealthAssessment(HealthLevel.SLOW, f"its timers are {word.late_s:.2f} s late")
        if phi > _ODD_PHI:
            return HealthAssessment(HealthLevel.SLOW, f"its sign is late (phi {phi:.1f})")
        return HealthAssessment(HealthLevel.LIVE, "")
