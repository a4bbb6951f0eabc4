"""The health check of the load balancer."""

from collections.abc import Callable

from sandladder.api.answers import Answer, Healthy, Unhealthy
from sandladder.peers import PeerService
from sandladder.state import StateCache, StoreWatch


class HealthCheck:
    """Determines whether this controller can serve users' requests.

    A controller is healthy once it has read the records and knows the machine types.  If it cannot
    reach the key-value store, it is unhealthy only while a peer can reach it, so in a full store
    outage all controllers stay healthy.
    """

    def __init__(
        self,
        cache: StateCache,
        watch: StoreWatch,
        peers: PeerService,
        store_reachable: Callable[[], bool],
    ) -> None:
        self._cache = cache
        self._watch = watch
        self._peers = peers
        self._store_reachable = store_reachable

    def answer(self) -> Answer:
        """Answer a health check."""
        if not self._watch.loaded or not self._cache.machine_types:
            return Unhealthy()
        if not self._store_reachable() and self._peers.find_serving_peer() is not None:
            return Unhealthy()
        return Healthy()
