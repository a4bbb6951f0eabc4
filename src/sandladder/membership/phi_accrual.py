"""How the signs of life of one link are spread in time, and how odd a silence is.

The accrual of Hayashibara, Defago, Yared and Katayama ("The phi accrual failure detector",
2004): the suspicion is a level from the times seen on this very link, not a fixed time.  Pure.
"""

import math
from collections import deque
from statistics import NormalDist

# So many signs are remembered, and what their spread is never taken to be below, as a share of
# the time within which the sender promises the next one: timers and processors are coarse.
_WINDOW, _LEAST_SPREAD = 64, 0.25
# A silence past so many promised times is no sample: it was an outage, not the link's way.
_OUTAGE = 4.0
# The level at which a probability is no longer told from none.
MOST_PHI = 16.0


class PhiAccrualWindow:
    """The times between one peer's signs of life, on our steady clock."""

    def __init__(self, promised_s: float) -> None:
        """`promised_s`: within what time, in seconds, the sender says something at the latest."""
        self._promised_s = promised_s
        self._times: deque[float] = deque(maxlen=_WINDOW)
        self._sum = self._squares = 0.0
        self.at = -math.inf  # when the last sign came

    def heard(self, now: float) -> None:
        """A sign came, at a steady time in seconds."""
        took, self.at = now - self.at, now
        # Signs that come more often than promised say nothing of how late one may be.
        took = max(took, self._promised_s)
        if took > _OUTAGE * self._promised_s:
            return
        if len(self._times) == _WINDOW:
            oldest = self._times[0]
            self._sum -= oldest
            self._squares -= oldest * oldest
        self._times.append(took)
        self._sum += took
        self._squares += took * took

    def excuse(self, until: float) -> None:
        """Count no silence before this time: it was ours, not the peer's."""
        if self.at > -math.inf:
            self.at = max(self.at, until)

    @property
    def mean_s(self) -> float:
        """The usual time between two signs."""
        return max(self._promised_s, self._sum / len(self._times) if self._times else 0.0)

    @property
    def spread_s(self) -> float:
        """Their standard deviation, never less than what timers resolve."""
        number = len(self._times)
        if not number:
            return self._promised_s * _LEAST_SPREAD
        mean = self._sum / number
        found = math.sqrt(max(0.0, self._squares / number - mean * mean))
        return max(found, self._promised_s * _LEAST_SPREAD)

    def phi(self, now: float, widen: float = 1.0) -> float:
        """How odd the present silence is: minus the decimal logarithm of its probability.

        0 to `MOST_PHI`; `widen` makes times so much longer, for a reader that is late itself.
        """
        silence = now - self.at
        if silence == math.inf:
            return MOST_PHI
        likely = NormalDist(self.mean_s * widen, self.spread_s * widen).cdf(silence)
        return -math.log10(1 - likely) if likely < 1 - 10**-MOST_PHI else MOST_PHI
