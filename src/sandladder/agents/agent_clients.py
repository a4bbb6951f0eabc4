"""The HTTP clients with which agents are commanded."""

from collections.abc import Container
from typing import NamedTuple

from sandladder.config import parse_address
from sandladder.transport import HttpConnector, HttpRequester

_KEPT_CONNECTIONS = 1


class _AgentClient(NamedTuple):
    addr: str
    client: HttpRequester


class AgentClients:
    """One client for each machine, made when it is first needed."""

    def __init__(self, connect: HttpConnector) -> None:
        self._connect = connect
        self._clients: dict[str, _AgentClient] = {}

    def get(self, machine: str, addr: str) -> HttpRequester:
        """The client for a machine whose agent is served at this address."""
        known = self._clients.get(machine)
        if known is None or known.addr != addr:
            host, port = parse_address(addr)
            client = self._connect(host, port, keep=_KEPT_CONNECTIONS)
            known = self._clients[machine] = _AgentClient(addr, client)
        return known.client

    async def close_except(self, machines: Container[str]) -> None:
        """Close the clients of all machines but these.

        Cancelled, it has closed some of them, and none is used again.
        """
        for machine in [machine for machine in self._clients if machine not in machines]:
            await self._clients.pop(machine).client.aclose()
