"""How machine types and rented instances are written."""

import msgspec

from sandladder.model import Machine, MachineType
from sandladder.state.errors import PreconditionFailedError
from sandladder.state.records import INSTANCE, RENTER, TYPES, instances_value, machine_number
from sandladder.state.transaction import Transaction


def put_types(transaction: Transaction, types: dict[str, MachineType]) -> None:
    transaction.put(TYPES, msgspec.to_builtins(types), transaction.cache.version(TYPES))


def change_instances(
    transaction: Transaction, news: dict[str, Machine | None], chunk_size: int
) -> bool:
    """Let the renter change the fleet records, None to forget a machine.

    Binds that it still is the renter.
    """
    # Several changes may share a transaction: each goes on from what the last one left.
    before = transaction.cache.instances if transaction.instances is None else transaction.instances
    news = {m: record for m, record in news.items() if before.get(m) != record}
    if not news:
        return False
    instances = transaction.instances = dict(before)
    for machine, record in news.items():
        if record is None:
            instances.pop(machine, None)
        else:
            instances[machine] = record
    transaction.expected_versions[RENTER] = transaction.cache.version(RENTER)
    if any(key.startswith(INSTANCE) for key in transaction.cache.unreadable):
        raise PreconditionFailedError("a fleet record cannot be read")
    chunks: dict[int, dict[str, Machine]] = {machine_number(m) // chunk_size: {} for m in news}
    for machine, kept in instances.items():
        members = chunks.get(machine_number(machine) // chunk_size)
        if members is not None:
            members[machine] = kept
    for chunk, members in chunks.items():
        key = f"{INSTANCE}{chunk}"
        transaction.put(
            key, instances_value(members) if members else None, transaction.cache.version(key)
        )
    return True
