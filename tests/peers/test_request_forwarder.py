"""Forwarded requests: one response each, within the timeout, and to the right request."""

from collections.abc import Awaitable, Callable

import anyio

from sandladder.concurrency import BackgroundTasks
from sandladder.peers import BUSY, RequestForwarder
from sandladder.transport import ForwardedRequest, ForwardedResponse, Request, Response

TIMEOUT_S = 0.05
REQUEST = Request("GET", "/work/job-000001", b"")


async def fail_on_request(request: Request) -> Response:
    raise AssertionError(f"unexpected request: {request}")


class ForwarderFixture:
    """A forwarder with the messages that it sent."""

    def __init__(
        self, process: int = 1, serve: Callable[[Request], Awaitable[Response]] = fail_on_request
    ) -> None:
        self.sent: list[tuple[str, ForwardedRequest | ForwardedResponse]] = []
        self.background = BackgroundTasks()
        self.forwarder = RequestForwarder(
            node="node-0",
            process=process,
            timeout_s=TIMEOUT_S,
            background=self.background,
            send=lambda node, message: self.sent.append((node, message)),
            serve=serve,
        )


def test_a_response_is_passed_to_the_request_with_its_number() -> None:
    fixture = ForwarderFixture()
    responses: dict[str, Response] = {}

    async def forward(path: str) -> None:
        request = Request("GET", path, b"")
        responses[path] = await fixture.forwarder.forward(request, "node-1")

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(forward, "/work/job-000001")
            tasks.start_soon(forward, "/work/job-000002")
            await anyio.wait_all_tasks_blocked()
            for _, message in reversed(fixture.sent):
                assert isinstance(message, ForwardedRequest)
                body = message.path.encode()
                fixture.forwarder.receive_response(
                    ForwardedResponse(message.number, 200, body, None)
                )

    anyio.run(main)
    assert {path: response.body for path, response in responses.items()} == {
        "/work/job-000001": b"/work/job-000001",
        "/work/job-000002": b"/work/job-000002",
    }
    assert not fixture.forwarder.pending


def test_a_timeout_returns_busy_and_a_late_response_is_dropped() -> None:
    fixture = ForwarderFixture()

    async def main() -> Response:
        return await fixture.forwarder.forward(REQUEST, "node-1")

    assert anyio.run(main) is BUSY
    assert not fixture.forwarder.pending
    _, message = fixture.sent[0]
    assert isinstance(message, ForwardedRequest)
    fixture.forwarder.receive_response(ForwardedResponse(message.number, 200, b"", None))
    assert not fixture.forwarder.pending


def test_processes_of_a_controller_use_different_numbers() -> None:
    earlier, later = ForwarderFixture(process=5), ForwarderFixture(process=6)

    async def main() -> None:
        for _ in range(3):
            await earlier.forwarder.forward(REQUEST, "node-1")
            await later.forwarder.forward(REQUEST, "node-1")

    anyio.run(main)
    numbers = [message.number for _, message in earlier.sent + later.sent]
    assert len(set(numbers)) == 6


def test_a_peers_request_is_served_and_its_response_is_sent_back() -> None:
    async def serve(request: Request) -> Response:
        return Response(201, request.path.encode(), 3)

    fixture = ForwarderFixture(serve=serve)
    request = ForwardedRequest("node-2", 17, "POST", "/work", b"")

    async def main() -> None:
        fixture.forwarder.receive_request(request)  # dropped: the background tasks are not running
        async with anyio.create_task_group() as tasks:
            fixture.background.open(tasks)
            fixture.forwarder.receive_request(request)

    anyio.run(main)
    assert fixture.sent == [("node-2", ForwardedResponse(17, 201, b"/work", 3))]
