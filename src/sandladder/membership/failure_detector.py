"""The failure detector: how healthy this process takes each other controller to be, and why.

An accrual detector on each link (`phi_accrual`) gives the suspicion; four kinds of witnesses bear
it out: this process's own link, the observations that the other controllers send in their
heartbeats, what the suspect writes to the state service, and agents that move over from it.

Local health comes first, as in Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: local health
awareness for more accurate failure detection", 2018): a process whose own timers are late allows
the others more time, suspects nobody and is no witness.

The result is an assessment, never a verdict.  Pure: times are given, in seconds on the steady
clock.
"""

import math
from collections.abc import Iterable, Iterator

from sandladder.membership.health import HealthAssessment, HealthLevel, PeerStatus
from sandladder.membership.phi_accrual import PhiAccrualWindow
from sandladder.transport import LinkObservation

# From these levels on a heartbeat is late, or as good as lost.
_LATE_PHI = 2.0
_SILENT_PHI = 8.0
# Timers later than this share of a heartbeat interval make a controller call itself late.
_LATE_SHARE = 0.5
# Intervals are stretched at most so much because this process is late itself.
_MAX_HEALTH_MULTIPLIER = 8.0
# Heartbeat intervals by which a wakeup is late after which this process had been paused.
_PAUSED_INTERVALS = 2
# Heartbeat intervals after such a pause before anyone is judged.
_WARM_UP_INTERVALS = 2
# Heartbeat intervals within which another controller's observation counts as contact.
_CONTACT_INTERVALS = 4
# A write must be seen so many heartbeat intervals after the last heartbeat to speak for its writer.
_WRITE_MARGIN_INTERVALS = 2
# An inventory that is overdue by so many of its periods speaks against its writer.
_OVERDUE_PERIODS = 2.5
# The weight of the latest wakeup in the smoothed lateness of this process's timers.
_SMOOTHING = 0.25
# Agents change their controller one at a time all the while; so many at once are evidence.
_AGENT_FAILOVERS = 3

# Evidence for an eviction, as it is stored in the roster.
NO_LEASE = "it holds nothing in the state service"


class _Peer:
    """What is known of one other controller."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self.heartbeats = PhiAccrualWindow(heartbeat_interval_s)
        self.status: PeerStatus | None = None
        self.connection_refused = False
        self.last_write = -math.inf  # when something that it wrote to the store was first seen
        self.holds_lease = False  # by the records
        self.agent_failovers: list[float] = []  # when agents came from it to this process

    def own_observation(self, now: float) -> LinkObservation:
        """What this process observes on its own link."""
        return LinkObservation(now - self.heartbeats.last_arrival, self.connection_refused)


class FailureDetector:
    """What one controller observes of the others, and how it judges them."""

    def __init__(
        self,
        node: str,
        peers: Iterable[str],
        heartbeat_interval_s: float,
        report_s: float,
        inventory_interval_s: float,
    ) -> None:
        """All intervals are in seconds.

        Args:
            node: the controller of this process.
            peers: the other controllers.
            heartbeat_interval_s: between two heartbeats of a controller at the most.
            report_s: between two heartbeats of an agent.
            inventory_interval_s: between two inventories that a controller writes.
        """
        self.node = node
        self.heartbeat_interval_s = heartbeat_interval_s
        self.report_s = report_s
        self.inventory_interval_s = inventory_interval_s
        self.late_s = 0.0  # how late this process's routines are woken, smoothed
        self._peers = {name: _Peer(heartbeat_interval_s) for name in peers}
        self._paused_until = -math.inf  # silence before this was this process's own

    def peers(self) -> list[str]:
        """The controllers that are judged."""
        return list(self._peers)

    # Observations

    def record_heartbeat(self, node: str, status: PeerStatus, now: float) -> None:
        """A heartbeat arrived; from a controller that is no peer it is ignored."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.heartbeats.record_arrival(now)
            peer.status = status
            peer.connection_refused = False

    def record_connection(self, node: str, refused: bool) -> None:
        """Whether the last connection to a peer was refused; that alone proves nothing."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.connection_refused = refused

    def record_write(self, node: str, now: float) -> None:
        """Something that this controller has just written was seen in the records."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.last_write = now

    def record_leases(self, holders: Iterable[str]) -> None:
        """The controllers whose lease lasts, by the records."""
        holders = set(holders)
        for name, peer in self._peers.items():
            peer.holds_lease = name in holders

    def record_agent_failover(self, node: str, now: float) -> None:
        """An agent that reported to this controller reports here now."""
        peer = self._peers.get(node)
        if peer is not None:
            recent = [at for at in peer.agent_failovers if now - at < self.report_s]
            peer.agent_failovers = [*recent, now]

    def record_wakeup(self, late_s: float, now: float) -> None:
        """A routine of this process was woken so many seconds after the time it had asked for.

        After a pause of this process everybody seems silent: that silence is discounted, and the
        others are judged anew from here.  Seen in a measured day: a controller that had been frozen
        took all teams.
        """
        self.late_s += (late_s - self.late_s) * _SMOOTHING
        if late_s > _PAUSED_INTERVALS * self.heartbeat_interval_s:
            self._paused_until = now
            for peer in self._peers.values():
                peer.heartbeats.discount_silence(now)

    # Local health

    @property
    def is_late(self) -> bool:
        """Whether this process is late itself, so that it suspects nobody."""
        return self._too_late(self.late_s)

    @property
    def health_multiplier(self) -> float:
        """By how much more time others are allowed because this process is late (Lifeguard)."""
        return min(_MAX_HEALTH_MULTIPLIER, 1 + self.late_s / self.heartbeat_interval_s)

    def is_warmed_up(self, now: float) -> bool:
        """Whether observations since the last pause of this process suffice to judge anyone."""
        return now - self._paused_until > _WARM_UP_INTERVALS * self.heartbeat_interval_s

    def _too_late(self, late_s: float) -> bool:
        return late_s > _LATE_SHARE * self.heartbeat_interval_s

    # Assessments

    def status(self, node: str) -> PeerStatus | None:
        """What a peer said of itself last."""
        peer = self._peers.get(node)
        return peer.status if peer is not None else None

    def observations(self, now: float) -> dict[str, LinkObservation]:
        """What this process observes on the links to its peers, for its own heartbeat."""
        return {
            name: LinkObservation(
                round(min(now - peer.heartbeats.last_arrival, 1e6), 3), peer.connection_refused
            )
            for name, peer in self._peers.items()
        }

    def assess(self, node: str, now: float) -> HealthAssessment:
        """How healthy a peer is on the evidence there is.

        Raises:
            KeyError: the controller is no peer.
        """
        peer = self._peers[node]
        if not peer.holds_lease:
            return HealthAssessment(HealthLevel.EXPIRED, NO_LEASE)
        if self._is_in_contact(peer, now):
            return self._assess_in_contact(peer, now)
        return self._assess_silent(node, peer, now)

    def _is_in_contact(self, peer: _Peer, now: float) -> bool:
        """Whether this process receives a peer's heartbeats itself."""
        if peer.connection_refused:
            return False
        return peer.heartbeats.phi(now, self.health_multiplier) < _SILENT_PHI

    def _assess_in_contact(self, peer: _Peer, now: float) -> HealthAssessment:
        """The health of a peer whose heartbeats arrive, by what they say and when they came."""
        status = peer.status
        phi = peer.heartbeats.phi(now, self.health_multiplier)
        if status is None:
            return HealthAssessment(HealthLevel.SLOW, "it sent no status yet")
        if status.leaving:
            return HealthAssessment(HealthLevel.LEAVING, "it says that it goes")
        if not status.store_reachable:
            return HealthAssessment(HealthLevel.UNREADY, "it does not reach the state service")
        if self._too_late(status.late_s):
            return HealthAssessment(HealthLevel.SLOW, f"its timers are {status.late_s:.2f} s late")
        if phi > _LATE_PHI:
            return HealthAssessment(HealthLevel.SLOW, f"its heartbeat is late (phi {phi:.1f})")
        return HealthAssessment(HealthLevel.HEALTHY, "")

    def _assess_silent(self, node: str, peer: _Peer, now: float) -> HealthAssessment:
        """The health of a peer whose heartbeats do not arrive, by the witnesses there are.

        The texts of evidence are stored with a suspicion.
        """
        own = peer.own_observation(now)
        evidence = ["we were refused" if own.refused else f"not heard for {own.silent_s:.1f} s"]
        all_refused = own.refused
        silent_s = now - max(peer.heartbeats.last_arrival, peer.last_write)
        for name, observed in self._observations_by_others(node, now):
            if self._shows_contact(observed):
                return HealthAssessment(
                    HealthLevel.PARTITIONED,
                    f"{name} receives its heartbeats",
                    silent_s=observed.silent_s,
                )
            silent_s = min(silent_s, observed.silent_s)
            said = "was refused" if observed.refused else f"not for {observed.silent_s:.1f} s"
            evidence.append(f"{name} {said}")
            all_refused = all_refused and observed.refused
        overdue = now - peer.last_write > _OVERDUE_PERIODS * self.inventory_interval_s
        if not overdue and self._wrote_in_silence(peer):
            return HealthAssessment(
                HealthLevel.PARTITIONED, "it writes to the state service", silent_s=silent_s
            )
        if overdue:
            evidence.append("its summary is overdue")
        failovers = sum(now - at < self.report_s for at in peer.agent_failovers)
        if failovers >= _AGENT_FAILOVERS:
            evidence.append(f"{failovers} machines came over")
        return HealthAssessment(
            HealthLevel.SUSPECT, ", ".join(evidence), len(evidence), all_refused, silent_s
        )

    def _observations_by_others(
        self, node: str, now: float
    ) -> Iterator[tuple[str, LinkObservation]]:
        """What the other peers observe of one, as of now; only those whose observation counts."""
        for name, other in self._peers.items():
            status = other.status
            if name == node or status is None or not self._is_in_contact(other, now):
                continue
            observed = status.observations.get(node)
            if observed is None or self._too_late(status.late_s):
                continue  # it does not say, or is late itself
            silent_s = observed.silent_s + now - other.heartbeats.last_arrival
            yield name, LinkObservation(silent_s, observed.refused)

    def _shows_contact(self, observed: LinkObservation) -> bool:
        recent = observed.silent_s < _CONTACT_INTERVALS * self.heartbeat_interval_s
        return not observed.refused and recent

    def _wrote_in_silence(self, peer: _Peer) -> bool:
        """Whether a peer wrote since its last heartbeat.

        What it wrote before it fell silent and was read just after says nothing.
        """
        margin_s = _WRITE_MARGIN_INTERVALS * self.heartbeat_interval_s
        return peer.last_write > peer.heartbeats.last_arrival + margin_s
