#!/usr/bin/env python3
"""Print the service level of each class of jobs and each team from bench reports.

    python tools/service.py REPORT.json... [--markdown]

The bench writes a report with `run SITE DAY --report FILE`.  The service level of a team is the
share of its jobs that were started.  The service level of a class is the smaller of this share and
of a second one: for services the share of replica time, for other classes the share of jobs that
are finished (done or cancelled).  A level below one half is marked as failed.

Exit status: 0 if no level failed, 1 if one did, 2 if a file is not a report.
"""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

# Service levels below this share are marked as failed.
MIN_SERVICE_LEVEL = 0.5


class ServiceLevel(NamedTuple):
    """The service level of one class of jobs or one team."""

    kind: str  # "class" or "team"
    name: str
    level: float  # the smallest of the shares that apply
    details: str

    @property
    def failed(self) -> bool:
        """Whether the level is below `MIN_SERVICE_LEVEL`."""
        return self.level < MIN_SERVICE_LEVEL


def ratio(part: float, whole: float) -> float:
    """Return part / whole, or 1 if the whole is 0."""
    return part / whole if whole else 1.0


def service_levels(report: dict[str, Any]) -> Iterator[ServiceLevel]:
    """Yield the service level of each class and team of a report.

    Raises:
        KeyError: a field of a report is missing.
    """
    for name, stats in report["classes"].items():
        yield _class_service_level(name, stats)
    for name, stats in report["teams"].items():
        started, jobs = stats["started"], stats["jobs"]
        yield ServiceLevel("team", name, ratio(started, jobs), f"started {started} of {jobs}")


def _class_service_level(name: str, stats: dict[str, Any]) -> ServiceLevel:
    jobs = stats["jobs"]
    started = ratio(stats["started"], jobs)
    details = f"started {stats['started']} of {jobs}"
    if stats.get("up") is not None:
        details += f", replica time {stats['up']:.3f}"
        return ServiceLevel("class", name, min(started, stats["up"]), details)
    finished = stats["done"] + stats["cancelled"]
    waits = f"waits p50 {_wait(stats, 'p50')} p90 {_wait(stats, 'p90')}"
    details += f", finished {finished}, {waits}"
    return ServiceLevel("class", name, min(started, ratio(finished, jobs)), details)


def _wait(stats: dict[str, Any], quantile: str) -> str:
    wait_s = stats["wait_s"].get(quantile)
    return "never" if wait_s is None else f"{wait_s:.0f} s"


def format_row(scenario: str, service: ServiceLevel, markdown: bool) -> str:
    """Return one row of output."""
    mark = "FAILS" if service.failed else ""
    if markdown:
        subject = f"{service.kind} {service.name}"
        return f"| {scenario} | {subject} | {service.level:.3f} {mark}| {service.details} |"
    columns = f"{scenario:12} {service.kind:5} {service.name:14} {service.level:.3f} {mark:5}"
    return f"{columns} {service.details}"


def main() -> int:
    """Print the service levels of the reports and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "reports", type=Path, nargs="+", metavar="REPORT.json", help="reports written by the bench"
    )
    parser.add_argument("--markdown", action="store_true", help="print rows of a Markdown table")
    options = parser.parse_args()
    failed = False
    for path in options.reports:
        try:
            report = json.loads(path.read_text())
            scenario, services = report["scenario"], list(service_levels(report))
        except (OSError, ValueError, KeyError, TypeError) as error:
            print(f"service: {path}: not a report: {error!r}", file=sys.stderr)
            return 2
        failed |= any(service.failed for service in services)
        for service in services:
            print(format_row(scenario, service, options.markdown))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
