"""The simulated cloud provider, whose machine list is eventually consistent."""

import itertools
from collections import deque
from typing import Any
from urllib.parse import urlsplit

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
            "addr": f"{worker.name}:9000",
            "breed": worker.kind,
            "district": worker.zone,
            "loaners": worker.spot,
            "standing": "failed" if failed else boot_state,
            "age_s": now() - worker.rented_at,
        }

    async def handle(self, source: str, request: Request) -> Response:
        """Handle a request of a controller."""
        path = urlsplit(request.path).path
        if path == "/catalog":
            return self._catalog()
        if request.method == "GET":
            return self._list()
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

    def _list(self) -> Response:
        lag_s = self._shared.rng.uniform(0.0, 2 * LIST_LAG_S)
        past = [page for at, page in self._history if at <= now() - lag_s]
        return Response(200, cbor2.dumps({"rungs": past[-1] if past else [], "more": False}))

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
        self.workers[name] = self._shared.machines[name] = worker
        rng = self._shared.rng
        if len(self.workers) <= self.never_booting:
            worker.boots_at = now() + _NEVER_S
        elif self.fast_boot_share and rng.random() < self.fast_boot_share:
            worker.boots_at = now() + rng.uniform(*_FAST_BOOT_S)
        self._shared.network.tasks.start_soon(worker.run)
        return name
