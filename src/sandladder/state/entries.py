"""Keys with values and versions, as read from and written to the store."""

from typing import Any, NamedTuple


class StoredValue(NamedTuple):
    """A key's value and the version at which it was written."""

    value: Any
    version: int


class StoredEntry(NamedTuple):
    """A key with its value and version; in a change, the value None is a deletion."""

    key: str
    value: Any
    version: int


class StoredEntries(NamedTuple):
    """Entries or changes, and the store's revision up to which they are complete."""

    revision: int
    entries: list[StoredEntry]


class LeasedValue(NamedTuple):
    """A value to be written, and the lease to which its key is attached, if any."""

    value: Any
    lease: int | None


class KeyValue(NamedTuple):
    """A key and its new value."""

    key: str
    value: Any


class KeyChange(NamedTuple):
    """A put of one key, or its deletion if the value is None."""

    key: str
    value: Any
    lease: int | None = None
