"""The soak test's command: a short run, bad arguments, and the end of its processes."""

import itertools
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from soak import play
from soak.faults import FAULTS, draw_faults
from soak.loopback import PortAllocator
from soak.play import Run, RunOptions, Verdict
from soak.processes import ControllerProcesses

COMMAND = [sys.executable, str(Path(__file__).parent / "run.py")]


def test_two_short_seeds_hold(tmp_path: Path) -> None:
    options = ["--seeds", "1-2", "--seconds", "20", "--workers", "10", "--jobs", "2"]
    result = subprocess.run(
        [*COMMAND, *options, "--out", str(tmp_path)], capture_output=True, text=True, check=False
    )
    assert result.returncode == Verdict.HELD, result.stdout + result.stderr
    assert "2 of 2 seeds held" in result.stdout
    assert not processes_with(str(tmp_path))


@pytest.mark.parametrize(
    "options",
    [
        [],
        ["--seeds", "9-1"],
        ["--seeds", "x"],
        ["--seeds", "1", "--workers", "0"],
        ["--seeds", "1", "--workers", "401"],
        ["--seeds", "1", "--seconds", "nan"],
        ["--seeds", "1", "--jobs", "many"],
    ],
)
def test_a_bad_argument_gives_a_usage_error(options: list[str]) -> None:
    result = subprocess.run([*COMMAND, *options], capture_output=True, text=True, check=False)
    assert result.returncode == 2
    assert "usage:" in result.stderr and "error:" in result.stderr


def test_a_run_whose_controllers_never_serve_is_not_counted_as_held(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def never_healthy(cluster: object) -> None:
        raise AssertionError("the controllers never became healthy")

    monkeypatch.setattr(play, "wait_until_healthy", never_healthy)
    assert Run(RunOptions(1, 15.0, 4, tmp_path)).play() is Verdict.NOT_RUN


def test_a_violation_makes_a_run_broken(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def broken(cluster: object) -> None:
        run.cluster.record_violation("ran_twice", "planted")

    run = Run(RunOptions(1, 15.0, 4, tmp_path))
    monkeypatch.setattr(play, "wait_until_healthy", broken)
    for step in ("_fill_workers", "_run_with_faults", "_recover"):
        monkeypatch.setattr(run, step, broken.__get__(run))
    assert run.play() is Verdict.BROKEN
    assert "ran_twice: planted" in (tmp_path / "broken.txt").read_text()


@pytest.mark.parametrize(
    "line",
    [
        "ERROR ...: task job-000001/0 ran on machine vm-000001 (epoch 1, attempt 1) after its end was recorded; ...",
        "ERROR ...: task job-000001/0 runs again on machine vm-000001 (epoch 1, attempt 1) after its exit was reported; ...",
        "Traceback (most recent call last):",
    ],
)
def test_a_planted_defect_in_a_controllers_log_is_found(tmp_path: Path, line: str) -> None:
    processes = ControllerProcesses(tmp_path, [])
    processes.log_path(1).write_text(f"INFO ...: loaded 0 records\n{line}\n")
    assert processes.defects(3) == [f"node-1: {line}"]


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_no_process_of_a_run_is_left_after_the_command_is_stopped(
    tmp_path: Path, number: signal.Signals
) -> None:
    check_that_it_stops(tmp_path, number, COMMAND)


def test_no_process_is_left_after_a_command_that_began_with_an_ignored_sigint(
    tmp_path: Path,
) -> None:
    """Guards against a command that a shell script has started in the background."""
    check_that_it_stops(
        tmp_path, signal.SIGINT, ["sh", "-c", 'trap "" INT; exec "$@"', "sh", *COMMAND]
    )


def check_that_it_stops(tmp_path: Path, number: signal.Signals, command: list[str]) -> None:
    """Start a run, send the command a signal, and check that none of its processes is left."""
    command = [*command, "--seeds", "3", "--workers", "4", "--out", str(tmp_path)]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        while not list(tmp_path.glob("seed-3/node-*.log")):
            assert process.poll() is None
            time.sleep(0.1)
        process.send_signal(number)
        assert process.wait() != Verdict.HELD
        while processes_with(str(tmp_path)):
            time.sleep(0.1)
    finally:
        process.kill()


def test_a_seed_draws_the_same_overlapping_faults() -> None:
    plans = draw_faults(7, 3, 60.0)
    assert plans == draw_faults(7, 3, 60.0) != draw_faults(8, 3, 60.0)
    assert all(plan.at_s + plan.for_s <= 60.0 for plan in plans)
    assert any(
        later.at_s < earlier.at_s + earlier.for_s for earlier, later in itertools.pairwise(plans)
    )
    kinds = {plan.kind for seed in range(50) for plan in draw_faults(seed, 3, 60.0)}
    assert kinds == {fault.__name__ for fault in FAULTS}


def test_two_runs_at_once_never_get_the_same_port() -> None:
    """Guards against runs that cannot be made."""
    allocators = [PortAllocator(), PortAllocator()]
    ports = [allocator.take() for _ in range(400) for allocator in allocators]
    assert len(set(ports)) == len(ports)


def processes_with(text: str) -> list[int]:
    """Return the running processes whose command line contains a text."""
    found = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = path.read_bytes().decode("utf-8", "replace")
            state = (path.parent / "stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            continue
        if text in command and state != "Z" and int(path.parent.name) != os.getpid():
            found.append(int(path.parent.name))
    return found
