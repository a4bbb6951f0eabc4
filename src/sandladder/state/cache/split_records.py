"""Records whose value is split over several keys, put together as their parts arrive."""

from typing import Any

from sandladder.state.codecs.split_values import join_value
from sandladder.state.entries import StoredValue
from sandladder.state.keys import continuation_key, parse_continuation_key


class SplitRecords:
    """The parts of split records, and which records are to be joined again."""

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
        """The keys of records some part of which changed since they were last joined."""
        return list(self._unjoined)

    def set_head(self, key: str, value: Any, version: int) -> None:
        """The first part of a record was written."""
        self._heads[key] = StoredValue(value, version)
        self._unjoined[key] = None

    def discard_head(self, key: str) -> None:
        """A record is not split any more, or was deleted."""
        self._heads.pop(key, None)
        self._unjoined.pop(key, None)

    def set_continuation(self, key: str, value: Any, version: int) -> None:
        """A further part, under its own key, was written; None: deleted."""
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
        """The keys of a record's further parts that exist."""
        return [continuation_key(key, index) for index in self._continuations.get(key, ())]

    def join(self, key: str) -> Any:
        """The value of a record, which is no longer unjoined; None while parts do not match.

        A malformed part raises whatever its decoding raises.
        """
        value = join_value(self._heads[key], self._continuations.get(key, {}))
        if value is not None:
            self._unjoined.pop(key, None)
        return value
