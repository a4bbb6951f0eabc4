"""Simulated workers, which implement the agent side of the lease and fencing protocol."""

import functools
from typing import Any

import anyio
import cbor2

from sandladder.transport import HttpError, Request, Response
from simulation.deployment import MACHINE_TYPES
from simulation.event_loop import now
from simulation.shared_state import KeptHeartbeat, SharedState
from simulation.task_executor import TaskExecutor

# Timeouts and intervals of the protocol, in seconds.
_RESPONSE_TIMEOUT_S = 4.0
_NEXT_CONTROLLER_DELAY_S = 1.0
_HEARTBEAT_INTERVAL_S = (1.5, 2.5)
_CHANGE_REPORT_DELAY_S = 0.3
# Interval at which tasks advance, in seconds.
_STEP_INTERVAL_S = 0.1
# Range of the ratio of the boot time to the catalog's value.
_BOOT_FACTOR = (0.6, 1.5)
# Range of the delay of a heartbeat's copy, in seconds; up to 1.5 leases.
_COPY_DELAY_S = (2.0, 18.0)
_NEVER_S = 1e6


class Worker(TaskExecutor):
    """A machine with its worker."""

    def __init__(self, shared: SharedState, name: str, kind: str, zone: str, spot: bool) -> None:
        super().__init__(shared, name, kind, zone, spot)
        self.boots_at = now() + shared.rng.uniform(*_BOOT_FACTOR) * MACHINE_TYPES[kind]["boot_s"]
        self.reporting_controller = shared.rng.randrange(shared.count)

    async def run(self) -> None:
        """Boot, then send heartbeats until the machine is terminated."""
        await anyio.sleep(self.boots_at - now())
        if self.terminated_at is not None:
            return
        self.state, self.lease_started_at = "running", now()
        self._shared.network.handlers[self.name] = self.handle
        self._shared.network.tasks.start_soon(self._run_tasks)
        while self.state == "running":
            if now() >= self.hung_until:
                await self._send_heartbeat()
            self.changed = anyio.Event()
            with anyio.move_on_after(self._shared.rng.uniform(*_HEARTBEAT_INTERVAL_S)):
                await self.changed.wait()
                await anyio.sleep(_CHANGE_REPORT_DELAY_S)

    async def _run_tasks(self) -> None:
        while self.state == "running":
            await anyio.sleep(_STEP_INTERVAL_S)
            self.step()

    async def _send_heartbeat(self) -> None:
        """Send a heartbeat, and process the response."""
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
            self._process_response(cbor2.loads(response.body), sent, epoch)
            return
        redirect_target = (
            cbor2.loads(response.body).get("clerk") if response.status == 421 else None
        )
        if redirect_target is not None and redirect_target != target:
            self.reporting_controller = int(redirect_target.rpartition("-")[2])
            return
        await self._try_next_controller()

    async def _call(self, target: str, request: Request) -> Response:
        """Send a request; the status is 0 after a timeout."""
        try:
            return await self._shared.network.call(self.name, target, request, _RESPONSE_TIMEOUT_S)
        except HttpError:
            return Response(0)

    async def _try_next_controller(self) -> None:
        await anyio.sleep(_NEXT_CONTROLLER_DELAY_S)
        self.reporting_controller = (self.reporting_controller + 1) % self._shared.count

    def _process_response(self, body: dict[str, Any], sent: float, epoch: int) -> None:
        """Renew the lease and execute the commands, unless the token or epoch is stale."""
        if body["seal"] < self.fencing_token or epoch != self.epoch:
            return
        self._accept_token(body["seal"])
        self.lease_started_at = sent
        self.execute(body["orders"])

    async def _deliver_again(self, request: Request, target: str) -> None:
        """Deliver a copy of a heartbeat after a delay."""
        await anyio.sleep(self._shared.rng.uniform(*_COPY_DELAY_S))
        if target in self._shared.nodes:
            self._shared.observed["duplicated heartbeat"] += 1
            await self._call(target, request)

    def _accept_token(self, token: int) -> None:
        if token > self.fencing_token:
            self.fencing_token = token
            self.changed.set()

    async def handle(self, source: str, request: Request) -> Response:
        """Handle a direct request of a controller; never returns on a terminated machine."""
        while now() < self.hung_until:
            await anyio.sleep(0.5)
        while request.path == "/do" and now() < self.commands_held_until:
            await anyio.sleep(0.5)
            self._shared.observed["command held"] += 1
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
        """Terminate the machine and its tasks; `listed`: the cloud lists it as failed."""
        self.state = "failed" if listed else "deleted"
        self.terminated_at = now()
        self.tasks.clear()
        self._shared.network.handlers.pop(self.name, None)
