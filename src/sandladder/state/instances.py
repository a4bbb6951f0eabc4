"""How machine types and rented instances are written."""

import msgspec

from sandladder.model.machines import Machine, MachineType
from sandladder.state.errors import Refused
from sandladder.state.records import FLEET, RENTER, TYPES, fleet_value, machine_number
from sandladder.state.transaction import View


def put_types(view: View, types: dict[str, MachineType]) -> None:
    view.put(TYPES, msgspec.to_builtins(types), view.mirror.version(TYPES))


def change_fleet(view: View, news: dict[str, Machine | None], chunk_size: int) -> bool:
    """Let the renter change the fleet records, None to forget a machine.

    Binds that it still is the renter.
    """
    # Several changes may share a transaction: each goes on from what the last one left.
    before = view.mirror.fleet if view.fleet is None else view.fleet
    news = {m: record for m, record in news.items() if before.get(m) != record}
    if not news:
        return False
    fleet = view.fleet = dict(before)
    for machine, record in news.items():
        if record is None:
            fleet.pop(machine, None)
        else:
            fleet[machine] = record
    view.guards[RENTER] = view.mirror.version(RENTER)
    if any(key.startswith(FLEET) for key in view.mirror.unreadable):
        raise Refused("a fleet record cannot be read")
    chunks: dict[int, dict[str, Machine]] = {machine_number(m) // chunk_size: {} for m in news}
    for machine, kept in fleet.items():
        members = chunks.get(machine_number(machine) // chunk_size)
        if members is not None:
            members[machine] = kept
    for chunk, members in chunks.items():
        key = f"{FLEET}{chunk}"
        view.put(key, fleet_value(members) if members else None, view.mirror.version(key))
    return True
