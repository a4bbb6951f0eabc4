"""A controller's cache of the records in the key-value store."""

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
    """The records as of a revision, updated by the watch and by this controller's commits.

    A change may arrive twice, or after a newer one: changes older than a key's version are ignored.
    A malformed record is logged and marked as unreadable, and does not affect other records.

    Attributes:
        revision: the store's revision up to which all changes have been applied.
        unreadable: the keys of malformed records; no action may depend on these.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0
        self.reset_count = 0  # number of full reads
        self.unreadable: set[str] = set()
        self._split = SplitRecords()
        # Keys that this controller's commits changed after `revision`, with the commit's revision:
        # older changes of these keys are ignored.
        self._own_commits: dict[str, int] = {}

    def continuation_keys(self, key: str) -> list[str]:
        """Return the existing keys of a split record's continuations."""
        return self._split.continuation_keys(key)

    @property
    def unreadable_nodes(self) -> set[str]:
        """The controllers whose inventory exists and has never been readable."""
        nodes = self._inventories.nodes_with_record()
        nodes |= {
            key[len(INVENTORY_PREFIX) :]
            for key in self._split.heads
            if key.startswith(INVENTORY_PREFIX)
        }
        return nodes - self.inventories.keys()

    def starts_blocked(self, team: str) -> bool:
        """Return whether the team's usage may be unknown, so that none of its tasks may start."""
        job_ids = (key[len(JOB_PREFIX) :] for key in self.unreadable if key.startswith(JOB_PREFIX))
        last_readable = (self.jobs.get(job_id) for job_id in job_ids)
        return any(job is None or job.spec.team == team for job in last_readable)

    def reset(self, revision: int, items: Sequence[tuple[str, Any, int]]) -> dict[str, None]:
        """Replace all records by a full read of the store.

        Args:
            revision: the revision up to which the read is complete; it may include later changes.
            items: (key, value, version) of each key.

        Returns:
            The keys whose records may have changed.

        Raises:
            UnknownSchemaVersionError: this program does not support the records.
        """
        changed: dict[str, None] = {}
        present = {key for key, _, _ in items}
        for key in [key for key in self.versions if key not in present]:
            if self._own_commits.get(key, 0) <= revision:
                self._set(key, None, 0)
                changed[key] = None
        for key, value, version in items:
            if version > self._own_commits.get(key, 0) and version != self.version(key):
                self._set(key, value, version)
                changed[key] = None
        # The pages of a read may differ in revision: parts that do not match are corrected by the
        # changes that the watch applies next, before the records are used.
        changed |= self._join_split_records()
        self._advance(max(revision, self.revision))
        self.reset_count += 1
        return changed

    def apply(self, revision: int, events: Iterable[tuple[str, Any, int]]) -> dict[str, None]:
        """Apply the store's changes up to a revision.

        Args:
            revision: the revision up to which the changes are complete.
            events: (key, value, version) of each change; the value None is a deletion.

        Returns:
            The keys that changed.

        Raises:
            UnknownSchemaVersionError: this program does not support the records.
        """
        changed: dict[str, None] = {}
        for key, value, version in events:
            if version <= self.revision or version <= self._own_commits.get(key, 0):
                continue
            self._set(key, value, 0 if value is None else version)
            changed[key] = None
        changed |= self._join_split_records()
        for key in [key for key in self._split.unjoined if key not in self.unreadable]:
            self._mark_unreadable(key, "its parts are of different transactions")
        self._advance(max(revision, self.revision))
        return changed

    def apply_own_commit(
        self, revision: int, changes: Iterable[tuple[str, Any]]
    ) -> dict[str, None]:
        """Apply a commit of this controller.

        Its answer may arrive after later reads of the store.  A commit up to `revision` has been
        applied with the log's changes, or was followed by later ones, and is ignored.

        Args:
            revision: the revision of the commit.
            changes: (key, value) of each change; the value None is a deletion.

        Returns:
            The keys that changed.

        Raises:
            UnknownSchemaVersionError: this program does not support the records.
        """
        changed: dict[str, None] = {}
        if revision <= self.revision:
            return changed
        for key, value in changes:
            if revision <= max(self.version(key), self._own_commits.get(key, 0)):
                continue
            self._own_commits[key] = revision
            self._set(key, value, 0 if value is None else revision)
            changed[key] = None
        return changed | self._join_split_records()

    def _advance(self, revision: int) -> None:
        self.revision = revision
        if self._own_commits:
            self._own_commits = {key: at for key, at in self._own_commits.items() if at > revision}

    def _set(self, key: str, value: Any, version: int) -> None:
        """Set the value and version of one key, which holds a record or a part of one."""
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
            self._read_or_mark(key, value)

    def _set_archived(self, key: str, value: Any, version: int) -> None:
        # An archived job never changes.  Only the latest are cached; others are read on demand.
        if value is None:
            return
        try:
            self.add_finished_job(
                key[len(FINISHED_JOB_PREFIX) :], read_finished_job(value, version)
            )
        except Exception as error:  # noqa: BLE001 (any malformed record)
            log.error("record %s is unreadable: %s", key, error)

    def _join_split_records(self) -> dict[str, None]:
        """Decode the split records whose parts changed and match, and return their keys."""
        joined: dict[str, None] = {}
        for key in self._split.unjoined:
            try:
                value = self._split.join(key)
            except Exception as error:  # noqa: BLE001 (any malformed record)
                self._mark_unreadable(key, repr(error))
                continue
            if value is not None:
                self._read_or_mark(key, value)
                joined[key] = None
        return joined

    def _read_or_mark(self, key: str, value: Any) -> None:
        """Decode a record, or mark it as unreadable if it is malformed."""
        try:
            self._read(key, value)
        except UnknownSchemaVersionError:
            raise
        except Exception as error:  # noqa: BLE001 (any malformed record)
            self._mark_unreadable(key, repr(error))
        else:
            self.unreadable.discard(key)

    def _mark_unreadable(self, key: str, reason: str) -> None:
        log.error("record %s is unreadable: %s", key, reason)
        self.unreadable.add(key)
