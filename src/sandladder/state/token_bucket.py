"""A controller's share of a rate limit: a bucket of tokens that refusals shrink."""

from sandladder import clock


class AdaptiveTokenBucket:
    """Our share of a rate limit that all controllers use.

    The share follows what each of them has to do (see `Controller._share_writes`), so that
    together they stay within the limit: where all try and are refused, small requests always
    find room and large ones never.  Refusals shrink it further, successes let it grow again.
    """

    def __init__(self, whole: float, least: float | None = None) -> None:
        self._whole = 0.95 * whole
        # How far refusals shrink it; a smaller limit may begin without notice.
        self._floor = 0.7 * min(1.0, (least or whole) / whole)
        self.share = 1.0
        self._trust = 1.0
        self._tokens = self._burst
        self._at = clock.now()

    @property
    def rate(self) -> float:
        return self._whole * self.share * self._trust

    @property
    def _burst(self) -> float:
        return 0.7 * self._whole * self.share

    def _refill(self) -> None:
        now = clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self.rate)
        self._at = now

    def delay(self, amount: float) -> float:
        """How long until this much may be spent; whole bursts go once the bucket is full."""
        self._refill()
        short = min(amount, self._burst) - self._tokens
        # Timers do not resolve less than a millisecond or so: a shorter wait is none.
        return 0.0 if short <= 0 else max(0.001, short / self.rate)

    @property
    def idle(self) -> bool:
        """Whether nothing was spent of late, so that what can wait may go."""
        self._refill()
        return self._tokens >= 0.95 * self._burst

    def spend(self, amount: float) -> None:
        self._refill()
        # The debt is bounded: what was tried in an outage must not be paid for after it.
        self._tokens = max(self._tokens - amount, -self._whole)

    def unspent(self, amount: float) -> None:
        """It was not carried out after all."""
        self._tokens += amount

    def allowed(self) -> None:
        self._trust = min(1.0, self._trust * 1.05)

    def refused(self, amount: float) -> None:
        """It was over the limit: nothing was spent, but others are spending.

        Seen in a measured day: halving on each refusal left three quarters of the limit
        unused, for two controllers that meet by chance are no sign of too high a rate.
        """
        self._trust = max(self._floor, self._trust * 0.95)
        self._tokens = min(self._tokens + amount, 0.0)
