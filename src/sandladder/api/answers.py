"""The answers of the job API: one type for each, with its status code and its body.

Source of the codes: "Users -> controller nodes" in the protocol page.  A user repeats a request
after any status that it does not list as final, 1 s later or after `Retry-After` if that is longer,
so every answer that decides nothing only has to be truthful.
"""

from dataclasses import dataclass
from http import HTTPStatus
from typing import ClassVar

from sandladder.protocol.job_messages import error_body, job_state_body
from sandladder.transport import Response

# Users wait at least so long before they repeat a request, in seconds.
_SHORTEST_RETRY_S = 1


@dataclass(frozen=True)
class Answer:
    """What is answered to a request, before it is encoded."""

    status: ClassVar[HTTPStatus]
    retry_after_s: ClassVar[int | None] = None

    def body(self) -> bytes:
        """The encoded body; empty if the answer has none."""
        return b""

    def response(self) -> Response:
        """The answer as the HTTP server sends it."""
        return Response(self.status.value, self.body(), self.retry_after_s)


@dataclass(frozen=True)
class KnownJob(Answer):
    """200: an accepted job and its state.

    Answers questions, cancellations, and submissions of a job that is accepted already, whatever
    else these say: requests are idempotent.

    Attributes:
        job_id: the job.
        state: pending, running, done or cancelled, in the terms of `model`.
        done: how many tasks are done; None where the answer says nothing of tasks.
        running: how many tasks have a start that is not known to be over.
    """

    status: ClassVar[HTTPStatus] = HTTPStatus.OK
    job_id: str
    state: str
    done: int | None = None
    running: int = 0

    def body(self) -> bytes:
        """The state, with the counts of tasks if they are known."""
        return job_state_body(self.job_id, self.state, self.done, self.running)


@dataclass(frozen=True)
class AcceptedJob(KnownJob):
    """201: the submission was committed by this request; the job will run."""

    status: ClassVar[HTTPStatus] = HTTPStatus.CREATED


@dataclass(frozen=True)
class Refusal(Answer):
    """An answer that says why nothing was done.

    Attributes:
        reason: why, for people.
    """

    reason: str

    def body(self) -> bytes:
        """The reason."""
        return error_body(self.reason)


@dataclass(frozen=True)
class MalformedSubmission(Refusal):
    """400, not repeated: not CBOR, not a map, or a field is missing or invalid."""

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
    """405: the path takes another method."""

    status: ClassVar[HTTPStatus] = HTTPStatus.METHOD_NOT_ALLOWED
    reason: str = "wrong method"


@dataclass(frozen=True)
class NeverRunnable(Refusal):
    """422, not repeated: the job can never run.

    Its team is unknown, a task fits no allowed machine type, or it needs more than the team's quota
    or more than a record can keep.
    """

    status: ClassVar[HTTPStatus] = HTTPStatus.UNPROCESSABLE_ENTITY


@dataclass(frozen=True)
class InternalFailure(Refusal):
    """500, repeated: an error in this program; the log has it."""

    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    retry_after_s: ClassVar[int | None] = _SHORTEST_RETRY_S
    reason: str = "internal error"


@dataclass(frozen=True)
class RetryLater(Refusal):
    """503, repeated: it cannot be decided or committed yet."""

    status: ClassVar[HTTPStatus] = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s: ClassVar[int | None] = _SHORTEST_RETRY_S
    reason: str = "cannot be taken now"


@dataclass(frozen=True)
class Healthy(Answer):
    """200 to a health check: this controller can take requests."""

    status: ClassVar[HTTPStatus] = HTTPStatus.OK


@dataclass(frozen=True)
class Unhealthy(Answer):
    """503 to a health check: the load balancer should send users elsewhere."""

    status: ClassVar[HTTPStatus] = HTTPStatus.SERVICE_UNAVAILABLE
