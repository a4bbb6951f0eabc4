"""What the cluster's state consists of: jobs, attempts, machines, agents, members, quotas.

Plain values and the rules that follow from them alone.  The package owns no state of its own but
`DependencyIndex`, which an owner of jobs keeps up.  Nothing here does I/O, reads a clock or draws
random numbers, and nothing says how a value is spelled on the wire or in the store: that is
`sandladder.protocol` and `sandladder.state.codecs`.

Times of day are seconds since the epoch; durations are in seconds; sizes in gigabytes.
"""

from sandladder.model.agents import AgentHeartbeat, ClockReading, Command, TaskStatus
from sandladder.model.attempt_outcomes import FAILURES, REFUSALS, AttemptKey, AttemptOutcome
from sandladder.model.attempts import Attempt, EndedAttempt, Placement
from sandladder.model.dependencies import DependencyIndex, DependencyOutcome
from sandladder.model.jobs import (
    ARRAY,
    CANCELLED,
    DONE,
    GANG,
    HIGH,
    LOW,
    NORMAL,
    PENDING,
    PRODUCTION,
    RUNNING,
    SERVICE,
    FinishedJob,
    Job,
    JobSpec,
    zones_allowed,
)
from sandladder.model.machines import (
    DRAINING,
    GONE,
    RENTED,
    ListedMachine,
    Machine,
    MachineInventory,
    MachineStatus,
    MachineType,
)
from sandladder.model.membership import IN, OUT, SUSPECT, Member, TeamAssignment
from sandladder.model.quota import (
    EPSILON,
    NO_HEADROOM,
    NO_USAGE,
    Headroom,
    TeamUsage,
    headroom,
    nearly_exhausted,
    within_guarantee,
)
from sandladder.model.ranges import Ranges
from sandladder.model.scheduling_priority import SchedulingPriority
from sandladder.model.schema import SCHEMA_V1, SCHEMA_V2

__all__ = [
    "ARRAY",
    "CANCELLED",
    "DONE",
    "DRAINING",
    "EPSILON",
    "FAILURES",
    "GANG",
    "GONE",
    "HIGH",
    "IN",
    "LOW",
    "NORMAL",
    "NO_HEADROOM",
    "NO_USAGE",
    "OUT",
    "PENDING",
    "PRODUCTION",
    "REFUSALS",
    "RENTED",
    "RUNNING",
    "SCHEMA_V1",
    "SCHEMA_V2",
    "SERVICE",
    "SUSPECT",
    "AgentHeartbeat",
    "Attempt",
    "AttemptKey",
    "AttemptOutcome",
    "ClockReading",
    "Command",
    "DependencyIndex",
    "DependencyOutcome",
    "EndedAttempt",
    "FinishedJob",
    "Headroom",
    "Job",
    "JobSpec",
    "ListedMachine",
    "Machine",
    "MachineInventory",
    "MachineStatus",
    "MachineType",
    "Member",
    "Placement",
    "Ranges",
    "SchedulingPriority",
    "TaskStatus",
    "TeamAssignment",
    "TeamUsage",
    "headroom",
    "nearly_exhausted",
    "within_guarantee",
    "zones_allowed",
]
