"""The simulated workers: they send heartbeats, keep their lease and run tasks by the protocol."""

import functools
from typing import Any

import anyio
import cbor2

from sandladder.transport import HttpError, Request, Response
from simulation import rules
from simulation.deployment import GANG_WAIT_S, LEASE_S, MACHINE_TYPES
from simulation.event_loop import now
from simulation.machines import Machine, Task
from simulation.shared_state import KeptHeartbeat, SharedState

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


class Worker(Machine):
    """A machine with its worker."""

    def __init__(self, shared: SharedState, name: str, kind: str, zone: str, spot: bool) -> None:
        super().__init__(name, kind, zone, spot)
        self._shared = shared
        self.boots_at = now() + shared.rng.uniform(*_BOOT_FACTOR) * MACHINE_TYPES[kind]["boot_s"]
        self.reporting_controller = shared.rng.randrange(shared.count)

    # Tasks

    def execute(self, commands: list[dict[str, Any]]) -> None:
        """Execute commands in their order, and let time pass."""
        for command in commands:
            name, attempt = command["entry"], command["try"]
            key = f"{name}#{attempt}"
            if command["verb"] == "run":
                if key not in self.tasks:
                    self._begin(name, attempt, key)
            elif command["verb"] == "halt":
                task = self.tasks.get(key)
                if task is not None and task.state != "exited":
                    self._halt(task, command["mercy_s"])
            elif key in self.tasks and self.tasks[key].state == "exited":
                del self.tasks[key]
        self.step()

    def _begin(self, name: str, attempt: int, key: str) -> None:
        """Accept a task, or refuse it: then it has exited at once."""
        shared = self._shared
        spec = shared.specs[name.partition("/")[0]]
        left_s = 0.0
        if name not in shared.done:
            left_s = shared.run_s(spec, name) - shared.saved.get(name, 0)
        task = Task(spec, name, attempt, left_s)
        cpus, gpus, memory = self.free()
        if any(t.name == name and t.state != "exited" for t in self.tasks.values()):
            task.state, task.cause = "exited", "in_use"
        elif spec["vcpus"] > cpus or spec["gpus"] > gpus or spec["ram_gb"] > memory:
            task.state, task.cause = "exited", "full"
            shared.refused_starts += 1
        elif self.faulty or spec["docket"] == "broken":
            task.state, task.cause = "exited", "error"
            shared.failed_starts += 1
        self.tasks[key] = task
        self.changed.set()

    def _halt(self, task: Task, grace_s: float) -> None:
        """Stop a task; it saves first if it can and the grace period is long enough."""
        can_save = task.spec["bookmark_s"] > 0 and grace_s >= task.spec["stamp_s"]
        if task.state == "running" and can_save:
            task.state, task.flushed_at = "flushing", now() + task.spec["stamp_s"]
        elif task.state != "flushing" or grace_s == 0:
            self._exit(task, "halted")

    def _exit(self, task: Task, cause: str, saved: bool = False) -> None:
        task.state, task.cause, task.saved = "exited", cause, saved
        self.changed.set()

    def step(self) -> None:
        """Let time pass on this machine, and check the rules."""
        if self.state != "running":
            return
        # The lease expires on a hanging machine as well: it may go on only within it.
        # Seen in a search: what it had run counted as there, and a true proof of loss as false.
        if now() - self.lease_started_at > LEASE_S:
            self.tasks.clear()
            self.epoch += 1
            self.lease_started_at = now()
            self._shared.expired_leases += 1
            self.changed.set()
        if now() >= self.hung_until:
            for task in list(self.tasks.values()):
                self._advance(task)
        self._shared.check()

    def _advance(self, task: Task) -> None:
        """Take a task to the state that is due."""
        if task.state == "fetching" and now() >= task.ready_at:
            self._image_arrived(task)
        elif task.state == "waiting":
            self._wait_for_gang(task)
        elif task.state == "running":
            self._run(task)
        elif task.state == "flushing" and now() >= task.flushed_at:
            saved = self._shared.saved
            saved[task.name] = saved.get(task.name, 0) + now() - task.ready_at
            self._exit(task, "halted", True)

    def _image_arrived(self, task: Task) -> None:
        if task.name in self._shared.done:
            self._exit(task, "done")  # the result is kept
            return
        self._shared.starts[task.name] += 1
        rules.check_task_start(self._shared, self, task)
        task.state = "waiting" if task.spec["form"] == "group" else "running"
        task.ready_at = task.waits_since = now()
        self.changed.set()

    def _wait_for_gang(self, task: Task) -> None:
        members = self._shared.gang_members(task)
        if len(members) == task.spec["entries"]:
            for member in members:
                member.state, member.ready_at = "running", now()
        elif now() - task.waits_since > GANG_WAIT_S:
            self._exit(task, "alone")

    def _run(self, task: Task) -> None:
        spec, shared = task.spec, self._shared
        is_gang = spec["form"] == "group"
        whole = not is_gang or len(shared.gang_members(task)) == spec["entries"]
        finished = spec["form"] != "service" and now() - task.ready_at >= task.left_s
        if finished and (whole or task.name in shared.done):
            for member in shared.gang_members(task) if is_gang else [task]:
                shared.done.add(member.name)
            self._exit(task, "done")
            if shared.is_done(spec["id"]):
                shared.job_finished(spec["id"])
        elif task.name in shared.done:
            self._exit(task, "done")
        elif not whole:
            self._exit(task, "mates_gone")

    # The protocol

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
            shared.met["heartbeat lost"] += bool(self.tasks)
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
            shared.met["response lost"] += response.status == 200
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
            self._shared.met["duplicated heartbeat"] += 1
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
                self._shared.met["commanded while heartbeats are lost"] += 1
            self._accept_token(body["seal"])
            self.execute(body["orders"])
        return Response(200, cbor2.dumps(self.heartbeat()))

    def vanish(self, listed: bool) -> None:
        """End the machine with everything on it; listed: the cloud's list shows it as failed."""
        self.state = "failed" if listed else "deleted"
        self.gone_at = now()
        self.tasks.clear()
        self._shared.network.handlers.pop(self.name, None)
