"""Placement of tasks on machines, and revalidation of each placement until it is committed.

Owns the cluster view (machine observations, free capacity, image caches, job priorities), the
pending starts with their premises, the reservations, and the choice of tasks to preempt or evict.
All of it is in-memory state, derived from the state cache, inventories and heartbeats.

In each round, `Planner.plan` places waiting tasks and admits pending starts to the `Gate`, which
revalidates them when the view changes and once more before the commit.  `pack` counts, for
autoscaling, the tasks that fit into given machines.  Nothing here does I/O, reads a clock, writes a
record or sends a command.  No decision is final until `sandladder.jobs` commits it.
"""

from sandladder.scheduling.bin_packing import Backlog, Bin, Shortage, ZoneQuota, pack
from sandladder.scheduling.cluster_view import ClusterView
from sandladder.scheduling.free_capacity import (
    MAX_TASKS_PER_MACHINE,
    FreeCapacity,
    MachineOffer,
    PlacementRequirements,
    machine_allowed,
    placement_requirements,
)
from sandladder.scheduling.free_capacity_index import UNHEALTHY_FAILURES
from sandladder.scheduling.gate import Gate, Verdict
from sandladder.scheduling.machine_observations import MachineDeparture, MachineObservation
from sandladder.scheduling.machine_selection import MachineSelector
from sandladder.scheduling.planner import Planner
from sandladder.scheduling.preemption import PreemptionPolicy
from sandladder.scheduling.premises import Outcome, PendingStart, PremiseKind, Resource
from sandladder.scheduling.reservation import Reservation
from sandladder.scheduling.victim_selection import PreemptionVictim, WaitingTask

__all__ = [
    "MAX_TASKS_PER_MACHINE",
    "UNHEALTHY_FAILURES",
    "Backlog",
    "Bin",
    "ClusterView",
    "FreeCapacity",
    "Gate",
    "MachineDeparture",
    "MachineObservation",
    "MachineOffer",
    "MachineSelector",
    "Outcome",
    "PendingStart",
    "PlacementRequirements",
    "Planner",
    "PreemptionPolicy",
    "PreemptionVictim",
    "PremiseKind",
    "Reservation",
    "Resource",
    "Shortage",
    "Verdict",
    "WaitingTask",
    "ZoneQuota",
    "machine_allowed",
    "pack",
    "placement_requirements",
]
