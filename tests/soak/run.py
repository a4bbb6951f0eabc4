"""Play seeds of the soak test, each in a process group of its own.

    python tests/soak/run.py --seeds 1-50 --seconds 60 --workers 40 --jobs 4

Exit status: 0 all rules held, 1 a rule was broken, 2 a run could not be made.
"""

import argparse
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

from soak.play import Run, RunOptions, Verdict  # noqa: E402

_MAX_WORKERS = 400
_MAX_JOBS = 8


def seed_range(text: str) -> range:
    """Parse `A` or `A-B`."""
    first, _, last = text.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds or seeds[0] < 0:
        raise argparse.ArgumentTypeError(f"not a range of seeds: {text}")
    return seeds


def bounded(low: float, high: float, number: type[int] | type[float]) -> Callable[[str], float]:
    """Return a parser of a number within bounds."""

    def parse(text: str) -> float:
        value = number(text)
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(f"{text} is not between {low:g} and {high:g}")
        return value

    parse.__name__ = number.__name__
    return parse


def parse_arguments() -> argparse.Namespace:
    """Parse the command line; an error prints the usage and exits with status 2."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=seed_range, required=True, metavar="A-B")
    parser.add_argument("--seconds", type=bounded(15, 3600, float), default=60.0)
    parser.add_argument("--workers", type=bounded(4, _MAX_WORKERS, int), default=24)
    parser.add_argument("--jobs", type=bounded(1, _MAX_JOBS, int), default=1)
    parser.add_argument("--out", type=Path, help="where the records are written")
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    return parser.parse_args()


def play_one(arguments: argparse.Namespace) -> Verdict:
    """Play the first seed in this process."""
    options = RunOptions(
        arguments.seeds[0], arguments.seconds, arguments.workers, Path(arguments.out)
    )
    run = Run(options)
    try:
        verdict = run.play()
    finally:
        observed = {"starts": sum(run.cluster.starts.values()), **run.cluster.observed}
        (options.directory / "observed.json").write_text(json.dumps(observed, indent=1))
    return verdict


class Runs:
    """The runs in progress, whose process groups are killed with this command."""

    def __init__(self, arguments: argparse.Namespace, out: Path) -> None:
        self._arguments = arguments
        self._out = out
        self._groups: set[int] = set()
        self.stopped = False

    def play(self, seed: int) -> Verdict:
        """Play a seed in a process group of its own, and report it."""
        if self.stopped:
            return Verdict.NOT_RUN
        directory = self._out / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        command = [sys.executable, __file__, "--one", "--seeds", str(seed), "--out", str(directory)]
        command += ["--seconds", str(self._arguments.seconds)]
        command += ["--workers", str(self._arguments.workers)]
        with (directory / "run.log").open("wb") as log:
            process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
            )
            self._groups.add(process.pid)
            try:
                status = process.wait()
            finally:
                self._kill(process.pid)
        verdict = Verdict(status) if status in list(Verdict) else Verdict.BROKEN
        self._report(seed, verdict, directory)
        return verdict

    def kill_all(self) -> None:
        """Kill all runs in progress."""
        self.stopped = True
        for group in list(self._groups):
            self._kill(group)

    def _kill(self, group: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(group, signal.SIGKILL)
        self._groups.discard(group)

    @staticmethod
    def _report(seed: int, verdict: Verdict, directory: Path) -> None:
        observed = directory / "observed.json"
        seen = json.loads(observed.read_text()) if observed.exists() else {}
        print(
            f"seed {seed}: {verdict.name.lower()}, {seen.get('starts', 0)} starts, "
            f"recovered in {seen.get('recovered in seconds', '-')} s, {directory}",
            flush=True,
        )
        broken = directory / "broken.txt"
        lines = broken.read_text().splitlines() if broken.exists() else []
        if verdict is Verdict.BROKEN and not lines:
            lines = (directory / "run.log").read_text("utf-8", "replace").splitlines()[-8:]
        for line in lines[:8]:
            print(f"    {line}", flush=True)


def main() -> int:
    """Play the seeds and return the exit status."""
    arguments = parse_arguments()
    if arguments.one:
        return int(play_one(arguments))
    out = arguments.out or Path(tempfile.mkdtemp(prefix="soak-"))
    runs = Runs(arguments, out)
    # Both are set: a shell starts a script's background commands with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, frame: sys.exit(int(Verdict.NOT_RUN)))
    with ThreadPoolExecutor(arguments.jobs) as pool:
        try:
            verdicts = list(pool.map(runs.play, arguments.seeds))
        finally:
            runs.kill_all()
    held = verdicts.count(Verdict.HELD)
    print(f"{held} of {len(verdicts)} seeds held, command: {' '.join(sys.argv[1:])}")
    if Verdict.BROKEN in verdicts:
        return int(Verdict.BROKEN)
    return int(Verdict.NOT_RUN if Verdict.NOT_RUN in verdicts else Verdict.HELD)


if __name__ == "__main__":
    sys.exit(main())
