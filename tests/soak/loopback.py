"""The network between real controllers and the stand-ins, with the faults of the simulated one."""

import contextlib
import functools
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from random import Random

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


# Ports below those that the system gives to outgoing connections, in blocks.
_FIRST_PORT, _PORTS_PER_BLOCK, _BLOCKS = 12_000, 256, 78


class PortAllocator:
    """Gives out free ports from blocks that no other process of the soak uses.

    A process holds a block by listening on the block's first port.
    """

    def __init__(self) -> None:
        self._locks: list[socket.socket] = []
        self._ports: Iterator[int] = iter(())

    def take(self) -> int:
        """Return a port that is free now and is not given out again."""
        while True:
            for port in self._ports:
                with socket.socket() as probe, contextlib.suppress(OSError):
                    probe.bind((HOST, port))
                    return port
            self._ports = iter(self._reserve_block())

    def _reserve_block(self) -> range:
        for block in range(_BLOCKS):
            first = _FIRST_PORT + block * _PORTS_PER_BLOCK
            lock = socket.socket()
            try:
                lock.bind((HOST, first))
                lock.listen()
            except OSError:
                lock.close()
                continue
            self._locks.append(lock)
            return range(first + 1, first + _PORTS_PER_BLOCK)
        raise RuntimeError("all ports of the soak test are in use")


PORTS = PortAllocator()


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
        port = PORTS.take()
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
