"""The event loop: what is ready runs before the sockets are looked at again."""

import asyncio
import selectors
from typing import Any

# So many rounds of the loop may pass by without a look at the sockets while work is ready.
_MOST_SKIPPED = 8


class LazySelector(selectors.DefaultSelector):
    """Leaves out looks at the sockets that would not wait, a few in a row.

    Every checkpoint of a routine costs the loop a round, and each round a system call that
    mostly finds nothing: in a measured day half of a controller's processor time was these.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is not None and timeout <= 0 and self._skipped < _MOST_SKIPPED:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def new_loop() -> asyncio.AbstractEventLoop:
    """An event loop for `anyio.run`'s `loop_factory`."""
    return asyncio.SelectorEventLoop(LazySelector())
