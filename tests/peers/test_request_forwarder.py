"""Requests that a peer serves: answered once, in time, and only to whoever asked."""

from collections.abc import Awaitable, Callable

import anyio

from sandladder.concurrency import BackgroundTasks
from sandladder.peers import BUSY, RequestForwarder
from sandladder.transport import ForwardedRequest, ForwardedResponse, Request, Response

TIMEOUT_S = 0.05
REQUEST = Request("GET", "/work/job-000001", b"")


async def refuse(request: Request) -> Response:
    raise AssertionError(f"nothing is to be served here: {request}")


class Forwarding:
    """A forwarder and what it sent."""

    def __init__(
        self, process: int = 1, serve: Callable[[Request], Awaitable[Response]] = refuse
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


def test_a_response_goes_to_whoever_waits_for_its_number() -> None:
    forwarding = Forwarding()
    responses: dict[str, Response] = {}

    async def forward(path: str) -> None:
        request = Request("GET", path, b"")
        responses[path] = await forwarding.forwarder.forward(request, "node-1")

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(forward, "/work/job-000001")
            tasks.start_soon(forward, "/work/job-000002")
            await anyio.wait_all_tasks_blocked()
            for _, message in reversed(forwarding.sent):
                assert isinstance(message, ForwardedRequest)
                body = message.path.encode()
                forwarding.forwarder.receive_response(
                    ForwardedResponse(message.number, 200, body, None)
                )

    anyio.run(main)
    assert {path: response.body for path, response in responses.items()} == {
        "/work/job-000001": b"/work/job-000001",
        "/work/job-000002": b"/work/job-000002",
    }
    assert not forwarding.forwarder.pending


def test_without_a_response_in_time_the_user_is_asked_to_come_back_and_a_late_one_is_dropped() -> (
    None
):
    forwarding = Forwarding()

    async def main() -> Response:
        return await forwarding.forwarder.forward(REQUEST, "node-1")

    assert anyio.run(main) is BUSY
    assert not forwarding.forwarder.pending
    _, message = forwarding.sent[0]
    assert isinstance(message, ForwardedRequest)
    forwarding.forwarder.receive_response(ForwardedResponse(message.number, 200, b"", None))
    assert not forwarding.forwarder.pending


def test_two_processes_of_a_controller_use_no_number_twice() -> None:
    former, present = Forwarding(process=5), Forwarding(process=6)

    async def main() -> None:
        for _ in range(3):
            await former.forwarder.forward(REQUEST, "node-1")
            await present.forwarder.forward(REQUEST, "node-1")

    anyio.run(main)
    numbers = [message.number for _, message in former.sent + present.sent]
    assert len(set(numbers)) == 6


def test_a_peers_request_is_served_and_its_response_sent_back() -> None:
    async def serve(request: Request) -> Response:
        return Response(201, request.path.encode(), 3)

    forwarding = Forwarding(serve=serve)
    request = ForwardedRequest("node-2", 17, "POST", "/work", b"")

    async def main() -> None:
        forwarding.forwarder.receive_request(request)  # too early: nothing can be served yet
        async with anyio.create_task_group() as tasks:
            forwarding.background.open(tasks)
            forwarding.forwarder.receive_request(request)

    anyio.run(main)
    assert forwarding.sent == [("node-2", ForwardedResponse(17, 201, b"/work", 3))]
