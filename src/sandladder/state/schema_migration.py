"""Brings the records to this program's schema version, once all controllers support it.

See docs/upgrading.md.  What this module does while the records are of schema version 1 can go once
no store is left that the version before wrote.
"""

import contextlib
import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

import anyio
import msgspec

from sandladder.model import SCHEMA_V1, SCHEMA_V2
from sandladder.state.cache import StateCache
from sandladder.state.codecs.instances import instances_value
from sandladder.state.codecs.jobs import job_value
from sandladder.state.errors import PreconditionFailedError
from sandladder.state.group_commit import GroupCommitter
from sandladder.state.keys import INSTANCE_PREFIX, JOB_PREFIX
from sandladder.state.pending_change import PRIORITY_BACKGROUND, PRIORITY_REQUEST, PendingChange
from sandladder.state.schema_changes import (
    mark_schema_version,
    raise_schema_version,
    rewrite_record,
    rewrite_schema_version,
)
from sandladder.state.store_limits import StoreLimits
from sandladder.state.transaction import Transaction
from sandladder.state.watch import StoreWatch

log = logging.getLogger(__name__)

# How many steps of the migration, and checks for older controllers, an agent's heartbeat interval
# has.
_STEPS_PER_HEARTBEAT, _CHECKS_PER_HEARTBEAT = 4, 5


class ClusterMembers(Protocol):
    """What the migration asks about the other controllers."""

    def outdated_peers(self) -> set[str]:
        """The controllers that send heartbeats and support schema version 1 only."""

    def live_nodes(self) -> list[str]:
        """The controllers that are members now."""

    def is_assigned(self, team: str) -> bool:
        """Whether this controller schedules a team's jobs."""


class SchemaMigration:
    """Records which schema version this controller supports, and raises it when all do."""

    def __init__(
        self,
        node: str,
        nodes: list[str],
        cache: StateCache,
        watch: StoreWatch,
        committer: GroupCommitter,
        limits: StoreLimits,
        members: ClusterMembers,
        lease_alive: Callable[[], bool],
        agent_heartbeat_s: float,
    ) -> None:
        """Prepare the migration; `run` performs it.

        Args:
            node: this controller.
            nodes: all controllers that the settings name.
            cache: the records.
            watch: brings the cache up to date.
            committer: commits the changes.
            limits: what the store accepts.
            members: the other controllers.
            lease_alive: whether this controller's lease is certainly valid now.
            agent_heartbeat_s: the interval of the agents' heartbeats, in seconds.
        """
        self._node = node
        self._nodes = nodes
        self._cache = cache
        self._watch = watch
        self._committer = committer
        self._limits = limits
        self._members = members
        self._lease_alive = lease_alive
        self._step_s = agent_heartbeat_s / _STEPS_PER_HEARTBEAT
        self._check_s = agent_heartbeat_s / _CHECKS_PER_HEARTBEAT

    async def run(self) -> None:
        """Raise the schema version; then shorten long records, and keep older programs out.

        Runs until cancelled.  Cancelled at any time it leaves nothing half done: each step is one
        transaction.
        """
        raised_here = False
        while not self._watch.loaded or self._cache.schema_version < SCHEMA_V2:
            await anyio.sleep(self._step_s)
            if not self._may_step():
                continue
            raised_here = True
            try:
                await self._step()
            except PreconditionFailedError as refusal:
                log.debug("the records stay at schema version %d: %s", SCHEMA_V1, refusal)
        if raised_here:
            log.info("the records are at schema version %d now", self._cache.schema_version)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._shorten_records)
            tasks.start_soon(self._block_older_controllers)

    def _may_step(self) -> bool:
        return self._watch.loaded and self._lease_alive() and self._cache.schema_version < SCHEMA_V2

    async def _step(self) -> None:
        """Record what is known to be supported, and raise the version if all support it."""
        if not self._supports_v2(self._node):
            await self._mark(self._node, SCHEMA_V2)
        for node, inventory in self._cache.inventories.items():
            if inventory.schema_version < SCHEMA_V2 and self._supports_v2(node):
                log.warning("%s runs an older version again", node)
                await self._mark(node, None)
        if all(self._supports_v2(node) for node in self._nodes):
            # The proof rests on everything written until now.
            await self._watch.barrier()
            await self._commit("schema version", partial(raise_schema_version, nodes=self._nodes))

    def _supports_v2(self, node: str) -> bool:
        return self._cache.supported_versions.get(node, SCHEMA_V1) >= SCHEMA_V2

    async def _mark(self, node: str, schema_version: int | None) -> None:
        await self._commit(
            "supported schema version",
            partial(mark_schema_version, node=node, schema_version=schema_version),
        )

    async def _commit(
        self, name: str, apply: Callable[[Transaction], bool], priority: float = PRIORITY_REQUEST
    ) -> None:
        await self._committer.add(PendingChange(name, priority, 2, apply)).wait()

    async def _block_older_controllers(self) -> None:
        """Keep a controller of the version before from reading these records.

        It half understands them.  It tries again and again, and skips what it failed on before
        unless that is written anew.
        """
        known: set[str] = set()
        while True:
            await anyio.sleep(self._check_s)
            older = self._members.outdated_peers()
            if older - known:
                log.error("%s run a version that does not support these records", sorted(older))
            known = older
            # One of the controllers that receive its heartbeats is enough.
            if (
                older
                and self._lease_alive()
                and self._node == min(set(self._members.live_nodes()) - older)
            ):
                with contextlib.suppress(PreconditionFailedError):
                    await self._commit("schema version", rewrite_schema_version)

    async def _shorten_records(self) -> None:
        """Rewrite what is longer than the limits to come, while there is time."""
        for key in self._long_records():
            try:
                await self._commit(
                    f"shorter {key}", partial(rewrite_record, key=key), PRIORITY_BACKGROUND
                )
            except PreconditionFailedError as refusal:
                log.debug("%s stays as it is: %s", key, refusal)

    def _long_records(self) -> list[str]:
        """The keys of this controller's records that are longer than a value may be."""
        cache, most = self._cache, self._limits.value_bytes
        keys = [
            JOB_PREFIX + job.id
            for job in cache.jobs.values()
            if self._members.is_assigned(job.spec.team) and _length(job_value(job)) > most
        ]
        if cache.autoscaler_node == self._node:
            keys += [
                f"{INSTANCE_PREFIX}{chunk}"
                for chunk, names in cache.instance_chunks.items()
                if _length(instances_value({name: cache.instances[name] for name in names})) > most
            ]
        return keys


def _length(value: object) -> int:
    """How long a value is, in bytes."""
    return len(msgspec.json.encode(value))
