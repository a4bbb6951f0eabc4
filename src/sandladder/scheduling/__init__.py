"""Which task starts where: cluster view, planning, premises, reservation, preemption."""

from sandladder.scheduling.bin_packing import Backlog, Bin, Shortage, ZoneShares, fill
from sandladder.scheduling.cluster_view import SICK_ERRORS, ClusterView, allowed, likeness
from sandladder.scheduling.planner import Planner
from sandladder.scheduling.preemption import PreemptionPolicy, PreemptionVictim
from sandladder.scheduling.premises import FreeCapacity, Gate, Outcome, PendingStart, Resource
from sandladder.scheduling.reservation import Reservation

__all__ = [
    "Backlog",
    "Bin",
    "ClusterView",
    "FreeCapacity",
    "Gate",
    "Outcome",
    "PendingStart",
    "Planner",
    "PreemptionPolicy",
    "PreemptionVictim",
    "Reservation",
    "Resource",
    "SICK_ERRORS",
    "Shortage",
    "ZoneShares",
    "allowed",
    "fill",
    "likeness",
]
