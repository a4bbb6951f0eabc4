"""A controller's share of a rate limit: a bucket of tokens that rejections shrink."""

from sandladder import clock

# What all controllers together aim at, as a share of the limit.
_TARGET_SHARE = 0.95
# How much is saved up at most, in seconds of the whole rate.
_BURST_S = 0.7
# How far rejections shrink the rate, and how each rejection and each success changes it.
_LEAST_CONFIDENCE, _DECREASE, _INCREASE = 0.7, 0.95, 1.05
# The bucket counts as full from this share of its size on.
_FULL_SHARE = 0.95
# Timers do not resolve less than a millisecond or so: a shorter wait is none.
_LEAST_DELAY_S = 0.001


class AdaptiveTokenBucket:
    """This controller's share of a rate limit that all controllers use.

    The share follows what each of them has to do (`share`, which the peer service sets), so that
    together they stay within the limit: where all try and are rejected, small requests always
    succeed and large ones never.  Rejections shrink the rate further, successes let it grow again.
    """

    def __init__(self, limit: float, least_limit: float | None = None) -> None:
        """Start with a full bucket.

        Args:
            limit: the rate limit of all controllers together, per second.
            least_limit: a smaller one that may come into force without notice.
        """
        self._whole_rate = _TARGET_SHARE * limit
        self._least_confidence = _LEAST_CONFIDENCE * min(1.0, (least_limit or limit) / limit)
        self.share = 1.0
        self._confidence = 1.0
        self._tokens = self._burst
        self._refilled_at = clock.now()

    @property
    def rate(self) -> float:
        """How much may be spent per second."""
        return self._whole_rate * self.share * self._confidence

    @property
    def _burst(self) -> float:
        return _BURST_S * self._whole_rate * self.share

    def _refill(self) -> None:
        now = clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def delay(self, amount: float) -> float:
        """How long until this much may be spent, in seconds.

        More than the bucket holds may be spent once it is full.
        """
        self._refill()
        missing = min(amount, self._burst) - self._tokens
        return 0.0 if missing <= 0 else max(_LEAST_DELAY_S, missing / self.rate)

    @property
    def idle(self) -> bool:
        """Whether nothing was spent of late, so that what can wait may be done."""
        self._refill()
        return self._tokens >= _FULL_SHARE * self._burst

    def spend(self, amount: float) -> None:
        """Count a request that is about to be sent."""
        self._refill()
        # The debt is bounded: what was tried in an outage must not be paid for after it.
        self._tokens = max(self._tokens - amount, -self._whole_rate)

    def refund(self, amount: float) -> None:
        """Give back what was spent on a request that was not carried out."""
        self._tokens += amount

    def on_allowed(self) -> None:
        """A request was within the limit."""
        self._confidence = min(1.0, self._confidence * _INCREASE)

    def on_rejected(self, amount: float) -> None:
        """A request was over the limit: nothing was spent, but others are spending.

        Seen in a measured day: halving the rate on each rejection left three quarters of the limit
        unused, for two controllers that collide by chance are no sign of too high a rate.
        """
        self._confidence = max(self._least_confidence, self._confidence * _DECREASE)
        self._tokens = min(self._tokens + amount, 0.0)
