"""The capacity page is what its data give, and what is counted still comes to the same."""

import pytest
from capacity import measure, page, rows


def test_the_page_and_its_data_agree() -> None:
    assert page.differences(page.PAGE.read_text()) == []


def test_a_table_that_was_edited_by_hand_is_found() -> None:
    text = page.PAGE.read_text()
    line = next(line for line in text.splitlines() if line.startswith("| report | tasks"))
    assert page.differences(text.replace(line, line.replace("106", "99"))) == ["slopes"]
    assert page.differences(text.replace("<!-- table: roles -->", "")) == ["roles"]


def test_sizes_of_messages_are_those_in_the_data() -> None:
    """Bytes repeat exactly: a change of a message or record calls for new rows."""
    kept = [row for row in rows.read() if row.unit == "bytes"]
    assert kept and kept == list(measure.sizes_of_messages(kept[0].run))


def test_a_line_needs_enough_sizes() -> None:
    few = [rows.Row("r", "thing", "machines", size, 2.0 * size, "bytes") for size in (1, 2, 3)]
    with pytest.raises(rows.TooFewSizesError):
        rows.fit(few)
    more = [*few, *(few[0]._replace(size=size, value=2.0 * size) for size in (4, 5))]
    line = rows.fit(more)["thing"]
    assert (round(line.intercept, 9), round(line.slope, 9), round(line.r_squared, 9)) == (
        0.0,
        2.0,
        1.0,
    )
