"""The budget for the store's rates, and what the committer does while there is no store."""

from random import Random
from typing import Any

import anyio

from sandladder.protocol import dumps
from sandladder.state import (
    AdaptiveTokenBucket,
    GroupCommitter,
    PendingChange,
    StateCache,
    StoreClient,
    StoreLimits,
    Transaction,
)
from sandladder.transport import Response
from world import settings


def test_refusals_leave_most_of_the_write_rate() -> None:
    """Seen in a measured day: chance meetings of two controllers shrank it to a third."""

    async def body() -> None:
        budget = AdaptiveTokenBucket(15.0)
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


class StoreUnavailableError:
    """A state service that answers 503 for as long as it is down."""

    def __init__(self) -> None:
        self.down = True

    async def request(self, *_: Any, **__: Any) -> Response:
        return Response(503) if self.down else Response(200, dumps({"ledger": 7}))

    async def aclose(self) -> None:
        pass


class Read:
    """A watch that has read something when it is told so."""

    loaded = True

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.asked = 0

    async def barrier(self) -> None:
        self.asked += 1
        await self.event.wait()


def test_in_an_outage_nothing_is_evaluated_until_something_was_read() -> None:
    """Seen in a measured day: a third of the processor time of an outage went into that."""

    async def body() -> None:
        tried = []

        def apply(transaction: Transaction) -> bool:
            tried.append(1)
            transaction.put("s/p/x", {}, 0)
            return True

        limits = settings(0, 1).platform.deployment.state
        service, read, cache = StoreUnavailableError(), Read(), StateCache()
        committer = GroupCommitter(
            StoreClient(service, limits, 1.0),
            cache,
            read,  # type: ignore[arg-type]
            Random(1),
            lambda keys: None,
            StoreLimits(limits, cache),
            trust_s=1e9,
            patience_s=1e9,
        )
        change = PendingChange("x", 1.0, 1, apply)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(committer.run)
            committer.add(change)
            while not read.asked and len(tried) < 3:
                await anyio.sleep(0.001)
            for number in range(50):
                committer.add(PendingChange(f"y{number}", 1.0, 1, lambda transaction: False))
                await anyio.wait_all_tasks_blocked()
            assert len(tried) == 1 and not change.finished.is_set()
            service.down = False
            read.event.set()
            await change.wait()
            tasks.cancel_scope.cancel()
        assert len(tried) == 2 and committer.committed == 1

    anyio.run(body)
