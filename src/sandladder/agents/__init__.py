"""Agent heartbeats, commands to agents, and agent leases.

An agent reports the tasks on its machine; the committed starts in the store define which tasks
should run there.  `Reconciler` derives commands from the difference, `attempt_ends` decides which
attempts have ended, and `AgentService` exchanges heartbeats and commands with the agents.
`LeaseRenewalGuard` decides whether an agent's lease may be renewed, `LeaseExpiryProof` whether it
has certainly expired.

The package keeps, in memory only, one `AgentSession` per agent that reports to this controller, the
HTTP clients for sending commands, and the time of the last answer to each agent.  It does not
write to the store or place tasks.  An agent's silence alone does not prove that its tasks ended;
proved ends are passed to the callbacks that commit them.
"""

from sandladder.agents.agent_service import AgentService
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.attempt_ends import reported_ends
from sandladder.agents.collaborators import (
    AgentRecords,
    ControllerGroup,
    SchedulerCallbacks,
    StoreAccess,
)
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.lease_renewal_guard import LeaseRenewalGuard
from sandladder.agents.reconciler import CommandBatch, HeartbeatResult, Reconciler
from sandladder.agents.reporting_agents import ReportingAgents
from sandladder.agents.token_renewal import TokenRenewal

__all__ = [
    "AgentRecords",
    "AgentService",
    "AgentSession",
    "CommandBatch",
    "ControllerGroup",
    "HeartbeatResult",
    "LeaseExpiryProof",
    "LeaseRenewalGuard",
    "Reconciler",
    "ReportingAgents",
    "SchedulerCallbacks",
    "StoreAccess",
    "TokenRenewal",
    "reported_ends",
]
