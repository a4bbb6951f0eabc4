"""What each role takes at the size of `capacity.size`, worked out from fitted slopes.

Slopes have the names of the recorded quantities (docs/capacity/).
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from capacity.rows import Slope
from capacity.size import CHANGE_S, CORE_SHARE, MEMORY_MB, REPORT_S, SIZE, STATE

# What the copies of ub-enrol-fleet showed: tasks of a job, and starts that share a change.
TASKS_A_JOB = 40
STARTS_A_CHANGE = 13.0
# A start and an end of a task are each written once.
WRITTEN_PER_TASK = 2
MISSING = "**missing**"


class Line(NamedTuple):
    """One figure of a role."""

    role: str
    what: str
    value: float
    unit: str
    limit: str
    mechanism: str


def heartbeats_per_s() -> float:
    """Heartbeats of one worker each second at the peak: by the clock, and for changes of its tasks.

    A change is sent at once, but not within `CHANGE_S` of the heartbeat before.
    """
    changes = 2 * SIZE.starts_per_s / SIZE.workers
    return 1 / REPORT_S + changes / (1 + changes * CHANGE_S)


def role_lines(slopes: Mapping[str, Slope]) -> Iterator[Line]:
    """The lines of the table, role by role."""
    yield from _worker(slopes)
    yield from _agent_service(slopes)
    yield from _scheduler(slopes)
    yield from _member(slopes)
    yield from _store(slopes)
    yield from _start(slopes)


def _worker(slopes: Mapping[str, Slope]) -> Iterator[Line]:
    tasks = SIZE.tasks_per_worker
    starts = SIZE.starts_per_s / SIZE.workers
    around = slopes["HTTP around a report and its answer"].base
    heartbeat = slopes["report"].at(tasks) + around
    command = slopes["commands"].at(1) + slopes["report"].at(tasks) + around
    each_s = heartbeats_per_s() * heartbeat + starts * command
    limit = f"{SIZE.worker_bytes_per_s:,.0f}"
    mechanism = "heartbeats on change at most every half second; commands sent directly"
    yield Line("worker, control part", "bytes a second", each_s, "bytes/s", limit, mechanism)
    yield Line(
        "worker, control part",
        "messages a second",
        heartbeats_per_s() + starts,
        "1/s",
        "",
        mechanism,
    )


def _agent_service(slopes: Mapping[str, Slope]) -> Iterator[Line]:
    workers, tasks = SIZE.workers_per_controller, SIZE.tasks_per_worker
    heartbeats = workers * heartbeats_per_s()
    commands = SIZE.starts_per_s / SIZE.controllers
    exchange = slopes["request read and answered"].at(slopes["report"].at(tasks))
    read = slopes["report parsed"].at(tasks) + slopes["report answered"].at(tasks)
    steps = heartbeats * (exchange + read) + commands * (exchange + read)
    assignment = "workers assigned with bounded loads (membership)"
    yield Line("agent service", "heartbeats", heartbeats, "1/s each", "", assignment)
    yield Line("agent service", "commands sent", commands, "1/s each", "", "one for each start")
    yield _processor("agent service", "without sockets and event loop", steps, slopes, assignment)


def _scheduler(slopes: Mapping[str, Slope]) -> Iterator[Line]:
    rounds = 8.0  # a round each eighth of a second where urgent work waits
    planned = slopes["round of planning that starts 24 tasks"].at(SIZE.workers)
    yield _processor(
        "scheduler of teams", "eight rounds of planning a second", rounds * planned, slopes,
        "machines by likeness, bounded samples",
    )  # fmt: skip
    changes = _changes_per_s()
    own = changes / SIZE.controllers
    evaluated = slopes["change evaluated and written"].at(TASKS_A_JOB)
    yield _processor(
        "scheduler of teams", "own changes evaluated", own * evaluated, slopes, "one change a job"
    )
    read = slopes["change read by another"].at(TASKS_A_JOB)
    yield _processor(
        "scheduler of teams", "all others' changes read", (changes - own) * read, slopes,
        "every controller reads every record",
    )  # fmt: skip


def _member(slopes: Mapping[str, Slope]) -> Iterator[Line]:
    heartbeats = 6 / REPORT_S * (SIZE.controllers - 1)
    size = slopes["beat"].at(SIZE.controllers)
    yield Line(
        "member", "bytes of heartbeats sent", heartbeats * size, "bytes/s each", "", "full mesh"
    )
    jobs = SIZE.running_tasks / TASKS_A_JOB
    kept_bytes = jobs * slopes["a job with one live task"].each
    kept_bytes += SIZE.running_tasks * slopes["a live task of a job"].each
    kept_bytes += SIZE.workers * slopes["a worker"].each
    yield Line(
        "member",
        "memory of records and workers",
        kept_bytes / 1e6,
        "MB each",
        f"{MEMORY_MB:g}",
        "one copy each",
    )
    restart = slopes["records read at a start"].at(jobs) * _reference_s(slopes)
    yield Line(
        "member", "records read at a start", restart, "s of processor", "3 s", "in pages of 500"
    )


def _changes_per_s() -> float:
    return WRITTEN_PER_TASK * SIZE.starts_per_s / STARTS_A_CHANGE


def _store(slopes: Mapping[str, Slope]) -> Iterator[Line]:
    for limits in STATE:
        yield Line(
            "state service", f"changes for starts and ends ({limits.name})", _changes_per_s(),
            "1/s", f"{limits.changes_per_s:g}", MISSING,
        )  # fmt: skip
    value = slopes["job record"].at(TASKS_A_JOB)
    yield Line(
        "state service", "bytes written for that", _changes_per_s() * value, "bytes/s", "", MISSING
    )
    yield Line(
        "state service", "team assignments read and written at a failover",
        SIZE.teams / SIZE.controllers, "records", "12 or 32 a transaction", "failover in pieces",
    )  # fmt: skip


def _start(slopes: Mapping[str, Slope]) -> Iterator[Line]:
    each = SIZE.controllers * CORE_SHARE / SIZE.starts_per_s
    yield Line(
        "all controllers", "processor time that a start and its end may take", 1000 * each, "ms",
        "see the table of copies", MISSING,
    )  # fmt: skip


def _reference_s(slopes: Mapping[str, Slope]) -> float:
    return slopes["reference step"].base / 1e6


def _processor(
    role: str, what: str, steps: float, slopes: Mapping[str, Slope], mechanism: str
) -> Line:
    share = steps * _reference_s(slopes)
    return Line(role, what, share, "core each", f"{CORE_SHARE:g}", mechanism)
