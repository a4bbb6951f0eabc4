#!/usr/bin/env python3
"""Say of each day's report which class of jobs and which team got how much of its service.

    python tools/service.py REPORT.json... [--markdown]

A report is what the bench writes with `run SITE DAY --report FILE`.  A class's service is the
share of its jobs that were started, for arrays and gangs also the share done, for services the
replica time; cancelled jobs count as served.  A team's is the share of its jobs that were started.
Less than half anywhere is a failed day: those are marked, and the exit status is 1.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

FAILS = 0.5


def share(part: float, whole: float) -> float:
    return part / whole if whole else 1.0


def services(report: dict[str, Any]) -> list[tuple[str, str, float, str]]:
    """(kind, name, service, in words) of each class and team; the service is the least share."""
    found = []
    for name, cls in report["classes"].items():
        jobs = cls["jobs"]
        started = share(cls["started"], jobs)
        words = f"started {cls['started']} of {jobs}"
        if cls.get("up") is not None:
            least = min(started, cls["up"])
            words += f", replica time {cls['up']:.3f}"
        else:
            over = cls["done"] + cls["cancelled"]
            least = min(started, share(over, jobs))
            words += f", over {over}, waits p50 {_s(cls, 'p50')} p90 {_s(cls, 'p90')}"
        found.append(("class", name, least, words))
    for name, team in report["teams"].items():
        words = f"started {team['started']} of {team['jobs']}"
        found.append(("team", name, share(team["started"], team["jobs"]), words))
    return found


def _s(cls: dict[str, Any], quantile: str) -> str:
    value = cls["wait_s"].get(quantile)
    return "never" if value is None else f"{value:.0f} s"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("reports", type=Path, nargs="+", metavar="REPORT.json")
    parser.add_argument("--markdown", action="store_true", help="rows of a table")
    options = parser.parse_args()
    failed = False
    for path in options.reports:
        try:
            report = json.loads(path.read_text())
            rows = services(report)
        except (OSError, ValueError, KeyError, TypeError) as error:
            print(f"service: {path}: not a report: {error!r}", file=sys.stderr)
            return 2
        for kind, name, service, words in rows:
            mark = "FAILS" if service < FAILS else ""
            failed |= service < FAILS
            if options.markdown:
                print(f"| {report['scenario']} | {kind} {name} | {service:.3f} {mark}| {words} |")
            else:
                print(f"{report['scenario']:12} {kind:5} {name:14} {service:.3f} {mark:5} {words}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
