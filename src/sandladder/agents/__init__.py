"""The agents on the machines: their heartbeats, their commands, and the leases that they run under.

An agent reports what runs on its machine; the committed starts in the store say what should.
`Reconciler` makes commands and proved ends of the difference, and `AgentService` exchanges
heartbeats and commands with the agents.  `LeaseRenewalGuard` decides until when an agent's lease
may be renewed, `LeaseExpiryProof` when it has surely expired.

The package owns one `AgentSession` for each agent that reports to this controller, the clients for
commanding them, and when each was last answered; all of it in memory alone.  It never writes to the
store, never decides what runs where, and never takes silence for an end: it hands proved ends to
those who commit them.
"""

from sandladder.agents.agent_service import AgentService
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.collaborators import (
    AgentRecords,
    ControllerGroup,
    SchedulerCallbacks,
    StoreAccess,
)
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.lease_renewal_guard import LeaseRenewalGuard
from sandladder.agents.reconciler import HeartbeatResult, Reconciler
from sandladder.agents.reporting_agents import ReportingAgents

__all__ = [
    "AgentRecords",
    "AgentService",
    "AgentSession",
    "ControllerGroup",
    "HeartbeatResult",
    "LeaseExpiryProof",
    "LeaseRenewalGuard",
    "Reconciler",
    "ReportingAgents",
    "SchedulerCallbacks",
    "StoreAccess",
]
