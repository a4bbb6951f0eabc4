"""The duty that brings the records to this version's form, once all controllers understand it.

See docs/upgrading.md.  What this module does while the form is plain can go once no store is
left that the version before wrote.
"""

import contextlib
import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import anyio
import msgspec

from sandladder.model import SCHEMA_V1, SCHEMA_V2
from sandladder.protocol import wire
from sandladder.state.cache import StateCache
from sandladder.state.errors import ConflictError, PreconditionFailedError
from sandladder.state.group_commit import P_IDLE, P_USER, PendingChange
from sandladder.state.records import (
    INSTANCE,
    JOB,
    MARKS,
    NODE,
    SCHEMA_VERSION_KEY,
    TERM,
    TYPES,
    instances_value,
    job_value,
    schema_version_value,
)
from sandladder.state.store_client import StoreClient
from sandladder.state.transaction import Transaction

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)


class SchemaMigration:
    """Says what this controller understands, and raises the form when all do."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller

    async def run(self) -> None:
        """Raise the form, shorten what is too long for the limits to come, and rest."""
        c = self._c
        raised_here = False
        while not c.watch.loaded or c.cache.schema_version < SCHEMA_V2:
            await anyio.sleep(c.report_s / 4)
            if (
                not c.watch.loaded
                or not c.controller_lease.alive()
                or c.cache.schema_version >= SCHEMA_V2
            ):
                continue
            raised_here = True
            try:
                await self._step()
            except PreconditionFailedError as refusal:
                log.debug("the records stay in the plain form: %s", refusal)
        if raised_here:
            log.info("the records are of the form %d now", c.cache.schema_version)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._shorten)
            tasks.start_soon(self._bar)

    async def _bar(self) -> None:
        """Keep a controller of the version before from reading these records.

        It half understands them.  It tries again and again, and passes over what it failed on
        before unless that is written anew.
        """
        c = self._c
        backing_off: set[str] = set()
        while True:
            await anyio.sleep(c.report_s / 5)
            old = c.peers.older()
            if old - backing_off:
                log.error("%s run a version that does not know these records", sorted(old))
            backing_off = old
            # One of those that hear it is enough.
            if (
                old
                and c.controller_lease.alive()
                and c.node == min(set(c.peers.live_nodes()) - old)
            ):
                with contextlib.suppress(PreconditionFailedError):
                    await self._commit("form", again)

    async def _step(self) -> None:
        cache, node = self._c.cache, self._c.node
        if cache.marks.get(node, SCHEMA_V1) < SCHEMA_V2:
            await self._commit(
                "mark of the form",
                partial(mark_schema_version, node=node, schema_version=SCHEMA_V2),
            )
        for name, inventory in cache.nodes.items():
            if (
                inventory.schema_version < SCHEMA_V2
                and cache.marks.get(name, SCHEMA_V1) >= SCHEMA_V2
            ):
                log.warning("%s runs an older version again", name)
                await self._commit(
                    "mark of the form", partial(mark_schema_version, node=name, schema_version=None)
                )
        if all(cache.marks.get(name, SCHEMA_V1) >= SCHEMA_V2 for name in self._c.nodes):
            # Its proof rests on everything written until now.
            await self._c.watch.barrier()
            await self._commit("form", partial(raise_schema_version, nodes=self._c.nodes))

    async def _commit(
        self, name: str, apply: Callable[[Transaction], bool], priority: float = P_USER
    ) -> None:
        await self._c.committer.add(PendingChange(name, priority, 2, apply)).wait()

    async def _shorten(self) -> None:
        """Rewrite what is longer than the limits to come, while there is time."""
        c = self._c
        most = c.limits.value_bytes
        keys = [
            JOB + job.id
            for job in c.cache.jobs.values()
            if c.peers.places(job.spec.team) and _length(job_value(job)) > most
        ]
        if c.cache.autoscaler_node == c.node:
            keys += [
                f"{INSTANCE}{chunk}"
                for chunk, machines in c.cache.chunks.items()
                if _length(instances_value({m: c.cache.instances[m] for m in machines})) > most
            ]
        for key in keys:
            try:
                await self._commit(f"shorter {key}", partial(rewrite, key=key), P_IDLE)
            except PreconditionFailedError as refusal:
                log.debug("%s stays as it is: %s", key, refusal)


def again(transaction: Transaction) -> bool:
    """Write the mark of the form anew."""
    transaction.put(
        SCHEMA_VERSION_KEY,
        schema_version_value(SCHEMA_V2),
        transaction.cache.version(SCHEMA_VERSION_KEY),
    )
    return True


def _length(value: object) -> int:
    return len(msgspec.json.encode(value))


async def retire(state: StoreClient, node: str) -> str | None:
    """Say for a controller that never comes back that it does not bar the second form.

    None when that is written; otherwise why it is not.  It must not live: its summary, which
    goes with its hold, is bound to be absent.
    """
    if await state.get(NODE + node) is not None:
        return f"{node} lives: it says itself what it understands"
    found = await state.get(MARKS)
    marks, version = found or ({}, 0)
    body = wire.commit_body(
        [(NODE + node, 0), (MARKS, version)], [(MARKS, {**marks, node: SCHEMA_V2}, None)], []
    )
    try:
        await state.commit(body, 1)
    except ConflictError as rejection:
        return f"something changed meanwhile ({rejection}): try again"
    return None


def fresh(cache: StateCache) -> bool:
    """Whether nobody has ever written here: the first things written are term and types."""
    return not cache.version(TERM) and not cache.version(TYPES) and not cache.jobs


def mark_schema_version(transaction: Transaction, node: str, schema_version: int | None) -> bool:
    """Note which form of records a controller's program understands; None: not known any more."""
    marks = dict(transaction.cache.marks)
    if schema_version is None:
        marks.pop(node, None)
    else:
        marks[node] = schema_version
    if marks == transaction.cache.marks:
        return False
    transaction.put(MARKS, marks, transaction.cache.version(MARKS))
    return True


def raise_schema_version(transaction: Transaction, nodes: list[str]) -> bool:
    """Have records written in our form from now on: all controllers understand it.

    That is proved by what each of them wrote, never by silence: by its mark, and by its room
    summary if it lives.  The summaries are bound, so none can begin with an older program
    unseen; and the term moves, so that one that has just read the records must read again
    before it can enter.
    """
    cache = transaction.cache
    if cache.schema_version >= SCHEMA_V2:
        return False
    for node in nodes:
        inventory = cache.nodes.get(node)
        if cache.marks.get(node, SCHEMA_V1) < SCHEMA_V2 or node in cache.unreadable_nodes:
            raise PreconditionFailedError(f"{node} is not known to understand the form")
        if inventory is not None and inventory.schema_version < SCHEMA_V2:
            raise PreconditionFailedError(f"{node} runs an older version")
        transaction.expected_versions[NODE + node] = cache.version(NODE + node)
    transaction.expected_versions[MARKS] = cache.version(MARKS)
    transaction.put(SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2), 0)
    transaction.put(TERM, cache.term + 1, cache.version(TERM))
    return True


def rewrite(transaction: Transaction, key: str) -> bool:
    """Write a record again as it is, within the limits in force."""
    name = key.rpartition("/")[2]
    if key.startswith(JOB):
        return transaction.job(name) is not None
    if key.startswith(INSTANCE) and int(name) in transaction.cache.chunks:
        machines = {m: transaction.cache.instances[m] for m in transaction.cache.chunks[int(name)]}
        transaction.put(key, instances_value(machines), transaction.cache.version(key))
        return True
    return False
