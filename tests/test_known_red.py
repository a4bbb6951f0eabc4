"""Handling of known failures in `KNOWN-RED.txt`: valid entries, stale entries and errors."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

RED, GREEN = "tests/test_it.py::test_red", "tests/test_it.py::test_green"
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


@pytest.mark.parametrize(
    ("lines", "status", "expected_output"),
    [
        ([], 1, "1 failed, 1 passed"),
        ([f"{RED} | a fault | 29"], 0, f"KNOWN RED {RED}: a fault (issue 29)"),
        ([f"{RED} | a fault | 29", f"{GREEN} | none | 29"], 1, "[XPASS(strict)] none (issue 29)"),
        ([f"{RED} | a fault | 29", "tests/test_it.py::gone | a | 1"], 4, "no such test"),
        ([f"{RED} | a fault"], 4, "not `test id | cause | issue`"),
        ([f"{RED}{n} | a | 1" for n in range(4)], 4, "4 lines, 3 at most"),
    ],
)
def test_only_listed_tests_may_fail(
    tmp_path: Path, lines: list[str], status: int, expected_output: str
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_it.py").write_text(TESTS)
    shutil.copy(Path(__file__).with_name("conftest.py"), tmp_path / "tests")
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (completed.returncode, expected_output in completed.stdout + completed.stderr) == (
        status,
        True,
    ), completed.stdout
