"""How the state is written down in the state service: keys, and the one coding of each record.

`docs/upgrading.md` says who reads which record and what may be added.  Pure.
"""

import base64
import re
import zlib
from typing import Any

import msgspec

from sandladder.model import (
    ARRAY,
    CANCELLED,
    DONE,
    SCHEMA_V1,
    SCHEMA_V2,
    Attempt,
    FinishedJob,
    Job,
    JobSpec,
    Machine,
    MachineInventory,
    MachineStatus,
    Ranges,
    TeamAssignment,
    TeamUsage,
)

ROOT = "s/"
JOB, FINAL, TEAM, NODE, INSTANCE = "s/j/", "s/f/", "s/t/", "s/p/", "s/v/"
TERM, RENTER, TYPES = "s/term", "s/renter", "s/types"
# What each controller said it understands; and what a record that is longer than the store's
# values holds beyond its first part.
MARK, EXTRA = "s/n/", "s/x/"
MARKS = MARK + "forms"
# Which controllers take part; written in the second form only.
MEMBERS = "s/m/"
ROSTER = MEMBERS + "roster"
# What a controller reads at its start: all but the finished jobs.
PREFIXES = (JOB, NODE, "s/r", "s/t", INSTANCE, MARK, EXTRA, MEMBERS)
SCHEMA_VERSION_KEY = JOB + "form"


class UnknownSchemaVersionError(Exception):
    """The records are of a form that this version does not understand."""


def schema_version_value(schema_version: int) -> dict[str, Any]:
    """The mark of the records' form.

    A controller of the version before takes it for a job.  It cannot read the time, says so
    with its text, and does not get past it: it would do harm with records that it half
    understands.  As it passes over a key that it failed on once, the mark is written again
    while such a controller is heard (`upgrade.SchemaMigration`), and summaries stop it as well.
    This can go once no store is left that such a version may meet.
    """
    spec = ["form", "", "", ARRAY, 0, 1, 1.0, 0.0, 0.0, "", 0.0]
    spec += [None, None, False, False, False, 0.0, 0.0, 0.0, None]
    return {"s": spec, "t": _STOP, "n": 1, "form": schema_version}


_STOP = "these records need sandladder 0.2 or later"


def read_schema_version(value: Any) -> int:
    schema_version = value.get("form") if isinstance(value, dict) else None
    if not isinstance(schema_version, int) or not SCHEMA_V1 < schema_version <= SCHEMA_V2:
        raise UnknownSchemaVersionError(
            f"the records are of the form {schema_version!r}, this version knows {SCHEMA_V2}"
        )
    return schema_version


# Folding: a value that is too long for the store becomes several that are not.

_FOLDED, _PARTS, _STAMP, _BASE = "~", "of", "r", "b"
_UNFOLDED_MOST = 4 << 20


def split_value(value: Any, most_bytes: float) -> list[Any]:
    """The values that a record is written as, the first under its own key.

    They belong together when one transaction wrote them all.
    """
    plain = msgspec.json.encode(value)
    if len(plain) <= most_bytes:
        return [value]
    text = base64.b64encode(zlib.compress(plain)).decode("ascii")
    room = max(1, int(most_bytes) - _FOLD_BYTES)
    texts = [text[at : at + room] for at in range(0, len(text), room)]
    parts: list[dict[str, Any]] = [{_FOLDED: part} for part in texts]
    parts[0][_PARTS] = len(parts)
    return parts


# What surrounds the text of a part.
_FOLD_BYTES = len(msgspec.json.encode({_FOLDED: "", _PARTS: 1000, _STAMP: 1 << 53, _BASE: 1000}))


def stamp_parts(key: str, parts: list[dict[str, Any]], stamp: int) -> list[tuple[str, Any]]:
    """The (key, value) pairs of a record that no one transaction holds, its head last.

    The further parts are written ahead, beside those that the head still names; all carry
    one stamp, so that a half-written record is never believed.
    """
    base = 1 + stamp % 2 * (_MOST_EXTRAS + 1)
    head = parts[0] | {_STAMP: stamp, _BASE: base}
    ahead = [
        (extra_key(key, base + index), part | {_STAMP: stamp})
        for index, part in enumerate(parts[1:])
    ]
    return [*ahead, (key, head)]


_MOST_EXTRAS = 999


def is_split(value: Any) -> bool:
    return isinstance(value, dict) and _FOLDED in value


def join_value(head: tuple[Any, int], extras: dict[int, tuple[Any, int]]) -> Any:
    """The record of these (value, version) parts; None when they are not of one writing."""
    value, version = head
    texts = [value[_FOLDED]]
    base = int(value.get(_BASE, 1))
    for index in range(base, base + int(value[_PARTS]) - 1):
        extra = extras.get(index)
        if extra is None:
            return None
        if _STAMP in value:
            if extra[0].get(_STAMP) != value[_STAMP]:
                return None
        elif extra[1] != version:
            return None
        texts.append(extra[0][_FOLDED])
    data = base64.b64decode("".join(texts), validate=True)
    return msgspec.json.decode(zlib.decompressobj().decompress(data, _UNFOLDED_MOST))


def extra_key(key: str, index: int) -> str:
    """The key of a further part of a record."""
    return f"{EXTRA}{key[len(ROOT) :]}/{index}"


def split_extra(key: str) -> tuple[str, int]:
    """The record that a further part belongs to, and its place."""
    name, _, index = key[len(EXTRA) :].rpartition("/")
    return ROOT + name, int(index)


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
    # Only in records of the second form: the version before would lose these.
    if job.dependencies:
        value["a"] = list(job.dependencies)
    if job.ready is not None:
        value["w"] = round(job.ready, 3)
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
    job.dependencies = tuple(value.get("a") or ())
    if not all(isinstance(name, str) for name in job.dependencies):
        raise ValueError("the jobs that it awaits are not named")
    job.ready = None if value.get("w") is None else float(value["w"])
    return job


def finished_job_value(final: FinishedJob, schema_version: int) -> list[Any]:
    """What is kept of a finished job; the time only where no reader counts the elements."""
    kept: list[Any] = [final.state, final.done]
    if schema_version > SCHEMA_V1 and final.at is not None:
        kept.append(round(final.at, 3))
    return kept


def read_finished_job(value: Any, version: int = 0, *, filed: bool = True) -> FinishedJob:
    """What is kept of a finished job; in the second form it may stand in the job's own place."""
    state, done, *more = value
    if state not in (DONE, CANCELLED):
        raise ValueError(f"a finished job is not {state!r}")
    return FinishedJob(state, int(done), float(more[0]) if more else None, version, filed)


def assignment_value(assignment: TeamAssignment) -> dict[str, Any]:
    """A team's record in the second form: who places; what the team holds, its jobs tell."""
    return {"p": assignment.node, "n": assignment.term}


def read_team(value: Any) -> TeamUsage | TeamAssignment:
    """A team's record: what it holds, or who places its jobs."""
    if isinstance(value, dict):
        return TeamAssignment(str(value["p"]), int(value["n"]))
    return TeamUsage(*(float(amount) for amount in value))


class _Part(msgspec.Struct, rename={"kinds": "k", "images": "i", "rows": "m", "odd": "x"}):
    """Machines of a summary in columns; what most machines lack stands apart."""

    kinds: list[tuple[str, str, bool]] = []
    images: list[str] = []
    # Name, kind, age in tenths of a second, then places in the table of images.
    rows: list[list[str | int]] = []
    # By place in the rows: session, notice in seconds, errors.
    odd: dict[int, tuple[int, float | None, int]] = {}


_HEAD = {
    "term": "n",
    "up_s": "u",
    "revision": "r",
    "parts": "p",
    "schema_version": "w",
    "process": "o",
}


class _Head(_Part, rename=_HEAD):
    """The first part of a summary, which says how many there are."""

    term: int = 0
    up_s: float = 0.0
    revision: int = 0
    parts: int = 1
    schema_version: int = SCHEMA_V1  # the version before says nothing of it
    process: int = 0


def _pack(part: _Part, machines: list[tuple[str, MachineStatus]], images: int) -> None:
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


def pack_inventory(inventory: MachineInventory, value_bytes: float) -> list[dict[str, Any]]:
    """The summary's values, each within the store's limit.

    Names of images are hints and go first when it gets tight; then the machines are split
    over several values, which are written together.
    """
    machines = sorted(inventory.machines.items())
    for number in range(1, len(machines) + 2):
        size = -(-len(machines) // number) if machines else 0
        for images in (4, 2, 1, 0) if number == 1 else (1, 0):
            values: list[dict[str, Any]] = []
            for index in range(number):
                part = _Part()
                if not index:
                    part = _Head([], [], [], {}, *inventory[:3], number, *inventory[4:])
                _pack(part, machines[index * size : (index + 1) * size], images)
                value = msgspec.to_builtins(part, str_keys=True)
                if index:
                    value["r"] = inventory.revision  # parts of one writing belong together
                values.append(value)
            if all(len(msgspec.json.encode(value)) <= value_bytes for value in values):
                return values
    return values


def fold_inventory(inventory: MachineInventory, value_bytes: float) -> list[Any]:
    """The summary's values in the second form: as few as they can be, then names of images."""
    machines = sorted(inventory.machines.items())
    best: list[Any] = []
    for images in (0, 1, 2, 4):
        head = _Head([], [], [], {}, *inventory[:3], 1, *inventory[4:])
        _pack(head, machines, images)
        values = split_value(msgspec.to_builtins(head, str_keys=True), value_bytes - len(_STOP))
        # The version before reads the number of parts here, and ends its reading.
        values[0]["p"] = _STOP
        if best and len(values) > len(best):
            break
        best = values
    return best


def unpack_inventory(values: list[dict[str, Any]]) -> MachineInventory | None:
    """A summary from its values, or None when they are not of one writing."""
    if isinstance(values[0].get("p"), str):
        values = [values[0] | {"p": 1}]
    head = msgspec.convert(values[0], _Head, strict=False)
    if head.parts != len(values):
        return None
    machines: dict[str, MachineStatus] = {}
    for index, value in enumerate(values):
        if value.get("r") != head.revision:
            return None
        part = head if index == 0 else msgspec.convert(value, _Part, strict=False)
        for place, (name, kind, age, *images) in enumerate(part.rows):
            session, notice_s, errors = part.odd.get(place, (1, None, 0))
            machines[long_name(name)] = MachineStatus(
                *part.kinds[int(kind)],
                session,
                int(age) / 10,
                notice_s,
                errors,
                tuple(part.images[int(image)] for image in images),
            )
    return MachineInventory(
        head.term, head.up_s, head.revision, machines, head.schema_version, head.process
    )


_FLEET_STATES = ("rented", "draining", "gone")
# What a machine takes in a fleet record: its name, kind, state and time of day.
INSTANCE_RECORD_BYTES = 32


def instances_value(instances: dict[str, Machine]) -> dict[str, Any]:
    """The record of some machines, with a table of what many have in common."""
    kinds: dict[tuple[str, str, bool], int] = {}
    rows = [
        [
            short_name(name),
            kinds.setdefault((m.type, m.zone, m.spot), len(kinds)),
            _FLEET_STATES.index(m.state),
            round(m.since),
        ]
        for name, m in sorted(instances.items())
    ]
    return {"k": [list(kind) for kind in kinds], "m": rows}


def read_instances(value: dict[str, Any]) -> dict[str, Machine]:
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
