"""What routines of one process tell each other with."""

import anyio


class Signal:
    """A flag that one routine waits for and others raise."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        self._event.set()

    async def wait(self, timeout: float | None = None) -> bool:
        """Wait until raised, then lower it; False when the time ran out first."""
        with anyio.move_on_after(timeout):
            await self._event.wait()
        raised = self._event.is_set()
        self._event = anyio.Event()
        return raised
