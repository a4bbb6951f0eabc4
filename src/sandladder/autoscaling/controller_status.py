"""The status of the local controller, as the autoscaler reads it."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class ControllerStatus:
    """Accessors to the controller's current status.

    Attributes:
        records_loaded: returns whether the cache has completed its first read of the store.
        lease_alive: returns whether the controller's own lease in the store is certainly valid.
        isolated: returns whether, at a time on the steady clock, this controller has stopped
            receiving heartbeats from agents while other controllers still receive them.
        uptime_s: returns the controller's uptime in seconds at a time on the steady clock.
        fencing_token: returns the controller's current fencing token.
        wall_clock_s: returns the time of day, in seconds.
    """

    records_loaded: Callable[[], bool]
    lease_alive: Callable[[], bool]
    isolated: Callable[[float], bool]
    uptime_s: Callable[[float], float]
    fencing_token: Callable[[], int]
    wall_clock_s: Callable[[], float]
