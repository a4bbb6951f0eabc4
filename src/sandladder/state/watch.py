"""Keeps the cache of the records current."""

import logging
from collections.abc import Callable

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.protocol import MalformedMessageError
from sandladder.state.cache import StateCache
from sandladder.state.entries import StoredEntry
from sandladder.state.errors import StoreRequestError
from sandladder.state.keys import STARTUP_PREFIXES
from sandladder.state.store_client import StoreClient

log = logging.getLogger(__name__)

# The shares of this controller's part of the request rate that reads may take: on demand half of
# it, idle ones a sixth.
_DEMAND_RATE_SHARE = 0.5
_IDLE_RATE_DIVISOR = 6
# And reads are no more frequent than a person would notice, in parts of the heartbeat interval:
# each costs the controller as much as an agent's heartbeat.
_DEMAND_READS_PER_HEARTBEAT, _IDLE_READS_PER_HEARTBEAT = 32, 16


class StoreWatch:
    """Reads the store's log into the cache, again and again.

    Attributes:
        loaded: whether the cache has held all records at some time.
    """

    def __init__(
        self,
        store: StoreClient,
        cache: StateCache,
        controller_count: int,
        on_change: Callable[[dict[str, None]], None],
        on_synced: Callable[[float], None],
        agent_heartbeat_s: float,
    ) -> None:
        """Prepare the watch; `run` reads.

        Args:
            store: the client to read with.
            cache: where the changes go.
            controller_count: how many controllers share the rate limits.
            on_change: called with the keys that a read changed.
            on_synced: called after a read with the time at which it was sent, on the steady clock:
                the cache holds everything committed before.
            agent_heartbeat_s: the interval of the agents' heartbeats, in seconds.
        """
        self._store = store
        self._cache = cache
        self._on_change = on_change
        self._on_synced = on_synced
        rate = store.limits.rps / controller_count
        self._spacing_s = max(
            1 / (_DEMAND_RATE_SHARE * rate), agent_heartbeat_s / _DEMAND_READS_PER_HEARTBEAT
        )
        self._idle_s = max(_IDLE_RATE_DIVISOR / rate, agent_heartbeat_s / _IDLE_READS_PER_HEARTBEAT)
        self._demand = Signal()
        self._waiting: list[anyio.Event] = []
        self.loaded = False

    async def barrier(self) -> None:
        """Wait until the cache holds everything committed before this call.

        While the store does not answer this waits on; cancelling it has no effect on others.
        """
        event = anyio.Event()
        self._waiting.append(event)
        self._demand.set()
        await event.wait()

    def wake(self) -> None:
        """Read soon: something was committed, or is about to be."""
        self._demand.set()

    async def run(self) -> None:
        """Read the changes again and again until cancelled.

        Raises:
            UnknownSchemaVersionError: this program does not support the records.
        """
        while True:
            sent = clock.now()
            waiting, self._waiting = self._waiting, []
            try:
                await self._read_changes()
            except (StoreRequestError, MalformedMessageError) as error:
                log.debug("reading the store failed: %s", error)
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

    async def _read_changes(self) -> None:
        changes = await self._store.follow(self._cache.revision) if self.loaded else None
        changed: dict[str, None] = {}
        if changes is None:
            changed = await self._load()
            changes = await self._store.follow(self._cache.revision)
            if changes is None:
                raise StoreRequestError("the store's log moved on while the records were read")
        # Nobody acts on what was read before the changes made meanwhile are in: the parts of
        # records that are split may not match until then.
        changed = changed | self._cache.apply(changes.revision, changes.entries)
        self.loaded = True
        if changed:
            self._on_change(changed)

    async def _load(self) -> dict[str, None]:
        """Read all records; the keys that changed."""
        entries: list[StoredEntry] = []
        revisions = []
        for prefix in STARTUP_PREFIXES:
            found = await self._store.read_all(prefix)
            revisions.append(found.revision)
            entries += found.entries
        changed = self._cache.reset(min(revisions), entries)
        log.info("read %d records as of revision %d", len(entries), min(revisions))
        return changed
