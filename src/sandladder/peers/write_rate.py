"""The division of the store's write rate among the controllers."""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.state import GroupCommitter, StateCache, StoreClient, StoreLimits

# A full transaction divided by this is added to each controller's demand, so that an idle one can
# write as well.
_IDLE_DEMAND_DIVISOR = 4


class PeerDemand(NamedTuple):
    """The maximum number of puts and deletes that wait for the store at a peer."""

    node: str
    waiting_operations: int | None  # None if the peer has sent no heartbeat recently


class WriteRateShare:
    """Sets this controller's share of the write rate in proportion to its demand."""

    def __init__(
        self, cache: StateCache, committer: GroupCommitter, limits: StoreLimits, store: StoreClient
    ) -> None:
        """Create a share for the client `store`.

        Args:
            cache: this process's cache of the records, with the live controllers' inventories.
            committer: provides this controller's demand.
            limits: the store's limits on transactions.
            store: the client whose token bucket gets the share.
        """
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._store = store

    @property
    def demand(self) -> int:
        """The maximum number of puts and deletes that wait at this controller."""
        return self._committer.demand

    def update(self, peers: Iterable[PeerDemand]) -> None:
        """Set the share from the demand of the peers and of this controller."""
        idle_demand = self._limits.txn_ops / _IDLE_DEMAND_DIVISOR
        own_demand = idle_demand + self._committer.demand
        total_demand = own_demand
        for node, waiting_operations in peers:
            if waiting_operations is not None:
                total_demand += idle_demand + waiting_operations
            elif node in self._cache.inventories:
                total_demand += own_demand  # alive, but its demand is unknown
        self._store.writes.share = own_demand / total_demand
