"""How the controllers divide the state service's write rate among them."""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.state import GroupCommitter, StateCache, StoreClient, StoreLimits

# A controller is granted this part of a transaction though nothing waits in it.
_IDLE_DEMAND_DIVISOR = 4


class PeerDemand(NamedTuple):
    """What waits for the state service in a peer."""

    node: str
    changes: int | None  # None: it has sent no heartbeat of late


class WriteRateShare:
    """Sets this controller's share of the write rate by what waits in each controller."""

    def __init__(
        self, cache: StateCache, committer: GroupCommitter, limits: StoreLimits, store: StoreClient
    ) -> None:
        """Set the share of `store`.

        Args:
            cache: knows which controllers live.
            committer: knows what waits here.
            limits: of the state service's transactions.
            store: whose token bucket gets the share.
        """
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._store = store

    @property
    def demand(self) -> int:
        """How many puts and deletes wait here at most."""
        return self._committer.demand

    def update(self, peers: Iterable[PeerDemand]) -> None:
        """Set the share by what waits in the peers, and here."""
        idle = self._limits.txn_ops / _IDLE_DEMAND_DIVISOR
        own = idle + self._committer.demand
        total = own
        for node, changes in peers:
            if changes is not None:
                total += idle + changes
            elif node in self._cache.inventories:
                total += own  # it lives, and its demand is unknown: it may need as much
        self._store.writes.share = own / total
