"""The measured rows: one CSV file for each run, and the lines fitted through them."""

import csv
from collections.abc import Iterable
from pathlib import Path
from statistics import correlation, linear_regression
from typing import NamedTuple

DATA = Path(__file__).resolve().parents[2] / "docs" / "capacity"
# A line is fitted through so many sizes at least.
LEAST_SIZES = 5


class Row(NamedTuple):
    """One measurement: a quantity at one size of the thing that was varied."""

    run: str  # names the run that gave it
    quantity: str
    varied: str  # what `size` counts
    size: float
    value: float
    unit: str


class Slope(NamedTuple):
    """A line through measured rows: `base` at size 0, and `each` for each thing more."""

    quantity: str
    varied: str
    unit: str
    base: float
    each: float
    fit: float  # the squared correlation; 1 where the value does not vary with the size
    run: str
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        """The value at a size, in the rows' unit."""
        return self.base + self.each * size


class TooFewSizesError(ValueError):
    """A quantity was measured at fewer sizes than a line needs."""


def write(path: Path, rows: Iterable[Row]) -> None:
    """Write the rows of a run."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(Row._fields)
        writer.writerows(rows)


def read(folder: Path = DATA) -> list[Row]:
    """All rows in the repository, by file name and line."""
    found = []
    for path in sorted(folder.glob("*.csv")):
        with path.open(newline="") as file:
            for line in csv.DictReader(file):
                size, value = float(line.pop("size")), float(line.pop("value"))
                found.append(Row(**line, size=size, value=value))
    return found


def fit(rows: Iterable[Row]) -> dict[str, Slope]:
    """The line through each quantity's rows, by quantity."""
    grouped: dict[str, list[Row]] = {}
    for row in rows:
        grouped.setdefault(row.quantity, []).append(row)
    return {quantity: _line(quantity, group) for quantity, group in grouped.items()}


def _line(quantity: str, rows: list[Row]) -> Slope:
    sizes, values = [row.size for row in rows], [row.value for row in rows]
    if len(set(sizes)) < LEAST_SIZES:
        raise TooFewSizesError(f"{quantity}: {len(set(sizes))} sizes, {LEAST_SIZES} at least")
    if max(values) == min(values):
        each, base, quality = 0.0, values[0], 1.0
    else:
        each, base = linear_regression(sizes, values)
        quality = correlation(sizes, values) ** 2
    first = rows[0]
    runs = ", ".join(dict.fromkeys(row.run for row in rows))
    return Slope(
        quantity, first.varied, first.unit, base, each, quality, runs, tuple(sorted(set(sizes)))
    )
