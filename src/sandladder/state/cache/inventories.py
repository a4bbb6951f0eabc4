"""The machine inventories of all controllers, put together from their parts."""

from typing import Any

from sandladder.model import MachineInventory
from sandladder.state.codecs.inventory import part_count, read_inventory


class Inventories:
    """By controller, the latest inventory that was read as a whole."""

    def __init__(self) -> None:
        self.by_node: dict[str, MachineInventory] = {}
        self._parts: dict[str, dict[int, Any]] = {}

    def set_part(self, node: str, index: int, value: Any) -> None:
        """A part of an inventory was written; None: deleted.

        A malformed part raises whatever its decoding raises.
        """
        parts = self._parts.setdefault(node, {})
        if value is None:
            parts.pop(index, None)
        else:
            parts[index] = value
        if 0 not in parts:
            self.by_node.pop(node, None)
            return
        count = part_count(parts[0])
        # Parts arrive one after the other; until the last one the former inventory is kept.
        if all(index in parts for index in range(count)):
            inventory = read_inventory([parts[index] for index in range(count)])
            if inventory is not None:
                self.by_node[node] = inventory

    def nodes_with_record(self) -> set[str]:
        """The controllers of which there is a first part, whether it could be read or not."""
        return {node for node, parts in self._parts.items() if 0 in parts}
