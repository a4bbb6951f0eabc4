"""Messages between agents (one on each machine) and controllers."""

from collections.abc import Iterable
from typing import Any

from sandladder.model import AgentHeartbeat, Command, TaskStatus
from sandladder.protocol.codec import (
    MalformedMessageError,
    dumps,
    read_count,
    read_number,
    read_text,
)
from sandladder.protocol.job_messages import is_job_id

HEARTBEAT_PATH = "/v1/report"
COMMANDS_PATH = "/do"
STATUS_PATH = "/status"

_TASK_STATES = {"fetching", "waiting", "running", "flushing", "exited"}
_EXIT_CAUSES = {
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
_TASK_DIGITS = 6
# The notice of a spot machine may have passed; how long ago is of no matter.
_LEAST_NOTICE_S = -1e9


def task_name(job: str, task: int) -> str:
    """The name of a task on the wire."""
    return f"{job}/{task}"


def _reported_task(raw: Any) -> TaskStatus:
    if not isinstance(raw, dict):
        raise MalformedMessageError("maps are needed", "entries")
    job, _, task = read_text(raw, "entry").partition("/")
    if not is_job_id(job) or not task.isascii() or not task.isdigit() or len(task) > _TASK_DIGITS:
        raise MalformedMessageError("not a task", "entry")
    state = raw.get("standing")
    if state not in _TASK_STATES:
        raise MalformedMessageError("not a known word", "standing")
    cause = ""
    if state == "exited":
        cause = _EXIT_CAUSES.get(str(raw.get("cause")), "error")
    return TaskStatus(
        job, int(task), read_count(raw, "try"), state, cause, raw.get("saved") is True
    )


def parse_heartbeat(raw: Any) -> AgentHeartbeat:
    """A heartbeat with status, from the agent's own request or from its answer to a command.

    Args:
        raw: the decoded body.

    Raises:
        MalformedMessageError: the protocol does not allow it; the text names the field.
    """
    if not isinstance(raw, dict):
        raise MalformedMessageError("not a map")
    tasks = raw.get("entries")
    if tasks is None:
        tasks = []
    if not isinstance(tasks, list):
        raise MalformedMessageError("a list is needed", "entries")
    return AgentHeartbeat(
        machine=read_text(raw, "rung"),
        addr=read_text(raw, "addr"),
        type=read_text(raw, "breed"),
        zone=read_text(raw, "district"),
        spot=raw.get("loaners") is True,
        agent_epoch=read_count(raw, "shift"),
        sequence_number=read_count(raw, "tally"),
        fencing_token=read_count(raw, "seal"),
        notice_s=(
            None if raw.get("recall_s") is None else read_number(raw, "recall_s", _LEAST_NOTICE_S)
        ),
        tasks=tuple(_reported_task(task) for task in tasks),
    )


def commands_value(token: int, commands: Iterable[Command]) -> dict[str, Any]:
    """The body of the answer to a heartbeat, not encoded yet.

    Args:
        token: the fencing token under which the commands are given.
        commands: in the order in which the agent is to carry them out.
    """
    items = []
    for command in commands:
        item: dict[str, Any] = {
            "verb": _VERBS[command.operation],
            "entry": task_name(command.job, command.task),
            "try": command.attempt,
        }
        if command.operation == "stop":
            item["mercy_s"] = command.grace_s
        items.append(item)
    return {"seal": token, "orders": items}


def direct_commands_body(session: int, token: int, commands: Iterable[Command]) -> bytes:
    """The body of commands that go to an agent directly; it drops them in another session."""
    return dumps(commands_value(token, commands) | {"shift": session})


def redirect_body(node: str | None) -> bytes:
    """The body of a 421: the controller to report to instead, or None for any other."""
    return dumps({"clerk": node} if node else {})
