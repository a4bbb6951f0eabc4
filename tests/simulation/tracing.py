"""The trace of a simulation: each request, response and peer message in its order.

`tools/same_plays.py` and `tools/first_difference.py` compare traces byte for byte.
"""

from collections.abc import Callable

from simulation.event_loop import now


class Trace:
    """Hands each event to a listener in its order; silent while there is none."""

    def __init__(self) -> None:
        self.listener: Callable[[str], None] | None = None

    def record(self, event: str, *details: object) -> None:
        """Hand on one event, with the virtual time in seconds."""
        if self.listener is not None:
            self.listener(f"{now():.6f} {event} {' '.join(map(str, details))}")


TRACE = Trace()
