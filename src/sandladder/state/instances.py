"""Changes to the records of instances and machine types."""

from sandladder.model import Machine, MachineType
from sandladder.state.codecs.instances import instances_value, types_value
from sandladder.state.codecs.machine_names import machine_number
from sandladder.state.errors import PreconditionFailedError
from sandladder.state.keys import AUTOSCALER_KEY, INSTANCE_PREFIX, MACHINE_TYPES_KEY
from sandladder.state.transaction import Transaction


def put_machine_types(transaction: Transaction, types: dict[str, MachineType]) -> None:
    """Write the cloud's machine types."""
    transaction.put(
        MACHINE_TYPES_KEY, types_value(types), transaction.cache.version(MACHINE_TYPES_KEY)
    )


def change_instances(
    transaction: Transaction, changes: dict[str, Machine | None], chunk_size: int
) -> bool:
    """Change instance records; the transaction conflicts if the autoscaler moves meanwhile.

    Args:
        transaction: the transaction to add to.
        changes: by name, the new record of each instance; None removes it.
        chunk_size: the number of machine numbers that share a record.

    Returns:
        False if the records are up to date.

    Raises:
        PreconditionFailedError: an instance record is unreadable.
    """
    cache = transaction.cache
    # A batch may have several changes: each starts from the result of the previous one.
    before = cache.instances if transaction.instances is None else transaction.instances
    changes = {name: machine for name, machine in changes.items() if before.get(name) != machine}
    if not changes:
        return False
    instances = transaction.instances = dict(before)
    for name, machine in changes.items():
        if machine is None:
            instances.pop(name, None)
        else:
            instances[name] = machine
    transaction.expected_versions[AUTOSCALER_KEY] = cache.version(AUTOSCALER_KEY)
    if any(key.startswith(INSTANCE_PREFIX) for key in cache.unreadable):
        raise PreconditionFailedError("an instance record is unreadable")
    chunks: dict[int, dict[str, Machine]] = {machine_number(n) // chunk_size: {} for n in changes}
    for name, machine in instances.items():
        members = chunks.get(machine_number(name) // chunk_size)
        if members is not None:
            members[name] = machine
    for chunk, members in chunks.items():
        key = f"{INSTANCE_PREFIX}{chunk}"
        transaction.put(key, instances_value(members) if members else None, cache.version(key))
    return True
