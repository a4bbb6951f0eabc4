"""Batches of pending changes, each committed as one transaction.

Pure: no I/O, no clock.
"""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, NamedTuple

from sandladder.protocol import codec, dumps, store_messages
from sandladder.state.cache import StateCache
from sandladder.state.entries import KeyChange
from sandladder.state.errors import PreconditionFailedError
from sandladder.state.pending_change import PendingChange
from sandladder.state.refused_versions import RefusedVersions
from sandladder.state.store_limits import StoreLimits
from sandladder.state.transaction import Transaction

log = logging.getLogger(__name__)

Resolve = Callable[[PendingChange, Exception | None], None]


@dataclass(frozen=True)
class Batch:
    """A transaction, and the pending changes that it commits.

    Attributes:
        transaction: the combined transaction.
        members: the changes.
        added_keys: by member, the keys whose expected versions it added to the transaction.
    """

    transaction: Transaction
    members: list[PendingChange]
    added_keys: list[set[str]] = field(default_factory=list)

    @property
    def is_isolated(self) -> bool:
        """Whether it is that of an isolated change."""
        return self.members[0].is_isolated

    def members_of(self, keys: Iterable[str]) -> list[PendingChange]:
        """Return the members that added any of these keys."""
        failed = set(keys)
        return [
            member
            for member, added in zip(self.members, self.added_keys, strict=True)
            if added & failed
        ]

    @cached_property
    def changes(self) -> list[KeyChange]:
        """The puts and deletes of the transaction."""
        return self.transaction.changes()

    @cached_property
    def _message(self) -> dict[str, Any]:
        return store_messages.commit_message(
            self.transaction.expected_versions.items(),
            [change for change in self.changes if change.value is not None],
            [change.key for change in self.changes if change.value is None],
        )

    @cached_property
    def body(self) -> bytes:
        """The encoded request body."""
        return dumps(self._message)

    @cached_property
    def body_bytes(self) -> int:
        """The length of the request body as the store's limit counts it, in bytes."""
        return codec.counted_bytes(self._message)

    @property
    def largest_value_bytes(self) -> int:
        """The encoded length of the longest value, in bytes."""
        return max((codec.counted_bytes(c.value) for c in self.changes), default=0)

    @property
    def names(self) -> list[str]:
        """The names of the changes, for the log."""
        return [member.name for member in self.members]


class BatchBuilder:
    """Evaluates pending changes in order while they fit into one transaction."""

    def __init__(
        self,
        cache: StateCache,
        limits: StoreLimits,
        in_doubt: Mapping[str, int],
        refused: RefusedVersions,
        resolve: Resolve,
    ) -> None:
        """Create a builder.

        Args:
            cache: the records.
            limits: the store's size limits.
            in_doubt: see `Transaction.in_doubt`; read by each `build`.
            refused: a change that expects one of these versions fails instead of being sent.
            resolve: called with each change that has failed and its error, and with each change
                that needs no commit and None.
        """
        self._cache = cache
        self._limits = limits
        self._in_doubt = in_doubt
        self._refused = refused
        self._resolve = resolve

    def build(
        self,
        queue: Sequence[PendingChange],
        max_operations: int,
        now: float,
        max_members: int | None = None,
    ) -> Batch | None:
        """Build a batch in the order of the queue, or return None if no change needs a commit.

        Args:
            queue: the changes to be evaluated.
            max_operations: the maximum number of puts and deletes.  A single change may exceed it,
                up to the store's limit.
            now: the time on the steady clock, in seconds.
            max_members: the maximum number of changes to take, at least 1; None: no limit.
        """
        transaction = Transaction(self._cache, self._limits.value_bytes, self._in_doubt)
        members: list[PendingChange] = []
        added_keys: list[set[str]] = []
        for change in queue:
            if len(members) == max_members:
                break
            if members and transaction.size + change.added_to(transaction) > max_operations:
                break
            trial = self._evaluate(change, transaction, now)
            if trial is None:
                continue
            if trial.size > max_operations or trial.conditions > self._limits.conditions:
                if members:
                    break
                if trial.size > self._limits.txn_ops or trial.conditions > self._limits.conditions:
                    log.error(
                        "change %s exceeds the store's limits; it needs %d operations",
                        change.name,
                        trial.size,
                    )
                    self._resolve(change, PreconditionFailedError("exceeds the store's limits"))
                    continue
            earlier_keys = transaction.expected_versions.keys()
            added_keys.append(trial.transaction.expected_versions.keys() - earlier_keys)
            transaction = trial.transaction
            members.append(change)
            if change.is_isolated:
                break
        return Batch(transaction, members, added_keys) if members else None

    def _evaluate(
        self, change: PendingChange, transaction: Transaction, now: float
    ) -> "_Trial | None":
        """Return the transaction with a change added, or resolve the change and return None."""
        trial = transaction.copy()
        try:
            is_needed = change.apply(trial)
            # Encode the records, so that an error is attributed to the change that causes it.
            size = trial.size if is_needed else 0
        except PreconditionFailedError as reason:
            self._resolve(change, reason)
            return None
        except Exception as error:
            log.exception("failed to evaluate change %s", change.name)
            self._resolve(change, PreconditionFailedError(str(error)))
            return None
        if not is_needed:
            self._resolve(change, None)
            return None
        outdated = self._refused.refused_key(trial.expected_versions, now)
        if outdated is not None:
            # Sent again, it would conflict again and hold up all changes of the same transaction.
            log.warning(
                "change %s is not sent: the store has refused version %d of %s",
                change.name,
                trial.expected_versions[outdated],
                outdated,
            )
            self._resolve(change, PreconditionFailedError(f"an outdated version of {outdated}"))
            return None
        return _Trial(trial, size)


class _Trial(NamedTuple):
    """A transaction with one more change, and its number of puts and deletes."""

    transaction: Transaction
    size: int

    @property
    def conditions(self) -> int:
        """The number of expected versions."""
        return len(self.transaction.expected_versions)
