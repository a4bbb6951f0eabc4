"""The records of a controller's machine inventory.

In schema version 1 an inventory that is too long for one value is written in several parts, each of
which holds some of the machines; in version 2 it is one record, compressed and split.
"""

from typing import Any

import msgspec

from sandladder.model import SCHEMA_V1, MachineInventory, MachineStatus
from sandladder.state.codecs.machine_names import long_name, short_name
from sandladder.state.codecs.schema import UPGRADE_REQUIRED
from sandladder.state.codecs.split_values import split_value

_AGE_STEPS_PER_S = 10  # ages are written in tenths of a second
# How many image names a machine may have in the record: image names are hints, so they go first
# when space is short.
_IMAGES_IN_ONE_VALUE = (4, 2, 1, 0)
_IMAGES_IN_PARTS = (1, 0)
_IMAGES_IN_SPLIT_VALUE = (0, 1, 2, 4)


class _Part(msgspec.Struct, rename={"kinds": "k", "images": "i", "rows": "m", "exceptions": "x"}):
    """Machines of an inventory in columns; what most machines lack stands apart."""

    kinds: list[tuple[str, str, bool]] = []
    images: list[str] = []
    # Name, index of the kind, age, then indices of images.
    rows: list[list[str | int]] = []
    # By index of the row: agent epoch, preemption notice in seconds, errors.
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
    """The first part of an inventory, which says how many there are."""

    fencing_token: int = 0
    up_s: float = 0.0
    revision: int = 0
    part_count: int = 1
    schema_version: int = SCHEMA_V1  # the version before says nothing of it
    process: int = 0


def _head(inventory: MachineInventory, part_count: int) -> _Head:
    """A first part without machines."""
    return _Head([], [], [], {}, *inventory[:3], part_count, *inventory[4:])


def _add_machines(part: _Part, machines: list[tuple[str, MachineStatus]], images: int) -> None:
    """Add machines to an empty part, each with as many of its latest images."""
    kinds: dict[tuple[str, str, bool], int] = {}
    image_index: dict[str, int] = {}
    for index, (machine, status) in enumerate(machines):
        kind = kinds.setdefault((status.type, status.zone, status.spot), len(kinds))
        # An age that is too low only makes a proof of lease expiry later.
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
    """The inventory's values in schema version 1, each at most `value_bytes` long.

    Names of images go first when space is short; then the machines are split over several values,
    which are to be written together.
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
    """The values of an inventory in so many parts, however long they are."""
    size = -(-len(machines) // part_count) if machines else 0
    values: list[dict[str, Any]] = []
    for index in range(part_count):
        part = _Part() if index else _head(inventory, part_count)
        _add_machines(part, machines[index * size : (index + 1) * size], images)
        value = msgspec.to_builtins(part, str_keys=True)
        if index:
            value["r"] = inventory.revision  # tells parts that were written together
        values.append(value)
    return values


def inventory_values_v2(inventory: MachineInventory, value_bytes: float) -> list[Any]:
    """The inventory's values in schema version 2: as few as possible, then names of images."""
    machines = sorted(inventory.machines.items())
    best: list[Any] = []
    for images in _IMAGES_IN_SPLIT_VALUE:
        head = _head(inventory, 1)
        _add_machines(head, machines, images)
        values = split_value(
            msgspec.to_builtins(head, str_keys=True), value_bytes - len(UPGRADE_REQUIRED)
        )
        # The version before reads the number of parts here, and fails.
        values[0]["p"] = UPGRADE_REQUIRED
        if best and len(values) > len(best):
            break
        best = values
    return best


def part_count(head: dict[str, Any]) -> int:
    """How many values an inventory has, by its first one."""
    count = head.get("p", 1)
    return count if isinstance(count, int) else 1


def read_inventory(values: list[dict[str, Any]]) -> MachineInventory | None:
    """An inventory from its values, or None if they were not written together."""
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
    """The machines of one part."""
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
