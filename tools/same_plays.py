#!/usr/bin/env python3
"""Run the plays of `tests/plays.py` at a commit and in the working tree, and compare their events.

    python tools/same_plays.py BASE [--jobs 10] [--only TEXT] [--context 3]

An event is a request, a response with status and body, or a frame between controllers, in virtual
time, as the simulation traces it.  A refactoring must leave every event the same, byte for byte.
BASE's sources and tests are extracted from the git history.  For each play the number of events,
the processor time of both sides in seconds and the first difference are printed.  A play whose
checks fail in the working tree is compared as well, and counted as failed.

With `--keep DIR` the events of BASE are stored in DIR and reused by later runs, which then run
only the working tree and report the processor times of the stored run.

Exit status: 0 if all plays are the same and none failed, 1 otherwise, 2 if BASE or the selected
plays do not exist.
"""

import argparse
import io
import itertools
import json
import os
import re
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Length to which printed events and error output are cut: the body of a request may have kilobytes.
SHOWN_CHARACTERS = 400


@dataclass(frozen=True)
class Outcome:
    """The outcome of one play in one tree."""

    events: Path
    count: int
    processor_s: float
    exit_status: int
    last_words: str  # the end of its standard error


@dataclass(frozen=True)
class Comparison:
    """The outcomes of one play in both trees.

    Attributes:
        name: the name of the play.
        base: the outcome at the base commit.
        current: the outcome in the working tree.
        differs_at: the position of the first event that differs, or None.
    """

    name: str
    base: Outcome
    current: Outcome
    differs_at: int | None

    @property
    def same(self) -> bool:
        """Whether events and exit status are the same."""
        return self.differs_at is None and self.base.exit_status == self.current.exit_status


def extract(commit: str, folder: Path) -> None:
    """Extract a commit's sources and tests into a folder.

    Raises:
        subprocess.CalledProcessError: the repository has no such commit.
    """
    command = ["git", "-C", str(ROOT), "archive", commit, "src", "tests", "tools", "deploy"]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as members:
        members.extractall(folder, filter="data")


def commit_id(commit: str) -> str:
    """Return the full hash of a commit."""
    command = ["git", "-C", str(ROOT), "rev-parse", commit]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()


def import_path(tree: Path) -> str:
    """Return the import path of a tree's plays, as in PYTHONPATH."""
    tests = tree / "tests"
    folders = sorted({path.parent for path in tests.rglob("*.py")})
    return os.pathsep.join(map(str, (tree / "src", *folders, tree / "tools")))


def play(tree: Path, name: str, events: Path) -> Outcome:
    """Run one play in a process of its own and write its events to a file."""
    git_folder = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "--absolute-git-dir"],
        check=True, capture_output=True, text=True,
    ).stdout.strip()  # fmt: skip
    environment = os.environ | {
        "PYTHONPATH": import_path(tree),
        "PYTHONHASHSEED": "0",
        # Tests read the production version from the git history, which an extracted tree lacks.
        "GIT_DIR": git_folder,
    }
    error_path = events.with_suffix(".err")
    with events.open("wb") as output, error_path.open("wb") as errors:
        process = subprocess.Popen(
            [sys.executable, str(tree / "tests" / "plays.py"), name],
            env=environment, stdout=output, stderr=errors, cwd=tree,
        )  # fmt: skip
        _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    with events.open("rb") as lines:
        count = sum(1 for _ in lines)
    return Outcome(
        events,
        count,
        usage.ru_utime + usage.ru_stime,
        process.returncode,
        error_path.read_text("utf-8", "replace").strip()[-SHOWN_CHARACTERS:],
    )


def first_difference(first: Path, second: Path) -> int | None:
    """Return the position of the first line that differs, or None if the files are equal."""
    with first.open("rb") as left, second.open("rb") as right:
        pairs = itertools.zip_longest(left, right)
        return next(
            (position for position, (line, match) in enumerate(pairs) if line != match), None
        )


def stored_play(tree: Path, name: str, events: Path) -> Outcome:
    """Return the stored outcome of a play, or run the play and store its outcome."""
    outcome_path = events.with_suffix(".json")
    if outcome_path.exists():
        return Outcome(events, **json.loads(outcome_path.read_text()))
    outcome = play(tree, name, events)
    fields = {field: value for field, value in vars(outcome).items() if field != "events"}
    # Written last and atomically, so that an interrupted run is not taken for a complete one.
    draft = outcome_path.with_suffix(".draft")
    draft.write_text(json.dumps(fields))
    draft.rename(outcome_path)
    return outcome


def compare(
    name: str,
    base: Path,
    current: Path,
    scratch: Path,
    index: int,
    outcome_folder: Path | None = None,
) -> Comparison:
    """Run one play in both trees, one after the other.

    Args:
        name: the name of the play.
        base: the tree of the base commit.
        current: the working tree.
        scratch: the folder for the events.
        index: makes the names of the files in `scratch` unique.
        outcome_folder: the folder of the base's stored outcomes, if they are stored.
    """
    if outcome_folder is None:
        base_outcome = play(base, name, scratch / f"{index}-base")
    else:
        base_outcome = stored_play(base, name, outcome_folder / re.sub(r"[^0-9a-z]+", "-", name))
    outcome = play(current, name, scratch / f"{index}-current")
    return Comparison(
        name, base_outcome, outcome, first_difference(base_outcome.events, outcome.events)
    )


def lines_around(path: Path, position: int, context: int) -> Iterator[str]:
    """Yield the event at a position, after up to `context` events before it."""
    with path.open("rb") as lines:
        for line in itertools.islice(lines, max(0, position - context), position + 1):
            yield line.decode("utf-8", "replace").rstrip()[:SHOWN_CHARACTERS]


def print_comparison(comparison: Comparison, context: int) -> None:
    verdict = "same" if comparison.same else "DIFFERS"
    if comparison.current.exit_status:
        verdict += ", its checks fail"
    times = f"{comparison.base.processor_s:6.1f} {comparison.current.processor_s:6.1f}"
    print(
        f"{comparison.name:50} {comparison.current.count:7} events {times} s  {verdict}", flush=True
    )
    if comparison.differs_at is not None:
        for side, outcome in (("base", comparison.base), ("current", comparison.current)):
            for line in lines_around(outcome.events, comparison.differs_at, context):
                print(f"    {side}: {line}")
    if comparison.current.exit_status or comparison.base.exit_status:
        print(
            f"    base: {comparison.base.last_words}\n    current: {comparison.current.last_words}"
        )


def play_names(tree: Path) -> list[str]:
    """Return the names of a tree's plays."""
    command = [sys.executable, str(tree / "tests" / "plays.py"), "--list"]
    environment = os.environ | {"PYTHONPATH": import_path(tree)}
    process = subprocess.run(command, check=True, capture_output=True, text=True, env=environment)
    return process.stdout.splitlines()


def main(arguments: list[str] | None = None) -> int:
    """Compare the selected plays and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("base", help="the commit to compare with")
    parser.add_argument("--jobs", type=int, default=os.cpu_count(), help="plays run in parallel")
    parser.add_argument(
        "--only", default="", metavar="TEXT", help="run plays whose name contains TEXT"
    )
    parser.add_argument("--context", type=int, default=3, help="events printed before a difference")
    parser.add_argument("--keep", type=Path, metavar="DIR", help="store and reuse BASE's events")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="sandladder-plays-") as folder:
        scratch = Path(folder)
        base = scratch / "tree"
        try:
            extract(options.base, base)
        except subprocess.CalledProcessError as error:
            print(error.stderr.decode("utf-8", "replace").strip(), file=sys.stderr)
            return 2
        names = [name for name in play_names(ROOT) if options.only in name]
        missing = sorted(set(names) - set(play_names(base)))
        if missing or not names:
            print(f"no play matches --only, or BASE lacks plays: {missing}", file=sys.stderr)
            return 2
        outcome_folder = None
        if options.keep is not None:
            outcome_folder = options.keep / commit_id(options.base)
            outcome_folder.mkdir(parents=True, exist_ok=True)
        comparisons: list[Comparison] = []
        with ThreadPoolExecutor(options.jobs) as pool:
            indices = range(len(names))
            plays = pool.map(
                lambda i: compare(names[i], base, ROOT, scratch, i, outcome_folder), indices
            )
            for comparison in plays:
                print_comparison(comparison, options.context)
                comparisons.append(comparison)
    base_s = sum(comparison.base.processor_s for comparison in comparisons)
    current_s = sum(comparison.current.processor_s for comparison in comparisons)
    differing = [comparison.name for comparison in comparisons if not comparison.same]
    failed = [comparison.name for comparison in comparisons if comparison.current.exit_status]
    events = sum(comparison.current.count for comparison in comparisons)
    print(
        f"{len(comparisons)} plays, {events} events, {len(differing)} differ, {len(failed)} fail; "
        f"processor time {base_s:.1f} s before, {current_s:.1f} s after, "
        f"ratio {current_s / base_s:.3f}"
    )
    return 1 if differing or failed else 0


if __name__ == "__main__":
    sys.exit(main())
