"""What controllers say of themselves, and how healthy another one is taken to be.  Types alone."""

import enum
from typing import NamedTuple

from sandladder.transport import LinkObservation


class HealthLevel(enum.IntEnum):
    """How healthy a controller is, from best to worst."""

    HEALTHY = 0
    SLOW = 1  # its heartbeats or its timers are late
    PARTITIONED = 2  # this process does not receive its heartbeats, and somebody sees it alive
    UNREADY = 3  # it says itself that it cannot do its part
    SUSPECT = 4  # nobody is known to receive its heartbeats
    LEAVING = 5  # it said that it shuts down
    EXPIRED = 6  # its lease has ended: the one verdict, from the state service


class PeerStatus(NamedTuple):
    """What a controller says of itself and of the others in each heartbeat."""

    incarnation: int  # the fencing token with which its process joined; 0 before that
    fencing_token: int  # the one that it has now
    store_reachable: bool  # the state service answers it and its lease lasts
    late_s: float  # how late its timers fire, in seconds
    agents: int | None  # how many report to it; None: it takes none
    leaving: bool
    observations: dict[str, LinkObservation]  # of the other controllers, by name


class HealthAssessment(NamedTuple):
    """A controller's health with the evidence for it."""

    level: HealthLevel
    evidence: str  # for people; what of it justifies a suspicion or an eviction is stored
    witnesses: int = 0  # independent ones that do not see it alive
    all_refused: bool = False  # all observers against it were refused the connection
    silent_s: float = 0.0  # for how long nobody has seen a sign of life, in seconds

    @property
    def can_serve(self) -> bool:
        """Whether it can be given something to do."""
        return self.level <= HealthLevel.SLOW
