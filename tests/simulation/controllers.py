"""The controllers under test, of either version, with simulated sockets."""

import asyncio
import contextvars
import functools
import sys
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import cbor2

import production
from sandladder.config import Settings
from sandladder.transport import Request, Response
from simulation.deployment import THIS_VERSION, settings
from simulation.event_loop import CURRENT_PROCESSOR, Processor, now
from simulation.network import SimulatedHttpClient
from simulation.peer_connection import SimulatedPeerConnection
from simulation.shared_state import SharedState

# Offset of the wall clock from the monotonic clock, in seconds.
_WALL_CLOCK_OFFSET_S = 1e6
_NEVER_S = 1e6


@functools.cache
def controller_class(version: Any) -> Any:
    """Return the controller class of a version, with simulated sockets."""

    class SimulatedController(version.control.Controller):  # type: ignore[misc]
        """A controller whose requests and messages go through the simulated network."""

        def __init__(self, shared: SharedState, settings: Settings) -> None:
            self._shared, self.version = shared, version
            failure = version.http.HttpError
            super().__init__(
                settings,
                Random(shared.rng.random()),
                connect=lambda host, port, keep=4: SimulatedHttpClient(
                    shared.network, settings.node, host, failure
                ),
                wall=lambda: now() + _WALL_CLOCK_OFFSET_S,
            )
            connections = {
                peer: SimulatedPeerConnection(shared, self.node, peer, version.mesh)
                for peer in self.nodes
                if peer != self.node
            }
            if hasattr(self, "mirror"):
                self._add_current_names()
                self.peers.links = connections
            self.peers.connections = connections

        def _add_current_names(self) -> None:
            """Alias the attributes of the production version to their current names."""
            self.cache, self.job_api = self.mirror, self.users
            self.heartbeat_interval_s = self.beat_s
            self.peers.heartbeat, self.peers.receive = self.peers.beat, self.peers.hear
            if hasattr(self.peers, "_link_changed"):
                self.peers.connection_changed = self.peers._link_changed

        def _duty_failed(self, name: str) -> None:
            self._shared.record_violation("duty", f"{name}: {sys.exc_info()[1]!r}")

        def on_processor(self, step: Callable[[], object]) -> None:
            """Schedule a callback on this controller's processor."""
            context = contextvars.copy_context()
            context.run(CURRENT_PROCESSOR.set, self._shared.processors[self.node])
            asyncio.get_running_loop().call_soon(step, context=context)

        def _listen(self, tasks: Any) -> None:
            async def send_heartbeats() -> None:
                while True:
                    for connection in self.peers.connections.values():
                        connection.probe()
                        if (heartbeat := self.peers.heartbeat()) is not None:
                            connection.send(heartbeat)
                    await anyio.sleep(self.heartbeat_interval_s)

            tasks.start_soon(send_heartbeats)

    return SimulatedController


class Controllers:
    """Starts, freezes, slows down and crashes controllers."""

    def __init__(
        self, shared: SharedState, large: bool, old: bool, state_settings: dict[str, Any]
    ) -> None:
        self._shared = shared
        self._large = large
        # Overrides of the store's settings.
        self._state_settings = state_settings
        # The version that each controller runs from its next start.
        self.versions = [production.load() if old else THIS_VERSION] * shared.count
        self._scopes: dict[str, anyio.CancelScope] = {}  # by process; cancelled to end it

    def boot(self, index: int, twin: bool = False) -> None:
        """Start a controller unless it is running.

        The check prevents two faults from starting the same controller twice.  `twin` starts a
        second process regardless, which the platform never does.
        """
        name = f"node-{index}"
        if name in self._scopes and not twin:
            return
        scope = anyio.CancelScope()
        self._scopes[f"{name} too" if twin else name] = scope

        async def run() -> None:
            with scope:
                if not scope.cancel_called:
                    await self._run(index)

        processor = self._shared.processors[name] = Processor()
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESSOR.set, processor)
        context.run(self._shared.network.tasks.start_soon, run)

    async def _run(self, index: int) -> None:
        """Run a controller until cancelled."""
        shared, version = self._shared, self.versions[index]
        controller_settings = settings(
            index,
            shared.count,
            self._large,
            version,
            shared.cancel_s,
            shared.teams,
            **self._state_settings,
        )
        node = controller_class(version)(shared, controller_settings)
        shared.nodes[node.node] = node
        shared.network.handlers[node.node] = functools.partial(self._serve, node)
        await node.run()

    async def _serve(self, node: Any, source: str, request: Request) -> Response:
        """Handle a request on a controller's processor; never returns if the controller crashes."""
        responses: list[Response] = []
        answered = anyio.Event()

        async def serve() -> None:
            responses.append(await node.job_api.handle(request))
            answered.set()

        if node.tasks is None:
            await anyio.sleep(_NEVER_S)
        node.on_processor(lambda: node.tasks.start_soon(serve))
        await answered.wait()
        response = responses[0]
        if request.path == "/v1/report" and response.status == 200:
            self.note_commands(cbor2.loads(response.body)["orders"])
        return response

    def note_commands(self, commands: list[dict[str, Any]]) -> None:
        """Count the commands to a worker that start tasks of cancelled jobs."""
        for command in commands:
            job_id = command["entry"].partition("/")[0]
            answered_at = self._shared.cancelled_at.get(job_id)
            if command["verb"] == "run" and answered_at is not None and answered_at < now():
                self._shared.observed["start commanded after its job was cancelled"] += 1

    def freeze(self, index: int) -> None:
        """Suspend a controller's processor; the clocks and all other parts continue."""
        self._shared.processors[f"node-{index}"].frozen = True

    def thaw(self, index: int) -> None:
        """Resume a frozen controller."""
        self._shared.processors[f"node-{index}"].thaw()

    def slow(self, index: int, step_s: float) -> None:
        """Make each step of a controller's routines take `step_s` seconds; 0 ends the slowdown."""
        self._shared.processors[f"node-{index}"].step_s = step_s

    def crash(self, index: int) -> None:
        """Kill a controller's process, if it is running."""
        name = f"node-{index}"
        if name not in self._scopes:
            return
        shared = self._shared
        shared.processors[name].thaw()
        shared.processors[name].step_s = 0.0
        self._scopes.pop(name).cancel()
        self.check_ends(shared.nodes.pop(name, None))
        shared.network.handlers.pop(name, None)
        # The peers detect immediately that the crashed controller refuses connections.
        for node in shared.nodes.values():
            node.peers.connections[name].probe()

    def check_ends(self, node: Any) -> None:
        """Record a violation if a controller saw attempts run after their end or their exit."""
        # The version in production does not count them.
        service = getattr(node, "agent_service", None)
        for rule, counter in (
            ("ended_running", "contradicted_ends"),
            ("ran_again", "repeated_attempts"),
        ):
            if count := getattr(service, counter, 0):
                self._shared.record_violation(rule, f"{count} attempts at {node.node}")

    def end_twin(self, index: int) -> None:
        """Stop the second process that `boot` started for a controller."""
        self._scopes.pop(f"node-{index} too").cancel()
