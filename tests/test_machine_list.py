"""The cloud's list of machines, which is read page by page and may be older than an earlier one."""

import contextlib
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import anyio
import cbor2
import pytest

from sandladder.autoscaling import CloudClient, CloudError
from sandladder.autoscaling.instance_reconciler import InstanceReconciler
from sandladder.model import ACTIVE, GONE, Machine
from sandladder.protocol import MalformedMessageError
from sandladder.state import AdaptiveTokenBucket, StateCache
from sandladder.transport import HttpError, Response
from simulation import ZONES, SimulatedCluster, now, run
from simulation.deployment import LIST_LAG_S
from simulation.network import SimulatedHttpClient

_MACHINES, _PAGE_MACHINES = 8, 3
_PAGE_DELAY_S = 0.7 * LIST_LAG_S
_TIMEOUT_S = 4.0
# The cloud's rate limit, in requests per second, and its burst.
_CLOUD_RPS, _CLOUD_BURST = 3.0, 6.0


class ListFixture:
    """A reconciler with the simulated cloud's list, whose records hold all machines as active."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cloud = cluster.cloud
        self.cloud.page_machines, self.cloud.list_lag_s = _PAGE_MACHINES, 0.0
        self.cache = StateCache()
        self.records: dict[str, Machine | None] = {}
        http = SimulatedHttpClient(cluster.network, "node-0", "cloud", HttpError)
        self.client = CloudClient(http, _TIMEOUT_S, 100.0)
        writer = SimpleNamespace(queue=self.records.update, unwritten={}, chunk_size=100)
        self.reconciler = InstanceReconciler(
            self.cache,
            self.client,
            writer,  # type: ignore[arg-type]
            LIST_LAG_S,
        )

    def add_machine(self) -> str:
        """Add a machine to the cloud and to the records, and return its name."""
        name = self.cloud.add("large", ZONES[0], False)
        self.cache.instances[name] = Machine("large", ZONES[0], False, ACTIVE, now())
        return name

    async def reconcile(self) -> None:
        """Read the list and reconcile the records with it."""
        await self.reconciler.reconcile(now(), now())

    @property
    def gone(self) -> list[str]:
        """The instances that are recorded as gone."""
        return [name for name, record in self.records.items() if record and record.state == GONE]


def run_with_list(main: Callable[[ListFixture], Awaitable[None]]) -> None:
    """Run a test's main routine with some machines, in virtual time."""
    cluster = SimulatedCluster(1, count=1)

    async def body() -> None:
        cluster.crash(0)
        fixture = ListFixture(cluster)
        for _ in range(_MACHINES):
            fixture.add_machine()
        await anyio.sleep(LIST_LAG_S)
        await main(fixture)

    run(cluster, body)


def test_a_running_machine_is_not_gone_because_a_slow_list_was_the_first_to_show_it() -> None:
    """Guards against running the machine's tasks twice: the next list is older than the machine."""

    async def main(fixture: ListFixture) -> None:
        began_at = now()
        fixture.cloud.list_delay_s = _PAGE_DELAY_S
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.reconcile)
            await anyio.sleep(1.5 * _PAGE_DELAY_S)
            machine = fixture.add_machine()
        # Lists fail until the machine has been missing for as long as counts as gone.
        await anyio.sleep(began_at + 2.6 * LIST_LAG_S - now())
        fixture.cloud.list_delay_s, fixture.cloud.list_lag_s = 0.0, 2 * LIST_LAG_S
        await fixture.reconcile()
        assert machine not in fixture.gone

    run_with_list(main)


def test_a_returned_machine_is_gone_once_no_list_can_be_older_than_its_return() -> None:
    async def main(fixture: ListFixture) -> None:
        await fixture.reconcile()
        machine = next(iter(fixture.cloud.workers))
        fixture.cloud.workers[machine].terminate(False)
        ended_at = now()
        while not fixture.gone:
            await anyio.sleep(0.1)
            await fixture.reconcile()
        assert fixture.gone == [machine]
        assert now() - ended_at <= 3 * LIST_LAG_S

    run_with_list(main)


@pytest.mark.parametrize("failed_page", range(_MACHINES // _PAGE_MACHINES + 1))
@pytest.mark.parametrize("status", [429, 503])
def test_no_machine_is_gone_while_the_list_fails_at_any_page(failed_page: int, status: int) -> None:
    async def main(fixture: ListFixture) -> None:
        await fixture.reconcile()
        pages = 0

        def refuse(after: str) -> int | None:
            nonlocal pages
            pages = 0 if not after else pages + 1
            return status if pages == failed_page else None

        fixture.cloud.on_list = refuse
        for _ in range(10):
            await anyio.sleep(LIST_LAG_S)
            with pytest.raises(CloudError):
                await fixture.reconcile()
        assert not fixture.gone

    run_with_list(main)


def test_a_list_of_nine_pages_can_be_read_at_a_cloud_that_allows_three_requests_a_second() -> None:
    """The list of 4,000 machines."""

    async def main(fixture: ListFixture) -> None:
        fixture.cloud.page_machines = 1
        fixture.add_machine()
        await anyio.sleep(LIST_LAG_S)
        tokens, refilled_at = _CLOUD_BURST, now()

        def limit(after: str) -> int | None:
            nonlocal tokens, refilled_at
            tokens = min(_CLOUD_BURST, tokens + _CLOUD_RPS * (now() - refilled_at))
            refilled_at = now()
            if tokens < 1:
                return 429
            tokens -= 1
            return None

        fixture.client.rate_limit = AdaptiveTokenBucket(_CLOUD_RPS)
        fixture.cloud.on_list = limit
        for _ in range(20):
            with contextlib.suppress(CloudError):
                await fixture.reconcile()
            await anyio.sleep(LIST_LAG_S)
        assert fixture.reconciler.address(next(iter(fixture.cloud.workers))) is not None

    run_with_list(main)


def listed(name: str) -> dict[str, object]:
    """Return a well-formed item of the list."""
    kind = {"id": name, "addr": f"{name}:1", "breed": "large", "district": "north"}
    return kind | {"loaners": False, "standing": "running", "age_s": 1.0}


MALFORMED_PAGES: dict[str, dict[str, object]] = {
    "empty, with more to follow": {"rungs": [], "more": True},
    "without the mark of the last page": {"rungs": [listed("vm-000001")]},
    "an item that is no map": {"rungs": ["vm-000001", listed("vm-000002")], "more": False},
    "the same page again": {"rungs": [listed("vm-000001")], "more": True},
}


@pytest.mark.parametrize("page", MALFORMED_PAGES.values(), ids=MALFORMED_PAGES)
def test_no_machine_is_gone_after_a_malformed_page(page: dict[str, object]) -> None:
    class MalformedCloud:
        """Returns the same page for every request."""

        async def request(
            self, method: str, target: str, body: bytes = b"", *, timeout: float
        ) -> Response:
            await anyio.sleep(0.01)
            return Response(200, cbor2.dumps(page))

    async def main(fixture: ListFixture) -> None:
        await fixture.reconcile()
        fixture.client._client = MalformedCloud()  # type: ignore[assignment]
        await anyio.sleep(3 * LIST_LAG_S)
        with anyio.fail_after(1.0), pytest.raises(MalformedMessageError):
            await fixture.reconcile()
        assert not fixture.gone

    run_with_list(main)
