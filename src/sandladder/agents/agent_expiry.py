"""The periodic pass over all agents: expired leases, late starts, and whom to forget."""

import anyio

from sandladder.agents.agent_clients import AgentClients
from sandladder.agents.agent_redirect import AgentRedirect
from sandladder.agents.collaborators import AgentRecords, SchedulerCallbacks, StoreAccess
from sandladder.agents.constants import OUTCOME_LOST
from sandladder.config import AgentSettings
from sandladder.membership import ControllerLease
from sandladder.model import EndedAttempt

# Passes in a report interval; each revisits one of so many shares of the agents.
_PASSES_PER_INTERVAL = 6
_SHARES = 6
# An agent that is silent for so many leases is forgotten.
_FORGOTTEN_AFTER_LEASES = 4
# The state in which the records keep a machine that the cloud has taken away.
_INSTANCE_GONE = "gone"


class AgentExpiry:
    """Revisits the agents periodically, for what events may have missed."""

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
        self._interval_s = workers.report_s / _PASSES_PER_INTERVAL
        self._lease_s = workers.lease_s
        self._reconciler = agents.reconciler
        self._lease_expiry = agents.lease_expiry
        self._store = store
        self._controller_lease = controller_lease
        self._scheduler = scheduler
        self._redirect = redirect
        self._clients = clients

    async def run(self) -> None:
        """Make one pass after the other until cancelled; a pass may be cancelled at any point."""
        share = 0
        while True:
            await anyio.sleep(self._interval_s)
            now = self._scheduler.advance_time()
            if not self._store.watch.loaded:
                continue
            self._redirect.recount(now)
            share = (share + 1) % _SHARES
            await self._revisit_agents(share)
            self._scheduler.record_ended_attempts(self._lost_attempts(now))
            if share == 0:
                self._forget_silent_agents(now)
            await self._clients.close_except(self._reconciler.agents)
            self._scheduler.commit_due_ends()
            self._forget_finished_jobs()
            self._scheduler.request_planning()

    async def _revisit_agents(self, share: int) -> None:
        """Take in again what the agents of a share prove; rule out late starts at any agent."""
        cache = self._store.cache
        for number, agent in enumerate(list(self._reconciler.agents.values())):
            if number % _SHARES == share:
                self._scheduler.record_ended_attempts(self._reconciler.proved_ends(agent, cache))
            if agent.stale_start_token == self._reconciler.fencing_token and agent.accepts_token:
                # Once the agent has shown a later token it refuses the start.
                await self._controller_lease.ensure_token(self._reconciler.fencing_token + 1)

    def _forget_silent_agents(self, now: float) -> None:
        self._reconciler.forget_silent_agents(now, _FORGOTTEN_AFTER_LEASES * self._lease_s)
        self._scheduler.cluster.forget_missing()

    def _forget_finished_jobs(self) -> None:
        """Drop the machines that jobs avoid which are no longer live."""
        avoided_machines = self._scheduler.avoided_machines
        for job_id in avoided_machines.keys() - self._store.cache.jobs.keys():
            del avoided_machines[job_id]

    def _lost_attempts(self, now: float) -> list[EndedAttempt]:
        """Attempts on machines that are gone, or whose agent's lease has surely expired."""
        cache = self._store.cache
        self._lease_expiry.observe_sessions(cache.agent_epochs, now)
        found = []
        for machine in cache.agent_epochs:
            over = self._ended_sessions(machine, now)
            if not over:
                continue
            found += [
                EndedAttempt(job.id, task, attempt, OUTCOME_LOST)
                for job, task, attempt in cache.attempts_on(machine)
                if attempt.agent_epoch in over
            ]
        return found

    def _ended_sessions(self, machine: str, now: float) -> set[int]:
        """The sessions of a machine that have committed starts and are surely over."""
        cache, cluster = self._store.cache, self._scheduler.cluster
        sessions = cache.agent_epochs[machine]
        instance = cache.instances.get(machine)
        if instance is not None and instance.state == _INSTANCE_GONE:
            return set(sessions)
        observation = cluster.observation(machine)
        if observation is not None and cluster.now - observation.at < self._lease_s:
            # A later session ends what an earlier one ran.
            return {session for session in sessions if session < observation.status.agent_epoch}
        return {
            session for session in sessions if self._lease_expiry.has_expired(machine, session, now)
        }
