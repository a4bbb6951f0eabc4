"""The simulated workers: they send heartbeats and keep to the protocol of leases and tokens."""

import functools
from typing import Any

import anyio
import cbor2

from sandladder.transport import HttpError, Request, Response
from simulation.deployment import MACHINE_TYPES
from simulation.event_loop import now
from simulation.shared_state import KeptHeartbeat, SharedState
from simulation.task_executor import TaskExecutor

# Times of the protocol, in seconds.
_RESPONSE_TIMEOUT_S = 4.0
_NEXT_CONTROLLER_S = 1.0
_HEARTBEAT_S = (1.5, 2.5)
_CHANGE_DELAY_S = 0.3
# How often tasks advance, in seconds.
_STEP_S = 0.1
# Boot time, in shares of what the catalog says.
_BOOT_FACTOR = (0.6, 1.5)
# How late the copy of a heartbeat arrives, in seconds: up to well over a lease.
_COPY_DELAY_S = (2.0, 18.0)
_NEVER_S = 1e6


class Worker(TaskExecutor):
    """A machine with its worker."""

    def __init__(self, shared: SharedState, name: str, kind: str, zone: str, spot: bool) -> None:
        super().__init__(shared, name, kind, zone, spot)
        self.boots_at = now() + shared.rng.uniform(*_BOOT_FACTOR) * MACHINE_TYPES[kind]["boot_s"]
        self.reporting_controller = shared.rng.randrange(shared.count)

    async def run(self) -> None:
        """Boot, then send heartbeats until the machine is gone."""
        await anyio.sleep(self.boots_at - now())
        if self.gone_at is not None:
            return
        self.state, self.lease_started_at = "running", now()
        self._shared.network.handlers[self.name] = self.handle
        self._shared.network.tasks.start_soon(self._run_tasks)
        while self.state == "running":
            if now() >= self.hung_until:
                await self._send_heartbeat()
            self.changed = anyio.Event()
            with anyio.move_on_after(self._shared.rng.uniform(*_HEARTBEAT_S)):
                await self.changed.wait()
                await anyio.sleep(_CHANGE_DELAY_S)

    async def _run_tasks(self) -> None:
        while self.state == "running":
            await anyio.sleep(_STEP_S)
            self.step()

    async def _send_heartbeat(self) -> None:
        """Send one heartbeat, and do what its response says."""
        shared = self._shared
        if now() < self.heartbeats_lost_until:
            shared.observed["heartbeat lost"] += bool(self.tasks)
            await self._try_next_controller()
            return
        sent, epoch = now(), self.epoch
        request = Request("POST", "/v1/report", cbor2.dumps(self.heartbeat()))
        target = f"node-{self.reporting_controller}"
        if shared.kept_heartbeat_share and shared.rng.random() < shared.kept_heartbeat_share:
            shared.kept_heartbeats.append(KeptHeartbeat(self, self.epoch, request))
        response = await self._call(target, request)
        share = shared.duplicated_heartbeat_share
        if share and shared.rng.random() < share:
            shared.network.start(functools.partial(self._deliver_again, request, target))
        if self.state != "running" or now() < self.hung_until:
            return
        if now() < self.responses_lost_until:
            shared.observed["response lost"] += response.status == 200
            response = Response(0)
        if response.status == 200:
            self._take_response(cbor2.loads(response.body), sent, epoch)
            return
        named = cbor2.loads(response.body).get("clerk") if response.status == 421 else None
        if named is not None and named != target:
            self.reporting_controller = int(named.rpartition("-")[2])
            return
        await self._try_next_controller()

    async def _call(self, target: str, request: Request) -> Response:
        """Send a request; status 0 without a response in time."""
        try:
            return await self._shared.network.call(self.name, target, request, _RESPONSE_TIMEOUT_S)
        except HttpError:
            return Response(0)

    async def _try_next_controller(self) -> None:
        await anyio.sleep(_NEXT_CONTROLLER_S)
        self.reporting_controller = (self.reporting_controller + 1) % self._shared.count

    def _take_response(self, body: dict[str, Any], sent: float, epoch: int) -> None:
        """Renew the lease and execute commands, unless the response must be dropped."""
        if body["seal"] < self.fencing_token or epoch != self.epoch:
            return
        self._accept_token(body["seal"])
        self.lease_started_at = sent
        self.execute(body["orders"])

    async def _deliver_again(self, request: Request, target: str) -> None:
        """A copy of a heartbeat arrives once more."""
        await anyio.sleep(self._shared.rng.uniform(*_COPY_DELAY_S))
        if target in self._shared.nodes:
            self._shared.observed["duplicated heartbeat"] += 1
            await self._call(target, request)

    def _accept_token(self, token: int) -> None:
        if token > self.fencing_token:
            self.fencing_token = token
            self.changed.set()

    async def handle(self, source: str, request: Request) -> Response:
        """Handle a direct request of a controller; never answered by a machine that is gone."""
        while now() < self.hung_until:
            await anyio.sleep(0.5)
        if self.state != "running" or now() < self.responses_lost_until:
            await anyio.sleep(_NEVER_S)
        if request.path == "/do":
            body = cbor2.loads(request.body)
            if body["seal"] < self.fencing_token or body["shift"] != self.epoch:
                return Response(409, cbor2.dumps(self.heartbeat()))
            if now() < self.heartbeats_lost_until and body["orders"]:
                self._shared.observed["commanded while heartbeats are lost"] += 1
            self._accept_token(body["seal"])
            self.execute(body["orders"])
        return Response(200, cbor2.dumps(self.heartbeat()))

    def terminate(self, listed: bool) -> None:
        """End the machine with everything on it; listed: the cloud's list shows it as failed."""
        self.state = "failed" if listed else "deleted"
        self.gone_at = now()
        self.tasks.clear()
        self._shared.network.handlers.pop(self.name, None)
