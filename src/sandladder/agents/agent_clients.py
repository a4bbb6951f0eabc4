"""HTTP clients for sending commands to agents."""

from collections.abc import Container
from typing import NamedTuple

from sandladder.config import parse_address
from sandladder.transport import HttpConnector, HttpRequester

_KEEPALIVE_CONNECTIONS = 1


class _AgentClient(NamedTuple):
    addr: str
    client: HttpRequester


class AgentClients:
    """HTTP clients by machine, created on first use."""

    def __init__(self, connect: HttpConnector) -> None:
        self._connect = connect
        self._clients: dict[str, _AgentClient] = {}

    def get(self, machine: str, addr: str) -> HttpRequester:
        """Return the client for a machine's agent, which listens at `addr`."""
        agent_client = self._clients.get(machine)
        if agent_client is None or agent_client.addr != addr:
            host, port = parse_address(addr)
            client = self._connect(host, port, keep=_KEEPALIVE_CONNECTIONS)
            agent_client = self._clients[machine] = _AgentClient(addr, client)
        return agent_client.client

    async def close_except(self, machines: Container[str]) -> None:
        """Close the clients of all machines except the given ones.

        If cancelled, some clients may stay open; a client removed from the map is never reused.
        """
        for machine in [machine for machine in self._clients if machine not in machines]:
            await self._clients.pop(machine).client.aclose()
