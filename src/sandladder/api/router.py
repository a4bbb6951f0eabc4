"""Routing of requests to the services of the job API, by path and method."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from sandladder.api.answers import Answer, UnknownPath, WrongMethod
from sandladder.api.cancellation import CancellationService
from sandladder.api.job_lookup import JobLookup
from sandladder.api.submission import SubmissionService
from sandladder.protocol.job_messages import CANCEL_ACTION, JOBS_PATH
from sandladder.transport import Request


def request_path(request: Request) -> str:
    """Return the path of a request without the query."""
    return request.path.partition("?")[0]


class _Endpoint(NamedTuple):
    method: str
    serve: Callable[[], Awaitable[Answer]]


class JobRouter:
    """Routes users' requests to the services that answer them."""

    def __init__(
        self,
        lookup: JobLookup,
        submissions: SubmissionService,
        cancellations: CancellationService,
    ) -> None:
        self._lookup = lookup
        self._submissions = submissions
        self._cancellations = cancellations

    async def serve(self, request: Request) -> Answer:
        """Return the answer of the service for a request; raise as that service does."""
        endpoint = self._endpoint(request)
        if endpoint is None:
            return UnknownPath()
        if request.method != endpoint.method:
            return WrongMethod()
        return await endpoint.serve()

    def _endpoint(self, request: Request) -> _Endpoint | None:
        path = request_path(request)
        if path == JOBS_PATH:
            return _Endpoint("POST", lambda: self._submissions.submit(request.body))
        if not path.startswith(f"{JOBS_PATH}/"):
            return None
        job_id, _, action = path[len(JOBS_PATH) + 1 :].partition("/")
        if action == CANCEL_ACTION:
            return _Endpoint("POST", lambda: self._cancellations.cancel(job_id))
        if not action:
            return _Endpoint("GET", lambda: self._lookup.status(job_id))
        return None
