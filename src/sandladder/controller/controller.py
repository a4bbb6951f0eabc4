"""The controller node, which starts and supervises its services."""

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

# Idle timeout of HTTP connections, in agent leases.
_IDLE_TIMEOUT_LEASES = 20
# Silence after which a peer's connection is closed, in heartbeat intervals between controllers.
_PEER_TIMEOUT_HEARTBEATS = 20
_MAX_CONNECTIONS_PER_PEER = 8
# Share of the socket quota for incoming connections; the rest is for outgoing ones.
_INCOMING_SOCKET_SHARE = 0.8


class Controller(ControllerServices):
    """Controller node: starts its services and restarts each service that fails."""

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        connect: HttpConnector = HttpClient,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Construct the services as `ControllerServices` does; send nothing before `run`."""
        super().__init__(settings, rng, connect, wall)
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Serve until cancelled, restarting any service that fails unexpectedly."""
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
        """Shut down gracefully: hand over the teams, notify the peers and stop serving."""
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
            idle_s=_IDLE_TIMEOUT_LEASES * self.lease_s,
            read_s=self.report_s,
            max_connections=int(platform.deployment.quota.max_sockets * _INCOMING_SOCKET_SHARE),
        )
        tasks.start_soon(server.serve, host, port)
        tasks.start_soon(
            peer_transport.serve,
            platform.mesh_addr,
            _MAX_CONNECTIONS_PER_PEER * len(self.nodes),
            _PEER_TIMEOUT_HEARTBEATS * self.heartbeat_interval_s,
            self.peers.receive,
        )
        for connection in self.peers.connections.values():
            tasks.start_soon(connection.run, self.peers.heartbeat)

    async def _supervise(self, service: Callable[[], Awaitable[None]]) -> None:
        """Run a service; log each unexpected failure and restart the service."""
        while True:
            try:
                await service()
            except Exception:  # noqa: BLE001 (the other services must keep running)
                self._duty_failed(getattr(service, "__qualname__", str(service)))
            await anyio.sleep(self.report_s / 3)

    def _duty_failed(self, name: str) -> None:
        log.exception("service %s failed; restarting it", name)
