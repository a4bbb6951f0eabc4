"""The protocol's names and shapes: the one place that knows how things are spelled outside.

Everything else speaks the field's standard terms.  Bodies are CBOR; every value that comes
in is checked here before anything else sees it.
"""

import re
from collections.abc import Iterable
from math import isfinite
from typing import Any, NamedTuple

import cbor2

from sandladder.model import (
    CANCELLED,
    DONE,
    GANG,
    PENDING,
    RUNNING,
    AgentHeartbeat,
    Command,
    JobSpec,
    ListedMachine,
    MachineType,
    ReportedTask,
)

JOBS = "/work"
HEALTH = "/healthz"
REPORT = "/v1/report"
COMMANDS = "/do"
STATUS = "/status"
CATALOG = "/catalog"
MACHINES = "/machines"
RETURN = "/machines/return"
STORE = "/store"
COMMIT = "/commit"
HOLDS = "/holds"
FOLLOW = "/follow"

BODY_LIMIT = 64 * 1024
TASK_LIMIT = 100_000
TEXT_LIMIT = 128
COUNT_LIMIT = 1 << 64
# Jobs that one submission may name; a record must hold them.
AWAITS_LIMIT = 128

_KINDS = {"array": "array", "group": GANG, "service": "service"}
_PRIORITIES = {"prod": 3, "urgent": 2, "normal": 1, "idle": 0}
_STATES = {"fetching", "waiting", "running", "flushing", "exited"}
_CAUSES = {
    "done": "done",
    "halted": "stopped",
    "mates_gone": "peers",
    "alone": "alone",
    "error": "error",
    "full": "no_room",
    "in_use": "busy",
    "unknown": "unknown",
}
_VERBS = {"start": "run", "stop": "halt", "forget": "reap"}
_STANDING = {PENDING: "pending", RUNNING: "running", DONE: "done", CANCELLED: "cancelled"}
_JOB_ID = re.compile(r"job-[0-9]{6,18}", re.ASCII)


class MalformedMessageError(ValueError):
    """A body or a field that the protocol does not allow."""


def dumps(value: Any) -> bytes:
    """Encode a body."""
    return cbor2.dumps(value)


def loads(body: bytes) -> Any:
    """Decode a body; anything that is not exactly one CBOR item is malformed."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds on hostile input
        raise MalformedMessageError("not CBOR") from error


def loads_map(body: bytes) -> dict[Any, Any]:
    """Decode a body that must be a map."""
    value = loads(body)
    if not isinstance(value, dict):
        raise MalformedMessageError("not a map")
    return value


def is_job_id(text: str) -> bool:
    """Whether this is a job id in the one form that ids have."""
    return _JOB_ID.fullmatch(text) is not None


def _text(raw: dict[Any, Any], key: str) -> str:
    value = raw.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_LIMIT or not value.isprintable():
        raise MalformedMessageError(f"{key}: a text is needed")
    return value


def _number(raw: dict[Any, Any], key: str, least: float = 0.0) -> float:
    value = raw.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedMessageError(f"{key}: a number is needed")
    try:
        number = float(value)
    except OverflowError:
        raise MalformedMessageError(f"{key}: too large") from None
    if not isfinite(number) or number < least or number > 1e12:
        raise MalformedMessageError(f"{key}: out of range")
    return number


def _count(raw: dict[Any, Any], key: str, most: int = COUNT_LIMIT - 1, least: int = 0) -> int:
    value = raw.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise MalformedMessageError(f"{key}: a count is needed")
    return value


def _flag(raw: dict[Any, Any], key: str) -> bool:
    value = raw.get(key)
    if not isinstance(value, bool):
        raise MalformedMessageError(f"{key}: true or false is needed")
    return value


def _word(raw: dict[Any, Any], key: str, words: dict[str, Any]) -> Any:
    value = raw.get(key)
    if not isinstance(value, str) or value not in words:
        raise MalformedMessageError(f"{key}: not a known word")
    return words[value]


class Submission(NamedTuple):
    """What a user asks for: a job, and the jobs that must be done before it starts."""

    spec: JobSpec
    dependencies: tuple[str, ...] = ()


def _awaits(raw: dict[Any, Any]) -> tuple[str, ...]:
    """The jobs that a submission names; one named twice counts once."""
    names = raw.get("awaits")
    if names is None:
        return ()
    if not isinstance(names, list):
        raise MalformedMessageError("awaits: a list is needed")
    if len(names) > AWAITS_LIMIT:
        raise MalformedMessageError(f"awaits: more than {AWAITS_LIMIT} jobs")
    for name in names:
        if not isinstance(name, str) or not is_job_id(name):
            raise MalformedMessageError("awaits: job ids are needed")
    return tuple(dict.fromkeys(names))


def parse_job(body: bytes) -> Submission:
    """A submission; raises Malformed for anything that deserves a 400."""
    raw = loads_map(body)
    if not is_job_id(_text(raw, "id")):
        raise MalformedMessageError("id: not a job id")
    types = raw.get("breeds")
    if types is not None:
        if not isinstance(types, list) or len(types) > TEXT_LIMIT:
            raise MalformedMessageError("breeds: a list is needed")
        types = tuple(_text({"breeds": item}, "breeds") for item in types)
    cpus = _number(raw, "vcpus")
    if cpus <= 0:
        raise MalformedMessageError("vcpus: must be above 0")
    spec = JobSpec(
        id=raw["id"],
        cls=_text(raw, "docket"),
        team=_text(raw, "bureau"),
        kind=_word(raw, "form", _KINDS),
        priority=_word(raw, "rank", _PRIORITIES),
        tasks=_count(raw, "entries", TASK_LIMIT, 1),
        cpus=cpus,
        gpus=_number(raw, "gpus"),
        memory_gb=_number(raw, "ram_gb"),
        image=_text(raw, "parcel"),
        image_gb=_number(raw, "image_gb"),
        types=types,
        zone=None if raw.get("district") is None else _text(raw, "district"),
        one_zone=_flag(raw, "same_place"),
        spread=_flag(raw, "apart"),
        spot=_flag(raw, "loaners"),
        estimate_s=_number(raw, "expect_s"),
        checkpoint_s=_number(raw, "bookmark_s"),
        save_s=_number(raw, "stamp_s"),
        deadline_s=None if raw.get("due_s") is None else _number(raw, "due_s"),
    )
    return Submission(spec, _awaits(raw))


def names_others(body: bytes) -> bool:
    """Whether a submission names jobs that it waits for."""
    try:
        return bool(loads_map(body).get("awaits"))
    except MalformedMessageError:
        return False


def id_of(body: bytes) -> str | None:
    """The job id in a submission that is otherwise malformed, if there is one."""
    try:
        job_id = loads_map(body).get("id")
    except MalformedMessageError:
        return None
    return job_id if isinstance(job_id, str) and is_job_id(job_id) else None


def job_status(job_id: str, state: str, done: int | None = None, running: int = 0) -> bytes:
    """What a user is told of a job."""
    body: dict[str, Any] = {"id": job_id, "standing": _STANDING[state]}
    if done is not None:
        body |= {"done": done, "running": running}
    return dumps(body)


def error_body(text: str) -> bytes:
    """The body of a refusal."""
    return dumps({"error": text})


def entry_name(job: str, task: int) -> str:
    return f"{job}/{task}"


def _entry(raw: Any) -> ReportedTask:
    if not isinstance(raw, dict):
        raise MalformedMessageError("entries: maps are needed")
    job, _, task = _text(raw, "entry").partition("/")
    if not is_job_id(job) or not task.isascii() or not task.isdigit() or len(task) > 6:
        raise MalformedMessageError("entry: not a task")
    state = raw.get("standing")
    if state not in _STATES:
        raise MalformedMessageError("standing: not a known word")
    cause = ""
    if state == "exited":
        cause = _CAUSES.get(str(raw.get("cause")), "error")
    return ReportedTask(job, int(task), _count(raw, "try"), state, cause, raw.get("saved") is True)


def parse_report(raw: Any) -> AgentHeartbeat:
    """A worker's report, from its own request or from the answer to a command."""
    if not isinstance(raw, dict):
        raise MalformedMessageError("not a map")
    entries = raw.get("entries")
    if entries is None:
        entries = []
    if not isinstance(entries, list):
        raise MalformedMessageError("entries: a list is needed")
    return AgentHeartbeat(
        machine=_text(raw, "rung"),
        addr=_text(raw, "addr"),
        type=_text(raw, "breed"),
        zone=_text(raw, "district"),
        spot=raw.get("loaners") is True,
        session=_count(raw, "shift"),
        seq=_count(raw, "tally"),
        token=_count(raw, "seal"),
        notice_s=None if raw.get("recall_s") is None else _number(raw, "recall_s", -1e9),
        entries=tuple(_entry(item) for item in entries),
    )


def commands_value(token: int, commands: Iterable[Command]) -> dict[str, Any]:
    """The answer to a report, or the body of a direct command without its session."""
    orders = []
    for command in commands:
        order: dict[str, Any] = {
            "verb": _VERBS[command.op],
            "entry": entry_name(command.job, command.task),
            "try": command.attempt,
        }
        if command.op == "stop":
            order["mercy_s"] = command.grace_s
        orders.append(order)
    return {"seal": token, "orders": orders}


def redirect_body(node: str | None) -> bytes:
    """Where a worker should report instead."""
    return dumps({"clerk": node} if node else {})


def parse_catalog(body: bytes) -> dict[str, MachineType]:
    """The cloud's machine types by name."""
    types = loads_map(body).get("breeds")
    if not isinstance(types, list) or not types:
        raise MalformedMessageError("breeds: a list is needed")
    found = {}
    for raw in types:
        if not isinstance(raw, dict):
            raise MalformedMessageError("breeds: maps are needed")
        zones = raw.get("districts")
        if not isinstance(zones, list):
            raise MalformedMessageError("districts: a list is needed")
        spot_price = raw.get("market_price")
        kind = MachineType(
            name=_text(raw, "label"),
            cpus=_number(raw, "vcpus"),
            gpus=_number(raw, "gpus") if raw.get("gpus") is not None else 0.0,
            memory_gb=_number(raw, "ram_gb"),
            cache_gb=_number(raw, "cache_gb") if raw.get("cache_gb") is not None else 0.0,
            fetch_gb_per_s=_number(raw, "pull_gb_per_s"),
            price=_number(raw, "price"),
            spot_price=_number(raw, "market_price") if spot_price is not None else 0.0,
            boot_s=_number(raw, "boot_s"),
            zones=tuple(str(zone) for zone in zones),
        )
        found[kind.name] = kind
    return found


def hire_body(name: str, type_name: str, zone: str, spot: bool, count: int) -> bytes:
    """A rental request; its name must never be used again for another."""
    return dumps(
        {"hire": name, "breed": type_name, "district": zone, "loaners": spot, "count": count}
    )


def return_body(machines: list[str]) -> bytes:
    return dumps({"rungs": machines})


def parse_hired(body: bytes) -> list[str]:
    """The names of the machines that a rental request brought."""
    names = loads_map(body).get("rungs")
    if not isinstance(names, list) or not all(isinstance(n, str) and n for n in names):
        raise MalformedMessageError("rungs: names are needed")
    return names


def parse_machines(body: bytes) -> tuple[list[ListedMachine], bool]:
    """One page of the machine list, and whether more follow."""
    raw = loads_map(body)
    items = raw.get("rungs")
    if not isinstance(items, list):
        raise MalformedMessageError("rungs: a list is needed")
    page = [
        ListedMachine(
            id=_text(item, "id"),
            type=_text(item, "breed"),
            zone=_text(item, "district"),
            spot=item.get("loaners") is True,
            state={"starting": "booting"}.get(str(item.get("standing")), str(item.get("standing"))),
            age_s=_number(item, "age_s", -1e9),
            addr=_text(item, "addr"),
        )
        for item in items
        if isinstance(item, dict)
    ]
    return page, raw.get("more") is True


# The state service: guards are (key, version) pairs, puts are (key, value, lease).


def commit_body(
    expected_versions: Iterable[tuple[str, int]],
    puts: Iterable[tuple[str, Any, int | None]],
    drops: Iterable[str],
) -> bytes:
    apply: list[dict[str, Any]] = []
    for key, value, lease in puts:
        change: dict[str, Any] = {"put": key, "v": value}
        if lease is not None:
            change["tenure"] = lease
        apply.append(change)
    apply.extend({"drop": key} for key in drops)
    return dumps(
        {"guards": [{"key": k, "edition": v} for k, v in expected_versions], "apply": apply}
    )


def parse_revision(body: bytes) -> int:
    return _count(loads_map(body), "ledger")


def parse_failed(body: bytes) -> list[str]:
    failed = loads_map(body).get("failed")
    return [str(key) for key in failed] if isinstance(failed, list) else []


def lease_body(ttl_s: float) -> bytes:
    return dumps({"ttl_ms": min(600_000, max(100, round(ttl_s * 1000)))})


def parse_lease(body: bytes) -> int:
    return _count(loads_map(body), "tenure")


def follow_target(prefix: str, after: int, wait_s: float) -> str:
    return f"{FOLLOW}?prefix={prefix}&after={after}&block_ms={round(wait_s * 1000)}"


def list_target(prefix: str, after: str, limit: int = 500) -> str:
    start = f"&after={after}" if after else ""
    return f"{STORE}?prefix={prefix}{start}&most={limit}"


def parse_events(body: bytes) -> tuple[int, list[tuple[str, Any, int]]]:
    """Changes as (key, value or None, version), and the revision they reach."""
    raw = loads_map(body)
    log = raw.get("log") or []
    if not isinstance(log, list):
        raise MalformedMessageError("log: a list is needed")
    events: list[tuple[str, Any, int]] = []
    for item in log:
        if not isinstance(item, dict):
            raise MalformedMessageError("log: maps are needed")
        if "put" in item:
            events.append((_key(item, "put"), item.get("v"), _count(item, "edition")))
        else:
            events.append((_key(item, "drop"), None, _count(item, "edition")))
    return _count(raw, "ledger"), events


def _key(raw: dict[Any, Any], name: str) -> str:
    value = raw.get(name)
    if not isinstance(value, str):
        raise MalformedMessageError(f"{name}: a key is needed")
    return value


def parse_items(body: bytes) -> tuple[int, list[tuple[str, Any, int]], bool]:
    """One page of keys as (key, value, version)."""
    raw = loads_map(body)
    items = raw.get("items")
    if not isinstance(items, list):
        raise MalformedMessageError("items: a list is needed")
    found = [(_key(item, "key"), item.get("v"), _count(item, "edition")) for item in items]
    return _count(raw, "ledger"), found, raw.get("more") is True


def parse_value(body: bytes) -> tuple[Any, int]:
    raw = loads_map(body)
    return raw.get("v"), _count(raw, "edition")
