"""The public address of a controller: requests of users, agents and the load balancer."""

import logging
from collections.abc import Awaitable, Callable

from sandladder.api.answers import Answer, InternalFailure, RetryLater, WrongMethod
from sandladder.api.forwarding import RequestForwarder
from sandladder.api.health import HealthCheck
from sandladder.api.router import JobRouter, path_of
from sandladder.protocol.agent_messages import HEARTBEAT_PATH
from sandladder.protocol.job_messages import HEALTH_PATH
from sandladder.state import StoreRequestError
from sandladder.transport import Handler, Request, Response

log = logging.getLogger(__name__)


class JobApi:
    """Answers every request that comes to a controller's public address."""

    def __init__(
        self,
        router: JobRouter,
        forwarder: RequestForwarder,
        health: HealthCheck,
        handle_heartbeat: Handler,
    ) -> None:
        """`handle_heartbeat` answers the heartbeats of agents, which share the address."""
        self._router = router
        self._forwarder = forwarder
        self._health = health
        self._handle_heartbeat = handle_heartbeat

    async def handle(self, request: Request) -> Response:
        """Answer one request, here or through a peer.

        Raises nothing: what goes wrong becomes an answer.  Cancellation gives the request up; what
        was being committed for it may be committed all the same.
        """
        path = path_of(request)
        if path == HEARTBEAT_PATH:
            if request.method != "POST":
                return WrongMethod().response()
            return await self.guarded(lambda: self._handle_heartbeat(request), path)
        if path == HEALTH_PATH:
            answer: Answer = self._health.answer() if request.method == "GET" else WrongMethod()
            return answer.response()
        return await self._forwarder.serve(request, self.serve_locally)

    async def serve_locally(self, request: Request) -> Response:
        """Answer a user's request at this controller; also one that a peer forwarded to it.

        Raises nothing, and is cancelled as `handle`.
        """
        return await self.guarded(lambda: self.route(request), path_of(request))

    async def route(self, request: Request) -> Response:
        """The response of the service that a user's request is for; raises as that service."""
        return (await self._router.serve(request)).response()

    async def guarded(self, serve: Callable[[], Awaitable[Response]], path: str) -> Response:
        """Turn whatever goes wrong in serving a request into an answer.

        Args:
            serve: serves it.
            path: the request's path, for the log.
        """
        try:
            return await serve()
        except (StoreRequestError, TimeoutError):
            return RetryLater().response()
        except Exception:
            log.exception("a request failed: %s", path)
            return InternalFailure().response()
