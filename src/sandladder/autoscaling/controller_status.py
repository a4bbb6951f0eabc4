"""What the autoscaler asks of the controller that it is part of."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class ControllerStatus:
    """Answers about the controller, each as of the moment at which it is asked for.

    Attributes:
        records_loaded: whether the cache has read the store once.
        lease_alive: whether the controller's own lease in the store surely lasts.
        isolated: whether, at a moment on the steady clock, no agent reaches this controller any
            more, of several that did, while other controllers still receive heartbeats.
        uptime_s: for how long the controller has run, in seconds, at a moment on the steady clock.
        fencing_token: the controller's current fencing token.
        wall_clock_s: the time of day, in seconds.
    """

    records_loaded: Callable[[], bool]
    lease_alive: Callable[[], bool]
    isolated: Callable[[float], bool]
    uptime_s: Callable[[float], float]
    fencing_token: Callable[[], int]
    wall_clock_s: Callable[[], float]
