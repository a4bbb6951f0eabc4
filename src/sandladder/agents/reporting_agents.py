"""The agents in this controller's machine inventory."""

from collections.abc import Callable

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.reconciler import Reconciler
from sandladder.membership import AgentInventory
from sandladder.model import MachineStatus

# Maximum number of images listed per machine; the most recently used ones are listed.
_MAX_LISTED_IMAGES = 4


class ReportingAgents:
    """The agents that this controller answered recently, with the status of their machines."""

    def __init__(
        self,
        lease_expiry: LeaseExpiryProof,
        reconciler: Reconciler,
        images: Callable[[str, int], list[str]],
        advance_time: Callable[[], float],
    ) -> None:
        """Set the sources of the inventory.

        Args:
            lease_expiry: holds the answered agents and the times of the answers.
            reconciler: holds the agents' sessions.
            images: returns the images cached on a machine in an agent epoch, the most recently used
                last.
            advance_time: sets the evaluation time of the cluster view to the current time on the
                steady clock and returns it, in seconds.
        """
        self._lease_expiry = lease_expiry
        self._reconciler = reconciler
        self._images = images
        self._advance_time = advance_time

    def inventory(self) -> AgentInventory:
        """Return the current inventory."""
        now = self._advance_time()
        machines = {}
        for machine in self._lease_expiry.answered_machines():
            age_s = self._lease_expiry.answer_age_s(machine, now)
            agent = self._reconciler.agents.get(machine)
            if age_s is not None and agent is not None:
                machines[machine] = self._status(machine, agent, age_s, now)
        return AgentInventory(round(self._lease_expiry.uptime_s(now), 2), machines)

    def _status(self, machine: str, agent: AgentSession, age_s: float, now: float) -> MachineStatus:
        heartbeat, notice_at = agent.heartbeat, agent.termination_at
        return MachineStatus(
            type=heartbeat.type,
            zone=heartbeat.zone,
            spot=heartbeat.spot,
            agent_epoch=heartbeat.agent_epoch,
            age_s=round(age_s, 2),
            notice_s=None if notice_at is None else round(notice_at - now, 1),
            errors=len(agent.failed_jobs),
            images=tuple(self._images(machine, heartbeat.agent_epoch)[-_MAX_LISTED_IMAGES:]),
        )
