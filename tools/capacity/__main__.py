"""Measure what a controller takes at several sizes, and keep the tables of docs/CAPACITY.md.

    PYTHONPATH=src:tools python -m capacity measure --run NAME [--kinds bytes steps memory]
    PYTHONPATH=src:tools python -m capacity played --run NAME --seconds 150 1.0=REPORT.json ...
PYTHONPATH=src:tools python -m capacity page      # write the tables of docs/CAPACITY.md anew
PYTHONPATH=src:tools python -m capacity check     # exit status 1 if page and data disagree
"""

import argparse
import sys
from pathlib import Path

from capacity import bench_reports, measure, page, rows


def main() -> int:
    """Do what the command line asks for; the exit status."""
    parser = argparse.ArgumentParser(prog="capacity", description=__doc__.splitlines()[0])
    verbs = parser.add_subparsers(dest="verb", required=True)
    measuring = verbs.add_parser("measure", help="measure at several sizes and keep the rows")
    measuring.add_argument("--run", required=True, help="the name that the rows are kept under")
    measuring.add_argument(
        "--kinds",
        nargs="+",
        choices=measure.KINDS,
        default=list(measure.KINDS),
        help="all without it",
    )
    playing = verbs.add_parser("played", help="keep what the bench's reports of copies counted")
    playing.add_argument("--run", required=True, help="the name that the rows are kept under")
    playing.add_argument("--seconds", type=float, required=True, help="how long each was played")
    playing.add_argument(
        "reports",
        nargs="+",
        metavar="TIMES=REPORT.json",
        help="a report by how many times the site's size its copy had",
    )
    verbs.add_parser("page", help="write the page's tables from the rows")
    verbs.add_parser("check", help="compare the page's tables with the rows")
    options = parser.parse_args()
    if options.verb == "measure":
        for kind in options.kinds:
            path = rows.DATA / f"{options.run}-{kind}.csv"
            rows.write(path, measure.KINDS[kind](options.run))
            print(f"wrote {path}")
        return 0
    if options.verb == "played":
        reports = dict(text.split("=", 1) for text in options.reports)
        sized = {float(times): Path(path) for times, path in reports.items()}
        path = rows.DATA / f"{options.run}-played.csv"
        rows.write(path, bench_reports.rows(options.run, sized, options.seconds))
        print(f"wrote {path}")
        return 0
    if options.verb == "page":
        page.PAGE.write_text(page.filled(page.PAGE.read_text()))
        return 0
    wrong = page.differences(page.PAGE.read_text())
    for name in wrong:
        print(f"{page.PAGE.name}: the table {name!r} is not what the rows give", file=sys.stderr)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
