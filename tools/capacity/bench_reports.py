"""Rows from bench reports of runs on copies of a site at several sizes."""

import json
from collections.abc import Iterator
from pathlib import Path

from capacity.rows import Row


def rows(run: str, reports: dict[float, Path], duration_s: float) -> Iterator[Row]:
    """Yield the quantities counted in each report.

    Args:
        run: the name of the run.
        reports: the reports, by the size of the copy as a multiple of the site's size.
        duration_s: the duration of each run, in seconds.
    """
    for multiple, path in sorted(reports.items()):
        report = json.loads(path.read_text())
        started = report["fleet"]["tasks_started"]
        nodes = report["node_stats"]
        processor_s = sum(report["spent"]["processes"])
        state = report["state"]
        values = {
            ("tasks started a second", "tasks/s"): started / duration_s,
            ("processor time by started task", "ms"): 1000 * processor_s / max(1, started),
            ("changes by started task", "changes"): state["writes"] / max(1, started),
            ("changes of the state service", "changes/s"): state["writes"] / duration_s,
            ("requests to the state service", "requests/s"): state["requests"] / duration_s,
            ("bytes written to the state service", "bytes/s"): state["bytes_written"] / duration_s,
            ("processor of the busiest controller", "core"): max(n["cpu_mean"] for n in nodes),
            ("memory of the largest controller", "MB"): max(n["memory_peak_mb"] for n in nodes),
            ("sent between controllers", "MB"): sum(n["peer_mb"] for n in nodes),
            ("workers", "workers"): float(report["machines"]),
        }
        for (quantity, unit), value in values.items():
            yield Row(run, quantity, "times the site's size", multiple, round(value, 6), unit)
