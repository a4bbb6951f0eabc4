"""Signals between coroutines, and the start of background tasks."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup


class Signal:
    """An auto-reset event for one waiting coroutine."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Set the signal; has no effect if it is already set."""
        self._event.set()

    async def wait(self, timeout: float | None = None) -> bool:
        """Wait until the signal is set, then reset it.

        A cancelled wait does not reset the signal.

        Args:
            timeout: the maximum time to wait, in seconds; None: no limit.

        Returns:
            Whether the signal was set before the timeout.
        """
        with anyio.move_on_after(timeout):
            await self._event.wait()
        was_set = self._event.is_set()
        self._event = anyio.Event()
        return was_set


class BackgroundTasks:
    """Starts coroutines in a task group that is opened after the objects that use it are created.

    The owner of the group cancels and awaits the tasks.
    """

    def __init__(self) -> None:
        self._group: TaskGroup | None = None

    @property
    def running(self) -> bool:
        """Whether the group has been opened."""
        return self._group is not None

    def open(self, group: TaskGroup) -> None:
        """Set the task group in which tasks are started."""
        self._group = group

    def start_soon(
        self, function: Callable[..., Coroutine[Any, Any, Any]], *arguments: object
    ) -> None:
        """Start a coroutine function as a task in the group.

        Raises:
            RuntimeError: `open` has not been called yet.
        """
        if self._group is None:
            raise RuntimeError("the task group has not been opened")
        self._group.start_soon(function, *arguments)
