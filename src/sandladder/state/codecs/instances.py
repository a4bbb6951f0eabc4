"""The records of cloud instances and machine types."""

from typing import Any

import msgspec

from sandladder.model import ACTIVE, DRAINING, GONE, Machine, MachineType
from sandladder.state.codecs.machine_names import long_name, short_name

_STATES = (ACTIVE, DRAINING, GONE)  # records hold the index
# The length of an instance's row in a record, in bytes: number, type, state and time.
INSTANCE_RECORD_BYTES = 32


def instances_value(instances: dict[str, Machine]) -> dict[str, Any]:
    """Encode instances as a record, with a table of their (type, zone, spot) combinations."""
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
    """Decode an instance record into its instances by name."""
    instances = {}
    for name, kind_index, state, since in value["m"]:
        machine_type, zone, spot = value["k"][kind_index]
        instances[long_name(name)] = Machine(machine_type, zone, spot, _STATES[state], since)
    return instances


def types_value(types: dict[str, MachineType]) -> Any:
    """Encode the machine types by name."""
    return msgspec.to_builtins(types)


def read_types(value: Any) -> dict[str, MachineType]:
    """Decode the record of the machine types; an absent record is empty."""
    return msgspec.convert(value or {}, dict[str, MachineType], strict=False)
