"""How a controller writes its machine inventory under its own lease.

The inventory tells the other controllers which agents report here, and is this controller's
presence: it is attached to the lease and disappears with it.
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

# A stamp marks the parts of one writing: the fencing token, then this many bits of a counter.
_STAMP_COUNTER_BITS = 20


class AgentInventory(NamedTuple):
    """What a controller knows of the agents that report to it."""

    up_s: float  # since when this process could have answered an agent, in seconds
    machines: dict[str, MachineStatus]


class InventoryWriter:
    """Writes the inventory, in several steps if no transaction takes it as a whole."""

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
        """Write for one process of a controller.

        Args:
            node: the controller's name.
            process: distinguishes the controller's processes.
            cache: the records as this process knows them.
            committer: commits the parts that go ahead.
            limits: of the state service's transactions and values.
            fencing_token: this controller's present one.
            agents: those that report here now.
        """
        self._node = node
        self._process = process
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._fencing_token = fencing_token
        self._agents = agents
        self._stamps = 0
        # The last part of an inventory whose other parts are written already; else empty.
        self._last_part: list[tuple[str, Any]] = []

    async def write_ahead(self, lease: int) -> None:
        """Write all parts but the last of an inventory that no transaction takes as a whole.

        Waits until they are committed.  The inventory counts once `put` has written its last part;
        if that never happens, cancellation included, the former inventory counts.

        Raises:
            LeaseExpiredError: the lease has expired.
            PreconditionFailedError: a part could not be written.
        """
        self._last_part = []
        changes = self._changes(Transaction(self._cache), self._fencing_token())
        if self._cache.schema_version == SCHEMA_V1 or len(changes) < self._limits.txn_ops:
            return
        first_key = changes[0][0]
        *ahead, last = stamp_parts(first_key, [value for _, value in changes], self._next_stamp())
        for key, value in ahead:
            await self._commit_part(key, value, lease)
        self._last_part = [last]

    def put(self, transaction: Transaction, fencing_token: int, lease: int) -> None:
        """Put the inventory into a transaction, or what `write_ahead` has left of it."""
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
        """The inventory's values under their keys."""
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
