"""The measured rows, one CSV file for each run, and linear fits of them."""

import csv
from collections.abc import Iterable
from pathlib import Path
from statistics import correlation, linear_regression
from typing import NamedTuple

DATA_FOLDER = Path(__file__).resolve().parents[2] / "docs" / "capacity"
# Minimum number of sizes for a fit.
MIN_SIZES = 5


class Row(NamedTuple):
    """One measurement of a quantity at one size.  The fields name the columns of the CSV files."""

    run: str
    quantity: str
    varied: str  # what `size` counts
    size: float
    value: float
    unit: str


class LinearFit(NamedTuple):
    """A quantity as a linear function of the size.

    Attributes:
        quantity: the name of the quantity.
        varied: what the size counts.
        unit: the unit of the quantity.
        intercept: the value at size 0.
        slope: the increase for each unit of size.
        r_squared: the squared correlation, or 1 if the value does not vary.
        run: the names of the runs, separated by commas.
        sizes: the measured sizes in ascending order.
    """

    quantity: str
    varied: str
    unit: str
    intercept: float
    slope: float
    r_squared: float
    run: str
    sizes: tuple[float, ...]

    def value_at(self, size: float) -> float:
        """Return the value at a size, in the unit of the rows."""
        return self.intercept + self.slope * size


class TooFewSizesError(ValueError):
    """A quantity was measured at fewer sizes than a fit needs."""


def write(path: Path, rows: Iterable[Row]) -> None:
    """Write the rows of a run to a CSV file."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(Row._fields)
        writer.writerows(rows)


def read(folder: Path = DATA_FOLDER) -> list[Row]:
    """Return the rows of all CSV files of a folder, ordered by file name and line."""
    rows = []
    for path in sorted(folder.glob("*.csv")):
        with path.open(newline="") as file:
            for line in csv.DictReader(file):
                size, value = float(line.pop("size")), float(line.pop("value"))
                rows.append(Row(**line, size=size, value=value))
    return rows


def fit(rows: Iterable[Row]) -> dict[str, LinearFit]:
    """Return the linear fit of each quantity, by quantity."""
    grouped: dict[str, list[Row]] = {}
    for row in rows:
        grouped.setdefault(row.quantity, []).append(row)
    return {quantity: _fit_quantity(quantity, group) for quantity, group in grouped.items()}


def _fit_quantity(quantity: str, rows: list[Row]) -> LinearFit:
    sizes, values = [row.size for row in rows], [row.value for row in rows]
    if len(set(sizes)) < MIN_SIZES:
        raise TooFewSizesError(
            f"{quantity} was measured at {len(set(sizes))} sizes; a fit needs {MIN_SIZES}"
        )
    if max(values) == min(values):
        slope, intercept, r_squared = 0.0, values[0], 1.0
    else:
        slope, intercept = linear_regression(sizes, values)
        r_squared = correlation(sizes, values) ** 2
    first = rows[0]
    runs = ", ".join(dict.fromkeys(row.run for row in rows))
    return LinearFit(
        quantity,
        first.varied,
        first.unit,
        intercept,
        slope,
        r_squared,
        runs,
        tuple(sorted(set(sizes))),
    )
