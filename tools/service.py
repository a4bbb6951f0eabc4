#!/usr/bin/env python3
"""Say of each day's report which class of jobs and which team got how much of its service.

    python tools/service.py REPORT.json... [--markdown]

A report is what the bench writes with `run SITE DAY --report FILE`.  A class's service is the
share of its jobs that were started, for arrays and gangs also the share done, for services the
replica time; cancelled jobs count as served.  A team's is the share of its jobs that were started.
Less than half anywhere is a failed day: those are marked, and the exit status is 1.  It is 2 for a
file that is no report.
"""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

# A day failed if any class or team got less than this share of its service.
LEAST_SERVICE = 0.5


class Service(NamedTuple):
    """What one class of jobs or one team got."""

    kind: str  # "class" or "team"
    name: str
    share: float  # the least of the shares that count
    details: str

    @property
    def failed(self) -> bool:
        """Whether it got so little that the day failed."""
        return self.share < LEAST_SERVICE


def share(part: float, whole: float) -> float:
    """A part's share; 1 of nothing."""
    return part / whole if whole else 1.0


def services(report: dict[str, Any]) -> Iterator[Service]:
    """What each class and team of a report got.

    Raises:
        KeyError: it is not a report.
    """
    for name, figures in report["classes"].items():
        yield _class_service(name, figures)
    for name, figures in report["teams"].items():
        started, jobs = figures["started"], figures["jobs"]
        yield Service("team", name, share(started, jobs), f"started {started} of {jobs}")


def _class_service(name: str, figures: dict[str, Any]) -> Service:
    jobs = figures["jobs"]
    started = share(figures["started"], jobs)
    details = f"started {figures['started']} of {jobs}"
    if figures.get("up") is not None:
        details += f", replica time {figures['up']:.3f}"
        return Service("class", name, min(started, figures["up"]), details)
    over = figures["done"] + figures["cancelled"]
    waits = f"waits p50 {_wait(figures, 'p50')} p90 {_wait(figures, 'p90')}"
    details += f", over {over}, {waits}"
    return Service("class", name, min(started, share(over, jobs)), details)


def _wait(figures: dict[str, Any], quantile: str) -> str:
    wait_s = figures["wait_s"].get(quantile)
    return "never" if wait_s is None else f"{wait_s:.0f} s"


def line(scenario: str, found: Service, markdown: bool) -> str:
    """One line of output."""
    mark = "FAILS" if found.failed else ""
    if markdown:
        what = f"{found.kind} {found.name}"
        return f"| {scenario} | {what} | {found.share:.3f} {mark}| {found.details} |"
    columns = f"{scenario:12} {found.kind:5} {found.name:14} {found.share:.3f} {mark:5}"
    return f"{columns} {found.details}"


def main() -> int:
    """Print the services of the reports on the command line; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "reports", type=Path, nargs="+", metavar="REPORT.json", help="written by the bench"
    )
    parser.add_argument("--markdown", action="store_true", help="print rows of a table")
    options = parser.parse_args()
    failed = False
    for path in options.reports:
        try:
            report = json.loads(path.read_text())
            scenario, found = report["scenario"], list(services(report))
        except (OSError, ValueError, KeyError, TypeError) as error:
            print(f"service: {path}: not a report: {error!r}", file=sys.stderr)
            return 2
        failed |= any(service.failed for service in found)
        for service in found:
            print(line(scenario, service, options.markdown))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
