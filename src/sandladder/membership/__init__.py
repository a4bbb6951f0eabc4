"""Who lives: suspicion before verdict, an agreed roster, and what is handed over.

`arrivals` and `grading` judge the other controllers from what is seen of them, `roster` is the
agreed record and the changes that it may undergo, `policy` decides what to write next,
`spread` shares machines out, and `duty` is the one routine that talks.  See docs/membership.md.
"""

from sandladder.membership.controller_lease import ControllerLease
from sandladder.membership.failure_detector import FailureDetector, HealthLevel, PeerStatus
from sandladder.membership.phi_accrual import MOST_PHI, PhiAccrualWindow
from sandladder.membership.policy import MembershipChange, MembershipPolicy
from sandladder.membership.roster import RosterRecords, RosterTransition, may_place
from sandladder.membership.service import MembershipService
from sandladder.membership.worker_assignment import WorkerAssignment, WorkerLoad

__all__ = [
    "ControllerLease",
    "FailureDetector",
    "HealthLevel",
    "MOST_PHI",
    "MembershipChange",
    "MembershipPolicy",
    "MembershipService",
    "PeerStatus",
    "PhiAccrualWindow",
    "RosterRecords",
    "RosterTransition",
    "WorkerAssignment",
    "WorkerLoad",
    "may_place",
]
