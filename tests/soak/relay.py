"""Relays for the connections between controllers, which the network's cuts apply to."""

from collections.abc import Callable

import anyio
from anyio.abc import SocketStream

from simulation.network import CutMode
from soak.loopback import HOST

_READ_BYTES = 65536
# Interval at which a held connection checks whether the cut has been healed, in seconds.
_CUT_CHECK_INTERVAL_S = 0.05


class Relay:
    """Passes the connections of one controller on to another.

    While they are cut, data is held, or new connections are refused and existing ones closed.
    """

    def __init__(self, target_port: int, cut_mode: Callable[[], CutMode | None]) -> None:
        """Create a relay; `cut_mode` returns the current cut between the two controllers."""
        self._target_port = target_port
        self._cut_mode = cut_mode

    async def serve(self, port: int) -> None:
        """Accept connections until cancelled."""
        async with await anyio.create_tcp_listener(local_host=HOST, local_port=port) as listener:
            await listener.serve(self._relay)

    async def _relay(self, stream: SocketStream) -> None:
        async with stream:
            try:
                if not await self._passes():
                    return
                other = await anyio.connect_tcp(HOST, self._target_port)
                async with other, anyio.create_task_group() as pumps:
                    pumps.start_soon(self._pump, stream, other, pumps.cancel_scope)
                    pumps.start_soon(self._pump, other, stream, pumps.cancel_scope)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return

    async def _pump(
        self, source: SocketStream, target: SocketStream, scope: anyio.CancelScope
    ) -> None:
        try:
            while await self._passes():
                data = await source.receive(_READ_BYTES)
                if not await self._passes():
                    break
                await target.send(data)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        scope.cancel()

    async def _passes(self) -> bool:
        """Wait while data is held; return False if it is dropped."""
        while (mode := self._cut_mode()) is not None:
            if mode == "drop":
                return False
            await anyio.sleep(_CUT_CHECK_INTERVAL_S)
        return True
