"""What follows from a heartbeat, whether an agent sent it or answered a command with it."""

from collections.abc import Callable

import anyio

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.collaborators import SchedulerCallbacks, StoreAccess
from sandladder.agents.reconciler import Reconciler
from sandladder.concurrency import BackgroundTasks
from sandladder.model import AgentHeartbeat


class HeartbeatIntake:
    """Updates the agent's session and the cluster view, and records the ends that are proved."""

    def __init__(
        self,
        lease_s: float,
        background: BackgroundTasks,
        reconciler: Reconciler,
        store: StoreAccess,
        scheduler: SchedulerCallbacks,
        send_commands: Callable[[AgentSession], None],
    ) -> None:
        """Connect it.

        Args:
            lease_s: how long an agent's lease lasts; a reading of the store that takes longer is
                given up.
            background: where those readings run.
            reconciler: knows the agents.
            store: the records that agents are reconciled with.
            scheduler: is given what the heartbeats show.
            send_commands: called once an agent may be commanded.
        """
        self._lease_s = lease_s
        self._background = background
        self._reconciler = reconciler
        self._store = store
        self._scheduler = scheduler
        self._send_commands = send_commands

    def receive(self, heartbeat: AgentHeartbeat, *, direct: bool) -> AgentSession | None:
        """Take in a heartbeat; `direct`: it came as the response to a command.

        Returns:
            The agent's session; None if a later heartbeat is known.
        """
        now = self._scheduler.advance_time()
        agent, is_new = self._reconciler.receive_heartbeat(heartbeat, now, direct=direct)
        if not is_new:
            return None
        self._scheduler.cluster.record_heartbeat(agent)
        if agent.accepts_token and not agent.synced and self._background.running:
            self._background.start_soon(self._synchronize, agent, agent.acceptance_count)
        ended = self._reconciler.proved_ends(agent, self._store.cache)
        self._scheduler.record_ended_attempts(ended)
        return agent

    async def _synchronize(self, agent: AgentSession, acceptance_count: int) -> None:
        """Command an agent only from records read after it came to accept our token.

        Cancelled, it leaves the agent without commands; its next heartbeat starts this again.
        """
        with anyio.move_on_after(self._lease_s):
            await self._store.watch.barrier()
            still_accepts = agent.accepts_token and agent.acceptance_count == acceptance_count
            if still_accepts and not agent.synced:
                agent.synced = True
                self._scheduler.cluster.machine_changed(agent.heartbeat.machine)
                self._send_commands(agent)
                self._scheduler.request_planning()
