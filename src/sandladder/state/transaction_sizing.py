"""The size of the next transaction, adapted to the outcomes of earlier ones.

Pure: no I/O, no clock.
"""

from collections.abc import Iterable

from sandladder.config import MIN_TXN_OPS
from sandladder.state.pending_change import PendingChange
from sandladder.state.store_limits import StoreLimits

# A transaction is limited to what the write limit allows in this many seconds: larger transactions
# of several controllers exceed the limit together and are rejected.
_MAX_TRANSACTION_S = 1.5
# The share of a full transaction that is used: its factor on a conflict or a body that is too long,
# its minimum after conflicts, its minimum after a long body, and its factor on a commit.
_SHARE_DECREASE, _MIN_SHARE, _MIN_SHARE_FOR_LONG_BODY, _SHARE_INCREASE = 0.5, 0.25, 0.1, 1.5


class TransactionSizing:
    """Decides how many operations and changes the next transaction may have, and of which kind."""

    def __init__(self, limits: StoreLimits, limits_reset_s: float) -> None:
        """Create the sizing.

        Args:
            limits: the store's size limits, which are reduced when the store rejects a transaction.
            limits_reset_s: how long reduced limits stay in force, in seconds.
        """
        self._limits = limits
        self._limits_reset_s = limits_reset_s
        self._share = 1.0  # of a full transaction
        self._isolated_turn = False  # isolated changes and the others take turns
        self._one_by_one = False  # to find the change that the store rejects
        self._shrunk_at = float("-inf")  # on the steady clock, in seconds

    def max_operations(self, writes_per_s: float) -> int:
        """Return the maximum number of puts and deletes, at this controller's write rate."""
        affordable = _MAX_TRANSACTION_S * writes_per_s
        return max(MIN_TXN_OPS, int(min(self._limits.txn_ops * self._share, affordable)))

    def max_members(self, requested: int | None) -> int | None:
        """Return the maximum number of changes; None if it is not limited."""
        return 1 if self._one_by_one else requested

    def take_turns(self, ready: Iterable[PendingChange]) -> list[PendingChange]:
        """Return the isolated changes or the others, in turns, or all if they are of one kind."""
        isolated: list[PendingChange] = []
        others: list[PendingChange] = []
        for change in ready:
            (isolated if change.is_isolated else others).append(change)
        if not isolated or not others:
            return isolated or others
        self._isolated_turn = not self._isolated_turn
        return isolated if self._isolated_turn else others

    def record_commit(self) -> None:
        """Allow larger transactions after a commit."""
        self._share = min(1.0, self._share * _SHARE_INCREASE)
        self._one_by_one = False

    def record_conflict(self) -> None:
        """Allow only smaller transactions after a conflict."""
        self._share = max(_MIN_SHARE, self._share * _SHARE_DECREASE)

    def record_long_body(self) -> None:
        """Allow only smaller transactions after one whose request body would be too long."""
        self._share = max(_MIN_SHARE_FOR_LONG_BODY, self._share * _SHARE_DECREASE)

    def send_one_by_one(self) -> None:
        """Allow one change a transaction until the next commit."""
        self._one_by_one = True

    def shrink_limits(self, operations: int, largest_value_bytes: int, now: float) -> bool:
        """Reduce the store's limits after it rejected a transaction as too large.

        Args:
            operations: the number of puts and deletes of the transaction.
            largest_value_bytes: the length of its longest value, in bytes.
            now: the time on the steady clock, in seconds.

        Returns:
            False if the limits cannot be reduced further.
        """
        self._shrunk_at = now
        return self._limits.shrink(operations, largest_value_bytes)

    def restore_limits(self, now: float) -> None:
        """Return to the configured limits once they have been reduced for long enough."""
        if self._limits.is_shrunk and now - self._shrunk_at > self._limits_reset_s:
            self._limits.reset()
