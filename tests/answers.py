"""What users were told, in real order: a request sent after an answer arrived never gets an older one.

Requests that were under way at the same time may differ.  But of `done` and `cancelled` only one is
ever told, whatever the order.
"""

from collections.abc import Callable
from typing import Any

OVER = ("done", "cancelled")
# What a submission must say.
REQUIRED = (
    "id", "docket", "bureau", "form", "rank", "entries", "vcpus", "gpus", "ram_gb", "parcel",
    "image_gb", "same_place", "apart", "loaners", "expect_s", "bookmark_s", "stamp_s",
)  # fmt: skip


class Answers:
    """The answers that arrived about each job, and when first."""

    def __init__(self, breaks: Callable[[str, str], None]) -> None:
        self._breaks = breaks
        self.accepted_at: dict[str, float] = {}
        self.over: dict[str, str] = {}  # what a job was said to have come to
        self.over_at: dict[str, float] = {}

    def unknown(self, job_id: str, sent: float, status: int) -> None:
        """A 404, 400 or 422 arrived for a request about this job."""
        if sent > self.accepted_at.get(job_id, sent):
            self._breaks("forgotten", f"{job_id} got {status}")

    def anew(self, job_id: str, sent: float) -> None:
        """A 201 arrived for a submission."""
        if sent > self.accepted_at.get(job_id, sent):
            self._breaks("forgotten", f"{job_id} was accepted anew")

    def told(self, job_id: str, state: str, sent: float, arrived: float) -> None:
        """An answer arrived that says how a job stands."""
        self.accepted_at.setdefault(job_id, arrived)
        before = self.over.get(job_id)
        if state in OVER:
            # One of two has been told wrongly, whichever request came first.
            if before not in (None, state):
                self._breaks("went_back", f"{job_id} was {before}, is {state}")
            self.over.setdefault(job_id, state)
            self.over_at.setdefault(job_id, arrived)
        elif before is not None and sent > self.over_at[job_id]:
            self._breaks("went_back", f"{job_id} was {before}, is {state}")


def lacking(spec: dict[str, Any]) -> bool:
    """Whether a submission lacks a field that may not be absent."""
    return any(spec.get(field) is None for field in REQUIRED)


def misfit(
    spec: dict[str, Any],
    types: dict[str, dict[str, float]],
    zones: list[str],
    teams: list[dict[str, Any]],
) -> bool:
    """Whether a job can never run: told from the pages, not from the sources."""
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
    return over_limit(team, spec["vcpus"] * tasks, spec["gpus"] * tasks)


def over_limit(team: dict[str, Any], cpus: float, gpus: float) -> bool:
    """Whether a team that holds so much is over its limit; 0 means that it has none (DEPLOY)."""
    limits = ((team.get("cpus_max", 0.0), cpus), (team.get("gpus_max", 0.0), gpus))
    return any(limit > 0 and held > limit for limit, held in limits)
