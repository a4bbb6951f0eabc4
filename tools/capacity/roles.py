"""The load of each role at the size of `capacity.size`, computed from linear fits.

The fits are named like the recorded quantities (docs/capacity/).
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from capacity.rows import LinearFit
from capacity.size import (
    CORE_SHARE,
    HEARTBEAT_INTERVAL_S,
    MEMORY_MB,
    MIN_HEARTBEAT_INTERVAL_S,
    SIZE,
    STORE_LIMITS,
)

# Tasks of a job, and task starts committed by one write, at the site ub-enrol-fleet.
TASKS_PER_JOB = 40
STARTS_PER_WRITE = 13.0
# One for the start and one for the end.
WRITES_PER_TASK = 2
MISSING = "**missing**"


class RoleRow(NamedTuple):
    """One row of the table of roles."""

    role: str
    quantity: str
    value: float
    unit: str
    limit: str
    mechanism: str


def heartbeats_per_s() -> float:
    """Return the heartbeats of a worker per second at the peak, periodic and on change.

    A change of a task is sent at once, but at least `MIN_HEARTBEAT_INTERVAL_S` after the previous
    heartbeat.
    """
    changes = 2 * SIZE.starts_per_s / SIZE.workers
    return 1 / HEARTBEAT_INTERVAL_S + changes / (1 + changes * MIN_HEARTBEAT_INTERVAL_S)


def role_rows(fits: Mapping[str, LinearFit]) -> Iterator[RoleRow]:
    """Yield the rows of the table of roles."""
    yield from _worker(fits)
    yield from _agent_service(fits)
    yield from _scheduler(fits)
    yield from _member(fits)
    yield from _store(fits)
    yield from _start(fits)


def _worker(fits: Mapping[str, LinearFit]) -> Iterator[RoleRow]:
    tasks = SIZE.tasks_per_worker
    starts = SIZE.starts_per_s / SIZE.workers
    overhead = fits["HTTP around a report and its answer"].intercept
    heartbeat = fits["report"].value_at(tasks) + overhead
    command = fits["commands"].value_at(1) + fits["report"].value_at(tasks) + overhead
    bytes_per_s = heartbeats_per_s() * heartbeat + starts * command
    limit = f"{SIZE.worker_bytes_per_s:,.0f}"
    mechanism = "heartbeats on change at most every half second; commands sent directly"
    yield RoleRow(
        "worker, control part", "bytes a second", bytes_per_s, "bytes/s", limit, mechanism
    )
    yield RoleRow(
        "worker, control part",
        "messages a second",
        heartbeats_per_s() + starts,
        "1/s",
        "",
        mechanism,
    )


def _agent_service(fits: Mapping[str, LinearFit]) -> Iterator[RoleRow]:
    workers, tasks = SIZE.workers_per_controller, SIZE.tasks_per_worker
    heartbeats = workers * heartbeats_per_s()
    commands = SIZE.starts_per_s / SIZE.controllers
    exchange = fits["request read and answered"].value_at(fits["report"].value_at(tasks))
    read = fits["report parsed"].value_at(tasks) + fits["report answered"].value_at(tasks)
    steps = heartbeats * (exchange + read) + commands * (exchange + read)
    assignment = "workers assigned with bounded loads (membership)"
    yield RoleRow("agent service", "heartbeats", heartbeats, "1/s each", "", assignment)
    yield RoleRow("agent service", "commands sent", commands, "1/s each", "", "one for each start")
    yield _processor("agent service", "without sockets and event loop", steps, fits, assignment)


def _scheduler(fits: Mapping[str, LinearFit]) -> Iterator[RoleRow]:
    rounds_per_s = 8.0  # while urgent tasks are pending
    planned = fits["round of planning that starts 24 tasks"].value_at(SIZE.workers)
    yield _processor(
        "scheduler of teams", "eight rounds of planning a second", rounds_per_s * planned, fits,
        "machines by likeness, bounded samples",
    )  # fmt: skip
    writes = _writes_per_s()
    own = writes / SIZE.controllers
    evaluated = fits["change evaluated and written"].value_at(TASKS_PER_JOB)
    yield _processor(
        "scheduler of teams", "own changes evaluated", own * evaluated, fits, "one change a job"
    )
    read = fits["change read by another"].value_at(TASKS_PER_JOB)
    yield _processor(
        "scheduler of teams", "all others' changes read", (writes - own) * read, fits,
        "every controller reads every record",
    )  # fmt: skip


def _member(fits: Mapping[str, LinearFit]) -> Iterator[RoleRow]:
    heartbeats = 6 / HEARTBEAT_INTERVAL_S * (SIZE.controllers - 1)
    message_bytes = fits["beat"].value_at(SIZE.controllers)
    yield RoleRow(
        "member",
        "bytes of heartbeats sent",
        heartbeats * message_bytes,
        "bytes/s each",
        "",
        "full mesh",
    )
    jobs = SIZE.running_tasks / TASKS_PER_JOB
    memory_bytes = jobs * fits["a job with one live task"].slope
    memory_bytes += SIZE.running_tasks * fits["a live task of a job"].slope
    memory_bytes += SIZE.workers * fits["a worker"].slope
    yield RoleRow(
        "member",
        "memory of records and workers",
        memory_bytes / 1e6,
        "MB each",
        f"{MEMORY_MB:g}",
        "one copy each",
    )
    load_s = fits["records read at a start"].value_at(jobs) * _reference_s(fits)
    yield RoleRow(
        "member", "records read at a start", load_s, "s of processor", "3 s", "in pages of 500"
    )


def _writes_per_s() -> float:
    return WRITES_PER_TASK * SIZE.starts_per_s / STARTS_PER_WRITE


def _store(fits: Mapping[str, LinearFit]) -> Iterator[RoleRow]:
    for limits in STORE_LIMITS:
        yield RoleRow(
            "state service", f"changes for starts and ends ({limits.name})", _writes_per_s(),
            "1/s", f"{limits.writes_per_s:g}", MISSING,
        )  # fmt: skip
    record_bytes = fits["job record"].value_at(TASKS_PER_JOB)
    yield RoleRow(
        "state service",
        "bytes written for that",
        _writes_per_s() * record_bytes,
        "bytes/s",
        "",
        MISSING,
    )
    yield RoleRow(
        "state service", "team assignments read and written at a failover",
        SIZE.teams / SIZE.controllers, "records", "12 or 32 a transaction", "failover in pieces",
    )  # fmt: skip


def _start(fits: Mapping[str, LinearFit]) -> Iterator[RoleRow]:
    processor_s = SIZE.controllers * CORE_SHARE / SIZE.starts_per_s
    yield RoleRow(
        "all controllers", "processor time that a start and its end may take", 1000 * processor_s,
        "ms", "see the table of copies", MISSING,
    )  # fmt: skip


def _reference_s(fits: Mapping[str, LinearFit]) -> float:
    return fits["reference step"].intercept / 1e6


def _processor(
    role: str, quantity: str, steps: float, fits: Mapping[str, LinearFit], mechanism: str
) -> RoleRow:
    core_share = steps * _reference_s(fits)
    return RoleRow(role, quantity, core_share, "core each", f"{CORE_SHARE:g}", mechanism)
