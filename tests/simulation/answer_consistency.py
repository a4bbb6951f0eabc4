"""Consistency checks of the responses to users.

Responses are ordered in real time: a request that is sent after a response arrived never returns an
older state, nor fewer completed tasks.  Concurrent requests may return different states.  The final
state of a job, `done` or `cancelled`, is the same in all responses.  A response that a job is
cancelled says so of all its direct and indirect dependents.
"""

from collections.abc import Callable, Iterable
from typing import Any

FINAL_STATES = ("done", "cancelled")
# The required fields of a submission.
REQUIRED_FIELDS = (
    "id", "docket", "bureau", "form", "rank", "entries", "vcpus", "gpus", "ram_gb", "parcel",
    "image_gb", "same_place", "apart", "loaners", "expect_s", "bookmark_s", "stamp_s",
)  # fmt: skip


class AnswerHistory:
    """The states of each job in the responses to users; times are in virtual seconds."""

    def __init__(self, record_violation: Callable[[str, str], None]) -> None:
        self._record_violation = record_violation
        self.accepted_at: dict[str, float] = {}  # time of the first response with a state
        self.final_states: dict[str, str] = {}  # the first final state in a response
        self.final_state_at: dict[str, float] = {}  # time of that response
        # By job, each new maximum of its completed tasks and the time of that response.
        self._done_counts: dict[str, list[tuple[int, float]]] = {}

    def check_unknown(self, job_id: str, sent: float, status: int) -> None:
        """Check a 404, 400 or 422 response to a request about a job.

        It is a `forgotten` violation if the job had been accepted before the request was sent.
        """
        if sent > self.accepted_at.get(job_id, sent):
            self._record_violation("forgotten", f"{job_id} got {status}")

    def check_accepted_again(self, job_id: str, sent: float) -> None:
        """Check a 201 response to a submission.

        It is a `forgotten` violation if the job had been accepted before the request was sent; a
        repeated submission must get 200.
        """
        if sent > self.accepted_at.get(job_id, sent):
            self._record_violation("forgotten", f"{job_id} was accepted again")

    def check_state(self, job_id: str, state: str, sent: float, arrived: float) -> None:
        """Check a response with the state of a job.

        It is a `went_back` violation if the job was reported in another, final state before.
        """
        self.accepted_at.setdefault(job_id, arrived)
        before = self.final_states.get(job_id)
        if state in FINAL_STATES:
            # One of the two responses was wrong, regardless of the order of the requests.
            if before not in (None, state):
                self._record_violation("went_back", f"{job_id} was {before}, is {state}")
            self.final_states.setdefault(job_id, state)
            self.final_state_at.setdefault(job_id, arrived)
        elif before is not None and sent > self.final_state_at[job_id]:
            self._record_violation("went_back", f"{job_id} was {before}, is {state}")

    def check_dependencies(
        self, job_id: str, state: str, dependencies: Iterable[str], sent: float
    ) -> None:
        """Check a response with the state of a job against those about its dependencies.

        It is a `went_back` violation if the job is live although a dependency was reported as
        cancelled before the request was sent.
        """
        for name in () if state in FINAL_STATES else dependencies:
            if self.final_states.get(name) == "cancelled" and sent > self.final_state_at[name]:
                self._record_violation("went_back", f"{job_id} is {state}, {name} was cancelled")

    def check_done_count(self, job_id: str, done: int, sent: float, arrived: float) -> None:
        """Check a response with the number of a job's completed tasks.

        It is a `went_back` violation if more were reported before the request was sent.
        """
        counts = self._done_counts.setdefault(job_id, [(0, float("-inf"))])
        before = next(count for count, at in reversed(counts) if at < sent)
        if done < before:
            self._record_violation("went_back", f"{job_id} had {before} tasks done, has {done}")
        if done > counts[-1][0]:
            counts.append((done, arrived))


def lacks_field(spec: dict[str, Any]) -> bool:
    """Return whether a submission lacks a required field."""
    return any(spec.get(field) is None for field in REQUIRED_FIELDS)


def can_never_run(
    spec: dict[str, Any],
    types: dict[str, dict[str, float]],
    zones: list[str],
    teams: list[dict[str, Any]],
) -> bool:
    """Return whether a job can never run, without use of the code under test."""
    team = next((team for team in teams if team["name"] == spec["bureau"]), None)
    if team is None:
        return True
    if spec["district"] is not None and spec["district"] not in zones:
        return True
    sizes = ("vcpus", "gpus", "ram_gb")
    if not any(
        (spec["breeds"] is None or name in spec["breeds"])
        and all(spec[size] <= kind[size] for size in sizes)
        for name, kind in types.items()
    ):
        return True
    tasks = 1 if spec["form"] == "array" else spec["entries"]
    return is_over_limit(team, spec["vcpus"] * tasks, spec["gpus"] * tasks)


def is_over_limit(team: dict[str, Any], cpus: float, gpus: float) -> bool:
    """Return whether a usage exceeds the limit of a team; a limit of 0 means unlimited."""
    limits = ((team.get("cpus_max", 0.0), cpus), (team.get("gpus_max", 0.0), gpus))
    return any(limit > 0 and used > limit for limit, used in limits)
