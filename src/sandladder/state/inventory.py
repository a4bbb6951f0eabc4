"""How a controller's machine inventory is written."""

from typing import Any

from sandladder.model import MachineInventory
from sandladder.state.records import NODE, extra_key, fold_inventory, pack_inventory
from sandladder.state.transaction import Transaction


def inventory_changes(
    transaction: Transaction, node: str, inventory: MachineInventory, value_bytes: float
) -> list[tuple[str, Any]]:
    """A room summary's values under their keys, in as many parts as the store's limit asks."""
    key = NODE + node
    if transaction.is_schema_v1:
        values = pack_inventory(inventory, value_bytes)
        keys = [key, *(f"{key}/{index}" for index in range(1, len(values)))]
    else:
        values = fold_inventory(inventory, value_bytes)
        keys = [key, *(extra_key(key, index) for index in range(1, len(values)))]
    return list(zip(keys, values, strict=True))


def put_inventory(
    transaction: Transaction, node: str, changes: list[tuple[str, Any]], lease: int, most: int
) -> None:
    """Write a room summary under its writer's hold."""
    for key, value in changes:
        transaction.write(key, value, lease)
    # Parts of the first form that it no longer has; further parts of the second go with
    # the hold.
    index = len(changes) if transaction.is_schema_v1 else 1
    while transaction.cache.version(old := f"{NODE}{node}/{index}") and transaction.size < most:
        transaction.write(old, None)
        index += 1
