"""The names that tests used before the simulation became the package `simulation`."""

import simulation
from simulation import rules

World, Worker = simulation.SimulatedCluster, simulation.Worker
VirtualLoop, now, run, TRACE = (
    simulation.VirtualTimeEventLoop,
    simulation.now,
    simulation.run,
    simulation.TRACE,
)
TYPES, TEAMS, ZONES = simulation.MACHINE_TYPES, simulation.TEAMS, simulation.ZONES
NEXT, REPORT_S, TODAY = simulation.NEXT, simulation.REPORT_S, simulation.TODAY
job, settings, starts = simulation.job, simulation.settings, rules.started_attempts
