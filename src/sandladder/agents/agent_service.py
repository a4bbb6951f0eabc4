"""The agent service: the parts of this package joined for the layers above."""

from sandladder.agents.agent_clients import AgentClients
from sandladder.agents.agent_expiry import AgentExpiry
from sandladder.agents.agent_redirect import AgentRedirect
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.collaborators import (
    AgentRecords,
    ControllerGroup,
    SchedulerCallbacks,
    StoreAccess,
)
from sandladder.agents.command_sender import CommandSender
from sandladder.agents.heartbeat_endpoint import HeartbeatEndpoint
from sandladder.agents.heartbeat_intake import HeartbeatIntake
from sandladder.agents.lease_renewal import LeaseRenewer
from sandladder.concurrency import BackgroundTasks
from sandladder.config import AgentSettings
from sandladder.transport import HttpConnector, Request, Response


class AgentService:
    """Exchanges heartbeats and commands with the agents that report to this controller."""

    def __init__(
        self,
        workers: AgentSettings,
        connect: HttpConnector,
        background: BackgroundTasks,
        agents: AgentRecords,
        store: StoreAccess,
        group: ControllerGroup,
        scheduler: SchedulerCallbacks,
    ) -> None:
        """Make the parts; nothing is sent or started before it is asked for.

        Args:
            workers: the intervals of heartbeats and the length of leases.
            connect: makes a client for an agent's address.
            background: runs the exchanges that nobody waits for.
            agents: what is kept of the agents.
            store: the records that agents are reconciled with.
            group: this controller among the others.
            scheduler: is given observations and ends.
        """
        clients = AgentClients(connect)
        reconciler, cluster = agents.reconciler, scheduler.cluster
        lease = group.controller_lease
        self._redirect = AgentRedirect(workers, group, reconciler, cluster)
        intake = HeartbeatIntake(
            workers.lease_s, background, reconciler, store, scheduler, self.send_commands
        )
        self._sender = CommandSender(
            workers.report_s, background, clients, agents, store.cache, lease, scheduler, intake
        )
        renewer = LeaseRenewer(lease, agents.renewal_guard, agents.lease_expiry)
        self._endpoint = HeartbeatEndpoint(
            group, store, reconciler, cluster, renewer, self._redirect, intake
        )
        self._expiry = AgentExpiry(
            workers, agents, store, lease, scheduler, self._redirect, clients
        )

    @property
    def agent_count(self) -> int:
        """How many agents report to this controller."""
        return self._redirect.agent_count

    async def handle_heartbeat(self, request: Request) -> Response:
        """Answer an agent's heartbeat; see `HeartbeatEndpoint.handle`."""
        return await self._endpoint.handle(request)

    def send_commands(self, agent: AgentSession) -> None:
        """Send an agent its commands in the background, if there are any."""
        self._sender.send_commands(agent)

    def stop_cancelled(self, job_ids: list[str]) -> None:
        """Stop at once what runs of jobs that a peer names as cancelled."""
        self._sender.stop_cancelled(job_ids)

    def is_isolated(self, now: float) -> bool:
        """Whether this controller is cut off from agents that others receive heartbeats of."""
        return self._redirect.is_isolated(now)

    async def expire_silent_agents(self) -> None:
        """Look for losses and forget silent agents until cancelled; see `AgentExpiry.run`."""
        await self._expiry.run()
