"""Consistency of the capacity page with its data, and of the data with the code."""

import pytest
from capacity import measure, page, rows


def test_the_page_matches_its_data() -> None:
    assert page.differences(page.PAGE.read_text()) == []


def test_a_manually_edited_table_is_detected() -> None:
    text = page.PAGE.read_text()
    line = next(line for line in text.splitlines() if line.startswith("| report | tasks"))
    assert page.differences(text.replace(line, line.replace("106", "99"))) == ["slopes"]
    assert page.differences(text.replace("<!-- table: roles -->", "")) == ["roles"]


def test_message_sizes_match_the_data() -> None:
    """Message sizes are deterministic; a changed message or record requires new rows."""
    stored_rows = [row for row in rows.read() if row.unit == "bytes"]
    assert stored_rows and stored_rows == list(measure.sizes_of_messages(stored_rows[0].run))


def test_a_fit_requires_enough_sizes() -> None:
    too_few_rows = [
        rows.Row("r", "thing", "machines", size, 2.0 * size, "bytes") for size in (1, 2, 3)
    ]
    with pytest.raises(rows.TooFewSizesError):
        rows.fit(too_few_rows)
    enough_rows = [
        *too_few_rows,
        *(too_few_rows[0]._replace(size=size, value=2.0 * size) for size in (4, 5)),
    ]
    line = rows.fit(enough_rows)["thing"]
    assert (round(line.intercept, 9), round(line.slope, 9), round(line.r_squared, 9)) == (
        0.0,
        2.0,
        1.0,
    )
