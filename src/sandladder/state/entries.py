"""Keys with their values and versions, as they come from the store and go to it."""

from typing import Any, NamedTuple


class StoredValue(NamedTuple):
    """A key's value and the version at which it was written."""

    value: Any
    version: int


class StoredEntry(NamedTuple):
    """A key with its value and version; in a change, the value None stands for a deletion."""

    key: str
    value: Any
    version: int


class StoredEntries(NamedTuple):
    """Entries or changes, and the revision of the store as of which they are complete."""

    revision: int
    entries: list[StoredEntry]


class LeasedValue(NamedTuple):
    """A value to be written, and the lease that it is attached to, if any."""

    value: Any
    lease: int | None


class KeyValue(NamedTuple):
    """A key and the value to be written there."""

    key: str
    value: Any


class KeyChange(NamedTuple):
    """A put of one key, or its deletion if the value is None."""

    key: str
    value: Any
    lease: int | None = None
