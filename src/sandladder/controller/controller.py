"""A controller: its services started and supervised."""

import logging
import time
from collections.abc import Awaitable, Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from sandladder.config import Settings, parse_address
from sandladder.controller.services import ControllerServices
from sandladder.protocol import codec
from sandladder.transport import HttpClient, HttpConnector, HttpServer, peer_transport

log = logging.getLogger(__name__)

# An HTTP connection that is idle for so many agent leases is closed.
_IDLE_CONNECTION_LEASES = 20
# A connection of a peer that has been silent for so many of its heartbeats is closed; each peer may
# have so many connections.
_SILENT_HEARTBEATS = 20
_CONNECTIONS_PER_PEER = 8
# The share of the sockets that is for incoming connections: the store and the agents need theirs.
_INCOMING_SOCKETS = 0.8


class Controller(ControllerServices):
    """One controller node: starts the services, and starts again alone what fails."""

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        connect: HttpConnector = HttpClient,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """As `ControllerServices`; nothing is sent before `run`."""
        super().__init__(settings, rng, connect, wall)
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Serve until cancelled; a service that fails unexpectedly is started again alone."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.background.open(tasks)
            self._listen(tasks)
            for service in (
                self.watch.run,
                self.committer.run,
                self.controller_lease.run,
                self.controller_lease.publish_inventory,
                self.schema_migration.run,
                self.membership.run,
                self.dependency_resolver.run,
                self.planning_loop.run,
                self.agent_service.expire_silent_agents,
                self.statistics.run,
                self.autoscaler.run,
            ):
                tasks.start_soon(self._supervise, service)

    async def leave(self) -> None:
        """End in order: hand the teams over, announce that, and stop serving."""
        await self.membership.leave(self.report_s)
        for connection in self.peers.connections.values():
            connection.flush()
        await anyio.sleep(self.heartbeat_interval_s / 6)
        if self.tasks is not None:
            self.tasks.cancel_scope.cancel()

    def _listen(self, tasks: TaskGroup) -> None:
        """Start serving users, agents and peers."""
        platform = self.settings.platform
        host, port = parse_address(platform.api_addr)
        server = HttpServer(
            self.job_api.handle,
            body_limit=codec.BODY_LIMIT,
            idle_s=_IDLE_CONNECTION_LEASES * self.lease_s,
            read_s=self.report_s,
            most=int(platform.deployment.quota.max_sockets * _INCOMING_SOCKETS),
        )
        tasks.start_soon(server.serve, host, port)
        tasks.start_soon(
            peer_transport.serve,
            platform.mesh_addr,
            _CONNECTIONS_PER_PEER * len(self.nodes),
            _SILENT_HEARTBEATS * self.heartbeat_interval_s,
            self.peers.receive,
        )
        for connection in self.peers.connections.values():
            tasks.start_soon(connection.run, self.peers.heartbeat)

    async def _supervise(self, service: Callable[[], Awaitable[None]]) -> None:
        """Run a service; one that fails unexpectedly is logged and started again alone."""
        while True:
            try:
                await service()
            except Exception:  # noqa: BLE001 (whatever it is, the other services go on)
                self._duty_failed(getattr(service, "__qualname__", str(service)))
            await anyio.sleep(self.report_s / 3)

    def _duty_failed(self, name: str) -> None:
        log.exception("the service %s failed and is started again", name)
