"""Renewal of agent leases."""

import logging

from sandladder import clock
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.lease_renewal_guard import LeaseRenewalGuard
from sandladder.membership import ControllerLease

log = logging.getLogger(__name__)


class LeaseRenewer:
    """Renews agent leases while this controller holds its own lease and knows all cancellations."""

    def __init__(
        self,
        controller_lease: ControllerLease,
        renewal_guard: LeaseRenewalGuard,
        lease_expiry: LeaseExpiryProof,
    ) -> None:
        self._controller_lease = controller_lease
        self._renewal_guard = renewal_guard
        self._lease_expiry = lease_expiry
        self._suspended = False  # result of the latest check of the guard

    def permitted(self) -> bool:
        """Return whether this controller may renew agent leases now."""
        return self._controller_lease.alive() and not self._is_suspended()

    def renew(self, agent: AgentSession) -> bool:
        """Renew an agent's lease and return True, or return False if that is not permitted.

        The lease is counted from when the agent sent its heartbeat, so a delay of the response
        after this call, of any length, does not extend it.
        """
        now = clock.now()
        if not self._controller_lease.alive():
            return False
        if not self._renewal_guard.permits_renewal(now, agent.late_start_cancellations_known_until):
            return False
        self._lease_expiry.record_answer(agent.heartbeat.machine, now)
        return True

    def _is_suspended(self) -> bool:
        """Return whether recent cancellations may be unknown, and log a change."""
        now = clock.now()
        suspended = not self._renewal_guard.permits_renewal(now)
        if suspended != self._suspended:
            self._suspended = suspended
            if suspended:
                log.warning("agent leases are not renewed: %s", self._renewal_guard.explain(now))
            else:
                log.warning("agent leases are renewed again: %s", self._renewal_guard.explain(now))
        return suspended
