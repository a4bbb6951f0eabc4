"""Processing of heartbeats, from an agent's request or its response to a command."""

import logging
from collections.abc import Callable

import anyio

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.attempt_ends import reported_ends
from sandladder.agents.collaborators import SchedulerCallbacks, StoreAccess
from sandladder.agents.reconciler import Reconciler
from sandladder.concurrency import BackgroundTasks
from sandladder.model import AgentHeartbeat

log = logging.getLogger(__name__)


class HeartbeatIntake:
    """Updates the agent's session and the cluster view, and records proved ends."""

    def __init__(
        self,
        lease_s: float,
        background: BackgroundTasks,
        reconciler: Reconciler,
        store: StoreAccess,
        scheduler: SchedulerCallbacks,
        send_commands: Callable[[AgentSession], None],
    ) -> None:
        """Set the collaborators.

        Args:
            lease_s: duration of an agent's lease, and timeout of the store read before an agent is
                sent commands.
            background: runs these store reads.
            reconciler: holds the agents' sessions.
            store: the cached records that agents are reconciled with.
            scheduler: receives observations and ended attempts.
            send_commands: called once commands may be sent to an agent.
        """
        self._lease_s = lease_s
        self._background = background
        self._reconciler = reconciler
        self._store = store
        self._scheduler = scheduler
        self._send_commands = send_commands

    def receive(self, heartbeat: AgentHeartbeat, *, direct: bool) -> AgentSession | None:
        """Process a heartbeat; `direct` marks the response to a direct command.

        Returns:
            The agent's session, or None if the heartbeat is not newer than the latest known one.
        """
        now = self._scheduler.advance_time()
        known = self._reconciler.agents.get(heartbeat.machine)
        late_start_possible = known is not None and known.unanswered_start_token is not None
        agent, is_new = self._reconciler.receive_heartbeat(heartbeat, now, direct=direct)
        if not is_new:
            if heartbeat.agent_epoch < agent.agent_epoch:
                log.info(
                    "ignoring a heartbeat of machine %s of epoch %d: it has begun epoch %d",
                    heartbeat.machine,
                    heartbeat.agent_epoch,
                    agent.agent_epoch,
                )
            return None
        self._scheduler.cluster.record_heartbeat(agent)
        if agent.accepts_token and not agent.synced and self._background.running:
            self._background.start_soon(self._synchronize, agent, agent.acceptance_count)
        ended = reported_ends(agent, self._store.cache)
        self._scheduler.record_ended_attempts(ended)
        if late_start_possible and agent.unanswered_start_token is None:
            # The answer to a stop may now prove that an attempt never started.
            self._send_commands(agent)
        return agent

    async def _synchronize(self, agent: AgentSession, acceptance_count: int) -> None:
        """Read the store and then allow commands to an agent that accepts the fencing token.

        Commands based on an earlier read could contradict starts, stops and ends that another
        controller committed before the acceptance.  If this is cancelled, the agent receives no
        commands until its next heartbeat restarts the read.
        """
        with anyio.move_on_after(self._lease_s):
            await self._store.watch.barrier()
            still_accepts = agent.accepts_token and agent.acceptance_count == acceptance_count
            if still_accepts and not agent.synced:
                agent.synced = True
                self._scheduler.cluster.machine_changed(agent.heartbeat.machine)
                self._send_commands(agent)
                self._scheduler.request_planning()
