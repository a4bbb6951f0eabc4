"""This controller's own lease in the state service, and the fencing token that comes with it."""

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
    StateCache,
    StoreClient,
    StoreRequestError,
    StoreWatch,
    Transaction,
    is_store_empty,
    schema_version_value,
)

log = logging.getLogger(__name__)

# The lease is renewed so many times in its duration.
_RENEWALS_PER_LEASE = 8
# A lease counts for less than its duration, since clocks drift apart, and a little less again.
_DRIFT_FACTOR = 0.998
_MARGIN_S = 0.05


class ControllerLease:
    """Acquires and renews this controller's lease, and says whether it surely lasts.

    While it does, and only then, this controller answers agents and acts.  The inventory, which is
    the controller's presence, is attached to the lease; with each lease comes a fencing token that
    no other process has.
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
        on_acquired: Callable[[int], None],
    ) -> None:
        """Set the lease up; `run` acquires it.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            ttl_s: the lease's duration, in seconds.
            report_s: between two heartbeats of an agent, in seconds.
            inventory_interval_s: between two inventories, in seconds.
            cache: the records as this process knows them.
            store: the state service.
            watch: brings the cache up to date.
            committer: commits changes.
            inventory: writes the inventory.
            fencing_token: the present one, 0 before the first.
            on_fencing_token: called with each token that was acquired.
            on_acquired: called with the token when the lease and the presence under it are there.
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
        self._on_acquired = on_acquired
        # Another process has acquired a lease under this name since: this one is fenced.
        self.superseded = False
        self._renewal: LeaseRenewal | None = None
        self._present = False  # the inventory is in the store under the present lease
        self._was_present = False  # the inventory under this name was this process's
        self._token_lock = anyio.Lock()
        self._due = Signal()

    def alive(self) -> bool:
        """Whether the lease surely lasts."""
        renewal = self._renewal
        if self.superseded:
            return False
        return self._present and renewal is not None and clock.now() < renewal.valid_until

    def observe(self) -> None:
        """The records changed: see whose inventory is stored under this controller's name.

        The platform runs one process of each controller.  Should there be two all the same, the one
        that acquired its lease last stays, and the other is fenced until that one's lease ends.
        """
        inventory = self._cache.inventories.get(self._node)
        if inventory is not None and inventory.process == self._process:
            self._was_present = True
        elif inventory is not None and self._was_present:
            log.error("another process runs as controller %s: this one is fenced", self._node)
            self.superseded = True
            self._was_present = False
            self._forget()
        elif inventory is None and self.superseded:
            log.warning("the other process that ran as controller %s is gone", self._node)
            self.superseded = False
            self._due.set()

    async def run(self) -> None:
        """Acquire the lease and renew it until cancelled; it expires by itself then."""
        renewal_interval_s = self._ttl_s / _RENEWALS_PER_LEASE
        while True:
            if self.superseded:
                await self._due.wait(renewal_interval_s)
                continue
            try:
                if self._renewal is None or not self._present:
                    await self._acquire()
                else:
                    await self._renew(self._renewal.lease)
            except LeaseExpiredError:
                log.warning("the lease of controller %s has expired", self._node)
                self._forget()
                continue
            except (
                StoreRequestError,
                PreconditionFailedError,
                MalformedMessageError,
            ) as error:
                log.debug("the lease of controller %s cannot be renewed: %s", self._node, error)
                await anyio.sleep(self._report_s / 10)
                continue
            await self._due.wait(renewal_interval_s)

    async def acquire_token_above(self, token: int) -> bool:
        """Acquire a fencing token above one that an agent has seen: the agent has come here.

        Waits for the state service, at most an agent's heartbeat interval.  Cancelled, a token may
        be acquired all the same, and is then never used.

        Returns:
            False if that failed.
        """
        async with self._token_lock:
            if self._fencing_token() >= token:
                return True
            try:
                with anyio.fail_after(self._report_s):
                    await self._watch.barrier()
                    if self._renewal is None:
                        return False
                    await self._acquire_fencing_token(self._renewal.lease, token)
            except (TimeoutError, LeaseExpiredError, PreconditionFailedError):
                return False
            return True

    async def publish_inventory(self) -> None:
        """Write the inventory every few seconds until cancelled."""
        while True:
            await anyio.sleep(self._inventory_interval_s)
            if not self.alive() or self._renewal is None:
                await anyio.sleep(self._report_s / 6)
                continue
            try:
                await self._write_inventory(self._renewal.lease)
            except LeaseExpiredError:
                self._forget()
                self._due.set()
            except PreconditionFailedError as refusal:
                log.error("the inventory of controller %s was refused: %s", self._node, refusal)

    def _forget(self) -> None:
        """The lease has ended, as far as this process is concerned."""
        self._renewal = None
        self._present = False

    def _expires_at(self, sent: float) -> float:
        """Until when a lease surely lasts that was granted or renewed by a request sent then."""
        return sent + self._ttl_s * _DRIFT_FACTOR - _MARGIN_S

    async def _acquire(self) -> None:
        """Acquire a lease, a fencing token, and the presence that the other controllers see."""
        renewal = self._renewal
        if renewal is None or clock.now() >= renewal.valid_until:
            sent = clock.now()
            lease = await self._store.grant_lease(self._ttl_s)
            renewal = LeaseRenewal(lease, self._expires_at(sent))
        # While the records are read the lease may expire, and only a renewal would show it.
        await self._watch.barrier()
        await self._acquire_fencing_token(renewal.lease)
        if self.superseded:
            return
        self._renewal, self._present = renewal, True
        fencing_token = self._fencing_token()
        self._on_acquired(fencing_token)
        log.info("controller %s acquired its lease, fencing token %d", self._node, fencing_token)

    async def _renew(self, lease: int) -> None:
        sent = clock.now()
        await self._store.renew(lease)
        if self._renewal is not None:  # else this process was fenced meanwhile
            self._renewal = LeaseRenewal(lease, self._expires_at(sent))

    async def _acquire_fencing_token(self, lease: int, above: int = 0) -> None:
        """Increase the one counter of fencing tokens; the number is this process's alone.

        The inventory goes along, so the token is never seen without its holder's presence.
        """
        acquired = 0
        await self._inventory.write_ahead(lease)

        def apply(transaction: Transaction) -> bool:
            nonlocal acquired
            if self.superseded:
                raise PreconditionFailedError("another process runs under our name")
            acquired = max(self._cache.fencing_token, above) + 1
            transaction.put(FENCING_TOKEN_KEY, acquired, self._cache.version(FENCING_TOKEN_KEY))
            if is_store_empty(self._cache):
                # No former version ever wrote here: the records begin in the newest schema.
                transaction.put(SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2), 0)
                transaction.expected_versions[MACHINE_TYPES_KEY] = 0
            self._inventory.put(transaction, acquired, lease)
            return True

        change = PendingChange("fencing token", PRIORITY_LEASE, 2, apply, leased=True)
        await self._committer.add(change).wait()
        self._on_fencing_token(acquired)

    async def _write_inventory(self, lease: int) -> None:
        def apply(transaction: Transaction) -> bool:
            if self.superseded:
                return False
            self._inventory.put(transaction, self._fencing_token(), lease)
            return True

        await self._inventory.write_ahead(lease)
        # The other controllers start tasks on our machines by the inventory: it must not starve.
        change = PendingChange("inventory", PRIORITY_REQUEST, 1, apply, leased=True)
        await self._committer.add(change).wait()
