"""Messages between users and controllers: the job API."""

import re
from typing import Any, NamedTuple

from sandladder.model import CANCELLED, DONE, GANG, PENDING, RUNNING, JobSpec
from sandladder.protocol.codec import (
    TEXT_LIMIT,
    MalformedMessageError,
    dumps,
    loads_map,
    read_count,
    read_flag,
    read_number,
    read_text,
    read_word,
)

JOBS_PATH = "/work"
HEALTH_PATH = "/healthz"
CANCEL_ACTION = "cancel"

TASK_LIMIT = 100_000
# The maximum number of dependencies of a job; all of them must fit into its stored record.
DEPENDENCY_LIMIT = 128
DEPENDENCIES_FIELD = "awaits"

_KINDS = {"array": "array", "group": GANG, "service": "service"}
_PRIORITIES = {"prod": 3, "urgent": 2, "normal": 1, "idle": 0}
_STATES = {PENDING: "pending", RUNNING: "running", DONE: "done", CANCELLED: "cancelled"}
_JOB_ID = re.compile(r"job-[0-9]{6,18}", re.ASCII)
LONGEST_JOB_ID = "job-" + 18 * "9"


class Submission(NamedTuple):
    """A submitted job, and the jobs that must be done before it starts."""

    spec: JobSpec
    dependencies: tuple[str, ...] = ()


def is_job_id(text: str) -> bool:
    """Return whether a text has the format of a job id."""
    return _JOB_ID.fullmatch(text) is not None


def parse_submission(body: bytes) -> Submission:
    """Parse the body of a submission.

    Raises:
        MalformedMessageError: the body is malformed; the text names the field.
    """
    raw = loads_map(body)
    if not is_job_id(read_text(raw, "id")):
        raise MalformedMessageError("not a job id", "id")
    types = _read_machine_types(raw)
    cpus = read_number(raw, "vcpus")
    if cpus <= 0:
        raise MalformedMessageError("must be above 0", "vcpus")
    spec = JobSpec(
        id=raw["id"],
        job_class=read_text(raw, "docket"),
        team=read_text(raw, "bureau"),
        kind=read_word(raw, "form", _KINDS),
        priority=read_word(raw, "rank", _PRIORITIES),
        tasks=read_count(raw, "entries", TASK_LIMIT, 1),
        cpus=cpus,
        gpus=read_number(raw, "gpus"),
        memory_gb=read_number(raw, "ram_gb"),
        image=read_text(raw, "parcel"),
        image_gb=read_number(raw, "image_gb"),
        types=types,
        zone=None if raw.get("district") is None else read_text(raw, "district"),
        one_zone=read_flag(raw, "same_place"),
        spread=read_flag(raw, "apart"),
        spot=read_flag(raw, "loaners"),
        estimate_s=read_number(raw, "expect_s"),
        checkpoint_s=read_number(raw, "bookmark_s"),
        save_s=read_number(raw, "stamp_s"),
        deadline_s=None if raw.get("due_s") is None else read_number(raw, "due_s"),
    )
    return Submission(spec, _read_dependencies(raw))


def _read_machine_types(raw: dict[Any, Any]) -> tuple[str, ...] | None:
    """Read the machine types that a submission allows; None: any."""
    types = raw.get("breeds")
    if types is None:
        return None
    if not isinstance(types, list) or len(types) > TEXT_LIMIT:
        raise MalformedMessageError("a list is needed", "breeds")
    return tuple(read_text({"breeds": name}, "breeds") for name in types)


def _read_dependencies(raw: dict[Any, Any]) -> tuple[str, ...]:
    """Read a submission's dependencies, without duplicates."""
    names = raw.get(DEPENDENCIES_FIELD)
    if names is None:
        return ()
    if not isinstance(names, list):
        raise MalformedMessageError("a list is needed", DEPENDENCIES_FIELD)
    if len(names) > DEPENDENCY_LIMIT:
        raise MalformedMessageError(f"more than {DEPENDENCY_LIMIT} jobs", DEPENDENCIES_FIELD)
    for name in names:
        if not isinstance(name, str) or not is_job_id(name):
            raise MalformedMessageError("job ids are needed", DEPENDENCIES_FIELD)
    return tuple(dict.fromkeys(names))


def has_dependencies(body: bytes) -> bool:
    """Return whether a submission has dependencies; False if its body is not a map."""
    try:
        return bool(loads_map(body).get(DEPENDENCIES_FIELD))
    except MalformedMessageError:
        return False


def job_id_of(body: bytes) -> str | None:
    """Return the job id in a submission that may be malformed, or None if it has no valid id."""
    try:
        job_id = loads_map(body).get("id")
    except MalformedMessageError:
        return None
    return job_id if isinstance(job_id, str) and is_job_id(job_id) else None


def job_state_body(job_id: str, state: str, done: int | None = None, running: int = 0) -> bytes:
    """Return the body that gives a job's state, with its task counts unless `done` is None."""
    body: dict[str, Any] = {"id": job_id, "standing": _STATES[state]}
    if done is not None:
        body |= {"done": done, "running": running}
    return dumps(body)


def error_body(text: str) -> bytes:
    """Return the body of an error response, with a human-readable reason."""
    return dumps({"error": text})
