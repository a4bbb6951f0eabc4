"""What the state service takes: the settings' limits, those to come, and what it refuses.

Once the records are of the second form everything is written within the smaller of today's
limits and those that may begin without notice.  A refusal for size shrinks what is written;
after a while the settings are trusted again.  Pure.
"""

from sandladder.config import LEAST_TXN_OPS, State
from sandladder.model import SCHEMA_V1
from sandladder.state.cache import StateCache

# Room for the key and the braces around a value.
_VALUE_SHARE = 0.95
# A job's record takes no more values than this, whatever a transaction holds.
_MOST_PARTS = 3
# What a task alone on its machine takes of its job's record, with holes in what is done:
# written plainly, and folded.
_ITEM_BYTES, _FOLDED_ITEM_BYTES = 32, 20
# The share of a plain record that is for what is live; the rest is for the job itself.
_LIVE_SHARE, _SPEC_SHARE = 0.7, 0.28
# The share of a folded record that is at least left for what is live.
_LIVE_LEAST = 0.12
_LEAST_VALUE_BYTES = 256.0


class StoreLimits:
    """The limits in force, as far as we can tell."""

    def __init__(self, state: State, cache: StateCache) -> None:
        self.today = state
        self.least = state.least()
        self._mirror = cache
        self._txn_ops = float("inf")
        self._value_bytes = float("inf")

    @property
    def _base(self) -> State:
        return self.today if self._mirror.schema_version == SCHEMA_V1 else self.least

    @property
    def txn_ops(self) -> int:
        """How many puts and deletes a transaction may hold."""
        return int(min(self._base.txn_ops, self._txn_ops))

    @property
    def conditions(self) -> int:
        return 4 * self.txn_ops

    @property
    def value_bytes(self) -> float:
        """How long a value may be."""
        return min(self._base.value_bytes * _VALUE_SHARE, self._value_bytes)

    @property
    def parts(self) -> int:
        """How many values a job's record may take: its end needs one change more."""
        return (
            1
            if self._mirror.schema_version == SCHEMA_V1
            else max(1, min(_MOST_PARTS, self.txn_ops - 1))
        )

    def spec_room(self) -> float:
        """How long a job's record may be while nothing of it is live."""
        if self._mirror.schema_version == SCHEMA_V1:
            return self.today.value_bytes * _SPEC_SHARE
        return self.parts * self.value_bytes * (1 - _LIVE_LEAST)

    def most_live(self, spec_bytes: int = 512) -> int:
        """How many tasks of a job may be live such that its record stays within the limits."""
        if self._mirror.schema_version == SCHEMA_V1:
            return max(8, int(self.today.value_bytes * _LIVE_SHARE / _ITEM_BYTES))
        room = self.parts * self.value_bytes - spec_bytes
        return max(8, int(room / _FOLDED_ITEM_BYTES))

    def refused(self, changes: int, largest: int) -> bool:
        """A transaction was too large; False when it cannot be made any smaller.

        What was refused is not tried again as it is: fewer changes at a time first, then
        shorter values.
        """
        if changes > LEAST_TXN_OPS:
            self._txn_ops = max(LEAST_TXN_OPS, changes // 2)
            return True
        smaller = min(largest, self.value_bytes) * 0.7
        if self._mirror.schema_version == SCHEMA_V1 or smaller < _LEAST_VALUE_BYTES:
            return False
        self._value_bytes = smaller
        return True

    def trust(self) -> None:
        """Go back to the settings: what shrank the limits may be over."""
        self._txn_ops = self._value_bytes = float("inf")

    @property
    def shrunk(self) -> bool:
        return min(self._txn_ops, self._value_bytes) < float("inf")
