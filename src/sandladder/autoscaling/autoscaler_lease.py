"""The lease that elects one controller at a time as the autoscaler."""

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

# The lease is trusted for this share of its time to live, to allow for clock drift.
_TRUSTED_TTL_SHARE = 0.95
# The lease is renewed when less than this share of its time to live remains.
_RENEWAL_TTL_SHARE = 0.6


class AutoscalerLease:
    """A key in the store under a short lease, whose value names the autoscaler."""

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
        """Initialize the lease, not yet acquired.

        Args:
            node: this controller's name.
            ttl_s: the lease's time to live, in seconds.
            cache: the records.
            store: grants and renews leases.
            committer: writes the key.
            controller: the status of this controller.
            on_acquired: called after this controller has become the autoscaler.
        """
        self._node = node
        self._ttl_s = ttl_s
        self._cache = cache
        self._store = store
        self._committer = committer
        self._controller = controller
        self._on_acquired = on_acquired
        self._renewal: LeaseRenewal | None = None
        self._key_version = 0  # of the key as this process wrote it

    @property
    def acquired(self) -> bool:
        """Whether this process held the lease at the last check; it may have expired since."""
        return self._renewal is not None

    async def ensure_held(self) -> bool:
        """Renew the lease if due or acquire it if free; return whether it is certainly held.

        On cancellation a lease that was just granted is left to expire.

        Raises:
            StoreRequestError: the store returned no usable response.
            LeaseExpiredError: the new lease expired before the key was written under it.
            PreconditionFailedError: another controller has become the autoscaler.
        """
        now = clock.now()
        if self._controller.isolated(now):
            # All machines would appear unresponsive.  A controller that they can reach takes over.
            self._renewal = None
            return False
        if self._renewal is None:
            return await self._acquire_if_free(now)
        if self._cache.version(AUTOSCALER_KEY) != self._key_version:
            # Another process wrote the key, possibly under the same node name.  Ignoring it would
            # leave two autoscalers active.
            self._renewal = None
            return False
        return await self._renew_if_due(self._renewal, now)

    async def _renew_if_due(self, renewal: LeaseRenewal, now: float) -> bool:
        if now > renewal.valid_until - self._ttl_s * _RENEWAL_TTL_SHARE:
            try:
                await self._store.renew(renewal.lease)
            except LeaseExpiredError:
                self._renewal = None
                return False
            renewal = self._renewal = self._lease_renewal(renewal.lease, now)
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
        if self._cache.version(AUTOSCALER_KEY) != change.revision:
            # The answer came after a read of a later change: the lease has expired since.
            return False
        self._renewal = self._lease_renewal(lease, now)
        self._key_version = change.revision
        self._on_acquired()
        log.info("%s became the autoscaler", self._node)
        return True

    def _may_acquire(self, cache: StateCache) -> bool:
        """Return whether the key is free or was written by a process of this controller."""
        return cache.autoscaler_node in (None, self._node)

    def _lease_renewal(self, lease: int, sent_at: float) -> LeaseRenewal:
        """Return the renewal of a lease whose request was sent at `sent_at`."""
        return LeaseRenewal(lease, sent_at + _TRUSTED_TTL_SHARE * self._ttl_s)
