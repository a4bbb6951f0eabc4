"""Periodic pass over all agents: expired leases, late starts, and removal of silent agents."""

import anyio

from sandladder.agents.agent_clients import AgentClients
from sandladder.agents.agent_redirect import AgentRedirect
from sandladder.agents.attempt_ends import LostAttempts, reported_ends
from sandladder.agents.collaborators import AgentRecords, SchedulerCallbacks, StoreAccess
from sandladder.config import AgentSettings
from sandladder.membership import ControllerLease

_PASSES_PER_HEARTBEAT_INTERVAL = 6
# Each pass reconciles one partition of the agents.
_PARTITIONS = 6
# An agent without a heartbeat for this many lease durations is removed.
_REMOVAL_AFTER_LEASES = 4


class AgentExpiry:
    """Periodically re-evaluates all agents, in case an event was missed."""

    def __init__(
        self,
        workers: AgentSettings,
        agents: AgentRecords,
        store: StoreAccess,
        controller_lease: ControllerLease,
        scheduler: SchedulerCallbacks,
        redirect: AgentRedirect,
        clients: AgentClients,
    ) -> None:
        self._interval_s = workers.report_s / _PASSES_PER_HEARTBEAT_INTERVAL
        self._lease_s = workers.lease_s
        self._reconciler = agents.reconciler
        self._lost_attempts = LostAttempts(
            store.cache, scheduler.cluster, agents.lease_expiry, workers.lease_s
        )
        self._store = store
        self._controller_lease = controller_lease
        self._scheduler = scheduler
        self._redirect = redirect
        self._clients = clients
        self._acquiring_token = False

    async def run(self) -> None:
        """Run passes until cancelled; a pass may be cancelled at any point."""
        partition = 0
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._interval_s)
                if not self._store.watch.loaded:
                    continue
                if not self._acquiring_token and self._late_start_possible():
                    # Waits for the store, so it is not part of a pass.
                    self._acquiring_token = True
                    tasks.start_soon(self._rule_out_late_starts)
                partition = (partition + 1) % _PARTITIONS
                self._run_pass(partition)
                await self._clients.close_except(self._reconciler.agents)

    def _run_pass(self, partition: int) -> None:
        """Run one pass; as it awaits nothing, its time is not older than the records that it uses.

        With an older time, an agent epoch that began in between would count as begun before, and an
        inventory without the machine as proof that its lease has expired.
        """
        now = self._scheduler.advance_time()
        self._redirect.update_agent_count(now)
        self._reconcile_partition(partition)
        self._scheduler.record_ended_attempts(self._lost_attempts.find(now))
        if partition == 0:
            self._remove_silent_agents(now)
        self._scheduler.commit_due_ends()
        self._prune_avoided_machines()
        self._scheduler.request_planning()

    def _reconcile_partition(self, partition: int) -> None:
        """Record the ends proved by a partition's agents."""
        cache = self._store.cache
        for number, agent in enumerate(list(self._reconciler.agents.values())):
            if number % _PARTITIONS == partition:
                self._scheduler.record_ended_attempts(reported_ends(agent, cache))

    def _late_start_possible(self) -> bool:
        """Return whether an agent may receive an unanswered start under the current token."""
        token = self._reconciler.fencing_token
        return any(
            agent.accepts_token and agent.unanswered_start_token == token
            for agent in self._reconciler.agents.values()
        )

    async def _rule_out_late_starts(self) -> None:
        """Acquire a later fencing token; agents that accept it reject late starts."""
        try:
            await self._controller_lease.ensure_token(self._reconciler.fencing_token + 1)
        finally:
            self._acquiring_token = False

    def _remove_silent_agents(self, now: float) -> None:
        self._reconciler.remove_silent_agents(now, _REMOVAL_AFTER_LEASES * self._lease_s)
        self._scheduler.cluster.forget_missing()

    def _prune_avoided_machines(self) -> None:
        """Remove the avoided machines of jobs that are no longer live."""
        avoided_machines = self._scheduler.avoided_machines
        for job_id in avoided_machines.keys() - self._store.cache.jobs.keys():
            del avoided_machines[job_id]
