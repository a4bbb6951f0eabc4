"""This controller's lease in the key-value store, and the fencing token acquired with it."""

import logging
from collections.abc import Callable

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.membership.inventory_writer import InventoryWriter
from sandladder.model import SCHEMA_V2
from sandladder.protocol import MalformedMessageError
from sandladder.state import (
    FENCING_TOKEN_KEY,
    MACHINE_TYPES_KEY,
    PRIORITY_LEASE,
    PRIORITY_REQUEST,
    SCHEMA_VERSION_KEY,
    GroupCommitter,
    LeaseExpiredError,
    LeaseRenewal,
    PendingChange,
    PreconditionFailedError,
    Priority,
    StateCache,
    StoreClient,
    StoreRequestError,
    StoreWatch,
    Transaction,
    is_store_empty,
    schema_version_value,
)

log = logging.getLogger(__name__)

_RENEWALS_PER_LEASE = 8
# This process treats its lease as expired slightly before the store does: the factor covers clock
# drift over the lease's duration, the margin covers delays in this process.
_CLOCK_DRIFT_FACTOR = 0.998
_EXPIRY_MARGIN_S = 0.05


class ControllerLease:
    """Acquires and renews this controller's lease, and reports whether it is certainly valid.

    The controller answers agents and acts only while its lease is valid.  The inventory, which
    shows the other controllers that this one is alive, is attached to the lease.  Each lease comes
    with a fencing token that no other process has.
    """

    def __init__(
        self,
        *,
        node: str,
        process: int,
        ttl_s: float,
        report_s: float,
        inventory_interval_s: float,
        cache: StateCache,
        store: StoreClient,
        watch: StoreWatch,
        committer: GroupCommitter,
        inventory: InventoryWriter,
        fencing_token: Callable[[], int],
        on_fencing_token: Callable[[int], None],
        token_due: Callable[[], bool],
        on_acquired: Callable[[int], None],
    ) -> None:
        """Create the object without acquiring a lease; `run` acquires it.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            ttl_s: the lease's duration, in seconds.
            report_s: the interval between two heartbeats of an agent, in seconds.
            inventory_interval_s: the interval between two inventories, in seconds.
            cache: this process's cache of the records.
            store: the key-value store.
            watch: keeps the cache up to date.
            committer: commits changes.
            inventory: writes the inventory.
            fencing_token: returns the current fencing token, 0 before the first.
            on_fencing_token: called with each acquired token.
            token_due: returns whether the next inventory is to be written with a later token.
            on_acquired: called with the token once the lease is held and the inventory is stored
                under it.
        """
        self._node = node
        self._process = process
        self._ttl_s = ttl_s
        self._report_s = report_s
        self._inventory_interval_s = inventory_interval_s
        self._cache = cache
        self._store = store
        self._watch = watch
        self._committer = committer
        self._inventory = inventory
        self._fencing_token = fencing_token
        self._on_fencing_token = on_fencing_token
        self._token_due = token_due
        self._on_acquired = on_acquired
        # Whether another process has since acquired a lease under this name, which fences this one.
        self.superseded = False
        self._renewal: LeaseRenewal | None = None
        self._inventory_stored = False  # the inventory is in the store under the current lease
        self._owned_inventory = False  # the last known inventory of this name was this process's
        self._token_lock = anyio.Lock()
        self._wakeup = Signal()

    def alive(self) -> bool:
        """Return whether the lease is certainly valid now."""
        renewal = self._renewal
        if self.superseded:
            return False
        return self._inventory_stored and renewal is not None and clock.now() < renewal.valid_until

    def observe(self) -> None:
        """Check, after the records changed, which process owns this controller's inventory.

        The platform runs one process of each controller.  If there are two regardless, the one
        that acquired its lease later continues, and the other is fenced until that lease ends.
        """
        inventory = self._cache.inventories.get(self._node)
        if inventory is not None and inventory.process == self._process:
            self._owned_inventory = True
        elif inventory is not None and self._owned_inventory:
            log.error("another process runs as controller %s; this process is fenced", self._node)
            self.superseded = True
            self._owned_inventory = False
            self._drop_lease()
        elif inventory is None and self.superseded:
            log.warning("lease of the other process of controller %s has ended", self._node)
            self.superseded = False
            self._wakeup.set()

    async def run(self) -> None:
        """Acquire the lease and renew it until cancelled; afterwards it expires."""
        renewal_interval_s = self._ttl_s / _RENEWALS_PER_LEASE
        while True:
            if self.superseded:
                await self._wakeup.wait(renewal_interval_s)
                continue
            try:
                if self._renewal is None or not self._inventory_stored:
                    await self._acquire()
                else:
                    await self._renew(self._renewal.lease)
            except LeaseExpiredError:
                log.warning("lease of controller %s has expired", self._node)
                self._drop_lease()
                continue
            except (
                StoreRequestError,
                PreconditionFailedError,
                MalformedMessageError,
            ) as error:
                log.debug("failed to renew the lease of controller %s: %s", self._node, error)
                await anyio.sleep(self._report_s / 10)
                continue
            await self._wakeup.wait(renewal_interval_s)

    async def ensure_token(self, minimum: int) -> bool:
        """Acquire a fencing token of at least `minimum`, unless this controller has one.

        An agent rejects commands with a lower token than the highest that it has seen.  Waits for
        the store for at most an agent's heartbeat interval.  If cancelled, a token may still be
        acquired; it is then never used.

        Returns:
            Whether the controller has such a token.
        """
        async with self._token_lock:
            if self._fencing_token() >= minimum:
                return True
            try:
                with anyio.fail_after(self._report_s):
                    await self._watch.barrier()
                    if self._renewal is None:
                        return False
                    await self._acquire_fencing_token(
                        self._renewal.lease, PRIORITY_LEASE, above=minimum
                    )
            except (TimeoutError, LeaseExpiredError, PreconditionFailedError):
                return False
            return True

    async def publish_inventory(self) -> None:
        """Write the inventory at its interval, with a later token if due, until cancelled."""
        while True:
            await anyio.sleep(self._inventory_interval_s)
            if not self.alive() or self._renewal is None:
                await anyio.sleep(self._report_s / 6)
                continue
            try:
                if self._token_due():
                    await self._acquire_fencing_token(self._renewal.lease, PRIORITY_REQUEST)
                else:
                    await self._write_inventory(self._renewal.lease)
            except LeaseExpiredError:
                self._drop_lease()
                self._wakeup.set()
            except PreconditionFailedError as refusal:
                log.error("writing the inventory of %s was refused: %s", self._node, refusal)

    def _drop_lease(self) -> None:
        """Stop using the lease, because it has expired or this process is fenced."""
        self._renewal = None
        self._inventory_stored = False

    def _expires_at(self, sent: float) -> float:
        """Return the time until which a lease requested at `sent` is certainly valid."""
        return sent + self._ttl_s * _CLOCK_DRIFT_FACTOR - _EXPIRY_MARGIN_S

    async def _acquire(self) -> None:
        """Acquire a lease and a fencing token, and store the inventory under the lease."""
        renewal = self._renewal
        if renewal is None or clock.now() >= renewal.valid_until:
            sent = clock.now()
            lease = await self._store.grant_lease(self._ttl_s)
            renewal = LeaseRenewal(lease, self._expires_at(sent))
        # If the lease expires while the records are read, the commit raises LeaseExpiredError.
        await self._watch.barrier()
        await self._acquire_fencing_token(renewal.lease, PRIORITY_LEASE)
        if self.superseded:
            return
        self._renewal, self._inventory_stored = renewal, True
        fencing_token = self._fencing_token()
        self._on_acquired(fencing_token)
        log.info("controller %s acquired its lease, fencing token %d", self._node, fencing_token)

    async def _renew(self, lease: int) -> None:
        sent = clock.now()
        await self._store.renew(lease)
        if self._renewal is not None:  # None if this process was fenced in the meantime
            self._renewal = LeaseRenewal(lease, self._expires_at(sent))

    async def _acquire_fencing_token(
        self, lease: int, priority: Priority, *, above: int = 0
    ) -> None:
        """Increment the shared counter of fencing tokens and adopt the new value.

        The inventory is written in the same transaction, so that the token is never visible
        without its holder's inventory.
        """
        acquired = 0
        await self._inventory.write_ahead(lease)

        def apply(transaction: Transaction) -> bool:
            nonlocal acquired
            if self.superseded:
                raise PreconditionFailedError("another process runs under this controller's name")
            acquired = max(self._cache.fencing_token, above) + 1
            transaction.put(FENCING_TOKEN_KEY, acquired, self._cache.version(FENCING_TOKEN_KEY))
            if is_store_empty(self._cache):
                # No earlier version has written to this store, so it starts with the newest schema.
                transaction.put(SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2), 0)
                transaction.expected_versions[MACHINE_TYPES_KEY] = 0
            self._inventory.put(transaction, acquired, lease)
            return True

        change = PendingChange("fencing token", priority, 2, apply, leased=True)
        await self._committer.add(change).wait()
        self._on_fencing_token(acquired)
        log.info(
            "acquired fencing token %d, read up to revision %d", acquired, self._cache.revision
        )

    async def _write_inventory(self, lease: int) -> None:
        def apply(transaction: Transaction) -> bool:
            if self.superseded:
                return False
            self._inventory.put(transaction, self._fencing_token(), lease)
            return True

        await self._inventory.write_ahead(lease)
        # The other controllers need the inventory to start tasks on the machines that report here,
        # so it must not starve at a lower priority.
        change = PendingChange("inventory", PRIORITY_REQUEST, 1, apply, leased=True)
        await self._committer.add(change).wait()
