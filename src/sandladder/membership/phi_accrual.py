"""The distribution of one peer's heartbeats in time, and how improbable its silence is.

The accrual of Hayashibara, Defago, Yared and Katayama ("The phi accrual failure detector", 2004):
suspicion is a level that follows from the intervals seen on this very link, not a fixed timeout.
Pure.
"""

import math
from collections import deque
from statistics import NormalDist

# Intervals that the window keeps.
_WINDOW_SIZE = 64
# The standard deviation is never taken to be less than this share of the heartbeat interval:
# timers and processors are coarse.
_MIN_DEVIATION_SHARE = 0.25
# A silence of more heartbeat intervals than this is no sample: it was an outage.
_OUTAGE_INTERVALS = 4.0
# The level from which on a probability cannot be told from zero.
MAX_PHI = 16.0


class PhiAccrualWindow:
    """The intervals between one peer's heartbeats, on this process's steady clock."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        """`heartbeat_interval_s`: between two heartbeats at the most, in seconds."""
        self._heartbeat_interval_s = heartbeat_interval_s
        self._intervals: deque[float] = deque(maxlen=_WINDOW_SIZE)
        self._sum = 0.0
        self._sum_of_squares = 0.0
        self.last_arrival = -math.inf  # of a heartbeat; -inf: there was none

    def record_arrival(self, now: float) -> None:
        """Take in a heartbeat that arrived now, in seconds on the steady clock."""
        interval = now - self.last_arrival
        self.last_arrival = now
        # Heartbeats that come more often than they must say nothing of how late one may be.
        interval = max(interval, self._heartbeat_interval_s)
        if interval > _OUTAGE_INTERVALS * self._heartbeat_interval_s:
            return
        if len(self._intervals) == _WINDOW_SIZE:
            oldest = self._intervals[0]
            self._sum -= oldest
            self._sum_of_squares -= oldest * oldest
        self._intervals.append(interval)
        self._sum += interval
        self._sum_of_squares += interval * interval

    def discount_silence(self, until: float) -> None:
        """Count no silence before this time: it was this process's own, not the peer's."""
        if self.last_arrival > -math.inf:
            self.last_arrival = max(self.last_arrival, until)

    @property
    def mean_s(self) -> float:
        """The mean interval in seconds, never less than the heartbeat interval."""
        count = len(self._intervals)
        return max(self._heartbeat_interval_s, self._sum / count if count else 0.0)

    @property
    def deviation_s(self) -> float:
        """The intervals' standard deviation in seconds, never less than what timers resolve."""
        least = self._heartbeat_interval_s * _MIN_DEVIATION_SHARE
        count = len(self._intervals)
        if not count:
            return least
        mean = self._sum / count
        variance = max(0.0, self._sum_of_squares / count - mean * mean)
        return max(math.sqrt(variance), least)

    def phi(self, now: float, health_multiplier: float = 1.0) -> float:
        """The level of suspicion: minus the decimal logarithm of the silence's probability.

        Args:
            now: in seconds on the steady clock.
            health_multiplier: by how much longer intervals are taken to be, for an observer that
                is late itself.

        Returns:
            0 to `MAX_PHI`.
        """
        silence = now - self.last_arrival
        if silence == math.inf:
            return MAX_PHI
        intervals = NormalDist(
            self.mean_s * health_multiplier, self.deviation_s * health_multiplier
        )
        probability = intervals.cdf(silence)
        return -math.log10(1 - probability) if probability < 1 - 10**-MAX_PHI else MAX_PHI
