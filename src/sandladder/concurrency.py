"""What the routines of one process use to tell each other things and to start each other."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup


class Signal:
    """A flag that one routine waits for and others raise."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Raise the flag; raising it again before it was seen changes nothing."""
        self._event.set()

    async def wait(self, timeout: float | None = None) -> bool:
        """Wait until raised, then lower it.

        Args:
            timeout: for how long to wait at most, in seconds; None: without end.

        Returns:
            False when the time ran out first.

        Cancelled, it leaves the flag as it is.
        """
        with anyio.move_on_after(timeout):
            await self._event.wait()
        raised = self._event.is_set()
        self._event = anyio.Event()
        return raised


class BackgroundTasks:
    """Starts routines in a task group that is opened after those who use it were made.

    The group's owner cancels and joins the routines; nothing here outlives it.
    """

    def __init__(self) -> None:
        self._group: TaskGroup | None = None

    @property
    def running(self) -> bool:
        """Whether the group has been opened."""
        return self._group is not None

    def open(self, group: TaskGroup) -> None:
        """Use this group from now on."""
        self._group = group

    def start_soon(
        self, routine: Callable[..., Coroutine[Any, Any, Any]], *arguments: object
    ) -> None:
        """Start a routine in the group.

        Raises:
            RuntimeError: the group has not been opened yet.
        """
        if self._group is None:
            raise RuntimeError("the task group has not been opened")
        self._group.start_soon(routine, *arguments)
