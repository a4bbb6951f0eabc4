"""Each log line of warning and above stands on the page for the engineer on call."""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operations.md"
LEVELS = {"warning", "error", "exception", "critical"}


def log_lines(source: str) -> Iterator[str]:
    """The formats of a module's log calls of warning and above."""
    for node in ast.walk(ast.parse(source)):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in LEVELS
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id == "log"
        ):
            form = node.args[0]
            assert isinstance(form, ast.Constant), f"a log line's format is computed: {form!r}"
            yield str(form.value)


def missing_from(page: str, sources: list[str]) -> list[str]:
    """The log lines of these sources that the page does not show between backticks."""
    return [line for source in sources for line in log_lines(source) if f"`{line}`" not in page]


def test_each_log_line_of_warning_and_above_stands_on_the_page() -> None:
    sources = [path.read_text("utf-8") for path in sorted((ROOT / "src").rglob("*.py"))]
    assert sum(1 for source in sources for _ in log_lines(source)) > 10
    assert missing_from(PAGE.read_text("utf-8"), sources) == []


def test_a_line_that_the_page_lacks_is_found() -> None:
    source = 'log.warning("the lease of %s has expired", name)\nlog.info("nothing")\n'
    assert missing_from("`the lease has expired`", [source]) == ["the lease of %s has expired"]
    assert missing_from("`the lease of %s has expired`", [source]) == []
