"""Changes of the instance records and of the machine types."""

from sandladder.model import Machine, MachineType
from sandladder.state.codecs.instances import instances_value, types_value
from sandladder.state.codecs.machine_names import machine_number
from sandladder.state.errors import PreconditionFailedError
from sandladder.state.keys import AUTOSCALER_KEY, INSTANCE_PREFIX, MACHINE_TYPES_KEY
from sandladder.state.transaction import Transaction


def put_machine_types(transaction: Transaction, types: dict[str, MachineType]) -> None:
    """Write the machine types that the cloud offers."""
    transaction.put(
        MACHINE_TYPES_KEY, types_value(types), transaction.cache.version(MACHINE_TYPES_KEY)
    )


def change_instances(
    transaction: Transaction, news: dict[str, Machine | None], chunk_size: int
) -> bool:
    """Change instance records; relies on who runs the autoscaler not changing.

    Args:
        transaction: the transaction to add to.
        news: by name, the new record of each machine; None removes it.
        chunk_size: how many machine numbers share a record.

    Returns:
        False if the records say all that already.

    Raises:
        PreconditionFailedError: an instance record cannot be read.
    """
    cache = transaction.cache
    # Several changes may share a transaction: each goes on from what the last one left.
    before = cache.instances if transaction.instances is None else transaction.instances
    news = {name: machine for name, machine in news.items() if before.get(name) != machine}
    if not news:
        return False
    instances = transaction.instances = dict(before)
    for name, machine in news.items():
        if machine is None:
            instances.pop(name, None)
        else:
            instances[name] = machine
    transaction.expected_versions[AUTOSCALER_KEY] = cache.version(AUTOSCALER_KEY)
    if any(key.startswith(INSTANCE_PREFIX) for key in cache.unreadable):
        raise PreconditionFailedError("an instance record cannot be read")
    chunks: dict[int, dict[str, Machine]] = {machine_number(n) // chunk_size: {} for n in news}
    for name, machine in instances.items():
        members = chunks.get(machine_number(name) // chunk_size)
        if members is not None:
            members[name] = machine
    for chunk, members in chunks.items():
        key = f"{INSTANCE_PREFIX}{chunk}"
        transaction.put(key, instances_value(members) if members else None, cache.version(key))
    return True
