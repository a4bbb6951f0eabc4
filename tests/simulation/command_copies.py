"""Copies of direct commands that were executed and answered, delivered to the worker once more."""

import functools
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple

import anyio

from sandladder.transport import Request
from simulation.deployment import LEASE_S

# Range of the delay of a copy, in seconds; up to well over a lease.
_DELAY_S = (0.2, 2.0 * LEASE_S)


class _Command(NamedTuple):
    """A direct command that was executed and answered."""

    source: str
    target: str
    request: Request


class CommandCopies:
    """Copies a share of the answered direct commands, or keeps copies until they are requested."""

    def __init__(
        self,
        rng: Random,
        observed: Counter[str],
        start: Callable[[Callable[[], Awaitable[object]]], None],
        deliver: Callable[[str, str, Request], Awaitable[object]],
    ) -> None:
        """Copy nothing yet.

        Args:
            rng: draws the commands and the delays.
            observed: counts the delivered copies.
            start: starts a routine of the simulation.
            deliver: delivers a request to a host.
        """
        self.share = 0.0  # commands that are delivered again after a random delay
        self.kept: list[_Command] | None = None  # while a list, all commands are kept there
        self._rng = rng
        self._observed = observed
        self._start = start
        self._deliver = deliver

    def record(self, source: str, target: str, request: Request) -> None:
        """Record that a host has executed and answered a direct command."""
        command = _Command(source, target, request)
        if self.kept is not None:
            self.kept.append(command)
        if self.share and self._rng.random() < self.share:
            delay_s = self._rng.uniform(*_DELAY_S)
            self._start(functools.partial(self._deliver_after, delay_s, command))

    def deliver_kept(self, source: str | None = None, target: str | None = None) -> int:
        """Deliver the kept copies from and to the given hosts, or all; return their number."""
        selected = [
            command
            for command in self.kept or ()
            if source in (None, command.source) and target in (None, command.target)
        ]
        for command in selected:
            self._start(functools.partial(self._deliver_after, 0.0, command))
        return len(selected)

    async def _deliver_after(self, delay_s: float, command: _Command) -> None:
        """Deliver a copy after a delay; nobody waits for the response."""
        await anyio.sleep(delay_s)
        self._observed["copied command"] += 1
        await self._deliver(*command)
