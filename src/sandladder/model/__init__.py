"""The cluster's state: jobs, attempts, machines, agents, members and quotas.

The package holds value types and the rules that depend on them alone.  Its only mutable types are
`Job`, `Ranges` and `DependencyIndex`, which their owner updates.  Nothing here does I/O, reads a
clock or draws random numbers.  `sandladder.protocol` encodes values for the wire,
`sandladder.state.codecs` for the store.

Times of day are in seconds since the Unix epoch, durations in seconds, sizes in gigabytes.
"""

from sandladder.model.agents import AgentHeartbeat, ClockReading, Command, TaskStatus
from sandladder.model.attempt_outcomes import FAILURES, REFUSALS, AttemptKey, AttemptOutcome
from sandladder.model.attempts import Attempt, EndedAttempt, EndEvidence, Placement
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
    ACTIVE,
    DRAINING,
    GONE,
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
    "ACTIVE",
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
    "EndEvidence",
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
