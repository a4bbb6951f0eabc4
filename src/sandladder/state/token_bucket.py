"""An adaptive token bucket for a controller's share of a rate limit."""

from sandladder import clock

# The target rate of all controllers together, as a share of the limit.
_TARGET_SHARE = 0.95
# The bucket's size, in seconds at the controller's share of the target rate.
_BURST_S = 0.7
# The rate factor: its minimum, and the factors by which a rejection and a success change it.  The
# decrease is small because chance collisions between controllers are rejected too: halving the
# rate left three quarters of the limit unused.
_MIN_RATE_FACTOR, _RATE_DECREASE, _RATE_INCREASE = 0.7, 0.95, 1.05
# The share of its size at which the bucket is regarded as full.
_FULL_SHARE = 0.95
# The minimum delay: timers do not resolve shorter ones.
_MIN_DELAY_S = 0.001


class AdaptiveTokenBucket:
    """This controller's share of a rate limit that all controllers use.

    The shares follow the controllers' demand, so that together they stay within the limit: if all
    of them exceeded it, small requests would succeed and large ones would starve.  Rejections
    reduce the rate further, and successes increase it again.

    Attributes:
        share: this controller's share of the limit, set by `peers.WriteRateShare`.
    """

    def __init__(self, limit: float, min_limit: float | None = None) -> None:
        """Create a full bucket.

        Args:
            limit: the rate limit of all controllers together, per second.
            min_limit: the smallest limit that may come into force without notice, per second.
        """
        self._cluster_rate = _TARGET_SHARE * limit
        self._min_rate_factor = _MIN_RATE_FACTOR * min(1.0, (min_limit or limit) / limit)
        self.share = 1.0
        self._rate_factor = 1.0
        self._tokens = self._burst
        self._refilled_at = clock.now()

    @property
    def rate(self) -> float:
        """The amount that may be spent per second."""
        return self._cluster_rate * self.share * self._rate_factor

    @property
    def _burst(self) -> float:
        return _BURST_S * self._cluster_rate * self.share

    def _refill(self) -> None:
        now = clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def delay(self, amount: float) -> float:
        """Return the delay until an amount may be spent, in seconds.

        An amount larger than the bucket may be spent once the bucket is full.
        """
        self._refill()
        missing = min(amount, self._burst) - self._tokens
        return 0.0 if missing <= 0 else max(_MIN_DELAY_S, missing / self.rate)

    @property
    def idle(self) -> bool:
        """Whether the bucket is full, so that deferrable requests may be sent."""
        self._refill()
        return self._tokens >= _FULL_SHARE * self._burst

    def spend(self, amount: float) -> None:
        """Spend an amount on a request that is about to be sent."""
        self._refill()
        # Bounds the debt, so that requests that failed in an outage do not block later ones.
        self._tokens = max(self._tokens - amount, -self._cluster_rate)

    def refund(self, amount: float) -> None:
        """Return the amount spent on a request that was not executed."""
        self._tokens += amount

    def on_allowed(self) -> None:
        """Increase the rate after a request within the limit."""
        self._rate_factor = min(1.0, self._rate_factor * _RATE_INCREASE)

    def on_rejected(self, amount: float) -> None:
        """Reduce the rate after a request over the limit, and refund the amount up to 0 tokens.

        The bucket stays empty, as other controllers have used up the limit.
        """
        self._rate_factor = max(self._min_rate_factor, self._rate_factor * _RATE_DECREASE)
        self._tokens = min(self._tokens + amount, 0.0)
