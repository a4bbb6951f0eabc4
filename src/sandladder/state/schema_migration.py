"""Migration of the records to this program's schema version, once all controllers support it.

See docs/upgrading.md.  The handling of schema version 1 can be removed once no store has records
of the previous version.
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

# Migration steps, and checks for older controllers, per agents' heartbeat interval.
_STEPS_PER_HEARTBEAT, _CHECKS_PER_HEARTBEAT = 4, 5


class ClusterMembers(Protocol):
    """The cluster membership, as the migration reads it."""

    def outdated_peers(self) -> set[str]:
        """Return the controllers that send heartbeats and support schema version 1 only."""

    def live_nodes(self) -> list[str]:
        """Return the current members."""

    def is_assigned(self, team: str) -> bool:
        """Return whether this controller schedules a team's jobs."""


class SchemaMigration:
    """Records which schema version this controller supports, and migrates when all support it."""

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
        """Create a migration; `run` performs it.

        Args:
            node: this controller.
            nodes: all controllers in the settings.
            cache: the records.
            watch: updates the cache.
            committer: commits the changes.
            limits: the store's size limits.
            members: the cluster membership.
            lease_alive: returns whether this controller's lease is certainly valid.
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
        self._step_interval_s = agent_heartbeat_s / _STEPS_PER_HEARTBEAT
        self._check_interval_s = agent_heartbeat_s / _CHECKS_PER_HEARTBEAT

    async def run(self) -> None:
        """Raise the schema version, then shorten long records and block older controllers.

        Runs until cancelled, which is safe at any time, as each step is one transaction.
        """
        raised_here = False
        while not self._watch.loaded or self._cache.schema_version < SCHEMA_V2:
            await anyio.sleep(self._step_interval_s)
            if not self._may_step():
                continue
            raised_here = True
            try:
                await self._step()
            except PreconditionFailedError as reason:
                log.debug("not raising the schema version from %d: %s", SCHEMA_V1, reason)
        if raised_here:
            log.info("migrated the records to schema version %d", self._cache.schema_version)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._shorten_records)
            tasks.start_soon(self._block_older_controllers)

    def _may_step(self) -> bool:
        return self._watch.loaded and self._lease_alive() and self._cache.schema_version < SCHEMA_V2

    async def _step(self) -> None:
        """Record the supported versions, and raise the version if all controllers support it."""
        if not self._supports_v2(self._node):
            await self._mark(self._node, SCHEMA_V2)
        for node, inventory in self._cache.inventories.items():
            if inventory.schema_version < SCHEMA_V2 and self._supports_v2(node):
                log.warning("controller %s runs an older version again", node)
                await self._mark(node, None)
        if all(self._supports_v2(node) for node in self._nodes):
            # The preconditions must be checked on records that include all earlier commits.
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
        """Keep controllers of the previous version from loading the records.

        They fail on the record of the schema version, retry, and skip it from then on unless it is
        written again.  They would misinterpret the other records.
        """
        previous: set[str] = set()
        while True:
            await anyio.sleep(self._check_interval_s)
            outdated = self._members.outdated_peers()
            if outdated - previous:
                log.error(
                    "controllers %s run a version that does not support the records",
                    sorted(outdated),
                )
            previous = outdated
            # One controller is enough to rewrite the record.
            if (
                outdated
                and self._lease_alive()
                and self._node == min(set(self._members.live_nodes()) - outdated)
            ):
                with contextlib.suppress(PreconditionFailedError):
                    await self._commit("schema version", rewrite_schema_version)

    async def _shorten_records(self) -> None:
        """Split the records that exceed the value limit, before smaller limits come into force."""
        for key in self._long_records():
            try:
                await self._commit(
                    f"shorter {key}", partial(rewrite_record, key=key), PRIORITY_BACKGROUND
                )
            except PreconditionFailedError as reason:
                log.debug("record %s was not shortened: %s", key, reason)

    def _long_records(self) -> list[str]:
        """Return the keys of this controller's records that are longer than the value limit."""
        cache, max_bytes = self._cache, self._limits.value_bytes
        keys = [
            JOB_PREFIX + job.id
            for job in cache.jobs.values()
            if self._members.is_assigned(job.spec.team)
            and _encoded_length(job_value(job)) > max_bytes
        ]
        if cache.autoscaler_node == self._node:
            keys += [
                f"{INSTANCE_PREFIX}{chunk}"
                for chunk, names in cache.instance_chunks.items()
                if _encoded_length(instances_value({name: cache.instances[name] for name in names}))
                > max_bytes
            ]
        return keys


def _encoded_length(value: object) -> int:
    """Return the encoded length of a value, in bytes."""
    return len(msgspec.json.encode(value))
