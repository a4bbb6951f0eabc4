"""Keeps the cache of the records current."""

import logging
from collections.abc import Callable
from typing import Any

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.protocol import wire
from sandladder.state.cache import StateCache
from sandladder.state.errors import StoreRequestError
from sandladder.state.records import PREFIXES
from sandladder.state.store_client import StoreClient

log = logging.getLogger(__name__)


class StoreWatch:
    """Keeps the mirror current, and tells when it is as new as a moment that just passed."""

    def __init__(
        self,
        state: StoreClient,
        cache: StateCache,
        nodes: int,
        on_change: Callable[[dict[str, None]], None],
        on_synced: Callable[[float], None],
        report_s: float,
    ) -> None:
        self._store = state
        self._mirror = cache
        self._on_change = on_change
        self._on_synced = on_synced
        share = state.limits.rps / nodes
        # On demand readings may take half of our share, idle ones a sixth, and no more than
        # a person would notice: each costs us as much as a worker's report.
        self._spacing_s = max(1 / (0.5 * share), report_s / 32)
        self._idle_s = max(6 / share, report_s / 16)
        self._demand = Signal()
        self._waiting: list[anyio.Event] = []
        self.loaded = False

    async def barrier(self) -> None:
        """Return once the mirror holds everything committed before this call."""
        event = anyio.Event()
        self._waiting.append(event)
        self._demand.set()
        await event.wait()

    def wake(self) -> None:
        """There is news, or soon will be."""
        self._demand.set()

    async def run(self) -> None:
        """Read the changes again and again until cancelled."""
        while True:
            sent = clock.now()
            waiting, self._waiting = self._waiting, []
            try:
                await self._advance()
            except (StoreRequestError, wire.MalformedMessageError) as error:
                log.debug("reading the state service failed: %s", error)
                self._waiting = waiting + self._waiting
                await anyio.sleep(self._spacing_s * 2)
                continue
            self._on_synced(sent)
            for event in waiting:
                event.set()
            left = self._spacing_s - (clock.now() - sent)
            await anyio.sleep(max(0.0, left))
            if not self._waiting:
                await self._demand.wait(self._idle_s)

    async def _advance(self) -> None:
        found = await self._store.follow(self._mirror.revision) if self.loaded else None
        read: dict[str, None] = {}
        if found is None:
            read = await self._load()
            found = await self._store.follow(self._mirror.revision)
            if found is None:
                raise StoreRequestError("the log moved on while it was read")
        # Nobody acts on what was read before the changes made meanwhile are in: records of
        # several parts may not fit together until then.
        changed = read | self._mirror.apply(*found)
        self.loaded = True
        if changed:
            self._on_change(changed)

    async def _load(self) -> dict[str, None]:
        items: list[tuple[str, Any, int]] = []
        revisions = []
        for prefix in PREFIXES:
            revision, found = await self._store.read_all(prefix)
            revisions.append(revision)
            items += found
        changed = self._mirror.reset(min(revisions), items)
        log.info("read %d records as of revision %d", len(items), min(revisions))
        return changed
