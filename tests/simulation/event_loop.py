"""An event loop with a virtual clock, and simulated processors."""

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import Any

# Start of the virtual clock, in seconds; any value except zero.
_START_S = 1000.0


class Processor:
    """The simulated processor of one controller; it can be frozen or slowed down."""

    def __init__(self) -> None:
        self.frozen = False
        self.step_s = 0.0  # duration of each step of a routine, in seconds
        self.busy_until = 0.0
        self.deferred_steps: deque[Callable[[], object]] = deque()

    def thaw(self) -> None:
        """Schedule the steps that became due while the processor was frozen."""
        self.frozen = False
        loop = asyncio.get_running_loop()
        deferred, self.deferred_steps = self.deferred_steps, deque()
        for step in deferred:
            loop.call_soon(step)


# The processor of the current routine; None for the simulation itself.
CURRENT_PROCESSOR: contextvars.ContextVar[Processor | None] = contextvars.ContextVar(
    "CURRENT_PROCESSOR", default=None
)


class VirtualTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances to the next timer when no callback is ready.

    Callbacks scheduled in the context of a `Processor` run on it one at a time.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = _START_S

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """Schedule a callback, on the processor of its context if any."""
        context = context or contextvars.copy_context()
        if context.get(CURRENT_PROCESSOR) is None:
            return super().call_soon(callback, *args, context=context)
        # The step checks its own handle, which exists only after scheduling.
        handle_cell: list[asyncio.Handle] = []
        handle_cell.append(
            super().call_soon(self._step, callback, args, context, handle_cell, context=context)
        )
        return handle_cell[0]

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """Schedule a callback at a virtual time, on the processor of its context if any."""
        context = context or contextvars.copy_context()
        if context.get(CURRENT_PROCESSOR) is None:
            return super().call_at(when, callback, *args, context=context)
        handle_cell: list[asyncio.Handle] = []
        handle_cell.append(
            super().call_at(when, self._step, callback, args, context, handle_cell, context=context)
        )
        return handle_cell[0]

    def _step(
        self, callback: Any, args: Any, context: Any, handle_cell: Any, due: bool = False
    ) -> None:
        """Run one step of a controller's routine, or defer it until its processor is available.

        `due` marks a step whose duration, `step_s`, has elapsed.
        """
        processor = context[CURRENT_PROCESSOR]
        if handle_cell[0].cancelled():
            return
        if processor.frozen:
            processor.deferred_steps.append(
                lambda: context.run(self._step, callback, args, context, handle_cell, due)
            )
        elif due or not processor.step_s:
            callback(*args)
        else:
            processor.busy_until = max(self._virtual_s, processor.busy_until) + processor.step_s
            deferred_args = (callback, args, context, handle_cell, True)
            super().call_at(processor.busy_until, self._step, *deferred_args, context=context)

    def _run_once(self) -> None:
        if not self._ready:  # type: ignore[attr-defined]
            timers = self._scheduled  # type: ignore[attr-defined]
            assert timers, "deadlock: nothing is ready and no timer is set"
            self._virtual_s = max(self._virtual_s, timers[0]._when)
        super()._run_once()  # type: ignore[misc]


def now() -> float:
    """Return the virtual time in seconds."""
    return asyncio.get_running_loop().time()
