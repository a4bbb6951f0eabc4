"""Reactions to changed records: updated state, revalidated premises, commands to agents."""

import logging
from collections.abc import Iterable

from sandladder import clock
from sandladder.agents import AgentService, LeaseExpiryProof, LeaseRenewalGuard, Reconciler
from sandladder.controller.planning_loop import PlanningTriggers
from sandladder.jobs import DependencyResolver
from sandladder.membership import ControllerLease, MembershipService
from sandladder.model import HIGH
from sandladder.scheduling import ClusterView, Gate, Outcome, Resource
from sandladder.state import (
    FINISHED_JOB_PREFIX,
    INSTANCE_PREFIX,
    INVENTORY_PREFIX,
    JOB_PREFIX,
    MACHINE_TYPES_KEY,
    ROSTER_KEY,
    TEAM_PREFIX,
    StateCache,
)

log = logging.getLogger(__name__)


class ChangeHandler:
    """Handles changed records, whether the watch read them or this controller committed them."""

    def __init__(
        self,
        *,
        triggers: PlanningTriggers,
        cache: StateCache,
        lease_expiry: LeaseExpiryProof,
        renewal_guard: LeaseRenewalGuard,
        controller_lease: ControllerLease,
        membership: MembershipService,
        cluster_view: ClusterView,
        gate: Gate,
        reconciler: Reconciler,
        agent_service: AgentService,
        dependency_resolver: DependencyResolver,
    ) -> None:
        self._triggers = triggers
        self._cache = cache
        self._lease_expiry = lease_expiry
        self._renewal_guard = renewal_guard
        self._controller_lease = controller_lease
        self._membership = membership
        self._cluster_view = cluster_view
        self._gate = gate
        self._reconciler = reconciler
        self._agent_service = agent_service
        self._dependency_resolver = dependency_resolver
        # The full reads of the store whose inventories the lease expiry proof has observed.
        self._observed_resets = 0

    def read_completed(self, sent_at: float) -> None:
        """Record that the cache includes a store read sent at `sent_at` (steady clock, seconds)."""
        self._lease_expiry.record_store_read(sent_at, self._cache.revision)
        self._cache.expire_peer_cancellations(sent_at)
        self._renewal_guard.record_store_read(sent_at)

    def records_changed(self, keys: dict[str, None]) -> None:
        """Apply changes to these keys, revalidate the affected premises and send commands."""
        self._cluster_view.now = clock.now()
        self._apply_member_records(keys)
        self._apply_machine_records(keys)
        changed_machines, self._cache.changed_machines = self._cache.changed_machines, {}
        started_tasks, self._cache.started_tasks = self._cache.started_tasks, {}
        resources = [
            *self._update_machines(changed_machines),
            *self._record_starts(started_tasks),
            *self._apply_job_and_team_records(keys),
        ]
        self._revalidate(resources)
        self._send_commands(changed_machines)
        self._dependency_resolver.due.set()
        self._triggers.due.set()

    def _apply_member_records(self, keys: dict[str, None]) -> None:
        """Apply changes to the controllers' inventories and to the roster."""
        now = self._cluster_view.now
        changed_nodes = {
            key.removeprefix(INVENTORY_PREFIX) for key in keys if key.startswith(INVENTORY_PREFIX)
        }
        # A full read does not show what was written and deleted since the previous read.
        fully_read = self._cache.reset_count != self._observed_resets
        self._observed_resets = self._cache.reset_count
        if changed_nodes or fully_read:
            self._lease_expiry.observe_inventories(
                self._cache.inventories,
                now,
                self._cache.unreadable_nodes,
                None if fully_read else changed_nodes,
            )
            self._controller_lease.observe()
            self._membership.observe(now)
            self._cluster_view.record_inventories()
        if ROSTER_KEY in keys:
            self._membership.observe(now)

    def _apply_machine_records(self, keys: dict[str, None]) -> None:
        if MACHINE_TYPES_KEY in keys:
            self._cluster_view.types_changed()
        elif any(key.startswith(INSTANCE_PREFIX) for key in keys):
            self._cluster_view.instances_changed()

    def _update_machines(self, machines: Iterable[str]) -> list[Resource]:
        resources: list[Resource] = []
        for machine in machines:
            self._cluster_view.machine_changed(machine)
            resources.append(("machine", machine))
        return resources

    def _record_starts(self, started_tasks: Iterable[tuple[str, int]]) -> list[Resource]:
        resources: list[Resource] = []
        for job_id, task in started_tasks:
            resources.append(("task", f"{job_id}/{task}"))
            job = self._cache.jobs.get(job_id)
            if job is not None and task in job.live:
                self._cluster_view.note_start(job.spec, job.live[task])
        return resources

    def _apply_job_and_team_records(self, keys: Iterable[str]) -> list[Resource]:
        resources: list[Resource] = []
        for key in keys:
            if key.startswith((JOB_PREFIX, FINISHED_JOB_PREFIX)):
                job_id = key[len(JOB_PREFIX) :]
                resources.append(("job", job_id))
                self._trigger_if_urgent(job_id)
            elif key.startswith(TEAM_PREFIX):
                resources.append(("team", key[len(TEAM_PREFIX) :]))
        return resources

    def _trigger_if_urgent(self, job_id: str) -> None:
        job = self._cache.jobs.get(job_id)
        if job and job.waiting and self._cluster_view.scheduling_priority(job).priority >= HIGH:
            self._triggers.urgent.set()

    def _revalidate(self, resources: list[Resource]) -> None:
        for verdict in self._gate.revalidate(resources, self._cluster_view):
            if verdict.outcome >= Outcome.REPLAN:
                log.debug(
                    "gate verdict %s for the start of %s on %s: %s",
                    verdict.outcome.name,
                    verdict.pending_start.key,
                    verdict.pending_start.placement.machine,
                    verdict.failed_premise,
                )

    def _send_commands(self, machines: Iterable[str]) -> None:
        for machine in machines:
            agent = self._reconciler.agents.get(machine)
            if agent is not None:
                self._agent_service.send_commands(agent)
