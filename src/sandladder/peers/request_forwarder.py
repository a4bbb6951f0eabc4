"""The forwarding of users' requests to other controllers."""

from collections.abc import Awaitable, Callable

import anyio

from sandladder.concurrency import BackgroundTasks
from sandladder.protocol import job_messages
from sandladder.transport import ForwardedRequest, ForwardedResponse, Request, Response

# Low bits of a forwarded request's number that count the requests; the others are the process.
_REQUEST_COUNTER_BITS = 20

# The response when a request cannot be served now; the client is to retry.
BUSY = Response(503, job_messages.error_body("cannot be taken now"), 1)


class PendingResponse:
    """The response to a forwarded request, once it has arrived."""

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.response: Response | None = None


class RequestForwarder:
    """Forwards requests to peers, and has the requests that peers forward served here."""

    def __init__(
        self,
        *,
        node: str,
        process: int,
        timeout_s: float,
        background: BackgroundTasks,
        send: Callable[[str, ForwardedRequest | ForwardedResponse], None],
        serve: Callable[[Request], Awaitable[Response]],
    ) -> None:
        """Create a forwarder for one process of a controller.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            timeout_s: how long to wait for a peer's response, in seconds.
            background: runs the requests that peers forward.
            send: sends a message to a peer.
            serve: serves a request here; it must not raise, and must not forward the request.
        """
        self._node = node
        self._timeout_s = timeout_s
        self._background = background
        self._send = send
        self._serve = serve
        self.pending: dict[int, PendingResponse] = {}  # by the request's number
        # Numbers must differ from those of earlier processes of this controller: otherwise a late
        # response to an earlier process's request would be returned to another user.
        self._last_number = process << _REQUEST_COUNTER_BITS

    async def forward(self, request: Request, peer: str) -> Response:
        """Forward a user's request to a peer and return its response, or `BUSY` after a timeout.

        After a timeout or a cancellation the peer may still have served the request; its response
        is dropped.
        """
        self._last_number += 1
        number = self._last_number
        pending = self.pending[number] = PendingResponse()
        message = ForwardedRequest(self._node, number, request.method, request.path, request.body)
        self._send(peer, message)
        try:
            with anyio.move_on_after(self._timeout_s):
                await pending.arrived.wait()
        finally:
            self.pending.pop(number, None)
        return pending.response or BUSY

    def receive_request(self, request: ForwardedRequest) -> None:
        """Serve a peer's request in the background; drop it if this process is not ready yet."""
        if self._background.running:
            self._background.start_soon(self._respond, request)

    def receive_response(self, response: ForwardedResponse) -> None:
        """Pass a peer's response to the waiting request; drop it if none waits."""
        pending = self.pending.pop(response.number, None)
        if pending is not None:
            pending.response = Response(response.status, response.body, response.retry_after)
            pending.arrived.set()

    async def _respond(self, request: ForwardedRequest) -> None:
        response = await self._serve(Request(request.method, request.path, request.body))
        message = ForwardedResponse(
            request.number, response.status, response.body, response.retry_after
        )
        self._send(request.node, message)
