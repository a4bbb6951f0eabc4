"""The phi accrual failure detector for one link.

Hayashibara, Defago, Yared and Katayama, "The phi accrual failure detector", 2004: the level of
suspicion follows from the heartbeat intervals observed on the link instead of a fixed timeout.
Pure.
"""

import math
from collections import deque
from statistics import NormalDist

_WINDOW_SIZE = 64  # intervals
# Lower bound of the standard deviation, as a share of the heartbeat interval: timers and process
# scheduling are inexact.
_MIN_DEVIATION_INTERVAL_SHARE = 0.25
# A longer silence, in heartbeat intervals, is an outage and not a sample of the distribution.
_OUTAGE_INTERVALS = 4.0
# Upper bound of phi: smaller probabilities cannot be distinguished from zero.
MAX_PHI = 16.0


class PhiAccrualWindow:
    """The recent intervals between one peer's heartbeats, on this process's steady clock."""

    def __init__(self, heartbeat_interval_s: float) -> None:
        """Create an empty window.

        Args:
            heartbeat_interval_s: the maximum interval between two heartbeats, in seconds.
        """
        self._heartbeat_interval_s = heartbeat_interval_s
        self._intervals: deque[float] = deque(maxlen=_WINDOW_SIZE)
        self._sum = 0.0
        self._sum_of_squares = 0.0
        self.last_arrival = -math.inf  # of a heartbeat; -inf if none has arrived

    def record_arrival(self, now: float) -> None:
        """Record a heartbeat that arrived at `now`, in seconds on the steady clock."""
        interval = now - self.last_arrival
        self.last_arrival = now
        # Extra heartbeats between the regular ones must not shorten the expected interval.
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
        """Ignore the silence before `until`, because this process was paused."""
        if self.last_arrival > -math.inf:
            self.last_arrival = max(self.last_arrival, until)

    @property
    def mean_s(self) -> float:
        """The mean interval in seconds, at least the heartbeat interval."""
        count = len(self._intervals)
        return max(self._heartbeat_interval_s, self._sum / count if count else 0.0)

    @property
    def deviation_s(self) -> float:
        """The standard deviation of the intervals in seconds, with a lower bound."""
        min_deviation_s = self._heartbeat_interval_s * _MIN_DEVIATION_INTERVAL_SHARE
        count = len(self._intervals)
        if not count:
            return min_deviation_s
        mean = self._sum / count
        variance = max(0.0, self._sum_of_squares / count - mean * mean)
        return max(math.sqrt(variance), min_deviation_s)

    def phi(self, now: float, health_multiplier: float = 1.0) -> float:
        """Return the level of suspicion: minus the decimal logarithm of the silence's probability.

        Args:
            now: in seconds on the steady clock.
            health_multiplier: the factor by which intervals are stretched, for an observer that
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
