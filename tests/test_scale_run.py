"""A small run of `tools/scale_run.py`, without measured times."""

import argparse
from typing import Any, ClassVar

from scale_run import ScaleCluster, percentile, play, teams

from simulation import run


def test_a_small_scale_run_reports_counts_and_no_violation() -> None:
    options = argparse.Namespace(workers=20, rate=10.0, seconds=8.0, minutes=5.0, faults=False)
    limits: dict[str, Any] = {"rps": 300.0, "write_rps": 20.0, "txn_ops": 12}
    cluster = ScaleCluster(1120, 3, limits=list(teams(4)), **limits)
    cluster.store.write_rps = limits["write_rps"]
    cluster.cloud.capacity = options.workers
    results: dict[str, Any] = {}
    run(cluster, lambda: play(cluster, options, results))
    assert cluster.violations == []
    assert "ended early at" not in results
    assert results["starts a second"] > 0.5 * options.rate
    assert 0 < results["changes a second"] <= limits["write_rps"]


def test_a_scale_run_records_violations() -> None:
    """A team over its limit is recorded once, as the checks run once per second."""
    cluster = ScaleCluster(1121, 3, limits=[{"name": "red", "cpus_max": 1.0}])
    violation_counts: list[int] = []

    class Task:
        spec: ClassVar = {"id": "job-000001", "bureau": "red", "vcpus": 2.0, "gpus": 0.0}
        name, on_machine = "job-000001/0", True

    async def main() -> None:
        cluster.tasks_on_machines = lambda: [(None, Task())]  # type: ignore[method-assign,list-item]
        for _ in range(3):
            cluster.check()
        violation_counts.append(len(cluster.violations))

    run(cluster, main)
    assert violation_counts[0] == 1 and "quota" in cluster.violations[0]


def test_percentile_interpolates() -> None:
    assert percentile([], 99) == 0
    assert percentile([3.0], 50) == 3.0
    assert round(percentile([float(n) for n in range(101)], 50), 6) == 50.0
