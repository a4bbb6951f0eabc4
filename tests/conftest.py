"""`KNOWN-RED.txt` at the root: tests that fail for a real fault which is not mended yet.

A line each, `test id | cause | issue`, three at most.  A listed test runs; its failure is printed and
passed over, its passing fails the run until the line is taken out.  So do a fourth line, a line of
another shape, and a test id that does not exist.
"""

from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


def known_red(root: Path) -> dict[str, str]:
    """The listed tests, each with its cause and issue."""
    path = root / FILE
    text = path.read_text("utf-8") if path.exists() else ""
    found: dict[str, str] = {}
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or parts[0] in found:
            raise pytest.UsageError(f"{FILE}: not `test id | cause | issue`, each once: {line}")
        found[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(found)} lines, {MOST} at most")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red(config.rootpath)
    unknown = listed.keys() - {item.nodeid for item in items}
    # Where only some tests are asked for, the others are not known to be missing.
    if unknown and config.args == config.getini("testpaths"):
        raise pytest.UsageError(f"{FILE}: no such test: {', '.join(sorted(unknown))}")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason=listed[item.nodeid]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    listed = known_red(terminalreporter.config.rootpath)
    for report in terminalreporter.getreports("xfailed"):
        if report.nodeid in listed:
            terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {listed[report.nodeid]}")
