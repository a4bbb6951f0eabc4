"""The records of live and finished jobs."""

from typing import Any

import msgspec

from sandladder.model import (
    CANCELLED,
    DONE,
    SCHEMA_V1,
    Attempt,
    FinishedJob,
    Job,
    JobSpec,
    Ranges,
)
from sandladder.state.codecs.machine_names import long_name, short_name


def job_value(job: Job) -> dict[str, Any]:
    """Encode a live job; attempts that differ only in task and machine are grouped.

    A group of live attempts is [attempt, stop, [machine, zone, agent epoch, tasks...]...], where a
    zone is its index in a table, and tasks are ranges.
    """
    value: dict[str, Any] = {
        "s": msgspec.to_builtins(job.spec),
        "t": round(job.submitted, 3),
        "n": job.next_attempt,
    }
    if job.done.count:
        value["d"] = job.done.flat()
    if job.live:
        zones = sorted({attempt.zone for attempt in job.live.values()})
        value["z"] = zones
        value["l"] = _live_value(job, zones)
    if job.cancelled:
        value["c"] = 1
    if job.errors:
        value["e"] = job.errors
    # In schema version 2 only: a controller of the previous version would drop these fields.
    if job.dependencies:
        value["a"] = list(job.dependencies)
    if job.ready is not None:
        value["w"] = round(job.ready, 3)
    return value


def _live_value(job: Job, zones: list[str]) -> list[list[Any]]:
    """Encode the live attempts, grouped by number and stop, then by machine, zone and epoch."""
    groups: dict[tuple[int, float | None], dict[tuple[str, str, int], Ranges]] = {}
    for task, attempt in job.live.items():
        group = groups.setdefault((attempt.attempt, attempt.stop_grace_s), {})
        group.setdefault(attempt[:3], Ranges()).add(task)
    index_of = {zone: index for index, zone in enumerate(zones)}
    return [
        [
            number,
            stop,
            *(
                [short_name(machine), index_of[zone], epoch, *tasks.flat()]
                for (machine, zone, epoch), tasks in group.items()
            ),
        ]
        for (number, stop), group in groups.items()
    ]


def read_job(value: dict[str, Any], spec: JobSpec | None = None) -> Job:
    """Decode a live job's record; if its spec is given, it is not decoded again."""
    if spec is None:
        spec = msgspec.convert(value["s"], JobSpec, strict=False)
    job = Job(spec, float(value["t"]))
    job.next_attempt = int(value["n"])
    job.done = Ranges(value.get("d"))
    job.live = _read_live(value)
    job.cancelled = bool(value.get("c"))
    job.errors = int(value.get("e") or 0)
    job.dependencies = tuple(value.get("a") or ())
    if not all(isinstance(name, str) for name in job.dependencies):
        raise ValueError("the id of a dependency is not a string")
    job.ready = None if value.get("w") is None else float(value["w"])
    return job


def _read_live(value: dict[str, Any]) -> dict[int, Attempt]:
    """Decode the live attempts by task, in the order of the record."""
    live: dict[int, Attempt] = {}
    zones = value.get("z") or []
    for number, stop, *group in value.get("l") or []:
        for machine, zone_index, epoch, *tasks in group:
            attempt = Attempt(long_name(machine), zones[zone_index], epoch, number, stop)
            for first, end in zip(tasks[::2], tasks[1::2], strict=True):
                for task in range(first, end):
                    live[task] = attempt
    return live


def finished_job_value(finished: FinishedJob, schema_version: int) -> list[Any]:
    """Encode a finished job; schema version 1 has no time."""
    value: list[Any] = [finished.state, finished.done]
    if schema_version > SCHEMA_V1 and finished.at is not None:
        value.append(round(finished.at, 3))
    return value


def read_finished_job(value: Any, version: int = 0, *, archived: bool = True) -> FinishedJob:
    """Decode the record of a finished job.

    Args:
        value: the record.
        version: the version at which it was written.
        archived: False for a record that is still stored under the live job's key.
    """
    state, done, *more = value
    if state not in (DONE, CANCELLED):
        raise ValueError(f"{state!r} is not the state of a finished job")
    return FinishedJob(state, int(done), float(more[0]) if more else None, version, archived)
