"""The store's size limits: as configured now, as configured for the future, and as observed.

In schema version 2 all writes respect both the current limits and the smaller ones that may come
into force without notice.  A rejection for size reduces the limits until `StoreLimits.reset`.

Pure: no I/O, no clock.
"""

import math

from sandladder.config import MIN_TXN_OPS, StoreSettings
from sandladder.model import SCHEMA_V1
from sandladder.protocol.codec import BODY_LIMIT
from sandladder.state.cache import StateCache

# The share of the limit on a value that is used; the rest is for the key and the encoding.
_VALUE_BYTES_SHARE = 0.95
# The share of the limit on a transaction that its values may use; the rest is for the keys, the
# expected versions and the encoding.
_TRANSACTION_VALUES_SHARE = 0.9
# The maximum number of expected versions per put or delete of a transaction.
_CONDITIONS_PER_OPERATION = 4
# The maximum number of values of a job's record, regardless of the transaction's limit.
_MAX_PARTS = 3
# The length of a live task in its job's record, uncompressed and compressed, in bytes, if each task
# has a machine of its own and the finished tasks are not contiguous.
_TASK_BYTES, _COMPRESSED_TASK_BYTES = 32, 20
# The shares of an uncompressed record for the live attempts and for the job's spec.
_LIVE_SHARE, _SPEC_SHARE = 0.7, 0.28
# The minimum share of a compressed record for the live attempts.
_MIN_LIVE_SHARE = 0.12
# The minimum number of live tasks that a job may have.
_MIN_LIVE_TASKS = 8
# The factor by which a rejection reduces the length of values, and their minimum length.
_VALUE_DECREASE = 0.7
_MIN_VALUE_BYTES = 256.0


class StoreLimits:
    """The limits in force, as far as they are known.

    Attributes:
        configured: the current limits in the settings.
        strictest: the smallest limits that may come into force without notice.
    """

    def __init__(self, settings: StoreSettings, cache: StateCache) -> None:
        self.configured = settings
        self.strictest = settings.strictest()
        self._cache = cache
        # Limits found by rejections.
        self._observed_txn_ops = math.inf
        self._observed_value_bytes = math.inf

    @property
    def _is_schema_v1(self) -> bool:
        return self._cache.schema_version == SCHEMA_V1

    @property
    def _applicable(self) -> StoreSettings:
        return self.configured if self._is_schema_v1 else self.strictest

    @property
    def txn_ops(self) -> int:
        """The maximum number of puts and deletes of a transaction."""
        return int(min(self._applicable.txn_ops, self._observed_txn_ops))

    @property
    def conditions(self) -> int:
        """The maximum number of expected versions of a transaction."""
        return _CONDITIONS_PER_OPERATION * self.txn_ops

    @property
    def value_bytes(self) -> float:
        """The maximum length of a value, in bytes."""
        return min(
            self._applicable.value_bytes * _VALUE_BYTES_SHARE,
            self._observed_value_bytes,
            _TRANSACTION_VALUES_SHARE * BODY_LIMIT,
        )

    @property
    def max_values(self) -> int:
        """The maximum number of values of full length in a transaction."""
        return max(1, int(_TRANSACTION_VALUES_SHARE * BODY_LIMIT / self.value_bytes))

    @property
    def max_parts(self) -> int:
        """The maximum number of values of a job's record."""
        if self._is_schema_v1:
            return 1
        # The transaction that ends a job needs one more operation.
        return max(1, min(_MAX_PARTS, self.txn_ops - 1, self.max_values))

    def max_spec_bytes(self) -> float:
        """Return the maximum length of a job's record without live attempts, in bytes."""
        if self._is_schema_v1:
            return self.configured.value_bytes * _SPEC_SHARE
        return self.max_parts * self.value_bytes * (1 - _MIN_LIVE_SHARE)

    def max_live_tasks(self, spec_bytes: int = 512) -> int:
        """Return the maximum number of a job's live tasks such that its record fits the limits."""
        if self._is_schema_v1:
            tasks = int(self.configured.value_bytes * _LIVE_SHARE / _TASK_BYTES)
        else:
            free_bytes = self.max_parts * self.value_bytes - spec_bytes
            tasks = int(free_bytes / _COMPRESSED_TASK_BYTES)
        return max(_MIN_LIVE_TASKS, tasks)

    def shrink(self, operations: int, largest_value_bytes: int) -> bool:
        """Reduce the limits after the store rejected a transaction as too large.

        The number of operations is reduced first, then the length of values.

        Args:
            operations: the number of puts and deletes of the transaction.
            largest_value_bytes: the length of its longest value, in bytes.

        Returns:
            False if the limits cannot be reduced further.
        """
        if operations > MIN_TXN_OPS:
            self._observed_txn_ops = max(MIN_TXN_OPS, operations // 2)
            return True
        value_bytes = min(largest_value_bytes, self.value_bytes) * _VALUE_DECREASE
        if self._is_schema_v1 or value_bytes < _MIN_VALUE_BYTES:
            return False
        self._observed_value_bytes = value_bytes
        return True

    def reset(self) -> None:
        """Return to the configured limits, as the cause of the rejections may have ended."""
        self._observed_txn_ops = self._observed_value_bytes = math.inf

    @property
    def is_shrunk(self) -> bool:
        """Whether a rejection has reduced the limits."""
        return min(self._observed_txn_ops, self._observed_value_bytes) < math.inf
