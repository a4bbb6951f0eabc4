"""Records whose values are split over several keys, joined as their parts arrive."""

from typing import Any

from sandladder.state.codecs.split_values import join_value
from sandladder.state.entries import StoredValue
from sandladder.state.keys import continuation_key, parse_continuation_key


class SplitRecords:
    """The parts of split records, and the records whose parts have changed."""

    def __init__(self) -> None:
        self._heads: dict[str, StoredValue] = {}
        self._continuations: dict[str, dict[int, StoredValue]] = {}
        self._unjoined: dict[str, None] = {}

    @property
    def heads(self) -> dict[str, StoredValue]:
        """The first parts, by the record's key."""
        return self._heads

    @property
    def unjoined(self) -> list[str]:
        """The keys of records of which a part changed since they were last joined."""
        return list(self._unjoined)

    def set_head(self, key: str, value: Any, version: int) -> None:
        """Set the first part of a record."""
        self._heads[key] = StoredValue(value, version)
        self._unjoined[key] = None

    def discard_head(self, key: str) -> None:
        """Remove the first part of a record that is no longer split, or was deleted."""
        self._heads.pop(key, None)
        self._unjoined.pop(key, None)

    def set_continuation(self, key: str, value: Any, version: int) -> None:
        """Set a part other than the first, or remove it if the value is None."""
        record, index = parse_continuation_key(key)
        parts = self._continuations.setdefault(record, {})
        if value is None:
            parts.pop(index, None)
            if not parts:
                del self._continuations[record]
        else:
            parts[index] = StoredValue(value, version)
        if record in self._heads:
            self._unjoined[record] = None

    def continuation_keys(self, key: str) -> list[str]:
        """Return the existing keys of a record's parts other than the first."""
        return [continuation_key(key, index) for index in self._continuations.get(key, ())]

    def join(self, key: str) -> Any:
        """Return the value of a record, or None while its parts do not match.

        A malformed part raises its decoding error.
        """
        value = join_value(self._heads[key], self._continuations.get(key, {}))
        if value is not None:
            self._unjoined.pop(key, None)
        return value
