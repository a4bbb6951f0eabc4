"""The heartbeats between controllers: building this one's, and receiving the peers'."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from sandladder import clock
from sandladder.membership import ControllerLease, MembershipService, PeerStatus
from sandladder.model import SCHEMA_V1, SCHEMA_V2, ClockReading
from sandladder.peers.write_rate import PeerDemand, WriteRateShare
from sandladder.state import StateCache
from sandladder.transport import PeerHeartbeat

# Upper bound on the cancelled jobs in a heartbeat; the latest ones are included.
_MAX_CANCELLED_JOBS = 256
# Age up to which a peer's last heartbeat counts as recent, in heartbeat intervals.
_RECENT_HEARTBEAT_INTERVALS = 3


@dataclass(frozen=True)
class LocalStatus:
    """The status of the services above this package, read whenever a heartbeat is built."""

    fencing_token: Callable[[], int]
    # Returns whether the store has answered recently.
    store_reachable: Callable[[], bool]
    # Returns the number of agents that report here at a time on the steady clock, or None if
    # this controller accepts no agents.
    agents: Callable[[float], int | None]
    # Returns, by controller, its latest clock reading that has arrived here.
    acknowledged: Callable[[], dict[str, ClockReading]]


class ClockExchange(Protocol):
    """Receives a peer's clock reading and acknowledgements, for the guard of lease renewals."""

    def __call__(
        self,
        node: str,
        sent: ClockReading,
        acknowledged: dict[str, ClockReading],
        cancelled_jobs_complete: bool,
        now: float,
        /,
    ) -> None:
        """Process the clock data of a heartbeat.

        Args:
            node: the heartbeat's sender.
            sent: when it was sent, on the sender's clock.
            acknowledged: by controller, its latest clock reading that the sender received.
            cancelled_jobs_complete: whether it lists all cancelled jobs that the sender knows.
            now: on this process's steady clock, in seconds.
        """


@dataclass
class _PeerState:
    """The contents of a peer's last heartbeat."""

    heartbeat_at: float = float("-inf")  # when it arrived
    demand: int = 0  # maximum number of puts and deletes that wait for the store at the peer
    schema_version: int = SCHEMA_V1  # the newest one that the peer supports


class HeartbeatExchange:
    """Builds this controller's heartbeats and processes those of its peers."""

    def __init__(
        self,
        *,
        node: str,
        process: int,
        peers: Iterable[str],
        interval_s: float,
        cache: StateCache,
        lease: ControllerLease,
        membership: MembershipService,
        write_rate: WriteRateShare,
        status: LocalStatus,
        on_clock_exchange: ClockExchange,
        on_cancelled_jobs: Callable[[list[str]], None],
    ) -> None:
        """Create the exchange for one process of a controller.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            peers: the other controllers.
            interval_s: the maximum interval between two heartbeats, in seconds.
            cache: this process's cache of the records, with the cancelled jobs.
            lease: this controller's lease.
            membership: receives the peers' status.
            write_rate: updated whenever a heartbeat is built.
            status: the status of the services above this package.
            on_clock_exchange: called with the clock data of each heartbeat, before anything else.
            on_cancelled_jobs: called with the cancelled jobs in each heartbeat; their
                cancellations are committed.
        """
        self._node = node
        self._process = process
        self._interval_s = interval_s
        self._cache = cache
        self._lease = lease
        self._membership = membership
        self._write_rate = write_rate
        self._status = status
        self._on_clock_exchange = on_clock_exchange
        self._on_cancelled_jobs = on_cancelled_jobs
        self._peers = {name: _PeerState() for name in peers}

    def build(self) -> PeerHeartbeat | None:
        """Return the heartbeat to send now, or None while this process is fenced.

        Also updates the share of the write rate.
        """
        if self._lease.superseded:
            return None
        self._update_write_rate()
        membership, now = self._membership, clock.now()
        cancelled_jobs = list(self._cache.cancelled)
        return PeerHeartbeat(
            self._node,
            self._lease.alive() and self._status.store_reachable(),
            self._write_rate.demand,
            SCHEMA_V2,
            incarnation=membership.own.incarnation if membership.own else 0,
            fencing_token=self._status.fencing_token(),
            late_s=round(membership.detector.late_s, 3),
            agents=self._status.agents(now),
            leaving=membership.leaving,
            observations=membership.detector.observations(now),
            process=self._process,
            sent_at=now,
            acknowledged=self._status.acknowledged(),
            cancelled_jobs=cancelled_jobs[-_MAX_CANCELLED_JOBS:],
            cancelled_jobs_complete=len(cancelled_jobs) <= _MAX_CANCELLED_JOBS,
        )

    def receive(self, heartbeat: PeerHeartbeat) -> None:
        """Process a heartbeat; ignore it if its sender is not a peer in the settings."""
        peer = self._peers.get(heartbeat.node)
        if peer is None:
            return
        now = clock.now()
        peer.heartbeat_at = now
        peer.demand = heartbeat.demand
        peer.schema_version = heartbeat.schema_version
        self._on_clock_exchange(
            heartbeat.node,
            ClockReading(heartbeat.process, heartbeat.sent_at),
            heartbeat.acknowledged,
            heartbeat.cancelled_jobs_complete,
            now,
        )
        self._on_cancelled_jobs(heartbeat.cancelled_jobs)
        status = PeerStatus(
            incarnation=heartbeat.incarnation,
            fencing_token=heartbeat.fencing_token,
            store_reachable=heartbeat.store_reachable,
            late_s=heartbeat.late_s,
            agents=heartbeat.agents,
            leaving=heartbeat.leaving,
            observations=heartbeat.observations,
        )
        self._membership.receive_heartbeat(heartbeat.node, status)

    def outdated_peers(self) -> set[str]:
        """Return the peers that send heartbeats and support schema version 1 only."""
        now = clock.now()
        return {
            node
            for node, peer in self._peers.items()
            if peer.schema_version == SCHEMA_V1 and self._has_recent_heartbeat(peer, now)
        }

    def supports_schema(self, node: str, schema_version: int) -> bool:
        """Return whether a peer has announced that it supports a schema version."""
        peer = self._peers.get(node)
        return peer is not None and peer.schema_version >= schema_version

    def _has_recent_heartbeat(self, peer: _PeerState, now: float) -> bool:
        return now - peer.heartbeat_at < _RECENT_HEARTBEAT_INTERVALS * self._interval_s

    def _update_write_rate(self) -> None:
        now = clock.now()
        self._write_rate.update(
            PeerDemand(node, peer.demand if self._has_recent_heartbeat(peer, now) else None)
            for node, peer in self._peers.items()
        )
