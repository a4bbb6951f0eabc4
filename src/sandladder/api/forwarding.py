"""Forwarding of users' requests to peers while the key-value store does not answer here."""

import logging
from collections.abc import Callable

import anyio

from sandladder import clock
from sandladder.api.router import request_path
from sandladder.model import SCHEMA_V1, SCHEMA_V2
from sandladder.peers import PeerService
from sandladder.protocol.job_messages import JOBS_PATH, has_dependencies
from sandladder.state import StoreClient
from sandladder.transport import Handler, Request, Response

log = logging.getLogger(__name__)

# Shares of the agents' heartbeat interval: the time without an answer from the store after which a
# waiting request is forwarded, and the interval at which this is checked.
_STORE_SILENCE_SHARE, _CHECK_INTERVAL_SHARE = 1 / 8, 1 / 16


class RequestForwarder:
    """Serves users' requests here, or at a peer that can reach the key-value store.

    Users' requests are idempotent, so a peer may serve a request that was partly served here.  A
    peer serves a forwarded request itself and never forwards it again.
    """

    def __init__(
        self,
        peers: PeerService,
        store: StoreClient,
        store_reachable: Callable[[], bool],
        report_s: float,
    ) -> None:
        """Create the forwarder; `report_s` is the agents' heartbeat interval, in seconds."""
        self._peers = peers
        self._store = store
        self._store_reachable = store_reachable
        self._max_silence_s = report_s * _STORE_SILENCE_SHARE
        self._check_interval_s = report_s * _CHECK_INTERVAL_SHARE

    async def serve(self, request: Request, serve_here: Handler) -> Response:
        """Serve a request here, or at a peer if only the peer can reach the store.

        Cancellation abandons the request here; a peer may continue to serve it.
        """
        peer = self._find_capable_peer(request)
        if peer is None:
            return await serve_here(request)
        if self._store_reachable():
            response = await self._serve_while_store_answers(request, serve_here)
            if response is not None:
                return response
            path = request_path(request)
            log.info("key-value store is not answering; forwarding %s to %s", path, peer)
        return await self._peers.forward(request, peer)

    def _find_capable_peer(self, request: Request) -> str | None:
        """Return a peer that reaches the store and understands the request, or None."""
        needs_dependencies = request_path(request) == JOBS_PATH and has_dependencies(request.body)
        return self._peers.find_serving_peer(SCHEMA_V2 if needs_dependencies else SCHEMA_V1)

    async def _serve_while_store_answers(
        self, request: Request, serve_here: Handler
    ) -> Response | None:
        """Serve a request here; abandon it and return None if the store stops answering."""
        response: Response | None = None
        served = anyio.Event()

        async def serve() -> None:
            nonlocal response
            response = await serve_here(request)
            served.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            while response is None:
                with anyio.move_on_after(self._check_interval_s):
                    await served.wait()
                if clock.now() - self._store.last_answer_at > self._max_silence_s:
                    break
            tasks.cancel_scope.cancel()
        return response
