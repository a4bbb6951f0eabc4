"""Pending changes gathered into one transaction.

Pure: no I/O, no clock.
"""

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

import msgspec

from sandladder.protocol import store_messages
from sandladder.state.cache import StateCache
from sandladder.state.entries import KeyChange
from sandladder.state.errors import PreconditionFailedError
from sandladder.state.pending_change import PendingChange
from sandladder.state.store_limits import StoreLimits
from sandladder.state.transaction import Transaction

log = logging.getLogger(__name__)

Resolve = Callable[[PendingChange, Exception | None], None]


@dataclass(frozen=True)
class Batch:
    """A transaction to be sent, and the pending changes that it commits."""

    transaction: Transaction
    members: list[PendingChange]

    @cached_property
    def changes(self) -> list[KeyChange]:
        """Its puts and deletes."""
        return self.transaction.changes()

    @cached_property
    def body(self) -> bytes:
        """The encoded request."""
        return store_messages.commit_body(
            self.transaction.expected_versions.items(),
            [change for change in self.changes if change.value is not None],
            [change.key for change in self.changes if change.value is None],
        )

    @property
    def largest_value_bytes(self) -> int:
        """The length of its longest value."""
        return max((len(msgspec.json.encode(c.value)) for c in self.changes), default=0)

    @property
    def names(self) -> list[str]:
        """The names of its members, for the log."""
        return [member.name for member in self.members]


class BatchBuilder:
    """Evaluates pending changes one after the other while they fit into one transaction."""

    def __init__(
        self,
        cache: StateCache,
        limits: StoreLimits,
        in_doubt: Mapping[str, int],
        resolve: Resolve,
    ) -> None:
        """Prepare the builder.

        Args:
            cache: the records.
            limits: what the store accepts.
            in_doubt: see `Transaction.in_doubt`; read each time.
            resolve: called with each change that needs no commit, and the error with which it is
                given up, if any.
        """
        self._cache = cache
        self._limits = limits
        self._in_doubt = in_doubt
        self._resolve = resolve

    def build(
        self, queue: Sequence[PendingChange], most: int, *, single: bool = False
    ) -> Batch | None:
        """Gather changes in the order of the queue; None if none is to be committed.

        Args:
            queue: the changes to be tried.
            most: how many puts and deletes the transaction may come to.  One change alone may
                exceed this, up to the store's limit.
            single: take one change only.
        """
        transaction = Transaction(self._cache, self._limits.value_bytes, self._in_doubt)
        members: list[PendingChange] = []
        for change in queue:
            if members and (single or transaction.size + change.added_to(transaction) > most):
                break
            trial = self._evaluate(change, transaction)
            if trial is None:
                continue
            if trial.size > most or trial.conditions > self._limits.conditions:
                if members:
                    break
                if trial.size > self._limits.txn_ops or trial.conditions > self._limits.conditions:
                    log.error(
                        "the change %s needs %d operations, too many for the store",
                        change.name,
                        trial.size,
                    )
                    self._resolve(change, PreconditionFailedError("too large for the store"))
                    continue
            transaction = trial.transaction
            members.append(change)
        return Batch(transaction, members) if members else None

    def _evaluate(self, change: PendingChange, transaction: Transaction) -> "_Trial | None":
        """The transaction with a change added, or None after resolving the change."""
        trial = transaction.copy()
        try:
            useful = change.apply(trial)
            # A record that cannot be encoded fails here, with the change that made it.
            size = trial.size if useful else 0
        except PreconditionFailedError as refusal:
            self._resolve(change, refusal)
            return None
        except Exception as error:
            log.exception("the change %s cannot be evaluated", change.name)
            self._resolve(change, PreconditionFailedError(str(error)))
            return None
        if not useful:
            self._resolve(change, None)
            return None
        return _Trial(trial, size)


class _Trial(NamedTuple):
    """A transaction with one change more, and how many puts and deletes it is."""

    transaction: Transaction
    size: int

    @property
    def conditions(self) -> int:
        """How many versions it expects."""
        return len(self.transaction.expected_versions)
