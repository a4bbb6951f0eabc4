"""Support for `KNOWN-RED.txt` at the root, which lists tests that fail due to a known fault.

Each line is `test id | cause | issue`; there are at most three.  A listed test is run as a strict
xfail: its failure is printed and ignored, its success fails the run until the line is removed.
More lines, malformed lines and unknown test ids are usage errors.
"""

from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3


def known_red(root: Path) -> dict[str, str]:
    """Return the cause and issue of each listed test, by test id."""
    path = root / FILE
    text = path.read_text("utf-8") if path.exists() else ""
    entries: dict[str, str] = {}
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or parts[0] in entries:
            raise pytest.UsageError(f"{FILE}: not `test id | cause | issue`, each once: {line}")
        entries[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(entries) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE}: {len(entries)} lines, {MAX_ENTRIES} at most")
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red(config.rootpath)
    unknown = listed.keys() - {item.nodeid for item in items}
    # A partial run does not collect all tests, so only a full run detects unknown ids.
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
