"""The simulated network, with delays and with cuts that drop or hold messages."""

import contextvars
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, Literal

import anyio
import cbor2

from sandladder.transport import HttpError, Request, Response
from simulation.command_copies import CommandCopies
from simulation.event_loop import CURRENT_PROCESSOR, now
from simulation.machines import Machine
from simulation.tracing import TRACE

CutMode = Literal["drop", "hold"]
Handler = Callable[[str, Request], Awaitable[Response]]

_OK, _BODY_TOO_LARGE = 200, 413
# Responses of controllers, and of agents at these paths, are limited like requests.
_CONTROLLER_PREFIX, _AGENT_PATHS = "node-", ("/do", "/status")
# Minimum delay of a message, in seconds.
_MIN_DELAY_S = 0.0005
# Interval at which a held message checks whether the cut has been healed, in seconds.
_HELD_MESSAGE_CHECK_INTERVAL_S = 0.5


class Network:
    """Carries requests between named hosts, with a random delay in each direction."""

    def __init__(self, rng: Random, observed: Counter[str]) -> None:
        self.rng = rng
        self.handlers: dict[str, Handler] = {}
        self.cuts: dict[frozenset[str], CutMode] = {}
        self.one_way: dict[tuple[str, str], CutMode] = {}  # cuts from the first to the second host
        self.refused: set[frozenset[str]] = set()  # pairs of controllers that refuse connections
        # Called before and after each request is handled: (when, source, target, request).
        self.on_request: Callable[[str, str, str, Request], None] | None = None
        # Called with each message whose length the protocol limits: (source, target, path, body);
        # returns whether the message is too long.
        self.is_too_long: Callable[[str, str, str, bytes], bool] | None = None
        # Called with the commands that a controller sends directly to a worker.
        self.on_commands: Callable[[list[dict[str, Any]]], None] | None = None
        self.tasks: Any = None  # the task group of the simulation
        self.delay_s = 0.01  # maximum delay of a message, in seconds
        self._observed = observed
        self.command_copies = CommandCopies(rng, observed, self.start, self._handle_request)

    def add_host(self, machine: Machine) -> None:
        """Prepare for a rented machine, which registers its handler once it is up."""

    def cut(self, one: str, other: str, mode: CutMode) -> None:
        """Cut two hosts off from each other."""
        self.cuts[frozenset((one, other))] = mode

    def heal(self) -> None:
        """End all cuts; held messages are delivered."""
        self.cuts.clear()
        self.one_way.clear()
        self.refused.clear()

    def cut_mode(self, source: str, target: str) -> CutMode | None:
        """Return the mode of the cut from one host to another, or None if there is no cut."""
        return self.one_way.get((source, target)) or self.cuts.get(frozenset((source, target)))

    def start(self, routine: Callable[[], Awaitable[object]]) -> None:
        """Start a routine of the simulation, outside any controller's processor."""
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESSOR.set, None)
        context.run(self.tasks.start_soon, routine)

    async def call(self, source: str, target: str, request: Request, timeout: float) -> Response:
        """Send a request and wait up to `timeout` seconds for its response.

        The request may be handled even if its sender timed out or was cancelled.

        Raises:
            HttpError: No response arrives in time.
        """
        responses: list[Response] = []
        arrived = anyio.Event()
        TRACE.record("request", source, target, request.method, request.path, request.body)

        async def carry() -> None:
            response = await self._deliver(source, target, request, timeout)
            if response is None:
                return
            await anyio.sleep(self.rng.uniform(_MIN_DELAY_S, self.delay_s))
            if self.cut_mode(target, source) is None:
                responses.append(response)
                arrived.set()

        self.start(carry)
        with anyio.move_on_after(timeout):
            await arrived.wait()
        if not responses:
            raise HttpError("no response within the timeout")
        return responses[0]

    async def _deliver(
        self, source: str, target: str, request: Request, timeout: float
    ) -> Response | None:
        """Deliver a request and return the response, or None if it is lost."""
        await anyio.sleep(self.rng.uniform(_MIN_DELAY_S, self.delay_s))
        sent = now()
        while (mode := self.cut_mode(source, target)) is not None:
            if mode == "drop":
                return None
            await anyio.sleep(_HELD_MESSAGE_CHECK_INTERVAL_S)
        if request.path == "/do" and now() - sent > timeout:
            self._observed["late command"] += 1
        response = await self._handle_request(source, target, request)
        if request.path == "/do" and response is not None and response.status == _OK:
            self.command_copies.record(source, target, request)
        return response

    async def _handle_request(self, source: str, target: str, request: Request) -> Response | None:
        """Let a host handle a request; return None if the host is down."""
        if self.on_request is not None:
            self.on_request("before", source, target, request)
        handler = self.handlers.get(target)
        if handler is None:
            return None
        if self._too_long(source, target, request.path, request.body):
            response = Response(_BODY_TOO_LARGE)
        else:
            response = await handler(source, request)
        if target.startswith(_CONTROLLER_PREFIX) or request.path in _AGENT_PATHS:
            self._too_long(target, source, request.path, response.body)
        details = request.path, response.status, response.retry_after, response.body
        TRACE.record("answer", target, source, *details)
        if self.on_request is not None:
            self.on_request("after", source, target, request)
        return response

    def _too_long(self, source: str, target: str, path: str, body: bytes) -> bool:
        return self.is_too_long is not None and self.is_too_long(source, target, path, body)


class SimulatedHttpClient:
    """Replaces a controller's `HttpClient`."""

    def __init__(self, network: Network, source: str, host: str, failure: type[Exception]) -> None:
        self._network, self._source, self._host = network, source, host
        # The error class of the controller's version.
        self._failure = failure

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response:
        """Send a request.

        Raises:
            HttpError: No response arrives within `timeout` seconds.
        """
        request = Request(method, target, body)
        if target == "/do" and self._network.on_commands is not None:
            self._network.on_commands(cbor2.loads(body)["orders"])
        try:
            return await self._network.call(self._source, self._host, request, timeout)
        except HttpError as error:
            raise self._failure(str(error)) from None

    async def aclose(self) -> None:
        """Do nothing; there are no connections."""
