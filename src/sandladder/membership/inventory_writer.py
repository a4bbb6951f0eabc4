"""The writer of a controller's machine inventory.

The inventory tells the other controllers which agents report to this one.  It is attached to the
controller's lease, so its existence shows that the lease is valid.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from sandladder.model import SCHEMA_V1, SCHEMA_V2, MachineInventory, MachineStatus
from sandladder.state import (
    PRIORITY_REQUEST,
    GroupCommitter,
    PendingChange,
    StateCache,
    StoreLimits,
    Transaction,
    inventory_changes,
    put_inventory,
    stamp_parts,
)

# A stamp identifies the parts of one write: the fencing token, followed by a counter of this width.
_STAMP_COUNTER_BITS = 20


class AgentInventory(NamedTuple):
    """The machines of the agents that report to a controller."""

    up_s: float  # for how long this process has been able to answer agents, in seconds
    machines: dict[str, MachineStatus]


class InventoryWriter:
    """Writes the inventory, in several transactions if it is too large for one."""

    def __init__(
        self,
        node: str,
        process: int,
        cache: StateCache,
        committer: GroupCommitter,
        limits: StoreLimits,
        fencing_token: Callable[[], int],
        agents: Callable[[], AgentInventory],
    ) -> None:
        """Create a writer for one process of a controller.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            cache: this process's cache of the records.
            committer: commits the parts that are written ahead.
            limits: the store's limits on transactions and values.
            fencing_token: returns this controller's current fencing token.
            agents: returns the agents that report here now.
        """
        self._node = node
        self._process = process
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._fencing_token = fencing_token
        self._agents = agents
        self._stamps = 0
        # The last part of an inventory whose other parts have been written; empty otherwise.
        self._last_part: list[tuple[str, Any]] = []

    async def write_ahead(self, lease: int) -> None:
        """Write all parts but the last of an inventory that is too large for one transaction.

        Waits until they are committed.  The new inventory takes effect when `put` writes its last
        part; until then, or after a cancellation, the previous inventory stays in effect.

        Raises:
            LeaseExpiredError: the lease has expired.
            PreconditionFailedError: a part could not be written.
        """
        self._last_part = []
        changes = self._changes(Transaction(self._cache), self._fencing_token())
        fits = len(changes) < self._limits.txn_ops and len(changes) <= self._limits.max_values
        if self._cache.schema_version == SCHEMA_V1 or fits:
            return
        first_key = changes[0][0]
        *ahead, last = stamp_parts(first_key, [value for _, value in changes], self._next_stamp())
        for key, value in ahead:
            await self._commit_part(key, value, lease)
        self._last_part = [last]

    def put(self, transaction: Transaction, fencing_token: int, lease: int) -> None:
        """Add the inventory, or the part that `write_ahead` left, to a transaction."""
        changes = self._last_part or self._changes(transaction, fencing_token)
        put_inventory(transaction, self._node, changes, lease, self._limits.txn_ops)

    def _next_stamp(self) -> int:
        self._stamps += 1
        return (self._fencing_token() << _STAMP_COUNTER_BITS) + self._stamps

    async def _commit_part(self, key: str, value: Any, lease: int) -> None:
        def apply(transaction: Transaction) -> bool:
            transaction.put_unsplit(key, value, lease)
            return True

        change = PendingChange("part of the inventory", PRIORITY_REQUEST, 1, apply, leased=True)
        await self._committer.add(change).wait()

    def _changes(self, transaction: Transaction, fencing_token: int) -> list[tuple[str, Any]]:
        """Return the inventory as keys and values."""
        agents = self._agents()
        inventory = MachineInventory(
            fencing_token,
            agents.up_s,
            self._cache.revision,
            agents.machines,
            SCHEMA_V2,
            self._process,
        )
        return inventory_changes(transaction, self._node, inventory, self._limits.value_bytes)
