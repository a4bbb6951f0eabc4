"""The public endpoint of a controller, for users, agents and the load balancer."""

import logging
from collections.abc import Awaitable, Callable

from sandladder.api.answers import Answer, InternalFailure, RetryLater, WrongMethod
from sandladder.api.forwarding import RequestForwarder
from sandladder.api.health import HealthCheck
from sandladder.api.router import JobRouter, request_path
from sandladder.protocol.agent_messages import HEARTBEAT_PATH
from sandladder.protocol.job_messages import HEALTH_PATH
from sandladder.state import StoreRequestError
from sandladder.transport import Handler, Request, Response

log = logging.getLogger(__name__)


class JobApi:
    """Answers every request to a controller's public address."""

    def __init__(
        self,
        router: JobRouter,
        forwarder: RequestForwarder,
        health: HealthCheck,
        handle_heartbeat: Handler,
    ) -> None:
        """Create the API; `handle_heartbeat` serves agents' heartbeats to the same address."""
        self._router = router
        self._forwarder = forwarder
        self._health = health
        self._handle_heartbeat = handle_heartbeat

    async def handle(self, request: Request) -> Response:
        """Answer one request, here or through a peer.

        Never raises: every error becomes an answer.  Cancellation abandons the request, but a
        commit that it started may still succeed.
        """
        path = request_path(request)
        if path == HEARTBEAT_PATH:
            if request.method != "POST":
                return WrongMethod().response()
            return await self.serve_safely(lambda: self._handle_heartbeat(request), path)
        if path == HEALTH_PATH:
            answer: Answer = self._health.answer() if request.method == "GET" else WrongMethod()
            return answer.response()
        return await self._forwarder.serve(request, self.serve_locally)

    async def serve_locally(self, request: Request) -> Response:
        """Answer a user's request at this controller; a peer may have forwarded it here.

        Errors and cancellation are those of `handle`.
        """
        return await self.serve_safely(lambda: self.route(request), request_path(request))

    async def route(self, request: Request) -> Response:
        """Return the response of the service for a user's request; raise as that service does."""
        return (await self._router.serve(request)).response()

    async def serve_safely(self, serve: Callable[[], Awaitable[Response]], path: str) -> Response:
        """Serve a request and turn every error into an answer.

        Args:
            serve: serves the request.
            path: the request's path, for the log.
        """
        try:
            return await serve()
        except (StoreRequestError, TimeoutError):
            return RetryLater().response()
        except Exception:
            log.exception("request to %s failed", path)
            return InternalFailure().response()
