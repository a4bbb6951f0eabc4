"""Decides whether a user's request is served here or forwarded to a peer."""

import logging
from collections.abc import Callable

import anyio

from sandladder import clock
from sandladder.api.router import path_of
from sandladder.model import SCHEMA_V1, SCHEMA_V2
from sandladder.peers import PeerService
from sandladder.protocol.job_messages import JOBS_PATH, has_dependencies
from sandladder.state import StoreClient
from sandladder.transport import Handler, Request, Response

log = logging.getLogger(__name__)

# Parts of a report interval: without an answer of the store for so long, a request that waits here
# is forwarded; and how often that is looked at.
_STORE_SILENCE, _CHECK_INTERVAL = 1 / 8, 1 / 16


class RequestForwarder:
    """Has users' requests served where the key-value store can be reached.

    Users' requests are idempotent, so one that was begun here may be served once more by a peer.  A
    peer that gets a forwarded request serves it itself and forwards it to nobody.
    """

    def __init__(
        self,
        peers: PeerService,
        store: StoreClient,
        store_reachable: Callable[[], bool],
        report_s: float,
    ) -> None:
        """`report_s`: the interval of agents' heartbeats, in seconds."""
        self._peers = peers
        self._store = store
        self._store_reachable = store_reachable
        self._silence_s = report_s * _STORE_SILENCE
        self._check_interval_s = report_s * _CHECK_INTERVAL

    async def serve(self, request: Request, serve_here: Handler) -> Response:
        """Have a request served here, or by a peer that reaches the store when we do not.

        Cancellation gives the request up here; a peer may go on with it.
        """
        peer = self._able_peer(request)
        if peer is None:
            return await serve_here(request)
        if self._store_reachable():
            response = await self._serve_while_store_answers(request, serve_here)
            if response is not None:
                return response
            path = path_of(request)
            log.info("the key-value store does not answer: forwarding %s to %s", path, peer)
        return await self._peers.forward(request, peer)

    def _able_peer(self, request: Request) -> str | None:
        """A peer that reaches the store and understands the request, if there is one."""
        names_others = path_of(request) == JOBS_PATH and has_dependencies(request.body)
        return self._peers.find_serving_peer(SCHEMA_V2 if names_others else SCHEMA_V1)

    async def _serve_while_store_answers(
        self, request: Request, serve_here: Handler
    ) -> Response | None:
        """Serve a request here, but give up, with None, when the store stops answering us."""
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
                if clock.now() - self._store.last_answer_at > self._silence_s:
                    break
            tasks.cancel_scope.cancel()
        return response
