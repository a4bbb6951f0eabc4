"""How the state is written down in the state service: keys, and the one coding of each record.

`docs/upgrading.md` says who reads which record and what may be added.  Pure.
"""

import re
from typing import Any

import msgspec

from sandladder.model import Attempt, Job, JobSpec, Machine, Ranges, Seen, Summary

ROOT = "s/"
JOB, FINAL, TEAM, NODE, FLEET = "s/j/", "s/f/", "s/t/", "s/p/", "s/v/"
TERM, RENTER, TYPES = "s/term", "s/renter", "s/types"
# What a controller reads at its start: all but the finished jobs.
PREFIXES = (JOB, NODE, "s/r", "s/t", FLEET)


_NUMBERED = re.compile(r"vm-([0-9]{6})", re.ASCII)


def short_name(machine: str) -> str | int:
    """A machine's name as records hold it: its number, when that tells the whole name."""
    found = _NUMBERED.fullmatch(machine)
    return int(found[1]) if found else machine


def long_name(short: str | int) -> str:
    return f"vm-{short:06d}" if isinstance(short, int) else short


def job_value(job: Job) -> dict[str, Any]:
    """The job's record: attempts that differ only in task and machine share their parts.

    What is live is written as [attempt, stop, [machine, zone, session, tasks...]...], a
    machine by its number where its name allows, and zones by their place in a table.
    """
    groups: dict[tuple[int, float | None], dict[tuple[str, str, int], Ranges]] = {}
    for task, item in job.live.items():
        batch = groups.setdefault((item.attempt, item.stop), {})
        batch.setdefault(item[:3], Ranges()).add(task)
    value: dict[str, Any] = {
        "s": msgspec.to_builtins(job.spec),
        "t": round(job.submitted, 3),
        "n": job.next_attempt,
    }
    if job.done.count:
        value["d"] = job.done.flat()
    if groups:
        zones = sorted({item.zone for item in job.live.values()})
        value["z"] = zones
        place = {zone: index for index, zone in enumerate(zones)}
        value["l"] = [
            [
                attempt,
                stop,
                *(
                    [short_name(machine), place[zone], session, *tasks.flat()]
                    for (machine, zone, session), tasks in batch.items()
                ),
            ]
            for (attempt, stop), batch in groups.items()
        ]
    if job.cancelled:
        value["c"] = 1
    if job.errors:
        value["e"] = job.errors
    return value


def load_job(value: dict[str, Any], spec: JobSpec | None = None) -> Job:
    """Read a record; a spec that is known already is not read again."""
    if spec is None:
        spec = msgspec.convert(value["s"], JobSpec, strict=False)
    job = Job(spec, float(value["t"]))
    job.next_attempt = int(value["n"])
    job.done = Ranges(value.get("d"))
    zones = value.get("z") or []
    for attempt, stop, *batch in value.get("l") or []:
        for machine, place, session, *tasks in batch:
            item = Attempt(long_name(machine), zones[place], session, attempt, stop)
            for lo, hi in zip(tasks[::2], tasks[1::2], strict=True):
                for task in range(lo, hi):
                    job.live[task] = item
    job.cancelled = bool(value.get("c"))
    job.errors = int(value.get("e") or 0)
    return job


class _Part(msgspec.Struct, rename={"kinds": "k", "images": "i", "rows": "m", "odd": "x"}):
    """Machines of a summary in columns; what most machines lack stands apart."""

    kinds: list[tuple[str, str, bool]] = []
    images: list[str] = []
    # Name, kind, age in tenths of a second, then places in the table of images.
    rows: list[list[str | int]] = []
    # By place in the rows: session, notice in seconds, errors.
    odd: dict[int, tuple[int, float | None, int]] = {}


class _Head(_Part, rename={"term": "n", "up_s": "u", "revision": "r", "parts": "p"}):
    """The first part of a summary, which says how many there are."""

    term: int = 0
    up_s: float = 0.0
    revision: int = 0
    parts: int = 1


def _pack(part: _Part, machines: list[tuple[str, Seen]], images: int) -> None:
    kinds: dict[tuple[str, str, bool], int] = {}
    names: dict[str, int] = {}
    for index, (machine, seen) in enumerate(machines):
        kind = kinds.setdefault((seen.type, seen.zone, seen.spot), len(kinds))
        # An age that is too low only makes a proof of loss later.
        row: list[str | int] = [short_name(machine), kind, int(seen.age_s * 10)]
        if images:
            row += [names.setdefault(image, len(names)) for image in seen.images[-images:]]
        part.rows.append(row)
        if seen.session != 1 or seen.notice_s is not None or seen.errors:
            part.odd[index] = (seen.session, seen.notice_s, seen.errors)
    part.kinds, part.images = list(kinds), list(names)


def pack_summary(summary: Summary, value_bytes: float) -> list[dict[str, Any]]:
    """The summary's values, each within the store's limit.

    Names of images are hints and go first when it gets tight; then the machines are split
    over several values, which are written together.
    """
    machines = sorted(summary.machines.items())
    for number in range(1, len(machines) + 2):
        size = -(-len(machines) // number) if machines else 0
        for images in (4, 2, 1, 0) if number == 1 else (1, 0):
            values: list[dict[str, Any]] = []
            for index in range(number):
                part: _Part = _Part() if index else _Head([], [], [], {}, *summary[:3], number)
                _pack(part, machines[index * size : (index + 1) * size], images)
                value = msgspec.to_builtins(part, str_keys=True)
                if index:
                    value["r"] = summary.revision  # parts of one writing belong together
                values.append(value)
            if all(len(msgspec.json.encode(value)) <= value_bytes for value in values):
                return values
    return values


def unpack_summary(values: list[dict[str, Any]]) -> Summary | None:
    """A summary from its values, or None when they are not of one writing."""
    head = msgspec.convert(values[0], _Head, strict=False)
    if head.parts != len(values):
        return None
    machines: dict[str, Seen] = {}
    for index, value in enumerate(values):
        if value.get("r") != head.revision:
            return None
        part = head if index == 0 else msgspec.convert(value, _Part, strict=False)
        for place, (name, kind, age, *images) in enumerate(part.rows):
            session, notice_s, errors = part.odd.get(place, (1, None, 0))
            machines[long_name(name)] = Seen(
                *part.kinds[int(kind)],
                session,
                int(age) / 10,
                notice_s,
                errors,
                tuple(part.images[int(image)] for image in images),
            )
    return Summary(head.term, head.up_s, head.revision, machines)


_FLEET_STATES = ("rented", "draining", "gone")
# What a machine takes in a fleet record: its name, kind, state and time of day.
FLEET_ITEM_BYTES = 32


def fleet_value(fleet: dict[str, Machine]) -> dict[str, Any]:
    """The record of some machines, with a table of what many have in common."""
    kinds: dict[tuple[str, str, bool], int] = {}
    rows = [
        [
            short_name(name),
            kinds.setdefault((m.type, m.zone, m.spot), len(kinds)),
            _FLEET_STATES.index(m.state),
            round(m.since),
        ]
        for name, m in sorted(fleet.items())
    ]
    return {"k": [list(kind) for kind in kinds], "m": rows}


def read_fleet(value: dict[str, Any]) -> dict[str, Machine]:
    """Machines from their record."""
    found = {}
    for name, place, state, since in value["m"]:
        kind, zone, spot = value["k"][place]
        found[long_name(name)] = Machine(kind, zone, spot, _FLEET_STATES[state], since)
    return found


def machine_number(machine: str) -> int:
    """What orders machines in the fleet records: the digits of their names."""
    short = short_name(machine)
    return short if isinstance(short, int) else int("".join(filter(str.isdigit, short)) or 0)
