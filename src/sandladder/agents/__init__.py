"""The agents on the machines: reconciliation, heartbeats, and what their leases prove."""

from sandladder.agents.agent_service import AgentService
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.lease_renewal_guard import LeaseRenewalGuard
from sandladder.agents.reconciler import AgentSession, Reconciler
from sandladder.agents.reporting_agents import ReportingAgents

__all__ = [
    "AgentService",
    "AgentSession",
    "LeaseExpiryProof",
    "LeaseRenewalGuard",
    "Reconciler",
    "ReportingAgents",
]
