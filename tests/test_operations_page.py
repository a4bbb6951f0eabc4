"""Checks that docs/operations.md lists each log line of level warning and above."""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operations.md"
LEVELS = {"warning", "error", "exception", "critical"}


def log_formats(source: str) -> Iterator[str]:
    """Yield the format strings of a module's log calls of level warning and above."""
    for node in ast.walk(ast.parse(source)):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in LEVELS
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id == "log"
        ):
            log_format = node.args[0]
            assert isinstance(log_format, ast.Constant), f"not a constant format: {log_format!r}"
            yield str(log_format.value)


def missing_formats(page: str, sources: list[str]) -> list[str]:
    """Return the log formats of these sources that the page does not show between backticks."""
    return [text for source in sources for text in log_formats(source) if f"`{text}`" not in page]


def test_each_log_line_of_warning_and_above_is_on_the_page() -> None:
    sources = [path.read_text("utf-8") for path in sorted((ROOT / "src").rglob("*.py"))]
    assert sum(1 for source in sources for _ in log_formats(source)) > 10
    assert missing_formats(PAGE.read_text("utf-8"), sources) == []


def test_a_log_line_missing_from_the_page_is_reported() -> None:
    source = 'log.warning("the lease of %s has expired", name)\nlog.info("nothing")\n'
    assert missing_formats("`the lease has expired`", [source]) == ["the lease of %s has expired"]
    assert missing_formats("`the lease of %s has expired`", [source]) == []
