"""The names that tests used before jobs and faults moved to `simulation`."""

from simulation import faults, workloads

Trouble = faults.Fault
quiet, crashes, outage = faults.no_fault, faults.controller_crashes, faults.store_outage
cuts, machines, everything = faults.network_cuts, faults.machine_failures, faults.all_faults
warm, mixed = workloads.wait_until_healthy, workloads.mixed_job
pipeline, submit_all = workloads.pipeline, workloads.submit_in_order
