"""Measure a controller's costs at several sizes and maintain the tables of docs/CAPACITY.md.

PYTHONPATH=src:tools python -m capacity measure --run NAME [--kinds bytes steps memory]
PYTHONPATH=src:tools python -m capacity played --run NAME --seconds 150 1.0=REPORT.json ...
PYTHONPATH=src:tools python -m capacity page      # update the tables of docs/CAPACITY.md
PYTHONPATH=src:tools python -m capacity check     # exit status 1 if page and data differ
"""

import argparse
import sys
from pathlib import Path

from capacity import bench_reports, measure, page, rows


def main() -> int:
    """Run the command line's command and return the exit status."""
    parser = argparse.ArgumentParser(prog="capacity", description=__doc__.splitlines()[0])
    commands = parser.add_subparsers(dest="command", required=True)
    measure_parser = commands.add_parser("measure", help="measure at several sizes, write the rows")
    measure_parser.add_argument("--run", required=True, help="name of the run, stored in the rows")
    measure_parser.add_argument(
        "--kinds",
        nargs="+",
        choices=measure.KINDS,
        default=list(measure.KINDS),
        help="default: all",
    )
    played_parser = commands.add_parser("played", help="write the rows of bench reports")
    played_parser.add_argument("--run", required=True, help="name of the run, stored in the rows")
    played_parser.add_argument("--seconds", type=float, required=True, help="duration of each run")
    played_parser.add_argument(
        "reports",
        nargs="+",
        metavar="TIMES=REPORT.json",
        help="a report, by the size of its copy as a multiple of the site's size",
    )
    commands.add_parser("page", help="update the page's tables from the rows")
    commands.add_parser("check", help="compare the page's tables with the rows")
    options = parser.parse_args()
    if options.command == "measure":
        for kind in options.kinds:
            path = rows.DATA_FOLDER / f"{options.run}-{kind}.csv"
            rows.write(path, measure.KINDS[kind](options.run))
            print(f"wrote {path}")
        return 0
    if options.command == "played":
        reports = dict(text.split("=", 1) for text in options.reports)
        by_multiple = {float(multiple): Path(path) for multiple, path in reports.items()}
        path = rows.DATA_FOLDER / f"{options.run}-played.csv"
        rows.write(path, bench_reports.rows(options.run, by_multiple, options.seconds))
        print(f"wrote {path}")
        return 0
    if options.command == "page":
        page.PAGE.write_text(page.fill_tables(page.PAGE.read_text()))
        return 0
    outdated = page.differences(page.PAGE.read_text())
    for name in outdated:
        print(f"{page.PAGE.name}: the table {name!r} differs from the rows", file=sys.stderr)
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main())
