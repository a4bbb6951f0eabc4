"""Membership of controllers: their leases, health, roster and responsibilities.

The package owns this controller's lease and fencing token (`controller_lease`,
`inventory_writer`), the roster and its transitions (`roster`, `roster_transitions`), and the
assessments of the other controllers (`phi_accrual`, `failure_detector`, `health`).  `policy`
decides what to write, `service` commits it, and `worker_assignment` distributes the agents among
the controllers.

The package does not decide that a task or machine is lost, does not start tasks, and sends no
messages.  A false suspicion causes a delay and violates no safety rule.  See docs/membership.md.
"""

from sandladder.membership.changes import ChangeKind, MembershipChange
from sandladder.membership.controller_lease import ControllerLease
from sandladder.membership.failure_detector import FailureDetector
from sandladder.membership.health import HealthAssessment, HealthLevel, PeerStatus
from sandladder.membership.inventory_writer import AgentInventory, InventoryWriter
from sandladder.membership.phi_accrual import MAX_PHI, PhiAccrualWindow
from sandladder.membership.policy import MembershipPolicy
from sandladder.membership.roster import RosterRecords, may_schedule
from sandladder.membership.roster_transitions import RosterTransition
from sandladder.membership.service import MembershipService
from sandladder.membership.worker_assignment import ReportingAgent, WorkerAssignment, WorkerLoad

__all__ = [
    "MAX_PHI",
    "AgentInventory",
    "ChangeKind",
    "ControllerLease",
    "FailureDetector",
    "HealthAssessment",
    "HealthLevel",
    "InventoryWriter",
    "MembershipChange",
    "MembershipPolicy",
    "MembershipService",
    "PeerStatus",
    "PhiAccrualWindow",
    "ReportingAgent",
    "RosterRecords",
    "RosterTransition",
    "WorkerAssignment",
    "WorkerLoad",
    "may_schedule",
]
