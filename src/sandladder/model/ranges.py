"""Sets of task numbers."""

import bisect
from collections.abc import Iterator


class Ranges:
    """A set of non-negative integers, stored as sorted half-open ranges.

    Attributes:
        count: the number of integers in the set.
    """

    __slots__ = ("_flat", "count")

    def __init__(self, flat: list[int] | None = None) -> None:
        """Create the set.

        Args:
            flat: [first, end, first, end, ...]: half-open ranges, sorted, neither overlapping nor
                adjacent; None for an empty set.
        """
        self._flat = list(flat or [])
        self.count = sum(self._flat[1::2]) - sum(self._flat[::2])

    def __contains__(self, value: int) -> bool:
        return bisect.bisect_right(self._flat, value) % 2 == 1

    def add(self, value: int) -> bool:
        """Add a value; return False if it was already in the set."""
        flat = self._flat
        index = bisect.bisect_right(flat, value)
        if index % 2:
            return False
        joins_left = index > 0 and flat[index - 1] == value
        joins_right = index < len(flat) and flat[index] == value + 1
        if joins_left and joins_right:
            del flat[index - 1 : index + 1]
        elif joins_left:
            flat[index - 1] = value + 1
        elif joins_right:
            flat[index] = value
        else:
            flat[index:index] = [value, value + 1]
        self.count += 1
        return True

    def flat(self) -> list[int]:
        """Return the half-open ranges as [first, end, first, end, ...]."""
        return list(self._flat)

    def gaps(self, end: int) -> Iterator[int]:
        """Yield the values below `end` that are not in the set, in ascending order."""
        gap_start = 0
        for first, range_end in zip(self._flat[::2], self._flat[1::2], strict=True):
            yield from range(gap_start, min(first, end))
            gap_start = range_end
        yield from range(gap_start, end)
