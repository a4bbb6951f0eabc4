"""Ranges of fencing tokens that one controller process has acquired."""

from typing import NamedTuple


class TokenRange(NamedTuple):
    """Consecutive fencing tokens of one process; none between them belongs to another one.

    While an agent shows a token of the range, no other controller has commanded it since it showed
    the first one, and it rejects all tokens that other controllers acquired before.
    """

    first: int
    last: int

    def covers(self, token: int) -> bool:
        """Return whether a token belongs to the range."""
        return self.first <= token <= self.last
