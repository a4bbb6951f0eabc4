"""The records of a controller's machine inventory.

In schema version 1 an inventory that exceeds one value is written in several parts, each with some
of the machines; in version 2 it is one record, compressed and split.
"""

from typing import Any

import msgspec

from sandladder.model import SCHEMA_V1, MachineInventory, MachineStatus
from sandladder.state.codecs.machine_names import long_name, short_name
from sandladder.state.codecs.schema import UPGRADE_REQUIRED
from sandladder.state.codecs.split_values import split_value

_AGE_STEPS_PER_S = 10  # ages are written in tenths of a second
# Image names per machine, in the order in which they are tried.  Image names are hints, which are
# omitted first if the record is too long.
_IMAGES_IN_ONE_VALUE = (4, 2, 1, 0)
_IMAGES_IN_PARTS = (1, 0)
_IMAGES_IN_SPLIT_VALUE = (0, 1, 2, 4)


class _Part(msgspec.Struct, rename={"kinds": "k", "images": "i", "rows": "m", "exceptions": "x"}):
    """One part of an inventory: a row for each machine, and tables of repeated values.

    Attributes:
        kinds: the (type, zone, spot) combinations.
        images: the image names.
        rows: for each machine its name, the index of its kind, its age, and its images' indices.
        exceptions: by row index, the agent epoch, preemption notice in seconds and error count of a
            machine that does not have the usual values.
    """

    kinds: list[tuple[str, str, bool]] = []
    images: list[str] = []
    rows: list[list[str | int]] = []
    exceptions: dict[int, tuple[int, float | None, int]] = {}


_HEAD_KEYS = {
    "fencing_token": "n",
    "up_s": "u",
    "revision": "r",
    "part_count": "p",
    "schema_version": "w",
    "process": "o",
}


class _Head(_Part, rename=_HEAD_KEYS):
    """The first part of an inventory, which includes the number of parts."""

    fencing_token: int = 0
    up_s: float = 0.0
    revision: int = 0
    part_count: int = 1
    schema_version: int = SCHEMA_V1  # absent in records of the previous version
    process: int = 0


def _head(inventory: MachineInventory, part_count: int) -> _Head:
    """Return a first part without machines."""
    return _Head([], [], [], {}, *inventory[:3], part_count, *inventory[4:])


def _add_machines(part: _Part, machines: list[tuple[str, MachineStatus]], images: int) -> None:
    """Add machines to an empty part, each with at most `images` of its latest images."""
    kinds: dict[tuple[str, str, bool], int] = {}
    image_index: dict[str, int] = {}
    for index, (machine, status) in enumerate(machines):
        kind = kinds.setdefault((status.type, status.zone, status.spot), len(kinds))
        # Ages are rounded down: too low an age only delays the detection of lease expiry.
        row: list[str | int] = [short_name(machine), kind, int(status.age_s * _AGE_STEPS_PER_S)]
        if images:
            row += [
                image_index.setdefault(image, len(image_index)) for image in status.images[-images:]
            ]
        part.rows.append(row)
        if status.agent_epoch != 1 or status.notice_s is not None or status.errors:
            part.exceptions[index] = (status.agent_epoch, status.notice_s, status.errors)
    part.kinds, part.images = list(kinds), list(image_index)


def inventory_values_v1(inventory: MachineInventory, value_bytes: float) -> list[dict[str, Any]]:
    """Encode an inventory in schema version 1, as values of at most `value_bytes` each.

    If space is short, image names are omitted first; then the machines are split over several
    values, which must be written in one transaction.
    """
    machines = sorted(inventory.machines.items())
    for part_count in range(1, len(machines) + 2):
        for images in _IMAGES_IN_ONE_VALUE if part_count == 1 else _IMAGES_IN_PARTS:
            values = _part_values(inventory, machines, part_count, images)
            if all(len(msgspec.json.encode(value)) <= value_bytes for value in values):
                return values
    return values


def _part_values(
    inventory: MachineInventory,
    machines: list[tuple[str, MachineStatus]],
    part_count: int,
    images: int,
) -> list[dict[str, Any]]:
    """Encode an inventory in `part_count` parts, regardless of their length."""
    size = -(-len(machines) // part_count) if machines else 0
    values: list[dict[str, Any]] = []
    for index in range(part_count):
        part = _Part() if index else _head(inventory, part_count)
        _add_machines(part, machines[index * size : (index + 1) * size], images)
        value = msgspec.to_builtins(part, str_keys=True)
        if index:
            value["r"] = inventory.revision  # identifies the parts of one inventory
        values.append(value)
    return values


def inventory_values_v2(inventory: MachineInventory, value_bytes: float) -> list[Any]:
    """Encode an inventory in schema version 2, with the fewest values, then the most images."""
    machines = sorted(inventory.machines.items())
    best: list[Any] = []
    for images in _IMAGES_IN_SPLIT_VALUE:
        head = _head(inventory, 1)
        _add_machines(head, machines, images)
        values = split_value(
            msgspec.to_builtins(head, str_keys=True), value_bytes - len(UPGRADE_REQUIRED)
        )
        # A controller of the previous version decodes this as the number of parts, and fails.
        values[0]["p"] = UPGRADE_REQUIRED
        if best and len(values) > len(best):
            break
        best = values
    return best


def part_count(head: dict[str, Any]) -> int:
    """Return the number of an inventory's values, as stated by the first."""
    count = head.get("p", 1)
    return count if isinstance(count, int) else 1


def read_inventory(values: list[dict[str, Any]]) -> MachineInventory | None:
    """Decode an inventory, or return None if the values are not of one inventory."""
    if isinstance(values[0].get("p"), str):
        values = [values[0] | {"p": 1}]
    head = msgspec.convert(values[0], _Head, strict=False)
    if head.part_count != len(values):
        return None
    machines: dict[str, MachineStatus] = {}
    for index, value in enumerate(values):
        if value.get("r") != head.revision:
            return None
        machines |= _machines(msgspec.convert(value, _Part, strict=False) if index else head)
    return MachineInventory(
        head.fencing_token, head.up_s, head.revision, machines, head.schema_version, head.process
    )


def _machines(part: _Part) -> dict[str, MachineStatus]:
    """Return the machines of one part by name."""
    machines: dict[str, MachineStatus] = {}
    for index, (name, kind, age, *images) in enumerate(part.rows):
        epoch, notice_s, errors = part.exceptions.get(index, (1, None, 0))
        machines[long_name(name)] = MachineStatus(
            *part.kinds[int(kind)],
            epoch,
            int(age) / _AGE_STEPS_PER_S,
            notice_s,
            errors,
            tuple(part.images[int(image)] for image in images),
        )
    return machines
