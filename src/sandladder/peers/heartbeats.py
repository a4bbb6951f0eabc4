"""The heartbeats between controllers: what this one says in them, and what the others said."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from sandladder import clock
from sandladder.membership import ControllerLease, MembershipService, PeerStatus
from sandladder.model import SCHEMA_V1, SCHEMA_V2, ClockReading
from sandladder.peers.write_rate import PeerDemand, WriteRateShare
from sandladder.state import StateCache
from sandladder.transport import PeerHeartbeat

# Cancelled jobs that one heartbeat names at the most, the latest; few ever have live tasks.
_MAX_NAMED_CANCELLATIONS = 256
# A peer counts as sending while its last heartbeat is younger than so many intervals.
_SENDING_INTERVALS = 3


@dataclass(frozen=True)
class LocalStatus:
    """What a heartbeat says of the services above this package, asked for whenever one is sent."""

    fencing_token: Callable[[], int]
    # Whether the state service answered of late.
    store_reachable: Callable[[], bool]
    # How many agents report here, at a time on the steady clock; None: it takes none.
    agents: Callable[[float], int | None]
    # By controller, the latest of its clock readings that arrived here.
    acknowledged: Callable[[], dict[str, ClockReading]]


class ClockExchange(Protocol):
    """Takes in a peer's clock and what it acknowledges, for the guard of lease renewals."""

    def __call__(
        self,
        node: str,
        sent: ClockReading,
        acknowledged: dict[str, ClockReading],
        cancelled_jobs_complete: bool,
        now: float,
        /,
    ) -> None:
        """A heartbeat arrived.

        Args:
            node: its sender.
            sent: when it was sent, on its sender's clock.
            acknowledged: by controller, the latest of its clock readings that the sender received.
            cancelled_jobs_complete: it names all cancelled jobs that its sender knows.
            now: on this process's steady clock, in seconds.
        """


@dataclass
class _PeerState:
    """What a peer's heartbeats said last."""

    heartbeat_at: float = float("-inf")  # when the last one arrived
    demand: int = 0  # changes that wait for the state service there
    schema_version: int = SCHEMA_V1  # the newest that it understands


class HeartbeatExchange:
    """Makes this controller's heartbeats and takes in those of its peers."""

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
        """Exchange heartbeats for one process of a controller.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            peers: the other controllers.
            interval_s: between two heartbeats at the most, in seconds.
            cache: knows the cancelled jobs.
            lease: this controller's own.
            membership: takes in the peers' status.
            write_rate: is updated with each heartbeat that is sent.
            status: what heartbeats say of the services above.
            on_clock_exchange: called with each heartbeat that arrives, first.
            on_cancelled_jobs: called with the cancelled jobs that it names, each committed.
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

    def make(self) -> PeerHeartbeat | None:
        """The heartbeat to send now; None while another process of this name has fenced this one.

        The share of the write rate is updated along the way.
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
            cancelled_jobs=cancelled_jobs[-_MAX_NAMED_CANCELLATIONS:],
            cancelled_jobs_complete=len(cancelled_jobs) <= _MAX_NAMED_CANCELLATIONS,
        )

    def receive(self, heartbeat: PeerHeartbeat) -> None:
        """Take in a heartbeat; one from a controller that the settings do not name is ignored."""
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
        """The controllers that send heartbeats and understand only the first schema."""
        now = clock.now()
        return {
            node
            for node, peer in self._peers.items()
            if peer.schema_version == SCHEMA_V1 and self._is_sending(peer, now)
        }

    def understands(self, node: str, schema_version: int) -> bool:
        """Whether a peer said that it understands this schema."""
        peer = self._peers.get(node)
        return peer is not None and peer.schema_version >= schema_version

    def _is_sending(self, peer: _PeerState, now: float) -> bool:
        return now - peer.heartbeat_at < _SENDING_INTERVALS * self._interval_s

    def _update_write_rate(self) -> None:
        now = clock.now()
        self._write_rate.update(
            PeerDemand(node, peer.demand if self._is_sending(peer, now) else None)
            for node, peer in self._peers.items()
        )
