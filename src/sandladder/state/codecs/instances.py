"""The records of instances, and of the machine types that the cloud offers."""

from typing import Any

import msgspec

from sandladder.model import DRAINING, GONE, RENTED, Machine, MachineType
from sandladder.state.codecs.machine_names import long_name, short_name

# By their position in the record.
_STATES = (RENTED, DRAINING, GONE)
# What a machine takes in an instance record, in bytes: its name, type, state and time of day.
INSTANCE_RECORD_BYTES = 32


def instances_value(instances: dict[str, Machine]) -> dict[str, Any]:
    """The record of some machines, with a table of what many have in common."""
    kinds: dict[tuple[str, str, bool], int] = {}
    rows = [
        [
            short_name(name),
            kinds.setdefault((machine.type, machine.zone, machine.spot), len(kinds)),
            _STATES.index(machine.state),
            round(machine.since),
        ]
        for name, machine in sorted(instances.items())
    ]
    return {"k": [list(kind) for kind in kinds], "m": rows}


def read_instances(value: dict[str, Any]) -> dict[str, Machine]:
    """The machines of an instance record, by name."""
    found = {}
    for name, place, state, since in value["m"]:
        kind, zone, spot = value["k"][place]
        found[long_name(name)] = Machine(kind, zone, spot, _STATES[state], since)
    return found


def types_value(types: dict[str, MachineType]) -> Any:
    """The record of the machine types, by name."""
    return msgspec.to_builtins(types)


def read_types(value: Any) -> dict[str, MachineType]:
    """Read the record of the machine types; an absent one holds none."""
    return msgspec.convert(value or {}, dict[str, MachineType], strict=False)
