"""The machine inventories of all controllers, joined from their parts."""

from typing import Any

from sandladder.model import MachineInventory
from sandladder.state.codecs.inventory import part_count, read_inventory


class Inventories:
    """The latest complete inventory of each controller.

    Attributes:
        by_node: the inventories by controller.
    """

    def __init__(self) -> None:
        self.by_node: dict[str, MachineInventory] = {}
        self._parts: dict[str, dict[int, Any]] = {}

    def set_part(self, node: str, index: int, value: Any) -> None:
        """Set one part of an inventory, and join the parts if they are complete.

        A malformed part raises its decoding error.

        Args:
            node: the controller whose inventory it is.
            index: the index of the part.
            value: the part's value, or None if it was deleted.
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
        # The previous inventory stays in use until all parts of the new one have arrived.
        if all(index in parts for index in range(count)):
            inventory = read_inventory([parts[index] for index in range(count)])
            if inventory is not None:
                self.by_node[node] = inventory

    def nodes_with_record(self) -> set[str]:
        """Return the controllers whose first part exists, readable or not."""
        return {node for node, parts in self._parts.items() if 0 in parts}
