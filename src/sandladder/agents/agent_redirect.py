"""Assignment of agents to controllers, and detection of this controller's isolation."""

import logging
import math

from sandladder import clock
from sandladder.agents.collaborators import ClusterObservations, ControllerGroup
from sandladder.agents.reconciler import Reconciler
from sandladder.config import AgentSettings
from sandladder.membership import ReportingAgent, WorkerAssignment
from sandladder.model import AgentHeartbeat

log = logging.getLogger(__name__)

# A controller counts as isolated if at least this number of agents reported to it and then no
# heartbeat arrives for this time, while agents still report to other controllers.
_ISOLATION_MIN_AGENTS = 4
_ISOLATION_HEARTBEAT_INTERVALS = 1.3


class AgentRedirect:
    """Redirects agents to other controllers and counts the agents that report here."""

    def __init__(
        self,
        workers: AgentSettings,
        group: ControllerGroup,
        reconciler: Reconciler,
        cluster: ClusterObservations,
    ) -> None:
        self.agent_count = 0  # agents that report here
        self._group = group
        self._reconciler = reconciler
        self._cluster = cluster
        self._isolated_after_s = _ISOLATION_HEARTBEAT_INTERVALS * workers.report_s
        self._assignment = WorkerAssignment(group.node, workers.report_s, workers.lease_s)
        # Time of the last heartbeat from any agent, and the agent count at that time.
        self._last_heartbeat_at = math.inf
        self._last_agent_count = 0

    def target(self, heartbeat: AgentHeartbeat) -> str | None:
        """Return the controller that this agent should report to instead, or None."""
        now = clock.now()
        session = self._reconciler.agents.get(heartbeat.machine)
        reports_here = session is not None and session.last_request_at > now - self._cluster.fresh_s
        membership = self._group.membership
        loads = membership.worker_loads(self.agent_count, self._reconciler.fencing_token)
        stable = membership.policy.is_stable(now)
        observation = self._cluster.observation(heartbeat.machine)
        silent_s = None if observation is None else now - observation.at
        agent = ReportingAgent(
            heartbeat.machine, heartbeat.zone, heartbeat.fencing_token, reports_here, silent_s
        )
        node = self._assignment.redirect(agent, loads, now, stable)
        if node is None:
            self.agent_count += not reports_here
            return None
        self.agent_count -= reports_here
        log.debug("redirecting agent %s to controller %s", heartbeat.machine, node)
        return node

    def accept(self, heartbeat: AgentHeartbeat) -> None:
        """Record a heartbeat accepted here, and a failover from the previous controller, if any."""
        self._last_heartbeat_at, self._last_agent_count = clock.now(), self.agent_count
        observation = self._cluster.observation(heartbeat.machine)
        if observation is not None and observation.reporting_controller != self._group.node:
            self._group.membership.detector.record_agent_failover(
                observation.reporting_controller, clock.now()
            )

    def update_agent_count(self, now: float) -> None:
        """Recount the agents that recently sent a heartbeat here."""
        fresh_since = now - self._cluster.fresh_s
        self.agent_count = sum(
            agent.last_request_at > fresh_since for agent in self._reconciler.agents.values()
        )

    def is_isolated(self, now: float) -> bool:
        """Return whether heartbeats no longer arrive here but arrive at other controllers.

        Guards against an isolated controller treating its healthy machines as failed and returning
        them to the cloud.  An isolated autoscaler did so with 136 machines.
        """
        if self._last_agent_count < _ISOLATION_MIN_AGENTS:
            return False
        if now - self._last_heartbeat_at <= self._isolated_after_s:
            return False
        return self._group.membership.agents_report_elsewhere()
