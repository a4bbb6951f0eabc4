"""The budget for the store's rates."""

import anyio

from sandladder.store import Budget


def test_refusals_leave_most_of_the_write_rate() -> None:
    """Seen in a measured day: chance meetings of two controllers shrank it to a third."""

    async def body() -> None:
        budget = Budget(15.0)
        for _ in range(50):
            budget.spend(6)
            budget.refused(6)
        assert budget.rate >= 0.6 * 15.0
        budget.share = 0.1
        assert budget.rate <= 1.5
        # Seen in the stand-in world: tries in an outage left a debt of minutes.
        for _ in range(500):
            budget.spend(6)
        assert budget.delay(1) <= 15.0 / budget.rate + 2.0

    anyio.run(body)
