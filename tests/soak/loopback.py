"""The network between real controllers and the stand-ins, with the faults of the simulated one."""

import contextlib
import functools
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random, SystemRandom

import anyio
import cbor2

from sandladder.transport import HttpClient, HttpError, HttpServer, Request, Response
from simulation.machines import Machine
from simulation.network import Network

HOST = "127.0.0.1"
# Time after which the connection of a request without a response is closed, in seconds; longer than
# all timeouts of the controllers.
_UNANSWERED_S = 30.0
# Limits of the stand-ins' servers.
_BODY_BYTES, _IDLE_S, _MAX_CONNECTIONS = 1 << 20, 600.0, 1024
# Idle connections that the stand-ins keep to each controller.
_KEPT_CONNECTIONS = 64


# Ports below those that the system gives to outgoing connections.
_PORTS = range(15_000, 32_000)
# Not seeded: runs at the same time must not choose the same ports.
_port_rng = SystemRandom()


def free_port() -> int:
    """Return a port that is free now."""
    while True:
        port = _port_rng.choice(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


class LoopbackNetwork(Network):
    """Carries requests to controllers over HTTP, and serves the stand-ins to them.

    Each controller has ports of its own for the store and the cloud, so that a cut can meet it
    alone.  A worker knows which controller commands it by the fencing token.
    """

    def __init__(self, rng: Random, observed: Counter[str]) -> None:
        super().__init__(rng, observed)
        self._token_owners: dict[int, str] = {}

    # Requests to controllers

    def add_controller(self, node: str, port: int) -> None:
        """Forward requests to a controller to its port."""
        client = HttpClient(HOST, port, keep=_KEPT_CONNECTIONS)
        self.handlers[node] = functools.partial(self._forward, node, client)

    async def _forward(
        self, node: str, client: HttpClient, source: str, request: Request
    ) -> Response:
        """Send a request to a controller; the status is 0 if it does not respond."""
        try:
            response = await client.request(
                request.method, request.path, request.body, timeout=_UNANSWERED_S
            )
        except HttpError:
            return Response(0)
        if request.path == "/v1/report" and response.status == 200:
            self._token_owners[cbor2.loads(response.body)["seal"]] = node
        return response

    # Requests of controllers

    async def serve(self, source: str, target: str, port: int) -> None:
        """Serve a stand-in to one controller until cancelled."""
        handler = functools.partial(self._handle, target, lambda request: source)
        await _server(handler).serve(HOST, port)

    def add_host(self, machine: Machine) -> None:
        """Serve a worker's direct commands at an address of its own."""
        port = free_port()
        machine.addr = f"{HOST}:{port}"
        handler = functools.partial(self._handle, machine.name, self._commanding_controller)
        self.start(functools.partial(_server(handler).serve, HOST, port))

    def _commanding_controller(self, request: Request) -> str:
        if request.path != "/do":
            return "unknown"
        return self._token_owners.get(cbor2.loads(request.body)["seal"], "unknown")

    async def _handle(
        self, target: str, source_of: Callable[[Request], str], request: Request
    ) -> Response:
        """Handle a request, also if its sender has given up meanwhile."""
        source = source_of(request)
        response = await self._deliver(source, target, request, _UNANSWERED_S)
        if response is None or self.cut_mode(target, source) is not None:
            await anyio.sleep(_UNANSWERED_S)
            raise ConnectionResetError("no response")
        return response


def _server(handler: Callable[[Request], Awaitable[Response]]) -> HttpServer:
    return HttpServer(
        handler,
        body_limit=_BODY_BYTES,
        idle_s=_IDLE_S,
        read_s=_UNANSWERED_S,
        max_connections=_MAX_CONNECTIONS,
    )
