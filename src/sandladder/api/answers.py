"""The answers of the job API: one type for each, with its status code and body.

Source of the codes: "Users -> controller nodes" in the protocol page.  A user retries a request
after any status that the page does not list as final, after 1 s or `Retry-After` if that is longer.
"""

from dataclasses import dataclass
from http import HTTPStatus
from typing import ClassVar

from sandladder.protocol.job_messages import error_body, job_state_body
from sandladder.transport import Response

# Minimum delay before a user retries a request, in seconds.
_MIN_RETRY_DELAY_S = 1


@dataclass(frozen=True)
class Answer:
    """An answer to a request, before it is encoded."""

    status: ClassVar[HTTPStatus]
    retry_after_s: ClassVar[int | None] = None

    def body(self) -> bytes:
        """Return the encoded body; empty if the answer has none."""
        return b""

    def response(self) -> Response:
        """Return the answer as an HTTP response."""
        return Response(self.status.value, self.body(), self.retry_after_s)


@dataclass(frozen=True)
class KnownJob(Answer):
    """200: an accepted job and its state.

    Sent for status queries, cancellations, and submissions of a job that was already accepted,
    whatever the other fields of the submission: requests are idempotent.

    Attributes:
        job_id: the job.
        state: pending, running, done or cancelled, in the terms of `model`.
        done: number of completed tasks; None if the answer has no task counts.
        running: number of tasks with a start whose end is not proved yet.
    """

    status: ClassVar[HTTPStatus] = HTTPStatus.OK
    job_id: str
    state: str
    done: int | None = None
    running: int = 0

    def body(self) -> bytes:
        """Return the encoded state, with the task counts if there are any."""
        return job_state_body(self.job_id, self.state, self.done, self.running)


@dataclass(frozen=True)
class AcceptedJob(KnownJob):
    """201: this request committed the submission; the job will run."""

    status: ClassVar[HTTPStatus] = HTTPStatus.CREATED


@dataclass(frozen=True)
class Refusal(Answer):
    """An answer with the reason why the request had no effect.

    Attributes:
        reason: the reason as text for users.
    """

    reason: str

    def body(self) -> bytes:
        """Return the encoded reason."""
        return error_body(self.reason)


@dataclass(frozen=True)
class MalformedSubmission(Refusal):
    """400, not retried: not CBOR, not a map, or a field is missing or invalid."""

    status: ClassVar[HTTPStatus] = HTTPStatus.BAD_REQUEST


@dataclass(frozen=True)
class UnknownJob(Refusal):
    """404: the job was never accepted."""

    status: ClassVar[HTTPStatus] = HTTPStatus.NOT_FOUND
    reason: str = "no such job"


@dataclass(frozen=True)
class UnknownPath(Refusal):
    """404: the protocol has no such path."""

    status: ClassVar[HTTPStatus] = HTTPStatus.NOT_FOUND
    reason: str = "no such path"


@dataclass(frozen=True)
class WrongMethod(Refusal):
    """405: the path does not support the method."""

    status: ClassVar[HTTPStatus] = HTTPStatus.METHOD_NOT_ALLOWED
    reason: str = "wrong method"


@dataclass(frozen=True)
class NeverRunnable(Refusal):
    """422, not retried: the job can never run.

    Its team is unknown, a task fits no allowed machine type, it exceeds the team's quota, its
    record would be too large, or its dependencies can never be met.
    """

    status: ClassVar[HTTPStatus] = HTTPStatus.UNPROCESSABLE_ENTITY


@dataclass(frozen=True)
class InternalFailure(Refusal):
    """500, retried: an unexpected error in this program, which is logged."""

    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    retry_after_s: ClassVar[int | None] = _MIN_RETRY_DELAY_S
    reason: str = "internal error"


@dataclass(frozen=True)
class RetryLater(Refusal):
    """503, retried: the request cannot be decided or committed yet."""

    status: ClassVar[HTTPStatus] = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s: ClassVar[int | None] = _MIN_RETRY_DELAY_S
    reason: str = "cannot be taken now"


@dataclass(frozen=True)
class Healthy(Answer):
    """200 to a health check: this controller can serve requests."""

    status: ClassVar[HTTPStatus] = HTTPStatus.OK


@dataclass(frozen=True)
class Unhealthy(Answer):
    """503 to a health check: the load balancer should send users elsewhere."""

    status: ClassVar[HTTPStatus] = HTTPStatus.SERVICE_UNAVAILABLE
