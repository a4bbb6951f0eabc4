"""Reconciliation of the records of instances with the cloud's list of machines."""

import logging
from collections.abc import Iterable

from sandladder.autoscaling.cloud_client import MOST_RETURNED, CloudClient
from sandladder.autoscaling.instance_records import InstanceRecordWriter
from sandladder.autoscaling.instance_states import ACTIVE, DRAINING, GONE, LISTED_FAILED
from sandladder.autoscaling.unresponsive import boot_is_overdue
from sandladder.model import ListedMachine, Machine
from sandladder.state import StateCache

log = logging.getLogger(__name__)

# How often the list is read in the time by which it may be late, its lag.
_LISTS_PER_LAG = 3
# For how many lags a machine must be missing; a list may be older than the one before it, by twice
# the lag at most.
_MISSING_LAGS = 2.5
# For how many lags a gone instance's record is kept, and when a list last showed a machine.
_RECORD_KEPT_LAGS, _SIGHTING_KEPT_LAGS = 6, 10
# Records of gone instances are removed on their own once they are this share of a chunk.
_REMOVED_SHARE = 0.25


class InstanceReconciler:
    """Adopts instances that are new to the records and marks those that are gone."""

    def __init__(
        self,
        cache: StateCache,
        cloud: CloudClient,
        records: InstanceRecordWriter,
        list_lag_s: float,
    ) -> None:
        """
        Args:
            cache: the records and machine types.
            cloud: has the list of machines.
            records: takes the changes.
            list_lag_s: by how much the cloud's list may be late, in seconds.
        """
        self._cache = cache
        self._cloud = cloud
        self._records = records
        self._lag_s = list_lag_s
        self._next_at = 0.0
        self._listed_at: dict[str, float] = {}  # when a list last showed a machine
        self._addresses: dict[str, str] = {}

    def forget_sightings(self) -> None:
        """Take no machine for gone that was listed only before now."""
        self._listed_at.clear()

    def address(self, machine: str) -> str | None:
        """Where an instance's agent is reached, as `host:port`; None if no list showed it."""
        return self._addresses.get(machine)

    async def reconcile(self, now: float, wall: float) -> None:
        """Compare the records with the cloud's list, if that is due.

        Args:
            now: the steady clock, in seconds.
            wall: the time of day, in seconds.

        Raises:
            CloudError: the list cannot be read, or failed instances cannot be returned; what the
                list showed is noted before they are.

        Cancelled, nothing is half done: the next list shows the same.
        """
        if now < self._next_at:
            return
        self._next_at = now + self._lag_s / _LISTS_PER_LAG
        listed = await self._cloud.list_machines()
        self._listed_at |= {item.id: now for item in listed}
        self._addresses |= {item.id: item.addr for item in listed}
        changes = self._adopted_or_failed(listed, wall)
        changes |= self._vanished(listed, now, wall)
        changes |= self._never_booted(listed, wall)
        self._records.note(changes)
        failed = [item.id for item in listed if item.state == LISTED_FAILED]
        if failed:
            await self._cloud.return_instances(failed[:MOST_RETURNED])
        self._remove_gone(wall)
        self._addresses = {m: a for m, a in self._addresses.items() if m in self._listed_at}
        longest_s = _SIGHTING_KEPT_LAGS * self._lag_s
        self._listed_at = {m: at for m, at in self._listed_at.items() if now - at < longest_s}

    def _adopted_or_failed(
        self, listed: Iterable[ListedMachine], wall: float
    ) -> dict[str, Machine]:
        changes = {}
        for item in listed:
            record = self._cache.instances.get(item.id)
            failed = item.state == LISTED_FAILED
            if record is None and not failed:
                created = wall - max(0.0, item.age_s)
                changes[item.id] = Machine(item.type, item.zone, item.spot, ACTIVE, created)
            elif record is not None and failed and record.state != GONE:
                log.info("instance %s has failed", item.id)
                changes[item.id] = record._replace(state=GONE, since=wall)
        return changes

    def _vanished(
        self, listed: Iterable[ListedMachine], now: float, wall: float
    ) -> dict[str, Machine]:
        """The instances that no list has shown for long, though one did before."""
        names = {item.id for item in listed}
        changes = {}
        for machine, record in self._cache.instances.items():
            last = self._listed_at.get(machine)
            if machine in names or record.state == GONE or last is None:
                continue
            if now - last > _MISSING_LAGS * self._lag_s:
                log.info("instance %s is gone", machine)
                changes[machine] = record._replace(state=GONE, since=wall)
        return changes

    def _never_booted(self, listed: Iterable[ListedMachine], wall: float) -> dict[str, Machine]:
        changes = {}
        for item in listed:
            record = self._cache.instances.get(item.id)
            if record is None or record.state != ACTIVE:
                continue
            if boot_is_overdue(item, self._cache.machine_types):
                log.info("instance %s does not boot: draining it", item.id)
                changes[item.id] = record._replace(state=DRAINING, since=wall)
        return changes

    def _remove_gone(self, wall: float) -> None:
        """Remove the records of instances that have long been gone and on which nothing is live."""
        obsolete = [
            machine
            for machine, record in self._cache.instances.items()
            if record.state == GONE
            and machine not in self._cache.attempts_by_machine
            and wall - record.since > _RECORD_KEPT_LAGS * self._lag_s
        ]
        # There is no hurry: they go along with other changes, or once they are many.
        if self._records.unwritten or len(obsolete) > _REMOVED_SHARE * self._records.chunk_size:
            self._records.note(dict.fromkeys(obsolete))
