"""Which agents report to this controller, and which are redirected to another."""

import logging
import math

from sandladder import clock
from sandladder.agents.collaborators import ClusterObservations, ControllerGroup
from sandladder.agents.reconciler import Reconciler
from sandladder.config import AgentSettings
from sandladder.membership import ReportingAgent, WorkerAssignment
from sandladder.model import AgentHeartbeat

log = logging.getLogger(__name__)

# When so many agents or more reported here and none has for so many report intervals, this
# controller is cut off, not they.
_SEVERAL_AGENTS = 4
_ISOLATED_AFTER_INTERVALS = 1.3


class AgentRedirect:
    """Decides which agents should report to another controller, and counts those that stay."""

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
        self._isolated_after_s = _ISOLATED_AFTER_INTERVALS * workers.report_s
        self._assignment = WorkerAssignment(group.node, workers.report_s, workers.lease_s)
        # When an agent last reported here, and how many did then.
        self._last_heartbeat_at = math.inf
        self._last_agent_count = 0

    def target(self, heartbeat: AgentHeartbeat) -> str | None:
        """The controller that this agent should report to instead, if there is one."""
        now = clock.now()
        known = self._reconciler.agents.get(heartbeat.machine)
        reports_here = known is not None and known.last_request_at > now - self._cluster.fresh_s
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
        log.debug("agent %s is redirected to %s", heartbeat.machine, node)
        return node

    def accept(self, heartbeat: AgentHeartbeat) -> None:
        """Note that an agent reports here, and which controller it came over from."""
        self._last_heartbeat_at, self._last_agent_count = clock.now(), self.agent_count
        observation = self._cluster.observation(heartbeat.machine)
        if observation is not None and observation.reporting_controller != self._group.node:
            self._group.membership.detector.record_agent_failover(
                observation.reporting_controller, clock.now()
            )

    def recount(self, now: float) -> None:
        """Count the agents whose own heartbeats came of late."""
        since = now - self._cluster.fresh_s
        self.agent_count = sum(
            agent.last_request_at > since for agent in self._reconciler.agents.values()
        )

    def is_isolated(self, now: float) -> bool:
        """Whether no agent reaches this controller any more, of several that did.

        Seen in a measured day: the controller with the autoscaler's duty lost its connection to the
        machines, took its own isolation for their silence, and returned 136 of them.
        """
        if self._last_agent_count < _SEVERAL_AGENTS:
            return False
        if now - self._last_heartbeat_at <= self._isolated_after_s:
            return False
        return self._group.membership.agents_report_elsewhere()
