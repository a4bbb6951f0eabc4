"""The agent service, the package's interface to the layers above."""

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
        """Create the components; nothing is sent or started yet.

        Args:
            workers: heartbeat interval and lease duration.
            connect: creates an HTTP client for an agent's address.
            background: runs the background exchanges with agents.
            agents: the agents' sessions and lease state.
            store: the cached records that agents are reconciled with.
            group: this controller, its lease and its peers.
            scheduler: receives observations and ended attempts.
        """
        clients = AgentClients(connect)
        reconciler, cluster = agents.reconciler, scheduler.cluster
        self._reconciler = reconciler
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
        """The number of agents that report to this controller."""
        return self._redirect.agent_count

    @property
    def contradicted_ends(self) -> int:
        """The number of attempts that ran although the records held them as ended."""
        return self._sender.contradictions.count

    @property
    def repeated_attempts(self) -> int:
        """The number of attempts that ran again on a machine after their exit was reported."""
        return self._reconciler.repeated_attempts

    async def handle_heartbeat(self, request: Request) -> Response:
        """Answer an agent's heartbeat; see `HeartbeatEndpoint.handle`."""
        return await self._endpoint.handle(request)

    def send_commands(self, agent: AgentSession) -> None:
        """Send an agent its pending commands, if any, in the background."""
        self._sender.send_commands(agent)

    def stop_cancelled(self, job_ids: list[str]) -> None:
        """Stop the running tasks of jobs that a peer announced as cancelled."""
        self._sender.stop_cancelled(job_ids)

    def is_isolated(self, now: float) -> bool:
        """Return whether heartbeats no longer arrive here but arrive at other controllers."""
        return self._redirect.is_isolated(now)

    async def expire_silent_agents(self) -> None:
        """Detect lost attempts and remove silent agents until cancelled; see `AgentExpiry.run`."""
        await self._expiry.run()
