"""Types for the status that controllers send, and for assessments of their health."""

import enum
from typing import NamedTuple

from sandladder.transport import LinkObservation


class HealthLevel(enum.IntEnum):
    """How healthy a controller is, from best to worst."""

    HEALTHY = 0
    SLOW = 1  # its heartbeats or its timers are late
    PARTITIONED = 2  # its heartbeats do not arrive here, but other evidence shows that it is alive
    UNREADY = 3  # its status says that it cannot reach the store or has no valid lease
    SUSPECT = 4  # no controller is known to receive its heartbeats
    LEAVING = 5  # its status says that it shuts down
    EXPIRED = 6  # its lease has expired in the store; the only level that is certain


class PeerStatus(NamedTuple):
    """The status of a controller and its observations of the others, as sent in heartbeats."""

    incarnation: int  # the fencing token with which its process joined; 0 before that
    fencing_token: int  # its current fencing token
    store_reachable: bool  # the store answers its requests and its lease is valid
    late_s: float  # how late its timers fire, in seconds
    agents: int | None  # number of agents that report to it; None if it accepts no agents
    leaving: bool
    observations: dict[str, LinkObservation]  # of the other controllers, by name


class HealthAssessment(NamedTuple):
    """A controller's health and the evidence for it."""

    level: HealthLevel
    evidence: str  # human-readable; stored in the roster with a suspicion or an eviction
    witnesses: int = 0  # number of independent pieces of evidence that it has failed
    all_refused: bool = False  # each controller that does not reach it was refused the connection
    silent_s: float = 0.0  # seconds since it was last observed to be alive

    @property
    def can_serve(self) -> bool:
        """Whether the controller can be given work."""
        return self.level <= HealthLevel.SLOW
