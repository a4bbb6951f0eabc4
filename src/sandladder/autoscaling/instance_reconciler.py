"""Reconciliation of the records of instances with the cloud's list of machines."""

import logging
from collections.abc import Iterable

from sandladder.autoscaling.cloud_client import MAX_INSTANCES_PER_RETURN, CloudClient, MachineList
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.instance_states import LISTED_FAILED
from sandladder.autoscaling.unresponsive import boot_is_overdue
from sandladder.model import ACTIVE, DRAINING, GONE, ListedMachine, Machine
from sandladder.state import StateCache

log = logging.getLogger(__name__)

# Reads of the cloud's list per list lag, the nominal staleness of the list.
_LISTS_PER_LAG = 3
# List lags for which a machine must be missing before its instance counts as gone.  A list may be
# older than the previous one, by up to twice the lag.
_MISSING_LAGS = 2.5
# Retention of a gone instance's record and of a machine's last listing time, in list lags.
_RECORD_RETENTION_LAGS, _LISTING_RETENTION_LAGS = 6, 10
# If more than this share of a chunk is obsolete, the records are removed without waiting for other
# changes.
_REMOVAL_CHUNK_SHARE = 0.25


class InstanceReconciler:
    """Adopts listed instances that have no record and marks instances that are gone."""

    def __init__(
        self,
        cache: StateCache,
        cloud: CloudClient,
        records: InstanceRecordWriter,
        list_lag_s: float,
    ) -> None:
        """Initialize the reconciler.

        Args:
            cache: the records and machine types.
            cloud: provides the list of machines.
            records: writes the changes.
            list_lag_s: the nominal staleness of the cloud's list, in seconds.
        """
        self._cache = cache
        self._cloud = cloud
        self._records = records
        self._list_lag_s = list_lag_s
        self._next_list_at = 0.0
        self._listed_at: dict[str, float] = {}  # by machine, on the steady clock
        self._addresses: dict[str, str] = {}

    def clear_listing_times(self) -> None:
        """Discard the listing times, so that no machine counts as missing until listed again."""
        self._listed_at.clear()

    def address(self, machine: str) -> str | None:
        """Return the `host:port` of an instance's agent, or None if no list included it."""
        return self._addresses.get(machine)

    async def reconcile(self, now: float, wall_clock_s: float) -> None:
        """Reconcile the records with the cloud's list, if due.

        Cancellation is safe, because the next list leads to the same changes.

        Args:
            now: the steady clock, in seconds.
            wall_clock_s: the time of day, in seconds.

        Raises:
            CloudError: the list cannot be read, or failed instances cannot be returned after the
                changes were queued.
        """
        if now < self._next_list_at:
            return
        self._next_list_at = now + self._list_lag_s / _LISTS_PER_LAG
        listing = await self._cloud.list_machines()
        listed = listing.machines
        changes = self._adopted_or_failed(listed, wall_clock_s)
        changes |= self._missing_from_list(listing, wall_clock_s)
        changes |= self._overdue_boots(listed, wall_clock_s)
        self._record_listing(listing)
        self._records.queue(changes)
        failed = [item.id for item in listed if item.state == LISTED_FAILED]
        if failed:
            await self._cloud.return_instances(failed[:MAX_INSTANCES_PER_RETURN])
        self._remove_obsolete(wall_clock_s)

    def _record_listing(self, listing: MachineList) -> None:
        """Record when the machines were listed, and forget those that were not for long."""
        self._listed_at |= {item.id: listing.received_at for item in listing.machines}
        retained_since = listing.requested_at - _LISTING_RETENTION_LAGS * self._list_lag_s
        self._listed_at = {m: at for m, at in self._listed_at.items() if at > retained_since}
        self._addresses |= {item.id: item.addr for item in listing.machines}
        self._addresses = {m: a for m, a in self._addresses.items() if m in self._listed_at}

    def _adopted_or_failed(
        self, listed: Iterable[ListedMachine], wall_clock_s: float
    ) -> dict[str, Machine]:
        changes = {}
        for item in listed:
            record = self._cache.instances.get(item.id)
            failed = item.state == LISTED_FAILED
            if record is None and not failed:
                created = wall_clock_s - max(0.0, item.age_s)
                changes[item.id] = Machine(item.type, item.zone, item.spot, ACTIVE, created)
            elif record is not None and failed and record.state != GONE:
                log.info("the cloud lists instance %s as failed", item.id)
                changes[item.id] = record._replace(state=GONE, since=wall_clock_s)
        return changes

    def _missing_from_list(self, listing: MachineList, wall_clock_s: float) -> dict[str, Machine]:
        """Return the changes for instances that have been missing from the list for too long.

        The time is counted from the end of the last list that showed the instance to the beginning
        of this one: a list takes several requests, and may be delayed at each.
        """
        listed_ids = {item.id for item in listing.machines}
        changes = {}
        for machine, record in self._cache.instances.items():
            last_listed_at = self._listed_at.get(machine)
            if machine in listed_ids or record.state == GONE or last_listed_at is None:
                continue
            missing_s = listing.requested_at - last_listed_at
            if missing_s > _MISSING_LAGS * self._list_lag_s:
                log.info(
                    "instance %s is missing from the cloud's list: %d pages read in %.1f s, "
                    "requested %.1f s after it was last listed",
                    machine,
                    listing.pages,
                    listing.received_at - listing.requested_at,
                    missing_s,
                )
                changes[machine] = record._replace(state=GONE, since=wall_clock_s)
        return changes

    def _overdue_boots(
        self, listed: Iterable[ListedMachine], wall_clock_s: float
    ) -> dict[str, Machine]:
        changes = {}
        for item in listed:
            record = self._cache.instances.get(item.id)
            if record is None or record.state != ACTIVE:
                continue
            if boot_is_overdue(item, self._cache.machine_types):
                log.info("draining instance %s: its boot is overdue", item.id)
                changes[item.id] = record._replace(state=DRAINING, since=wall_clock_s)
        return changes

    def _remove_obsolete(self, wall_clock_s: float) -> None:
        """Remove the records of gone instances without attempts, after their retention period."""
        obsolete = [
            machine
            for machine, record in self._cache.instances.items()
            if record.state == GONE
            and machine not in self._cache.attempts_by_machine
            and wall_clock_s - record.since > _RECORD_RETENTION_LAGS * self._list_lag_s
        ]
        # Removals are not urgent: they are batched with other changes or with one another.
        if (
            self._records.unwritten
            or len(obsolete) > _REMOVAL_CHUNK_SHARE * self._records.chunk_size
        ):
            self._records.queue(dict.fromkeys(obsolete))
