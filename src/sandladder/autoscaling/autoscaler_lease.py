"""The lease under which one controller at a time is the autoscaler."""

import logging
from collections.abc import Callable

from sandladder import clock
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.state import (
    AUTOSCALER_KEY,
    PRIORITY_JOB,
    GroupCommitter,
    LeaseExpiredError,
    LeaseRenewal,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreClient,
    Transaction,
)

log = logging.getLogger(__name__)

# The share of the time to live that is counted on, as clocks drift apart.
_TRUSTED_SHARE = 0.95
# The lease is renewed once less than this share of its time to live is left.
_RENEWED_SHARE = 0.6


class AutoscalerLease:
    """A key in the store under a short lease; its value names the autoscaler."""

    def __init__(
        self,
        node: str,
        ttl_s: float,
        cache: StateCache,
        store: StoreClient,
        committer: GroupCommitter,
        controller: ControllerStatus,
        on_acquired: Callable[[], None],
    ) -> None:
        """
        Args:
            node: this controller's name.
            ttl_s: the lease's time to live, in seconds.
            cache: the records.
            store: grants and renews leases.
            committer: writes the key.
            controller: whether this controller may be the autoscaler.
            on_acquired: called when this controller has become the autoscaler.
        """
        self._node = node
        self._ttl_s = ttl_s
        self._cache = cache
        self._store = store
        self._committer = committer
        self._controller = controller
        self._on_acquired = on_acquired
        self._renewal: LeaseRenewal | None = None
        self._version = 0  # of the key that is ours

    @property
    def acquired(self) -> bool:
        """Whether the lease was ours when it was last looked at; it may have expired since."""
        return self._renewal is not None

    async def ensure(self) -> bool:
        """Renew the lease in time, or acquire it when it is free; whether it is surely ours.

        Raises:
            StoreRequestError: the store gave no usable answer.
            LeaseExpiredError: the new lease expired before the key was written under it.
            PreconditionFailedError: another controller has become the autoscaler.

        Cancelled, a lease that was just granted expires by itself.
        """
        now = clock.now()
        if self._controller.isolated(now):
            # All machines would seem unresponsive to us.  A controller that they reach takes over.
            self._renewal = None
            return False
        if self._renewal is None:
            return await self._acquire_if_free(now)
        if self._cache.version(AUTOSCALER_KEY) != self._version:
            # Another process took it, one under our own name perhaps: two scaled side by side.
            self._renewal = None
            return False
        return await self._renew_if_due(self._renewal, now)

    async def _renew_if_due(self, renewal: LeaseRenewal, now: float) -> bool:
        if now > renewal.valid_until - self._ttl_s * _RENEWED_SHARE:
            try:
                await self._store.renew(renewal.lease)
            except LeaseExpiredError:
                self._renewal = None
                return False
            renewal = self._renewal = self._counted_from(renewal.lease, now)
        return clock.now() < renewal.valid_until

    async def _acquire_if_free(self, now: float) -> bool:
        if not self._may_acquire(self._cache) or not self._controller.lease_alive():
            return False
        lease = await self._store.grant_lease(self._ttl_s)

        def apply(transaction: Transaction) -> bool:
            if not self._may_acquire(transaction.cache):
                raise PreconditionFailedError("another controller is the autoscaler")
            transaction.put(
                AUTOSCALER_KEY, self._node, transaction.cache.version(AUTOSCALER_KEY), lease
            )
            return True

        change = PendingChange("autoscaler lease", PRIORITY_JOB, 1, apply, leased=True)
        await self._committer.add(change).wait()
        self._renewal = self._counted_from(lease, now)
        self._version = self._cache.version(AUTOSCALER_KEY)
        self._on_acquired()
        log.info("%s is the autoscaler now", self._node)
        return True

    def _may_acquire(self, cache: StateCache) -> bool:
        """Whether the key is free, or left by an earlier process of this controller."""
        return cache.autoscaler_node in (None, self._node)

    def _counted_from(self, lease: int, sent: float) -> LeaseRenewal:
        """Until when a lease that was asked for at `sent` surely lasts."""
        return LeaseRenewal(lease, sent + _TRUSTED_SHARE * self._ttl_s)
