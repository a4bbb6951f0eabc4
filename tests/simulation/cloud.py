"""The simulated cloud provider, whose machine list is eventually consistent."""

import itertools
from collections import deque
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import cbor2

from sandladder.transport import Request, Response
from simulation.deployment import LIST_LAG_S, MACHINE_TYPES, ZONES
from simulation.event_loop import now
from simulation.shared_state import SharedState
from simulation.workers import Worker

# Interval between snapshots of the machine list, in seconds, and the number of snapshots kept.
_SNAPSHOT_INTERVAL_S = 0.5
_MAX_SNAPSHOTS = 200
# Delay until the list shows a failed machine as failed, in seconds.
_FAILURE_LIST_DELAY_S = 15
_NEVER_S = 1e6
_FAST_BOOT_S = (0.1, 2.0)


class Cloud:
    """Rents machines; a repeated request with the same name is idempotent."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self.workers: dict[str, Worker] = {}
        self._rentals: dict[str, list[str]] = {}  # machine names by the name of the request
        self._numbers = itertools.count(1)
        self._history: deque[tuple[float, list[dict[str, Any]]]] = deque(maxlen=_MAX_SNAPSHOTS)
        self.capacity = 8  # maximum number of machines rented at the same time
        # Faults.
        self.full_zones: set[str] = set()  # zones without capacity
        self.fast_boot_share = 0.0  # share of the machines that boot within two seconds
        self.never_booting = 0  # the first N machines never boot
        self.page_machines = 500  # largest page of the list
        self.list_lag_s: float | None = None  # lag of each page; random if None
        self.list_delay_s = 0.0  # delay of each page's response, in seconds
        # Called with the `after` of each request for a page; the status of its response if not 200.
        self.on_list: Callable[[str], int | None] | None = None

    async def record_snapshots(self) -> None:
        """Record snapshots of the machine list until cancelled."""
        while True:
            self._history.append((now(), [self._describe(w) for w in self._listed()]))
            await anyio.sleep(_SNAPSHOT_INTERVAL_S)

    def _listed(self) -> list[Worker]:
        return [w for w in self.workers.values() if w.state != "deleted"]

    @staticmethod
    def _describe(worker: Worker) -> dict[str, Any]:
        failed = (
            worker.state == "failed" and now() - (worker.terminated_at or 0) > _FAILURE_LIST_DELAY_S
        )
        boot_state = "starting" if worker.state == "starting" else "running"
        return {
            "id": worker.name,
            "addr": worker.addr,
            "breed": worker.kind,
            "district": worker.zone,
            "loaners": worker.spot,
            "standing": "failed" if failed else boot_state,
            "age_s": now() - worker.rented_at,
        }

    async def handle(self, source: str, request: Request) -> Response:
        """Handle a request of a controller."""
        url = urlsplit(request.path)
        path = url.path
        if path == "/catalog":
            return self._catalog()
        if request.method == "GET":
            query = parse_qs(url.query)
            return await self._list(query.get("after", [""])[0], int(query["most"][0]))
        body = cbor2.loads(request.body)
        if path == "/machines/return":
            return self._return(body["rungs"])
        return self._rent(body)

    def _catalog(self) -> Response:
        types = [
            {"label": name, "cache_gb": 20.0, "pull_gb_per_s": 2.0, "districts": ZONES}
            | {"market_price": kind["price"] / 3}
            | kind
            for name, kind in MACHINE_TYPES.items()
        ]
        return Response(200, cbor2.dumps({"breeds": types}))

    async def _list(self, after: str, most: int) -> Response:
        """Return a page; pages of one list may describe different times."""
        status = None if self.on_list is None else self.on_list(after)
        if status is not None:
            return Response(status)
        lag_s = self.list_lag_s
        if lag_s is None:
            lag_s = self._shared.rng.uniform(0.0, 2 * LIST_LAG_S)
        past = [listed for at, listed in self._history if at <= now() - lag_s]
        following = [item for item in (past[-1] if past else []) if item["id"] > after]
        page = following[: min(most, self.page_machines)]
        if self.list_delay_s:
            await anyio.sleep(self.list_delay_s)
        return Response(200, cbor2.dumps({"rungs": page, "more": len(page) < len(following)}))

    def _return(self, names: list[str]) -> Response:
        for name in names:
            if name in self.workers:
                self.workers[name].terminate(False)
        return Response(200, cbor2.dumps({}))

    def _rent(self, body: dict[str, Any]) -> Response:
        rental = body["hire"]
        if rental not in self._rentals:
            left = self.capacity - len([w for w in self._listed() if w.state != "failed"])
            if left <= 0 or body["district"] in self.full_zones:
                return Response(503, cbor2.dumps({"error": "no capacity"}))
            self._rentals[rental] = [
                self.add(body["breed"], body["district"], body["loaners"])
                for _ in range(min(left, body["count"]))
            ]
        return Response(200, cbor2.dumps({"rungs": self._rentals[rental]}))

    def add(self, kind: str, zone: str, spot: bool) -> str:
        """Add a machine and return its name."""
        name = f"vm-{next(self._numbers):06d}"
        worker = Worker(self._shared, name, kind, zone, spot)
        self._shared.network.add_host(worker)
        self.workers[name] = self._shared.machines[name] = worker
        rng = self._shared.rng
        if len(self.workers) <= self.never_booting:
            worker.boots_at = now() + _NEVER_S
        elif self.fast_boot_share and rng.random() < self.fast_boot_share:
            worker.boots_at = now() + rng.uniform(*_FAST_BOOT_S)
        self._shared.network.tasks.start_soon(worker.run)
        return name
