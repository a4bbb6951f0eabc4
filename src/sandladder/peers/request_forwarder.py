"""Users' requests that another controller serves."""

from collections.abc import Awaitable, Callable

import anyio

from sandladder.concurrency import BackgroundTasks
from sandladder.protocol import job_messages
from sandladder.transport import ForwardedRequest, ForwardedResponse, Request, Response

# How many bits of a forwarded request's number count the requests; the rest identify the process.
_COUNTER_BITS = 20

# The response when a request cannot be taken: come back soon.
BUSY = Response(503, job_messages.error_body("cannot be taken now"), 1)


class PendingResponse:
    """The response to a request that is being served elsewhere."""

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.response: Response | None = None


class RequestForwarder:
    """Forwards requests to peers, and serves those that peers forward."""

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
        """Forward for one process of a controller.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            timeout_s: how long to wait for a peer's response, in seconds.
            background: serves the requests that peers forward.
            send: sends a message to a peer.
            serve: serves a request here; never raises, and never forwards it.
        """
        self._node = node
        self._timeout_s = timeout_s
        self._background = background
        self._send = send
        self._serve = serve
        self.pending: dict[int, PendingResponse] = {}  # by the request's number
        # Numbers that no former process of this controller used: a peer may respond to what that
        # one forwarded when this one has taken its place.  Seen in the simulation: a user was given
        # the response about another user's job.
        self._last_number = process << _COUNTER_BITS

    async def forward(self, request: Request, peer: str) -> Response:
        """Have a peer serve a user's request, and wait for its response.

        `BUSY` if none has come in time.  Then, or cancelled, the peer may have served the request
        all the same, and its response is dropped.
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
        """Serve a peer's request in the background; one that comes too early is dropped."""
        if self._background.running:
            self._background.start_soon(self._respond, request)

    def receive_response(self, response: ForwardedResponse) -> None:
        """Take in a peer's response; one that nobody waits for any more is dropped."""
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
