"""The names that tests used before the scenarios moved to `simulation`."""

from simulation import fault_scenarios, faults

Meeting, CANCEL_S, LEASE = (
    fault_scenarios.FaultScenario,
    fault_scenarios.CANCEL_S,
    fault_scenarios.LEASE_S,
)
cancel_now, day = fault_scenarios.cancel_running_jobs, fault_scenarios.run_with_faults
leader, play = fault_scenarios.leader, fault_scenarios.run_and_expect
running, settle = fault_scenarios.running_tasks, fault_scenarios.check_recovery
until, restart, up = fault_scenarios.wait_until, faults.restart, faults.running_machines
