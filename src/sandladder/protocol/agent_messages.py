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
# Values of `AttemptOutcome`, by the cause on the wire.
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
_MAX_TASK_DIGITS = 6
# Negative: the announced time of a reclaim may have passed any number of seconds ago.
_MIN_NOTICE_S = -1e9


def task_name(job: str, task: int) -> str:
    """Return the name of a task on the wire."""
    return f"{job}/{task}"


def _parse_task_status(raw: Any) -> TaskStatus:
    if not isinstance(raw, dict):
        raise MalformedMessageError("maps are needed", "entries")
    job, _, task = read_text(raw, "entry").partition("/")
    if (
        not is_job_id(job)
        or not task.isascii()
        or not task.isdigit()
        or len(task) > _MAX_TASK_DIGITS
    ):
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


def parse_heartbeat(raw: Any, min_token: int = 0) -> AgentHeartbeat:
    """Parse a heartbeat, which is an agent's request or its response to commands.

    Args:
        raw: the decoded body.
        min_token: the lowest fencing token that it may show.

    Raises:
        MalformedMessageError: the body is malformed; the text names the field.
    """
    if not isinstance(raw, dict):
        raise MalformedMessageError("not a map")
    token = read_count(raw, "seal")
    if token < min_token:
        raise MalformedMessageError(f"at least {min_token} is needed", "seal")
    tasks = raw.get("entries")
    if tasks is None:
        tasks = []
    if not isinstance(tasks, list):
        raise MalformedMessageError("a list is needed", "entries")
    statuses = tuple(_parse_task_status(task) for task in tasks)
    if len({(status.job, status.task, status.attempt) for status in statuses}) < len(statuses):
        raise MalformedMessageError("an attempt is listed twice", "entries")
    return AgentHeartbeat(
        machine=read_text(raw, "rung"),
        addr=read_text(raw, "addr"),
        type=read_text(raw, "breed"),
        zone=read_text(raw, "district"),
        spot=raw.get("loaners") is True,
        agent_epoch=read_count(raw, "shift"),
        sequence_number=read_count(raw, "tally"),
        fencing_token=token,
        notice_s=(
            None if raw.get("recall_s") is None else read_number(raw, "recall_s", _MIN_NOTICE_S)
        ),
        tasks=statuses,
    )


def commands_value(token: int, commands: Iterable[Command]) -> dict[str, Any]:
    """Return the body of the response to a heartbeat, before encoding.

    Args:
        token: the fencing token under which the commands are sent.
        commands: the commands, in the order in which the agent must execute them.
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


def direct_commands_body(agent_epoch: int, token: int, commands: Iterable[Command]) -> bytes:
    """Return the body of commands to an agent; the agent drops them in any other epoch."""
    return dumps(commands_value(token, commands) | {"shift": agent_epoch})


def redirect_body(node: str | None) -> bytes:
    """Return the body of a 421 response, which redirects an agent.

    Args:
        node: the controller to which the agent must send its heartbeats; None: any other one.
    """
    return dumps({"clerk": node} if node else {})
