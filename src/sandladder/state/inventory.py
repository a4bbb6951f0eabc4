"""Changes to a controller's machine inventory."""

from typing import Any

from sandladder.model import MachineInventory
from sandladder.state.codecs.inventory import inventory_values_v1, inventory_values_v2
from sandladder.state.entries import KeyValue
from sandladder.state.keys import INVENTORY_PREFIX, continuation_key
from sandladder.state.transaction import Transaction


def inventory_changes(
    transaction: Transaction, node: str, inventory: MachineInventory, value_bytes: float
) -> list[tuple[str, Any]]:
    """Return the keys and values of an inventory, in as many parts as the store's limit requires.

    Args:
        transaction: provides the schema version.
        node: the controller whose inventory it is.
        inventory: the inventory.
        value_bytes: the maximum length of a value, in bytes.
    """
    key = INVENTORY_PREFIX + node
    if transaction.is_schema_v1:
        values = inventory_values_v1(inventory, value_bytes)
        keys = [key, *(f"{key}/{index}" for index in range(1, len(values)))]
    else:
        values = inventory_values_v2(inventory, value_bytes)
        keys = [key, *(continuation_key(key, index) for index in range(1, len(values)))]
    return [KeyValue(name, value) for name, value in zip(keys, values, strict=True)]


def put_inventory(
    transaction: Transaction,
    node: str,
    changes: list[tuple[str, Any]],
    lease: int,
    max_operations: int,
) -> None:
    """Write an inventory under its controller's lease, and delete parts that it no longer has.

    Args:
        transaction: the transaction to add to.
        node: the controller whose inventory it is.
        changes: the keys and values, as returned by `inventory_changes`.
        lease: the controller's lease.
        max_operations: the maximum number of puts and deletes of the transaction.
    """
    for key, value in changes:
        transaction.put_unsplit(key, value, lease)
    # Obsolete parts of schema version 1; those of version 2 expire with the lease.
    index = len(changes) if transaction.is_schema_v1 else 1
    while (
        transaction.cache.version(part_key := f"{INVENTORY_PREFIX}{node}/{index}")
        and transaction.size < max_operations
    ):
        transaction.put_unsplit(part_key, None)
        index += 1
