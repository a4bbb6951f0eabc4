"""What the controller's machine inventory says of the agents that report to it."""

from collections.abc import Callable

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.reconciler import Reconciler
from sandladder.membership import AgentInventory
from sandladder.model import MachineStatus

# Images that the inventory names of each machine at the most, the latest.
_LISTED_IMAGES = 4


class ReportingAgents:
    """The agents that this controller answered of late, with what is known of their machines."""

    def __init__(
        self,
        lease_expiry: LeaseExpiryProof,
        reconciler: Reconciler,
        images: Callable[[str, int], list[str]],
        advance_time: Callable[[], float],
    ) -> None:
        """Read from the collaborators whenever asked.

        Args:
            lease_expiry: knows which agents were answered, and when.
            reconciler: knows the agents' sessions.
            images: those that a machine has in a session, the most recently used last.
            advance_time: sets the moment as of which the cluster view answers to now, on the steady
                clock, and returns it, in seconds.
        """
        self._lease_expiry = lease_expiry
        self._reconciler = reconciler
        self._images = images
        self._advance_time = advance_time

    def inventory(self) -> AgentInventory:
        """The agents as of now."""
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
            images=tuple(self._images(machine, heartbeat.agent_epoch)[-_LISTED_IMAGES:]),
        )
