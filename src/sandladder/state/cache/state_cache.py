"""A controller's copy of the records."""

import logging
from collections.abc import Iterable, Sequence
from typing import Any

from sandladder.state.cache.record_tables import RecordTables
from sandladder.state.cache.split_records import SplitRecords
from sandladder.state.codecs.jobs import read_finished_job
from sandladder.state.codecs.split_values import is_split
from sandladder.state.errors import UnknownSchemaVersionError
from sandladder.state.keys import (
    CONTINUATION_PREFIX,
    FINISHED_JOB_PREFIX,
    INVENTORY_PREFIX,
    JOB_PREFIX,
)

log = logging.getLogger(__name__)


class StateCache(RecordTables):
    """The records as of a revision, kept current by the watch and by our own commits.

    Changes may arrive twice and in either order: older ones are ignored, by the version of each
    key.  A record that cannot be read is logged and noted as unreadable, and changes nothing else;
    only a schema version that this program does not support is raised (UnknownSchemaVersionError).
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0
        # Records that cannot be read: nothing is done that depends on them.
        self.unreadable: set[str] = set()
        self._split = SplitRecords()
        # Keys that our own commits moved past `revision`: older changes of them are ignored.
        self._ahead: dict[str, int] = {}

    def continuation_keys(self, key: str) -> list[str]:
        """The keys of a record's further parts that exist."""
        return self._split.continuation_keys(key)

    @property
    def unreadable_nodes(self) -> set[str]:
        """Controllers that have an inventory which could never be read."""
        heads = self._inventories.nodes_with_record()
        heads |= {
            key[len(INVENTORY_PREFIX) :]
            for key in self._split.heads
            if key.startswith(INVENTORY_PREFIX)
        }
        return heads - self.inventories.keys()

    def starts_blocked(self, team: str) -> bool:
        """Whether the team's usage cannot be known, so that nothing of it may start."""
        jobs = (key[len(JOB_PREFIX) :] for key in self.unreadable if key.startswith(JOB_PREFIX))
        known = (self.jobs.get(job_id) for job_id in jobs)
        return any(job is None or job.spec.team == team for job in known)

    def reset(self, revision: int, items: Sequence[tuple[str, Any, int]]) -> dict[str, None]:
        """Replace everything by a full read of the store.

        Args:
            revision: as of which the entries are complete at least.
            items: (key, value, version) of each entry.

        Returns:
            The keys whose records may have changed.
        """
        changed: dict[str, None] = {}
        present = {key for key, _, _ in items}
        for key in [key for key in self.versions if key not in present]:
            if self._ahead.get(key, 0) <= revision:
                self._set(key, None, 0)
                changed[key] = None
        for key, value, version in items:
            if version > self._ahead.get(key, 0) and version != self.version(key):
                self._set(key, value, version)
                changed[key] = None
        # Read page by page: parts that do not match are corrected by the changes that follow,
        # before anyone acts on them.
        changed |= self._join()
        self._advance(max(revision, self.revision))
        return changed

    def apply(self, revision: int, events: Iterable[tuple[str, Any, int]]) -> dict[str, None]:
        """Apply the changes (key, value, version) up to `revision`; the keys that changed."""
        changed: dict[str, None] = {}
        for key, value, version in events:
            if version <= self.revision or version <= self._ahead.get(key, 0):
                continue
            self._set(key, value, 0 if value is None else version)
            changed[key] = None
        changed |= self._join()
        for key in [key for key in self._split.unjoined if key not in self.unreadable]:
            self._mark_unreadable(key, "its parts were not written together")
        self._advance(max(revision, self.revision))
        return changed

    def apply_own_commit(
        self, revision: int, changes: Iterable[tuple[str, Any]]
    ) -> dict[str, None]:
        """Apply a commit of our own, as (key, value) of each change; the keys that changed."""
        changed: dict[str, None] = {}
        for key, value in changes:
            if revision <= max(self.version(key), self._ahead.get(key, 0)):
                continue
            if revision > self.revision:
                self._ahead[key] = revision
            self._set(key, value, 0 if value is None else revision)
            changed[key] = None
        return changed | self._join()

    def _advance(self, revision: int) -> None:
        self.revision = revision
        if self._ahead:
            self._ahead = {key: at for key, at in self._ahead.items() if at > revision}

    def _set(self, key: str, value: Any, version: int) -> None:
        """Take in the value of one key: a record, or a part of one."""
        if key.startswith(FINISHED_JOB_PREFIX):
            self._set_archived(key, value, version)
            return
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        if key.startswith(CONTINUATION_PREFIX):
            self._split.set_continuation(key, value, version)
        elif is_split(value):
            self._split.set_head(key, value, version)
        else:
            self._split.discard_head(key)
            self._take(key, value)

    def _set_archived(self, key: str, value: Any, version: int) -> None:
        # Finished jobs never change; only the latest are kept, others are read again.
        if value is None:
            return
        try:
            self.add_finished_job(
                key[len(FINISHED_JOB_PREFIX) :], read_finished_job(value, version)
            )
        except Exception as error:  # noqa: BLE001 (any malformed record)
            log.error("the record %s cannot be read: %s", key, error)

    def _join(self) -> dict[str, None]:
        """Read the split records whose parts changed; the keys of those that are whole."""
        joined: dict[str, None] = {}
        for key in self._split.unjoined:
            try:
                value = self._split.join(key)
            except Exception as error:  # noqa: BLE001 (any malformed record)
                self._mark_unreadable(key, repr(error))
                continue
            if value is not None:
                self._take(key, value)
                joined[key] = None
        return joined

    def _take(self, key: str, value: Any) -> None:
        """Take in a record; one that cannot be read stops nothing but what depends on it."""
        try:
            self._read(key, value)
        except UnknownSchemaVersionError:
            raise
        except Exception as error:  # noqa: BLE001 (any malformed record)
            self._mark_unreadable(key, repr(error))
        else:
            self.unreadable.discard(key)

    def _mark_unreadable(self, key: str, why: str) -> None:
        log.error("the record %s cannot be read: %s", key, why)
        self.unreadable.add(key)
