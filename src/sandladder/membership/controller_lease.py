"""The hold on the state service, the term that comes with it, and the room summary under it."""

import logging
from typing import TYPE_CHECKING, Any

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.model import SCHEMA_V1, SCHEMA_V2, MachineInventory, MachineStatus
from sandladder.protocol import wire
from sandladder.state import (
    P_HOLD,
    P_USER,
    SCHEMA_VERSION_KEY,
    TERM,
    TYPES,
    LeaseExpiredError,
    LeaseRenewal,
    PendingChange,
    PreconditionFailedError,
    StoreRequestError,
    Transaction,
    fresh,
    inventory_changes,
    put_inventory,
    schema_version_value,
    stamp_parts,
)

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)


class ControllerLease:
    """Keeps this controller's hold, and tells whether it surely lasts."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self._hold_s = controller.settings.operator.hold_leases * controller.lease_s
        self._renewal: LeaseRenewal | None = None
        self._present = False  # our summary is in the store under the current lease
        self._stood = False  # our summary was the one under our name
        # Another process has entered under our name after us: it is the controller now.
        self.superseded = False
        # The head of a summary whose further parts are written already, and how many such.
        self._ahead: list[tuple[str, Any]] = []
        self._stamps = 0
        self._term_lock = anyio.Lock()
        self._due = Signal()

    def alive(self) -> bool:
        """Whether our own hold surely lasts: only then do we answer workers or act."""
        renewal = self._renewal
        if self.superseded:
            return False
        return self._present and renewal is not None and clock.now() < renewal.until

    def observe(self) -> None:
        """See whose summary stands under our name now.

        The platform runs one process of each controller.  Should there be two all the same,
        the one that entered last stays and the other stands still until that one's hold ends.
        """
        standing = self._c.cache.nodes.get(self._c.node)
        if standing is not None and standing.process == self._c.process:
            self._stood = True
        elif standing is not None and self._stood:
            log.error("another process runs as %s: this one stands still", self._c.node)
            self.superseded, self._stood = True, False
            self._renewal, self._present = None, False
        elif standing is None and self.superseded:
            log.warning("the other process that ran as %s is gone", self._c.node)
            self.superseded = False
            self._due.set()

    def _until(self, sent: float) -> float:
        # Counted from when the request was sent; clocks drift apart.
        return sent + self._hold_s * 0.998 - 0.05

    async def run(self) -> None:
        while True:
            if self.superseded:
                await self._due.wait(self._hold_s / 8)
                continue
            try:
                if self._renewal is None or not self._present:
                    await self._enter()
                else:
                    sent = clock.now()
                    await self._c.store.renew(self._renewal.lease)
                    self._renewal = LeaseRenewal(self._renewal.lease, self._until(sent))
            except LeaseExpiredError:
                log.warning("the hold has ended")
                self._renewal, self._present = None, False
                continue
            except (
                StoreRequestError,
                PreconditionFailedError,
                wire.MalformedMessageError,
            ) as error:
                log.debug("the hold cannot be renewed: %s", error)
                await anyio.sleep(self._c.report_s / 10)
                continue
            await self._due.wait(self._hold_s / 8)

    async def _enter(self) -> None:
        """Get a hold, a term, and the presence that the other controllers see."""
        renewal = self._renewal
        if renewal is None or clock.now() >= renewal.until:
            sent = clock.now()
            lease = await self._c.store.grant_lease(self._hold_s)
            renewal = LeaseRenewal(lease, self._until(sent))
        # While the records are read the hold may end, and only a renewal would tell.
        await self._c.watch.barrier()
        await self._take_term(renewal.lease)
        if self.superseded:
            return
        self._renewal, self._present = renewal, True
        self._c.membership.entered(self._c.reconciler.term)
        log.info("entered with term %d", self._c.reconciler.term)

    async def _take_term(self, lease: int, above: int = 0) -> None:
        """Increase the one counter of terms; the number is ours alone."""
        taken = 0
        await self._write_ahead(lease)

        def apply(transaction: Transaction) -> bool:
            nonlocal taken
            if self.superseded:
                raise PreconditionFailedError("another process runs under our name")
            cache = self._c.cache
            taken = max(cache.term, above) + 1
            transaction.put(TERM, taken, cache.version(TERM))
            if fresh(cache):
                # No version before this one ever wrote here: it begins in our form.
                transaction.put(SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2), 0)
                transaction.expected_versions[TYPES] = 0
            self._put_summary(transaction, taken, lease)
            return True

        change = self._c.committer.add(PendingChange("term", P_HOLD, 2, apply, leased=True))
        await change.wait()
        self._c.reconciler.new_term(taken)

    async def rise_above(self, token: int) -> bool:
        """Take a term above a worker's token, because the worker has come to us."""
        async with self._term_lock:
            if self._c.reconciler.term >= token:
                return True
            try:
                with anyio.fail_after(self._c.report_s):
                    await self._c.watch.barrier()
                    if self._renewal is None:
                        return False
                    await self._take_term(self._renewal.lease, token)
            except (TimeoutError, LeaseExpiredError, PreconditionFailedError):
                return False
            return True

    def _put_summary(self, transaction: Transaction, term: int, lease: int) -> None:
        changes = self._ahead or self._changes(transaction, term)
        put_inventory(transaction, self._c.node, changes, lease, self._c.limits.txn_ops)

    def _changes(self, transaction: Transaction, term: int) -> list[tuple[str, Any]]:
        return inventory_changes(
            transaction, self._c.node, self._summary(term), self._c.limits.value_bytes
        )

    async def _write_ahead(self, lease: int) -> None:
        """Write the further parts of a summary that no transaction holds as a whole.

        What follows writes its head, and with it the summary counts.
        """
        self._ahead = []
        changes = self._changes(Transaction(self._c.cache), self._c.reconciler.term)
        if self._c.cache.schema_version == SCHEMA_V1 or len(changes) < self._c.limits.txn_ops:
            return
        self._stamps += 1
        stamp = (self._c.reconciler.term << 20) + self._stamps
        *ahead, head = stamp_parts(changes[0][0], [value for _, value in changes], stamp)
        for key, value in ahead:

            def apply(transaction: Transaction, key: str = key, value: Any = value) -> bool:
                transaction.write(key, value, lease)
                return True

            await self._c.committer.add(
                PendingChange("part of the summary", P_USER, 1, apply, leased=True)
            ).wait()
        self._ahead = [head]

    def _summary(self, term: int) -> MachineInventory:
        now = clock.now()
        self._c.cluster_view.now = now
        machines = {}
        for machine in self._c.lease_expiry.machines():
            age = self._c.lease_expiry.age(machine, now)
            agent = self._c.reconciler.machines.get(machine)
            if age is None or agent is None:
                continue
            report = agent.report
            notice = agent.notice_at
            machines[machine] = MachineStatus(
                type=report.type,
                zone=report.zone,
                spot=report.spot,
                session=report.session,
                age_s=round(age, 2),
                notice_s=None if notice is None else round(notice - now, 1),
                errors=len(agent.failed),
                images=tuple(self._c.cluster_view.images.names(machine, report.session)[-4:]),
            )
        up_s = round(self._c.lease_expiry.up_s(now), 2)
        return MachineInventory(
            term, up_s, self._c.cache.revision, machines, SCHEMA_V2, self._c.process
        )

    async def summarise(self) -> None:
        """Write the room summary every few seconds."""
        period = self._c.cluster_view.inventory_interval_s
        while True:
            await anyio.sleep(period)
            if not self.alive() or self._renewal is None:
                await anyio.sleep(self._c.report_s / 6)
                continue
            lease = self._renewal.lease

            def apply(transaction: Transaction, lease: int = lease) -> bool:
                if self.superseded:
                    return False
                self._put_summary(transaction, self._c.reconciler.term, lease)
                return True

            try:
                await self._write_ahead(lease)
                await self._c.committer.add(
                    # Others place on our machines by what it says: it must not starve.
                    PendingChange("summary", P_USER, 1, apply, leased=True)
                ).wait()
            except LeaseExpiredError:
                self._renewal, self._present = None, False
                self._due.set()
            except PreconditionFailedError as refusal:
                log.error("the summary was refused: %s", refusal)
