"""The failure detector: assessments of the other controllers' health, with their evidence.

An accrual detector on each link (`phi_accrual`) computes the level of suspicion.  There are four
kinds of evidence: this process's own link, the observations that the other controllers send in
their heartbeats, the suspect's writes to the key-value store, and agents that fail over from it.

Local health is taken into account as in Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: local
health awareness for more accurate failure detection", 2018): a process whose own timers are late
allows the others more time, suspects no member, and does not count as a witness.

An assessment is an estimate and proves nothing, except that the lease has expired.  The module is
pure: times are passed in, in seconds on the steady clock.
"""

import math
from collections.abc import Iterable, Iterator

from sandladder.membership.health import HealthAssessment, HealthLevel, PeerStatus
from sandladder.membership.phi_accrual import PhiAccrualWindow
from sandladder.transport import LinkObservation

# Level of suspicion above which a heartbeat counts as late.
_LATE_PHI = 2.0
# Level of suspicion from which a peer counts as silent.
_SILENT_PHI = 8.0
# A controller counts as late when its timers fire later than this share of a heartbeat interval.
_LATE_INTERVAL_SHARE = 0.5
# Upper bound on the factor by which intervals are stretched while this process is late.
_MAX_HEALTH_MULTIPLIER = 8.0
# A wakeup that is late by more heartbeat intervals than this means that the process was paused.
_PAUSED_INTERVALS = 2
# Heartbeat intervals after a pause during which no other controller is suspected.
_WARM_UP_INTERVALS = 2
# Heartbeat intervals for which another controller's last contact with a peer counts as recent.
_CONTACT_INTERVALS = 4
# A write that follows the last heartbeat by more heartbeat intervals than this shows that its
# writer is alive.
_WRITE_MARGIN_INTERVALS = 2
# Inventory intervals without a write after which the inventory is overdue.
_OVERDUE_INVENTORY_INTERVALS = 2.5
# Weight of the latest wakeup in the smoothed lateness of this process's timers.
_LATENESS_SMOOTHING = 0.25
# Agents that must fail over within an agent heartbeat interval to count as evidence; single agents
# move in normal operation.
_MIN_AGENT_FAILOVERS = 3

# Evidence for an eviction; the text is stored in the roster.
NO_LEASE_EVIDENCE = "it holds nothing in the state service"


class _Peer:
    """The observations of one other controller."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        self.heartbeats = PhiAccrualWindow(heartbeat_interval_s)
        self.status: PeerStatus | None = None
        self.connection_refused = False
        self.last_write = -math.inf  # when its latest write to the store was observed
        self.holds_lease = False  # according to the records
        self.agent_failovers: list[float] = []  # when agents moved from it to this controller

    def own_observation(self, now: float) -> LinkObservation:
        """Return this process's own observation of the link to the peer."""
        return LinkObservation(now - self.heartbeats.last_arrival, self.connection_refused)


class FailureDetector:
    """Records one controller's observations of the others, and assesses their health."""

    def __init__(
        self,
        node: str,
        peers: Iterable[str],
        heartbeat_interval_s: float,
        report_s: float,
        inventory_interval_s: float,
    ) -> None:
        """Create a detector without observations; all intervals are in seconds.

        Args:
            node: the controller of this process.
            peers: the other controllers.
            heartbeat_interval_s: the maximum interval between two heartbeats of a controller.
            report_s: the interval between two heartbeats of an agent.
            inventory_interval_s: the interval between two inventories of a controller.
        """
        self.node = node
        self.heartbeat_interval_s = heartbeat_interval_s
        self.report_s = report_s
        self.inventory_interval_s = inventory_interval_s
        self.late_s = 0.0  # the smoothed lateness of this process's wakeups
        self._peers = {name: _Peer(heartbeat_interval_s) for name in peers}
        self._paused_until = -math.inf  # end of this process's last pause

    def peers(self) -> list[str]:
        """Return the names of the assessed controllers."""
        return list(self._peers)

    # Observations

    def record_heartbeat(self, node: str, status: PeerStatus, now: float) -> None:
        """Record a heartbeat; ignore it if its sender is not a peer."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.heartbeats.record_arrival(now)
            peer.status = status
            peer.connection_refused = False

    def record_connection(self, node: str, refused: bool) -> None:
        """Record whether the last connection attempt to a peer was refused."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.connection_refused = refused

    def record_write(self, node: str, now: float) -> None:
        """Record that a new write of a controller was observed in the records."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.last_write = now

    def record_leases(self, holders: Iterable[str]) -> None:
        """Record which controllers hold a valid lease according to the records."""
        holders = set(holders)
        for name, peer in self._peers.items():
            peer.holds_lease = name in holders

    def record_agent_failover(self, node: str, now: float) -> None:
        """Record that an agent of the given controller now reports to this one."""
        peer = self._peers.get(node)
        if peer is not None:
            recent = [at for at in peer.agent_failovers if now - at < self.report_s]
            peer.agent_failovers = [*recent, now]

    def record_wakeup(self, late_s: float, now: float) -> None:
        """Record that a timer of this process fired `late_s` seconds late.

        After a pause of this process all peers appear silent.  That silence is discounted, so that
        a controller that was paused does not suspect the others and take over their teams.
        """
        self.late_s += (late_s - self.late_s) * _LATENESS_SMOOTHING
        if late_s > _PAUSED_INTERVALS * self.heartbeat_interval_s:
            self._paused_until = now
            for peer in self._peers.values():
                peer.heartbeats.discount_silence(now)

    # Local health

    @property
    def is_late(self) -> bool:
        """Whether this process's timers are so late that it must not suspect other members."""
        return self._is_too_late(self.late_s)

    @property
    def health_multiplier(self) -> float:
        """The factor by which intervals are stretched while this process is late (Lifeguard)."""
        return min(_MAX_HEALTH_MULTIPLIER, 1 + self.late_s / self.heartbeat_interval_s)

    def is_warmed_up(self, now: float) -> bool:
        """Return whether enough time has passed since this process's last pause."""
        return now - self._paused_until > _WARM_UP_INTERVALS * self.heartbeat_interval_s

    def _is_too_late(self, late_s: float) -> bool:
        return late_s > _LATE_INTERVAL_SHARE * self.heartbeat_interval_s

    # Assessments

    def status(self, node: str) -> PeerStatus | None:
        """Return the status in a peer's last heartbeat, or None if there was none."""
        peer = self._peers.get(node)
        return peer.status if peer is not None else None

    def observations(self, now: float) -> dict[str, LinkObservation]:
        """Return this process's observations of the links to its peers, for its heartbeat."""
        return {
            name: LinkObservation(
                round(min(now - peer.heartbeats.last_arrival, 1e6), 3), peer.connection_refused
            )
            for name, peer in self._peers.items()
        }

    def assess(self, node: str, now: float) -> HealthAssessment:
        """Assess a peer's health from the evidence available now.

        Raises:
            KeyError: the controller is not a peer.
        """
        peer = self._peers[node]
        if not peer.holds_lease:
            return HealthAssessment(HealthLevel.EXPIRED, NO_LEASE_EVIDENCE)
        if self._is_in_contact(peer, now):
            return self._assess_in_contact(peer, now)
        return self._assess_silent(node, peer, now)

    def _is_in_contact(self, peer: _Peer, now: float) -> bool:
        """Return whether this process itself receives a peer's heartbeats."""
        if peer.connection_refused:
            return False
        return peer.heartbeats.phi(now, self.health_multiplier) < _SILENT_PHI

    def _assess_in_contact(self, peer: _Peer, now: float) -> HealthAssessment:
        """Assess a peer whose heartbeats arrive, from their content and arrival times."""
        status = peer.status
        phi = peer.heartbeats.phi(now, self.health_multiplier)
        if status is None:
            return HealthAssessment(HealthLevel.SLOW, "it sent no status yet")
        if status.leaving:
            return HealthAssessment(HealthLevel.LEAVING, "it says that it goes")
        if not status.store_reachable:
            return HealthAssessment(HealthLevel.UNREADY, "it does not reach the state service")
        if self._is_too_late(status.late_s):
            return HealthAssessment(HealthLevel.SLOW, f"its timers are {status.late_s:.2f} s late")
        if phi > _LATE_PHI:
            return HealthAssessment(HealthLevel.SLOW, f"its heartbeat is late (phi {phi:.1f})")
        return HealthAssessment(HealthLevel.HEALTHY, "")

    def _assess_silent(self, node: str, peer: _Peer, now: float) -> HealthAssessment:
        """Assess a peer whose heartbeats do not arrive here, from all available evidence.

        The evidence texts are stored in the roster with a suspicion.
        """
        own = peer.own_observation(now)
        evidence = ["we were refused" if own.refused else f"not heard for {own.silent_s:.1f} s"]
        all_refused = own.refused
        silent_s = now - max(peer.heartbeats.last_arrival, peer.last_write)
        for name, observed in self._observations_by_others(node, now):
            if self._is_recent_contact(observed):
                return HealthAssessment(
                    HealthLevel.PARTITIONED,
                    f"{name} receives its heartbeats",
                    silent_s=observed.silent_s,
                )
            silent_s = min(silent_s, observed.silent_s)
            other_evidence = (
                "was refused" if observed.refused else f"not for {observed.silent_s:.1f} s"
            )
            evidence.append(f"{name} {other_evidence}")
            all_refused = all_refused and observed.refused
        overdue = now - peer.last_write > _OVERDUE_INVENTORY_INTERVALS * self.inventory_interval_s
        if not overdue and self._wrote_after_last_heartbeat(peer):
            return HealthAssessment(
                HealthLevel.PARTITIONED, "it writes to the state service", silent_s=silent_s
            )
        if overdue:
            evidence.append("its summary is overdue")
        failovers = sum(now - at < self.report_s for at in peer.agent_failovers)
        if failovers >= _MIN_AGENT_FAILOVERS:
            evidence.append(f"{failovers} machines came over")
        return HealthAssessment(
            HealthLevel.SUSPECT, ", ".join(evidence), len(evidence), all_refused, silent_s
        )

    def _observations_by_others(
        self, node: str, now: float
    ) -> Iterator[tuple[str, LinkObservation]]:
        """Yield the other peers' observations of a peer, with their age added.

        Skips peers that are not in contact, report no observation, or are late themselves.
        """
        for name, other in self._peers.items():
            status = other.status
            if name == node or status is None or not self._is_in_contact(other, now):
                continue
            observed = status.observations.get(node)
            if observed is None or self._is_too_late(status.late_s):
                continue
            silent_s = observed.silent_s + now - other.heartbeats.last_arrival
            yield name, LinkObservation(silent_s, observed.refused)

    def _is_recent_contact(self, observed: LinkObservation) -> bool:
        recent = observed.silent_s < _CONTACT_INTERVALS * self.heartbeat_interval_s
        return not observed.refused and recent

    def _wrote_after_last_heartbeat(self, peer: _Peer) -> bool:
        """Return whether a peer wrote to the store after its last heartbeat.

        The margin excludes writes that were made before the silence and observed shortly after.
        """
        margin_s = _WRITE_MARGIN_INTERVALS * self.heartbeat_interval_s
        return peer.last_write > peer.heartbeats.last_arrival + margin_s
