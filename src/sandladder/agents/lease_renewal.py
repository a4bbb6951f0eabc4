"""Whether an agent's lease may be renewed now, and the note that it was."""

import logging

from sandladder import clock
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.lease_renewal_guard import LeaseRenewalGuard
from sandladder.membership import ControllerLease

log = logging.getLogger(__name__)


class LeaseRenewer:
    """Renews agents' leases while this controller's own lease lasts and cancellations are known."""

    def __init__(
        self,
        controller_lease: ControllerLease,
        renewal_guard: LeaseRenewalGuard,
        lease_expiry: LeaseExpiryProof,
    ) -> None:
        self._controller_lease = controller_lease
        self._renewal_guard = renewal_guard
        self._lease_expiry = lease_expiry
        self._suspended = False  # by the guard, when last asked

    def permitted(self) -> bool:
        """Whether any agent's lease may be renewed now."""
        return self._controller_lease.alive() and not self._is_suspended()

    def renew(self, agent: AgentSession) -> bool:
        """Renew an agent's lease; False if that is not permitted.

        The agent sent its heartbeat before now, and its lease counts from then: once this has
        returned True the response may be held up, or this process suspended, for as long as it
        takes.
        """
        now = clock.now()
        if not self._controller_lease.alive():
            return False
        if not self._renewal_guard.permits_renewal(now, agent.late_start_known_until):
            return False
        self._lease_expiry.record_answer(agent.heartbeat.machine, now)
        return True

    def _is_suspended(self) -> bool:
        """Whether cancellations of late may be unknown; a change is logged."""
        now = clock.now()
        suspended = not self._renewal_guard.permits_renewal(now)
        if suspended != self._suspended:
            self._suspended = suspended
            if suspended:
                log.warning("agent leases are not renewed: %s", self._renewal_guard.explain(now))
            else:
                log.warning("agent leases are renewed again: %s", self._renewal_guard.explain(now))
        return suspended
