"""The sizes that the store accepts: by the settings, by those to come, and by its rejections.

Once the records are of schema version 2 everything is written within the smaller of today's limits
and those that may come into force without notice.  A rejection for size shrinks what is written;
after a while the settings are trusted again.  Pure: no I/O, no clock.
"""

import math

from sandladder.config import MIN_TXN_OPS, StoreSettings
from sandladder.model import SCHEMA_V1
from sandladder.state.cache import StateCache

# What of the limit on a value is left beside the key and the braces around the value.
_VALUE_SHARE = 0.95
# How many conditions a transaction may have for each put or delete.
_CONDITIONS_PER_OP = 4
# A job's record takes no more values than this, whatever a transaction may hold.
_MOST_PARTS = 3
# What a task alone on its machine takes of its job's record, in bytes, with gaps between the tasks
# that are done: as it is, and compressed.
_TASK_BYTES, _COMPRESSED_TASK_BYTES = 32, 20
# The shares of an uncompressed record for live attempts and for the job itself.
_LIVE_SHARE, _SPEC_SHARE = 0.7, 0.28
# The share of a compressed record that is at least left for live attempts.
_LEAST_LIVE_SHARE = 0.12
# Every job may have this many live tasks.
_LEAST_LIVE_TASKS = 8
# Rejections shrink values by this factor, and not below this many bytes.
_VALUE_DECREASE = 0.7
_LEAST_VALUE_BYTES = 256.0


class StoreLimits:
    """The limits in force, as far as they are known.

    Attributes:
        today: the limits that the settings name.
        least: the smallest that may come into force without notice.
    """

    def __init__(self, state: StoreSettings, cache: StateCache) -> None:
        self.configured = state
        self.least = state.strictest()
        self._cache = cache
        self._largest_txn_ops = math.inf
        self._largest_value_bytes = math.inf

    @property
    def _is_schema_v1(self) -> bool:
        return self._cache.schema_version == SCHEMA_V1

    @property
    def _configured(self) -> StoreSettings:
        return self.configured if self._is_schema_v1 else self.least

    @property
    def txn_ops(self) -> int:
        """How many puts and deletes a transaction may hold."""
        return int(min(self._configured.txn_ops, self._largest_txn_ops))

    @property
    def conditions(self) -> int:
        """How many expected versions a transaction may name."""
        return _CONDITIONS_PER_OP * self.txn_ops

    @property
    def value_bytes(self) -> float:
        """How long a value may be, in bytes."""
        return min(self._configured.value_bytes * _VALUE_SHARE, self._largest_value_bytes)

    @property
    def max_parts(self) -> int:
        """How many values a job's record may take: its end needs one change more."""
        if self._is_schema_v1:
            return 1
        return max(1, min(_MOST_PARTS, self.txn_ops - 1))

    def max_spec_bytes(self) -> float:
        """How long a job's record may be while nothing of it is live, in bytes."""
        if self._is_schema_v1:
            return self.configured.value_bytes * _SPEC_SHARE
        return self.max_parts * self.value_bytes * (1 - _LEAST_LIVE_SHARE)

    def max_live_tasks(self, spec_bytes: int = 512) -> int:
        """How many tasks of a job may be live such that its record stays within the limits."""
        if self._is_schema_v1:
            most = int(self.configured.value_bytes * _LIVE_SHARE / _TASK_BYTES)
        else:
            free_bytes = self.max_parts * self.value_bytes - spec_bytes
            most = int(free_bytes / _COMPRESSED_TASK_BYTES)
        return max(_LEAST_LIVE_TASKS, most)

    def shrink(self, changes: int, largest: int) -> bool:
        """Shrink the limits: the store rejected a transaction as too large.

        What was rejected is not tried again as it is: fewer changes at a time first, then shorter
        values.

        Args:
            changes: how many puts and deletes it had.
            largest: the length of its longest value, in bytes.

        Returns:
            False if a transaction cannot be made any smaller.
        """
        if changes > MIN_TXN_OPS:
            self._largest_txn_ops = max(MIN_TXN_OPS, changes // 2)
            return True
        smaller = min(largest, self.value_bytes) * _VALUE_DECREASE
        if self._is_schema_v1 or smaller < _LEAST_VALUE_BYTES:
            return False
        self._largest_value_bytes = smaller
        return True

    def reset(self) -> None:
        """Go back to the settings: the cause of the rejections may be over."""
        self._largest_txn_ops = self._largest_value_bytes = math.inf

    @property
    def is_shrunk(self) -> bool:
        """Whether a rejection made the limits smaller than the settings."""
        return min(self._largest_txn_ops, self._largest_value_bytes) < math.inf
