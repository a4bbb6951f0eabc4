"""The rules that are checked, each by a function of its own with the rule in its docstring.

The rules that a whole run must keep are those of the protocol's page ("Rules").  Two of them are
checked elsewhere: `forgotten` and part of `went_back` by `AnswerHistory`, `nothing_ran` by the
tests, which count the starts.  `too_early`, `orphaned`, `started_cancelled`, `accepted_bad` and
`mixed_up` are consequences of the protocol beyond that list.
"""

from collections import Counter
from typing import Any

from simulation.answer_consistency import can_never_run, is_over_limit, lacks_field
from simulation.deployment import MACHINE_TYPES, ZONES
from simulation.event_loop import now
from simulation.machines import Machine, Task
from simulation.shared_state import SharedState

# Where the store keeps the records of jobs.
_JOB_PREFIX = "s/j/"


def check_machines(shared: SharedState) -> None:
    """Check the rules about everything that is on a machine."""
    tasks = [task for _, task in shared.present()]
    check_cancelled_work_is_gone(shared, tasks)
    check_quota(shared, tasks)


def check_cancelled_work_is_gone(shared: SharedState, tasks: list[Task]) -> None:
    """Rule `ran_cancelled`.

    A task is on a machine, or starts, more than `cancel_s` after its user was told that the job
    is cancelled.  The same holds for jobs that depend on a cancelled one.
    """
    for task in tasks:
        job_id = task.spec["id"]
        for name in (job_id, *shared.needed(job_id)):
            answered_at = shared.cancelled_at.get(name)
            if answered_at is not None and now() - answered_at > shared.cancel_s:
                shared.record_violation("ran_cancelled", task.name)


def check_quota(shared: SharedState, tasks: list[Task]) -> None:
    """Rule `quota`: the tasks of a team use more than its limit."""
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
    """Check the rules about a task that is about to start on a machine."""
    check_runs_once(shared, machine, task)
    check_dependencies_are_done(shared, task)
    check_place(shared, machine, task)


def check_runs_once(shared: SharedState, machine: Machine, task: Task) -> None:
    """Rule `ran_twice`: a task starts on one machine while it is on another."""
    for other, there in shared.present():
        if there.name == task.name and there is not task:
            detail = f"{task.name} on {machine.name} and {other.name}"
            shared.record_violation("ran_twice", detail)


def check_dependencies_are_done(shared: SharedState, task: Task) -> None:
    """Rule `too_early`: a task starts before a job that its job depends on is done."""
    for name in task.spec.get("awaits") or ():
        if not shared.is_done(name):
            shared.record_violation("too_early", f"{task.name} before {name}")


def check_place(shared: SharedState, machine: Machine, task: Task) -> None:
    """Rule `wrong_place`.

    A task starts on a type, in a zone or on a kind of machine that its job does not allow, given
    the other tasks of the job at that moment.
    """
    spec = task.spec
    others = [
        other.zone
        for other, there in shared.present()
        if there.name != task.name and there.name.startswith(spec["id"] + "/")
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
    """How often tasks of a job were started, by its stored record: each start takes an attempt."""
    return int(record["n"]) if isinstance(record, dict) else 0


def check_committed_starts(shared: SharedState, key: str, before: Any, after: Any) -> None:
    """Rule `started_cancelled`.

    From the answer that a job is cancelled on no task of the job may be started: no commit to the
    store starts one.
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
    """Rule `accepted_bad`: a submission that must get 400 or 422 is accepted."""
    if lacks_field(spec) or can_never_run(spec, MACHINE_TYPES, ZONES, shared.teams):
        shared.record_violation("accepted_bad", f"{spec['id']} can't run or lacks a field")


def check_submitted(shared: SharedState, job_id: str) -> bool:
    """Rule `invented`: a job that nobody submitted gets 200.  Whether the rule is kept."""
    if job_id in shared.specs:
        return True
    shared.record_violation("invented", job_id)
    return False


def check_answered_job(shared: SharedState, job_id: str, answered: str) -> None:
    """Rule `mixed_up`: an answer is about another job than the one that was asked for."""
    if answered != job_id:
        detail = f"{job_id} was asked for, {answered} answered"
        shared.record_violation("mixed_up", detail)


def check_cancelled_by_user(shared: SharedState, job_id: str) -> None:
    """Rule `went_back`: a job that its user did not cancel is called cancelled."""
    if not shared.is_cancelled(job_id):
        shared.record_violation("went_back", f"{job_id} was not cancelled by its user")


def check_done(shared: SharedState, job_id: str) -> None:
    """Rule `not_done`: a job is called done before all its tasks are."""
    if not shared.is_done(job_id):
        shared.record_violation("not_done", job_id)


def check_dependents_are_cancelled(shared: SharedState, job_id: str, asked: float) -> None:
    """Rule `orphaned`: a job is called live over `cancel_s` after one that it depends on ended."""
    for name in shared.needed(job_id):
        if asked - shared.cancelled_at.get(name, asked) > shared.cancel_s:
            shared.record_violation("orphaned", f"{job_id} after {name}")
