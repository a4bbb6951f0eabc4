"""The tables of docs/CAPACITY.md, computed from the rows in docs/capacity/."""

import re
from collections.abc import Callable
from pathlib import Path

from capacity.roles import role_rows
from capacity.rows import Row, fit, read

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
# `Row.varied` of the rows of bench reports.
BENCH_VARIED = "times the site's size"
_TABLE = re.compile(r"(<!-- table: (?P<name>[a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def format_number(value: float) -> str:
    """Format a number with three significant digits, or as an integer from 100."""
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown_table(header: list[str], lines: list[list[str]]) -> str:
    rows = [header, ["---"] * len(header), *lines]
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def slopes_table(rows: list[Row]) -> str:
    """Return the table of linear fits of all quantities except those counted by the bench."""
    lines = [
        [
            line.quantity,
            line.varied,
            format_number(line.intercept),
            format_number(line.slope),
            line.unit,
            f"{line.r_squared:.3f}",
            f"{line.sizes[0]:g} to {line.sizes[-1]:g}",
            line.run,
        ]
        for line in fit(row for row in rows if row.varied != BENCH_VARIED).values()
    ]
    header = ["quantity", "over", "base", "each", "unit", "fit (r²)", "sizes", "run"]
    return markdown_table(header, lines)


def played_table(rows: list[Row]) -> str:
    """Return the table of quantities counted by the bench on copies of a site, by size."""
    bench_rows = [row for row in rows if row.varied == BENCH_VARIED]
    sizes = sorted({row.size for row in bench_rows})
    lines = []
    for quantity in dict.fromkeys(row.quantity for row in bench_rows):
        by_size = {row.size: row for row in bench_rows if row.quantity == quantity}
        unit = next(iter(by_size.values())).unit
        values = [format_number(by_size[size].value) if size in by_size else "" for size in sizes]
        lines.append([f"{quantity} ({unit})", *values])
    return markdown_table(["copy", *(f"x{size:g}" for size in sizes)], lines)


def roles_table(rows: list[Row]) -> str:
    """Return the table of the load of each role at the design size, with its limits."""
    fits = fit(row for row in rows if row.varied != BENCH_VARIED)
    lines = [
        [row.role, row.quantity, format_number(row.value), row.unit, row.limit, row.mechanism]
        for row in role_rows(fits)
    ]
    return markdown_table(["role", "what", "at the peak", "unit", "limit", "mechanism"], lines)


TABLES: dict[str, Callable[[list[Row]], str]] = {
    "slopes": slopes_table,
    "played": played_table,
    "roles": roles_table,
}


def fill_tables(text: str, rows: list[Row] | None = None) -> str:
    """Return the page with its tables computed from the rows, by default those on disk."""
    source = read() if rows is None else rows

    def replace(match: re.Match[str]) -> str:
        return f"{match[1]}{TABLES[match['name']](source)}{match[3]}"

    return _TABLE.sub(replace, text)


def differences(text: str) -> list[str]:
    """Return the names of the tables that a page lacks or that differ from the rows on disk."""
    rows = read()
    present = {match["name"]: match[0] for match in _TABLE.finditer(text)}
    return [
        name
        for name, make in TABLES.items()
        if present.get(name) != f"<!-- table: {name} -->\n{make(rows)}<!-- end -->"
    ]
