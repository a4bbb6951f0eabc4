"""What the services of this package use from others, grouped by where it comes from.

What lies in lower packages comes as the object itself; what lies above comes as a protocol or a
callback.
"""

from collections.abc import Callable, Iterable, MutableMapping
from dataclasses import dataclass
from typing import Protocol

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.lease_renewal_guard import LeaseRenewalGuard
from sandladder.agents.reconciler import Reconciler
from sandladder.membership import ControllerLease, MembershipService
from sandladder.model import EndedAttempt, MachineStatus
from sandladder.peers import PeerService
from sandladder.state import StateCache, StoreWatch


class Observation(Protocol):
    """The latest that any controller is known to have observed of a machine."""

    @property
    def status(self) -> MachineStatus:
        """The machine's status."""

    @property
    def reporting_controller(self) -> str:
        """The controller that observed it."""

    @property
    def at(self) -> float:
        """When that was, in seconds on this controller's steady clock."""


class ClusterObservations(Protocol):
    """The machines as all controllers together observe them."""

    @property
    def now(self) -> float:
        """The moment as of which it answers, in seconds on the steady clock."""

    @property
    def fresh_s(self) -> float:
        """For how many seconds an agent that sent a heartbeat here counts as reporting here."""

    def observation(self, machine: str) -> Observation | None:
        """The latest observation of a machine."""

    def record_heartbeat(self, agent: AgentSession) -> None:
        """Take in what an agent's latest heartbeat shows."""

    def machine_changed(self, machine: str) -> None:
        """Work out anew what is derived of a machine."""

    def forget_missing(self) -> None:
        """Drop the machines that no controller has observed for long."""


@dataclass(frozen=True)
class AgentRecords:
    """What this controller keeps of its agents, and the proofs that rest on it."""

    reconciler: Reconciler
    lease_expiry: LeaseExpiryProof
    renewal_guard: LeaseRenewalGuard


@dataclass(frozen=True)
class StoreAccess:
    """The store's records; `reachable`: whether the store has answered of late."""

    cache: StateCache
    watch: StoreWatch
    reachable: Callable[[], bool]


@dataclass(frozen=True)
class ControllerGroup:
    """This controller among the others."""

    node: str
    controller_lease: ControllerLease
    membership: MembershipService
    peers: PeerService


@dataclass(frozen=True)
class SchedulerCallbacks:
    """What the layers above are given and asked for.

    Attributes:
        cluster: the machines as all controllers observe them.
        advance_time: sets the moment as of which `cluster` answers to now, on the steady clock,
            and returns it, in seconds.
        record_ended_attempts: takes in attempts whose end is proved.
        commit_due_ends: commits the ends that have waited long enough.
        avoided_machines: by job, the machines that it is not started on; finished jobs are removed.
        request_planning: has the next round of planning begin.
    """

    cluster: ClusterObservations
    advance_time: Callable[[], float]
    record_ended_attempts: Callable[[Iterable[EndedAttempt]], None]
    commit_due_ends: Callable[[], None]
    avoided_machines: MutableMapping[str, set[str]]
    request_planning: Callable[[], None]
