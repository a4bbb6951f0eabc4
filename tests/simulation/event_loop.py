"""Virtual time: an event loop whose clock jumps to the next timer, and simulated processors."""

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import Any

# What the clock shows at the start, in seconds: any moment but zero.
_START_S = 1000.0


class Processor:
    """What the routines of one controller run on; it may be frozen, or take time for each step."""

    def __init__(self) -> None:
        self.frozen = False
        self.step_s = 0.0  # how long each step of a routine takes, in seconds
        self.busy_until = 0.0
        self.deferred_steps: deque[Callable[[], object]] = deque()

    def thaw(self) -> None:
        """Go on with the steps that became due meanwhile; the clocks ran on."""
        self.frozen = False
        loop = asyncio.get_running_loop()
        deferred, self.deferred_steps = self.deferred_steps, deque()
        for step in deferred:
            loop.call_soon(step)


# Whose routine runs; None for the simulation itself.
CURRENT_PROCESSOR: contextvars.ContextVar[Processor | None] = contextvars.ContextVar(
    "CURRENT_PROCESSOR", default=None
)


class VirtualTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is left to run.

    Callbacks scheduled in the context of a `Processor` take turns on it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = _START_S

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._virtual_s

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """Schedule a callback, on the processor of its context if there is one."""
        context = context or contextvars.copy_context()
        if context.get(CURRENT_PROCESSOR) is None:
            return super().call_soon(callback, *args, context=context)
        # The step looks at its own handle, which is known only after it was scheduled.
        cell: list[asyncio.Handle] = []
        cell.append(super().call_soon(self._step, callback, args, context, cell, context=context))
        return cell[0]

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """Schedule a callback at a virtual time, on the processor of its context if any."""
        context = context or contextvars.copy_context()
        if context.get(CURRENT_PROCESSOR) is None:
            return super().call_at(when, callback, *args, context=context)
        cell: list[asyncio.Handle] = []
        cell.append(
            super().call_at(when, self._step, callback, args, context, cell, context=context)
        )
        return cell[0]

    def _step(self, callback: Any, args: Any, context: Any, cell: Any, due: bool = False) -> None:
        """One step of a controller's routine: now, or when its processor comes to it."""
        processor = context[CURRENT_PROCESSOR]
        if cell[0].cancelled():
            return
        if processor.frozen:
            processor.deferred_steps.append(
                lambda: context.run(self._step, callback, args, context, cell, due)
            )
        elif due or not processor.step_s:
            callback(*args)
        else:
            processor.busy_until = max(self._virtual_s, processor.busy_until) + processor.step_s
            again = (callback, args, context, cell, True)
            super().call_at(processor.busy_until, self._step, *again, context=context)

    def _run_once(self) -> None:
        if not self._ready:  # type: ignore[attr-defined]
            timers = self._scheduled  # type: ignore[attr-defined]
            assert timers, "deadlock: nothing is ready and no timer is set"
            self._virtual_s = max(self._virtual_s, timers[0]._when)
        super()._run_once()  # type: ignore[misc]


def now() -> float:
    """The virtual time in seconds."""
    return asyncio.get_running_loop().time()
