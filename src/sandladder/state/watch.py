"""The watch, which follows the store's log and updates the cache."""

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

# The share of this controller's request rate that reads on demand may use, and the divisor of the
# rate for reads without demand.
_DEMAND_RATE_SHARE = 0.5
_IDLE_RATE_DIVISOR = 6
# Maximum reads per agents' heartbeat interval: a read costs as much processor time as a heartbeat.
_DEMAND_READS_PER_HEARTBEAT, _IDLE_READS_PER_HEARTBEAT = 32, 16


class StoreWatch:
    """Polls the store's log and applies the changes to the cache.

    Attributes:
        loaded: whether the initial load of the cache is complete.
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
        """Create a watch; `run` reads.

        Args:
            store: the client to read with.
            cache: the cache to update.
            controller_count: the number of controllers that share the rate limits.
            on_change: called with the keys that a read changed, and after each full read.
            on_synced: called after a read with the time on the steady clock at which it was sent;
                the cache holds all commits before that time.
            agent_heartbeat_s: the interval of the agents' heartbeats, in seconds.
        """
        self._store = store
        self._cache = cache
        self._on_change = on_change
        self._on_synced = on_synced
        rate = store.limits.rps / controller_count
        self._min_interval_s = max(
            1 / (_DEMAND_RATE_SHARE * rate), agent_heartbeat_s / _DEMAND_READS_PER_HEARTBEAT
        )
        self._idle_interval_s = max(
            _IDLE_RATE_DIVISOR / rate, agent_heartbeat_s / _IDLE_READS_PER_HEARTBEAT
        )
        self._demand = Signal()
        self._barriers: list[anyio.Event] = []
        self.loaded = False

    async def barrier(self) -> None:
        """Wait until the cache holds all commits before this call.

        Waits indefinitely while the store does not respond.  Cancellation affects no other waiter.
        """
        event = anyio.Event()
        self._barriers.append(event)
        self._demand.set()
        await event.wait()

    def wake(self) -> None:
        """Request a read soon, as records have changed or are about to."""
        self._demand.set()

    async def run(self) -> None:
        """Poll the store's log until cancelled.

        Raises:
            UnknownSchemaVersionError: this program does not support the records.
        """
        while True:
            sent = clock.now()
            barriers, self._barriers = self._barriers, []
            try:
                await self._read_changes()
            except (StoreRequestError, MalformedMessageError) as error:
                log.debug("failed to read the store: %s", error)
                self._barriers = barriers + self._barriers
                await anyio.sleep(self._min_interval_s * 2)
                continue
            self._on_synced(sent)
            for event in barriers:
                event.set()
            remaining_s = self._min_interval_s - (clock.now() - sent)
            await anyio.sleep(max(0.0, remaining_s))
            if not self._barriers:
                await self._demand.wait(self._idle_interval_s)

    async def _read_changes(self) -> None:
        changes = await self._store.follow(self._cache.revision) if self.loaded else None
        changed: dict[str, None] = {}
        load = changes is None
        if changes is None:
            changed = await self._load()
            changes = await self._store.follow(self._cache.revision)
            if changes is None:
                raise StoreRequestError("the store's log was compacted during the initial load")
        # After a load the records are used only once the changes made during it are applied: until
        # then the parts of split records may not match.
        changed = changed | self._cache.apply(changes.revision, changes.entries)
        self.loaded = True
        if changed or load:
            self._on_change(changed)

    async def _load(self) -> dict[str, None]:
        """Load all records into the cache, and return the keys that changed."""
        entries: list[StoredEntry] = []
        revisions = []
        for prefix in STARTUP_PREFIXES:
            stored = await self._store.read_all(prefix)
            revisions.append(stored.revision)
            entries += stored.entries
        changed = self._cache.reset(min(revisions), entries)
        log.info("loaded %d records as of revision %d", len(entries), min(revisions))
        return changed
