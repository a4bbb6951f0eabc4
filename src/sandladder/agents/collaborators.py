"""The dependencies of this package's services, grouped by origin.

Dependencies on lower packages are concrete objects; those on higher layers are protocols or
callbacks.
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
    """The latest known observation of a machine by any controller."""

    @property
    def status(self) -> MachineStatus:
        """The machine's status."""

    @property
    def reporting_controller(self) -> str:
        """The controller that made the observation."""

    @property
    def at(self) -> float:
        """The time of the observation, in seconds on this controller's steady clock."""


class ClusterObservations(Protocol):
    """The combined observations of all controllers, by machine."""

    @property
    def now(self) -> float:
        """The time at which the observations are evaluated, in seconds on the steady clock."""

    @property
    def fresh_s(self) -> float:
        """The time for which an agent counts as reporting here after a heartbeat, in seconds."""

    def observation(self, machine: str) -> Observation | None:
        """Return the latest observation of a machine, or None if there is none."""

    def record_heartbeat(self, agent: AgentSession) -> None:
        """Update the observations from an agent's latest heartbeat."""

    def machine_changed(self, machine: str) -> None:
        """Recompute the state derived from a machine."""

    def forget_missing(self) -> None:
        """Remove the machines that no controller has observed for a long time."""


@dataclass(frozen=True)
class AgentRecords:
    """This controller's agent sessions and the state of their leases."""

    reconciler: Reconciler
    lease_expiry: LeaseExpiryProof
    renewal_guard: LeaseRenewalGuard


@dataclass(frozen=True)
class StoreAccess:
    """The cached records of the store; `reachable` tells whether the store answered recently."""

    cache: StateCache
    watch: StoreWatch
    reachable: Callable[[], bool]


@dataclass(frozen=True)
class ControllerGroup:
    """This controller, its lease and its connections to the other controllers."""

    node: str
    controller_lease: ControllerLease
    membership: MembershipService
    peers: PeerService


@dataclass(frozen=True)
class SchedulerCallbacks:
    """Callbacks to the scheduling layers, and the state shared with them.

    Attributes:
        cluster: the combined observations of all controllers.
        advance_time: sets the evaluation time of `cluster` to the current time on the steady clock
            and returns it, in seconds.
        record_ended_attempts: records attempts whose end is proved.
        commit_due_ends: commits the recorded ends whose delay has passed.
        avoided_machines: by job, the machines that it must not start on; this package removes the
            items of finished jobs.
        request_planning: triggers the next planning round.
    """

    cluster: ClusterObservations
    advance_time: Callable[[], float]
    record_ended_attempts: Callable[[Iterable[EndedAttempt]], None]
    commit_due_ends: Callable[[], None]
    avoided_machines: MutableMapping[str, set[str]]
    request_planning: Callable[[], None]
