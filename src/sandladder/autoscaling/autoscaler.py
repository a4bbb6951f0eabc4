"""The cloud: its client, and the duty of the one controller that rents and returns."""

import logging
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING

import anyio

from sandladder import clock
from sandladder.autoscaling.cloud_client import CloudError, NoCapacityError
from sandladder.autoscaling.scaling_policy import ScaleOutRequest, ScalingPolicy
from sandladder.config import split_addr
from sandladder.model import ListedMachine, Machine
from sandladder.protocol import wire
from sandladder.state import (
    INSTANCE_RECORD_BYTES,
    P_USER,
    P_WORK,
    RENTER,
    LeaseExpiredError,
    LeaseRenewal,
    PendingChange,
    PreconditionFailedError,
    StoreRequestError,
    Transaction,
    change_instances,
    machine_number,
    put_types,
)
from sandladder.transport import HttpError

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)


# A fleet record may take so many values, where values are short.
_FLEET_PARTS = 4


class Autoscaler:
    """Rents and returns for the whole fleet while this controller holds that duty."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        deployment = controller.settings.platform.deployment
        self._lag_s = deployment.cloud.list_lag_s
        self._pause_s = max(controller.report_s / 3, 2 / deployment.cloud.rps)
        self._ttl_s = controller.lease_s / 3
        self._provision = ScalingPolicy(controller.cluster_view)
        self._held: LeaseRenewal | None = None
        self._held_as = 0  # the version of the duty's record that is ours
        self._hires = 0
        self._listed: dict[str, float] = {}  # machine -> when a list last showed it
        self._addrs: dict[str, str] = {}
        self._next_list = 0.0
        self._next_types = 0.0
        self._next_write = 0.0
        self._news: dict[str, Machine | None] = {}  # of the fleet, to be written next
        value_bytes = deployment.state.value_kb * 1024
        self._chunk_size = max(1, int(0.9 * value_bytes / INSTANCE_RECORD_BYTES))

    async def run(self) -> None:
        """Learn the machine types; hold the duty when it is free, and carry it out."""
        while True:
            await anyio.sleep(self._pause_s)
            if not self._c.watch.loaded:
                continue
            try:
                now = self._c.cluster_view.now = clock.now()
                self._c.cluster_view.ahead = self._c.wall() - now
                self._provision.learn()
                await self._learn_types()
                if await self._hold():
                    await self._act()
            except CloudError as error:
                log.info("the cloud: %s", error)
            except (
                StoreRequestError,
                LeaseExpiredError,
                PreconditionFailedError,
                wire.MalformedMessageError,
            ) as error:
                log.info("renting pauses: %s", error)

    async def _learn_types(self) -> None:
        if not self._c.cache.term:
            return  # the first to enter says which form the records begin with
        if self._c.cache.types and (self._held is None or clock.now() < self._next_types):
            return
        types = await self._c.cloud.catalog()
        self._next_types = clock.now() + 2 * self._c.lease_s
        if types == self._c.cache.types:
            return

        def apply(transaction: Transaction) -> bool:
            put_types(transaction, types)
            return True

        await self._c.committer.add(PendingChange("machine types", P_WORK, 1, apply)).wait()

    async def _hold(self) -> bool:
        """Whether the duty is surely ours; takes it when it is free."""
        now = clock.now()
        if self._c.agent_service.deaf(now):
            # We would take all machines for silent.  Whoever hears them takes the duty over.
            self._held = None
            return False
        if self._held is not None and self._c.cache.version(RENTER) != self._held_as:
            # Another process took it, one under our own name perhaps: two rented side by side.
            self._held = None
            return False
        if self._held is not None:
            if now > self._held.until - self._ttl_s * 0.6:
                try:
                    await self._c.store.renew(self._held.lease)
                except LeaseExpiredError:
                    self._held = None
                    return False
                self._held = LeaseRenewal(self._held.lease, now + 0.95 * self._ttl_s)
            return clock.now() < self._held.until
        # A past life of ours may have left its mark; nobody else's is touched.
        if (
            self._c.cache.autoscaler_node not in (None, self._c.node)
            or not self._c.controller_lease.alive()
        ):
            return False
        lease = await self._c.store.grant_lease(self._ttl_s)

        def apply(transaction: Transaction) -> bool:
            if transaction.cache.autoscaler_node not in (None, self._c.node):
                raise PreconditionFailedError("another controller rents")
            transaction.put(RENTER, self._c.node, transaction.cache.version(RENTER), lease)
            return True

        await self._c.committer.add(PendingChange("renter", P_WORK, 1, apply, leased=True)).wait()
        self._held = LeaseRenewal(lease, now + 0.95 * self._ttl_s)
        self._held_as = self._c.cache.version(RENTER)
        self._news.clear()
        self._listed.clear()
        log.info("this controller rents now")
        return True

    async def _act(self) -> None:
        now, wall = clock.now(), self._c.wall()
        if now >= self._next_list:
            self._next_list = now + self._lag_s / 3
            await self._compare(await self._c.cloud.machines(), now, wall)
        await self._drain(wall)
        await self._return(wall)
        await self._write()
        self._c.cluster_view.now = clock.now()
        if log.isEnabledFor(logging.DEBUG):
            log.debug("fleet in cores: %s", self._provision.describe())
        # Asked for all at once: what else this duty sees to should not wait for refusals.
        async with anyio.create_task_group() as tasks:
            for rental in self._provision.rental_requests(self._c.wall(), self._news):
                if self._c.cloud.requests.delay(1) > 0:
                    break  # the most urgent come first; the rest is worked out anew next time
                tasks.start_soon(self._rent, rental)
                await anyio.sleep(0)  # it counts against the limit before the next one is begun
        await self._write()

    async def _rent(self, rental: ScaleOutRequest) -> None:
        try:
            await self._hire(rental)
        except (CloudError, PreconditionFailedError, wire.MalformedMessageError) as error:
            # Whatever came of it will show in the list.
            log.info("renting %s: %s", rental, error)

    async def _hire(self, rental: ScaleOutRequest) -> None:
        self._hires += 1
        name = f"{self._c.node}-{self._c.reconciler.term}-{self._hires}"
        log.info("renting %s", rental)
        for attempt in range(3):
            try:
                machines = await self._c.cloud.rent(name, rental)
                break
            except NoCapacityError:
                self._provision.refused(rental)
                return
            except CloudError:
                # Without an answer the same name is asked again: it cannot rent twice.
                if attempt == 2:
                    raise
                await anyio.sleep(self._pause_s)
        if len(machines) < rental.number:
            self._provision.refused(rental)
        if machines:
            record = Machine(rental.type, rental.zone, rental.spot, "rented", self._c.wall())
            self._note(dict.fromkeys(machines, record))

    def _note(self, records: Mapping[str, Machine | None]) -> None:
        """Change machines' records with the next writing; None forgets a machine."""
        self._news.update(records)

    async def _write(self) -> None:
        """Write what changed; binds that the duty is still ours.

        The store takes few changes: what this duty learns in a while goes together, as much
        as one transaction can hold; at once goes what proves that tasks are lost.
        """
        now = clock.now()
        on_machine = self._c.cache.on_machine
        proves = any(r and r.state == "gone" and m in on_machine for m, r in self._news.items())
        if not proves and now < self._next_write:
            return
        self._next_write = now + 2 * self._c.report_s
        while self._news:
            chunks = sorted({machine_number(machine) // self._chunk_size for machine in self._news})
            chosen = set(chunks[: max(1, self._c.limits.txn_ops // _FLEET_PARTS)])
            news = {
                machine: record
                for machine, record in self._news.items()
                if machine_number(machine) // self._chunk_size in chosen
            }
            for machine in news:
                del self._news[machine]
            change = PendingChange(
                "fleet",
                P_USER,  # the room for others' work and proofs of loss wait for it
                len(chosen),
                partial(change_instances, news=news, chunk_size=self._chunk_size),
            )
            try:
                await self._c.committer.add(change).wait()
            except PreconditionFailedError:
                self._news = news | self._news
                raise

    def _record(self, machine: str) -> Machine | None:
        """A machine's record, with what is about to be written."""
        return self._news.get(machine, self._c.cache.instances.get(machine))

    async def _compare(self, listed: list[ListedMachine], now: float, wall: float) -> None:
        """Adopt machines that are new to us and mark those that are gone."""
        instances = self._c.cache.instances
        news: dict[str, Machine] = {}
        stuck = []
        for item in listed:
            record = instances.get(item.id)
            self._listed[item.id] = now
            self._addrs[item.id] = item.addr
            if record is None:
                if item.state != "failed":
                    born = wall - max(0.0, item.age_s)
                    news[item.id] = Machine(item.type, item.zone, item.spot, "rented", born)
            elif item.state == "failed" and record.state != "gone":
                log.info("machine %s has failed", item.id)
                news[item.id] = record._replace(state="gone", since=wall)
            if self._provision.stuck(item) and record is not None and record.state == "rented":
                stuck.append(item.id)
        names = {item.id for item in listed}
        for machine, record in instances.items():
            last = self._listed.get(machine)
            # A list may be older than the one before it, by twice the lag at most.
            if machine in names or record.state == "gone" or last is None:
                continue
            if now - last > 2.5 * self._lag_s:
                log.info("machine %s is gone", machine)
                news[machine] = record._replace(state="gone", since=wall)
        for machine in stuck:
            log.info("machine %s does not come up", machine)
            news[machine] = instances[machine]._replace(state="draining", since=wall)
        self._note(news)
        failed = [item.id for item in listed if item.state == "failed"]
        if failed:
            await self._c.cloud.give_back(failed[:100])
        self._forget_gone(wall)
        self._addrs = {m: a for m, a in self._addrs.items() if m in self._listed}
        self._listed = {m: t for m, t in self._listed.items() if now - t < 10 * self._lag_s}

    def _forget_gone(self, wall: float) -> None:
        cache = self._c.cache
        over = [
            machine
            for machine, record in cache.instances.items()
            if record.state == "gone"
            and machine not in cache.on_machine
            and wall - record.since > 6 * self._lag_s
        ]
        # There is no hurry: they go along with other changes, or once they are many.
        if self._news or len(over) > self._chunk_size / 4:
            self._note(dict.fromkeys(over))

    async def _drain(self, wall: float) -> None:
        """Mark machines that are to be returned, so that nothing more is placed there."""
        cache = self._c.cache
        chosen = {}
        for machine in self._provision.surplus(wall):
            capacity = self._c.cluster_view.capacity(machine)
            known = self._record(machine)
            if capacity is not None and (known is None or known.state == "rented"):
                log.info("draining %s", machine)
                chosen[machine] = Machine(
                    capacity.type, capacity.zone, capacity.spot, "draining", wall
                )
        if self._c.lease_expiry.up_s(clock.now()) > self._c.lease_s:
            doubtful = [
                m
                for m in self._provision.silent(wall)
                if (known := self._record(m)) is not None and known.state == "rented"
            ]
            for machine in await self._unreachable(doubtful):
                log.info("machine %s is silent", machine)
                chosen[machine] = cache.instances[machine]._replace(state="draining", since=wall)
        self._note(chosen)

    async def _unreachable(self, machines: list[str]) -> list[str]:
        """Those of the machines that do not answer us either."""
        found: list[str] = []

        async def probe(machine: str) -> None:
            if machine not in self._addrs:
                return
            client = self._c.connect(*split_addr(self._addrs[machine]), keep=0)
            try:
                await client.request("GET", wire.STATUS, timeout=self._c.report_s / 2)
            except HttpError:
                found.append(machine)

        async with anyio.create_task_group() as tasks:
            for machine in machines:
                tasks.start_soon(probe, machine)
        return found

    async def _return(self, wall: float) -> None:
        """Return drained machines, and silent ones whatever they were doing."""
        cache = self._c.cache
        silent = set(self._provision.silent(wall))
        ready = [
            machine
            for machine, record in cache.instances.items()
            if record.state == "draining" and (machine not in cache.on_machine or machine in silent)
        ][:100]
        if not ready:
            return
        await self._c.cloud.give_back(ready)
        log.info("returned %s", ready)
        self._note({m: cache.instances[m]._replace(state="gone", since=wall) for m in ready})
