"""The trace of a simulation: all requests, responses and peer messages, in order.

`tools/same_plays.py` and `tools/first_difference.py` compare traces byte for byte.
"""

from collections.abc import Callable

from simulation.event_loop import now


class Trace:
    """Passes each event to the listener, if there is one."""

    def __init__(self) -> None:
        self.listener: Callable[[str], None] | None = None

    def record(self, event: str, *details: object) -> None:
        """Pass on an event, with the virtual time in seconds."""
        if self.listener is not None:
            self.listener(f"{now():.6f} {event} {' '.join(map(str, details))}")


TRACE = Trace()
