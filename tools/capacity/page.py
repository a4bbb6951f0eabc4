"""The tables of docs/CAPACITY.md, worked out from the rows in docs/capacity/."""

import re
from collections.abc import Callable
from pathlib import Path

from capacity.roles import role_lines
from capacity.rows import Row, fit, read

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
PLAYED = "times the site's size"
_TABLE = re.compile(r"(<!-- table: (?P<name>[a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def number(value: float) -> str:
    """A figure with three digits that count."""
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(heads: list[str], lines: list[list[str]]) -> str:
    """A table in Markdown."""
    rows = [heads, ["---"] * len(heads), *lines]
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def slopes_table(rows: list[Row]) -> str:
    """Each quantity that was measured in process, as a line over what was varied."""
    lines = [
        [
            slope.quantity,
            slope.varied,
            number(slope.base),
            number(slope.each),
            slope.unit,
            f"{slope.fit:.3f}",
            f"{slope.sizes[0]:g} to {slope.sizes[-1]:g}",
            slope.run,
        ]
        for slope in fit(row for row in rows if row.varied != PLAYED).values()
    ]
    heads = ["quantity", "over", "base", "each", "unit", "fit (r²)", "sizes", "run"]
    return table(heads, lines)


def played_table(rows: list[Row]) -> str:
    """What was counted when the bench played copies of a site, by their size."""
    played = [row for row in rows if row.varied == PLAYED]
    sizes = sorted({row.size for row in played})
    lines = []
    for quantity in dict.fromkeys(row.quantity for row in played):
        found = {row.size: row for row in played if row.quantity == quantity}
        unit = next(iter(found.values())).unit
        values = [number(found[size].value) if size in found else "" for size in sizes]
        lines.append([f"{quantity} ({unit})", *values])
    return table(["copy", *(f"x{size:g}" for size in sizes)], lines)


def roles_table(rows: list[Row]) -> str:
    """Each role at the size: what it does and what that takes, beside its limit."""
    slopes = fit(row for row in rows if row.varied != PLAYED)
    lines = [
        [line.role, line.what, number(line.value), line.unit, line.limit, line.mechanism]
        for line in role_lines(slopes)
    ]
    return table(["role", "what", "at the peak", "unit", "limit", "mechanism"], lines)


TABLES: dict[str, Callable[[list[Row]], str]] = {
    "slopes": slopes_table,
    "played": played_table,
    "roles": roles_table,
}


def filled(text: str, rows: list[Row] | None = None) -> str:
    """The page with its tables written anew."""
    known = read() if rows is None else rows

    def put(found: re.Match[str]) -> str:
        return f"{found[1]}{TABLES[found['name']](known)}{found[3]}"

    return _TABLE.sub(put, text)


def differences(text: str) -> list[str]:
    """The tables of a page that are not what the rows give, and those that it lacks."""
    known = read()
    there = {found["name"]: found[0] for found in _TABLE.finditer(text)}
    return [
        name
        for name, make in TABLES.items()
        if there.get(name) != f"<!-- table: {name} -->\n{make(known)}<!-- end -->"
    ]
