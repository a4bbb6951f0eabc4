"""The rules of the protocol; each is checked by a function that records its violations.

The rules are those of the protocol's page ("Rules").  Some are checked elsewhere: `forgotten` and
part of `went_back` by `AnswerHistory`, `nothing_ran` by the tests, which count the starts.
`began_twice`, `too_early`, `orphaned`, `started_cancelled`, `accepted_bad`, `mixed_up` and `too_long` are not in that
list, but follow from the protocol.
"""

import json
from collections import Counter
from typing import Any

import cbor2

from simulation.answer_consistency import can_never_run, is_over_limit, lacks_field
from simulation.deployment import MACHINE_TYPES, ZONES
from simulation.event_loop import now
from simulation.machines import Machine, Task
from simulation.shared_state import SharedState

# The protocol's limit on a message, which counts its JSON form, and the most bytes of JSON for one
# byte of CBOR (`false` and a comma).
_MESSAGE_BYTES = 64 * 1024
_JSON_BYTES_PER_CBOR_BYTE = 6
# Prefix of the keys of job records in the store.
_JOB_PREFIX = "s/j/"


def check_machines(shared: SharedState) -> None:
    """Check the rules about the tasks on all machines."""
    tasks = [task for _, task in shared.tasks_on_machines()]
    check_cancelled_tasks_are_stopped(shared, tasks)
    check_quota(shared, tasks)


def check_cancelled_tasks_are_stopped(shared: SharedState, tasks: list[Task]) -> None:
    """Record a `ran_cancelled` violation for each task that is on a machine too long.

    The limit is `cancel_s` after a response to a user reported its job, or a job that its job
    depends on, as cancelled.
    """
    for task in tasks:
        job_id = task.spec["id"]
        for name in (job_id, *shared.dependencies(job_id)):
            answered_at = shared.cancelled_at.get(name)
            if answered_at is not None and now() - answered_at > shared.cancel_s:
                shared.record_violation("ran_cancelled", task.name)


def check_quota(shared: SharedState, tasks: list[Task]) -> None:
    """Record a `quota` violation if the tasks of a team use more than its limit."""
    cpus: Counter[str] = Counter()
    gpus: Counter[str] = Counter()
    for task in tasks:
        cpus[task.spec["bureau"]] += task.spec["vcpus"]
        gpus[task.spec["bureau"]] += task.spec["gpus"]
    for team in shared.teams:
        name = team["name"]
        if is_over_limit(team, cpus[name], gpus[name]):
            shared.record_violation("quota", f"{name} uses {cpus[name]}")


def check_task_start(shared: SharedState, machine: Machine, task: Task) -> None:
    """Check the rules about the start of a task on a machine."""
    check_runs_once(shared, machine, task)
    check_dependencies_are_done(shared, task)
    check_place(shared, machine, task)


def check_runs_once(shared: SharedState, machine: Machine, task: Task) -> None:
    """Record a `ran_twice` violation if a task starts on a machine while it is on another."""
    for other_machine, other in shared.tasks_on_machines():
        if other.name == task.name and other is not task:
            detail = f"{task.name} on {machine.name} and {other_machine.name}"
            shared.record_violation("ran_twice", detail)


def check_begins_once(shared: SharedState, machine: Machine, key: str) -> None:
    """Record a `began_twice` violation if a machine begins an attempt again in the same epoch.

    `key` is the name and attempt of the task.  The first beginning counts also if it was refused.
    """
    if key in machine.begun:
        shared.record_violation("began_twice", f"{key} on {machine.name}")
    machine.begun.add(key)


def check_dependencies_are_done(shared: SharedState, task: Task) -> None:
    """Record a `too_early` violation if a task starts before a dependency of its job is done."""
    for name in task.spec.get("awaits") or ():
        if not shared.is_done(name):
            shared.record_violation("too_early", f"{task.name} before {name}")


def check_place(shared: SharedState, machine: Machine, task: Task) -> None:
    """Record a `wrong_place` violation if a task starts on an unsuitable machine.

    The machine's type, zone or spot status violates the constraints of the job, given the job's
    other tasks at that time.
    """
    spec = task.spec
    others = [
        other_machine.zone
        for other_machine, other in shared.tasks_on_machines()
        if other.name != task.name and other.name.startswith(spec["id"] + "/")
    ]
    zones = [machine.zone, *others]
    if spec["breeds"] is not None and machine.kind not in spec["breeds"]:
        shared.record_violation("wrong_place", f"{task.name} on type {machine.kind}")
    if spec["district"] not in (None, machine.zone) or (machine.spot and not spec["loaners"]):
        shared.record_violation("wrong_place", f"{task.name} on {machine.name}")
    if spec["same_place"] and len(set(zones)) > 1:
        shared.record_violation("wrong_place", f"{task.name} not in the zone of the others")
    if spec["apart"] and zones.count(machine.zone) > (spec["entries"] + 1) // 2:
        shared.record_violation("wrong_place", f"{task.name} not spread")


def started_attempts(record: Any) -> int:
    """Return the number of started attempts in a job's stored record."""
    return int(record["n"]) if isinstance(record, dict) else 0


def check_committed_starts(shared: SharedState, key: str, before: Any, after: Any) -> None:
    """Record a `started_cancelled` violation if a transaction starts a task of a cancelled job.

    A response has reported the job as cancelled before.
    """
    if not key.startswith(f"{_JOB_PREFIX}job-"):
        return
    answered_at = shared.cancelled_at.get(key.removeprefix(_JOB_PREFIX))
    if (
        answered_at is not None
        and answered_at < now()
        and started_attempts(after) > started_attempts(before)
    ):
        shared.record_violation("started_cancelled", f"{key} by a commit")


def check_acceptance(shared: SharedState, spec: dict[str, Any]) -> None:
    """Record an `accepted_bad` violation if an accepted submission must get 400 or 422."""
    if lacks_field(spec) or can_never_run(spec, MACHINE_TYPES, ZONES, shared.teams):
        shared.record_violation("accepted_bad", f"{spec['id']} can't run or lacks a field")


def check_submitted(shared: SharedState, job_id: str) -> bool:
    """Return whether a job that got 200 was submitted; if not, record an `invented` violation."""
    if job_id in shared.specs:
        return True
    shared.record_violation("invented", job_id)
    return False


def check_answered_job(shared: SharedState, job_id: str, answered: str) -> None:
    """Record a `mixed_up` violation if a response is about another job than the requested one."""
    if answered != job_id:
        detail = f"{job_id} was requested, {answered} returned"
        shared.record_violation("mixed_up", detail)


def check_cancelled_by_user(shared: SharedState, job_id: str) -> None:
    """Record a `went_back` violation if a reported cancellation was not requested by a user."""
    if not shared.is_cancelled(job_id):
        shared.record_violation("went_back", f"{job_id} was not cancelled by its user")


def check_done(shared: SharedState, job_id: str) -> None:
    """Record a `not_done` violation if a job is reported as done before all its tasks are."""
    if not shared.is_done(job_id):
        shared.record_violation("not_done", job_id)


def check_dependents_are_cancelled(shared: SharedState, job_id: str, sent_at: float) -> None:
    """Record an `orphaned` violation if a job is live too long after a dependency was cancelled.

    The limit is `cancel_s` after a response reported the dependency as cancelled.
    """
    for name in shared.dependencies(job_id):
        if sent_at - shared.cancelled_at.get(name, sent_at) > shared.cancel_s:
            shared.record_violation("orphaned", f"{job_id} after {name}")


def message_bytes(body: bytes) -> int:
    """Return the length of a message in the form that the protocol's limit counts, in bytes."""
    text = json.dumps(cbor2.loads(body), separators=(",", ":"), ensure_ascii=False)
    return len(text.encode())


def check_message_length(
    shared: SharedState, source: str, target: str, path: str, body: bytes
) -> bool:
    """Record a `too_long` violation if a message exceeds the limit; return whether it does."""
    if len(body) * _JSON_BYTES_PER_CBOR_BYTE <= _MESSAGE_BYTES:
        return False
    size = message_bytes(body)
    if size > _MESSAGE_BYTES:
        shared.record_violation("too_long", f"{source} to {target}, {path}: {size} bytes")
    return size > _MESSAGE_BYTES
