#!/usr/bin/env python3
"""Play the plays of `tests/plays.py` at a commit and in the working tree, and compare their events.

    python tools/same_plays.py BASE [--jobs 10] [--only TEXT] [--context 3]

An event is a request or its answer, with status and body, or a frame between controllers, in
virtual time, as the simulation traces it.  A change of names and shape must leave each of
them, byte for byte.  BASE's tree is taken from the history; its own tests play it.  Each play is
printed with its count of events and the processor time of both sides in seconds, and where they
differ with the first difference.  A play whose checks fail on both sides alike is compared all the
same, and said to fail.

With `--keep DIR` the base's events are kept there and used again, so that only the working tree is
played; the base's processor times are then those of the kept run.

Exit status 0 if all plays are the same and none failed, 1 otherwise, 2 for a base that cannot be
had.
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
# How much of an event is shown: a request's body may take kilobytes.
SHOWN_CHARACTERS = 400


@dataclass(frozen=True)
class Outcome:
    """What one play in one tree came to."""

    events: Path
    count: int
    processor_s: float
    exit_status: int
    last_words: str


@dataclass(frozen=True)
class Comparison:
    """One play in both trees; `differs_at`: the position of the first event that differs."""

    name: str
    base: Outcome
    here: Outcome
    differs_at: int | None

    @property
    def same(self) -> bool:
        """Whether both sides made the same events and ended alike."""
        return self.differs_at is None and self.base.exit_status == self.here.exit_status


def extract(commit: str, folder: Path) -> None:
    """Write a commit's sources and tests below a folder.

    Raises:
        subprocess.CalledProcessError: the history here has no such commit.
    """
    command = ["git", "-C", str(ROOT), "archive", commit, "src", "tests", "tools", "deploy"]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as members:
        members.extractall(folder, filter="data")


def commit_id(commit: str) -> str:
    """The full id of a commit."""
    command = ["git", "-C", str(ROOT), "rev-parse", commit]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()


def import_path(tree: Path) -> str:
    """The folders of a tree from which its plays import."""
    tests = tree / "tests"
    folders = sorted({path.parent for path in tests.rglob("*.py")})
    return os.pathsep.join(map(str, (tree / "src", *folders, tree / "tools")))


def play(tree: Path, name: str, events: Path) -> Outcome:
    """Run one play in a process of its own, with its events written to a file."""
    git_folder = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "--absolute-git-dir"],
        check=True, capture_output=True, text=True,
    ).stdout.strip()  # fmt: skip
    environment = os.environ | {
        "PYTHONPATH": import_path(tree),
        "PYTHONHASHSEED": "0",
        # The version in production is taken from the history, which the base's tree has not.
        "GIT_DIR": git_folder,
    }
    said = events.with_suffix(".err")
    with events.open("wb") as output, said.open("wb") as errors:
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
        said.read_text("utf-8", "replace").strip()[-SHOWN_CHARACTERS:],
    )


def first_difference(one: Path, other: Path) -> int | None:
    """The position of the first line that is not the same in both files, or None."""
    with one.open("rb") as left, other.open("rb") as right:
        pairs = itertools.zip_longest(left, right)
        return next((at for at, (line, match) in enumerate(pairs) if line != match), None)


def kept_play(tree: Path, name: str, events: Path) -> Outcome:
    """The outcome of a play whose events were kept, or else play it and keep them."""
    noted = events.with_suffix(".json")
    if noted.exists():
        return Outcome(events, **json.loads(noted.read_text()))
    found = play(tree, name, events)
    figures = {field: value for field, value in vars(found).items() if field != "events"}
    # Written last and in one step: a run that was broken off is not taken for a whole one.
    draft = noted.with_suffix(".draft")
    draft.write_text(json.dumps(figures))
    draft.rename(noted)
    return found


def compare(
    name: str, base: Path, here: Path, scratch: Path, number: int, kept: Path | None = None
) -> Comparison:
    """Run one play in both trees, one after the other; the base's from what was kept, if so."""
    if kept is None:
        one = play(base, name, scratch / f"{number}-base")
    else:
        one = kept_play(base, name, kept / re.sub(r"[^0-9a-z]+", "-", name))
    other = play(here, name, scratch / f"{number}-here")
    return Comparison(name, one, other, first_difference(one.events, other.events))


def lines_around(path: Path, at: int, context: int) -> Iterator[str]:
    """The events before a position, and the one there."""
    with path.open("rb") as lines:
        for line in itertools.islice(lines, max(0, at - context), at + 1):
            yield line.decode("utf-8", "replace").rstrip()[:SHOWN_CHARACTERS]


def report(found: Comparison, context: int) -> None:
    """Print one comparison."""
    verdict = "same" if found.same else "DIFFERS"
    if found.here.exit_status:
        verdict += ", its checks fail"
    times = f"{found.base.processor_s:6.1f} {found.here.processor_s:6.1f}"
    print(f"{found.name:50} {found.here.count:7} events {times} s  {verdict}", flush=True)
    if found.differs_at is not None:
        for side, outcome in (("base", found.base), ("here", found.here)):
            for line in lines_around(outcome.events, found.differs_at, context):
                print(f"    {side}: {line}")
    if found.here.exit_status or found.base.exit_status:
        print(f"    base: {found.base.last_words}\n    here: {found.here.last_words}")


def names_of(tree: Path) -> list[str]:
    """The names of the plays that a tree has."""
    command = [sys.executable, str(tree / "tests" / "plays.py"), "--list"]
    environment = os.environ | {"PYTHONPATH": import_path(tree)}
    done = subprocess.run(command, check=True, capture_output=True, text=True, env=environment)
    return done.stdout.splitlines()


def main(arguments: list[str] | None = None) -> int:
    """Compare all plays; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("base", help="the commit to compare with")
    parser.add_argument("--jobs", type=int, default=os.cpu_count(), help="plays at once")
    parser.add_argument("--only", default="", metavar="TEXT", help="plays with this in their name")
    parser.add_argument("--context", type=int, default=3, help="events shown before a difference")
    parser.add_argument("--keep", type=Path, metavar="DIR", help="keep and reuse the base's events")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="sandladder-plays-") as folder:
        scratch = Path(folder)
        base = scratch / "tree"
        try:
            extract(options.base, base)
        except subprocess.CalledProcessError as error:
            print(error.stderr.decode("utf-8", "replace").strip(), file=sys.stderr)
            return 2
        names = [name for name in names_of(ROOT) if options.only in name]
        missing = sorted(set(names) - set(names_of(base)))
        if missing or not names:
            print(f"no play has that in its name, or the base lacks: {missing}", file=sys.stderr)
            return 2
        kept = None
        if options.keep is not None:
            kept = options.keep / commit_id(options.base)
            kept.mkdir(parents=True, exist_ok=True)
        found: list[Comparison] = []
        with ThreadPoolExecutor(options.jobs) as pool:
            numbers = range(len(names))
            plays = pool.map(lambda n: compare(names[n], base, ROOT, scratch, n, kept), numbers)
            for comparison in plays:
                report(comparison, options.context)
                found.append(comparison)
    before = sum(comparison.base.processor_s for comparison in found)
    after = sum(comparison.here.processor_s for comparison in found)
    differing = [comparison.name for comparison in found if not comparison.same]
    failed = [comparison.name for comparison in found if comparison.here.exit_status]
    events = sum(comparison.here.count for comparison in found)
    print(
        f"{len(found)} plays, {events} events, {len(differing)} differ, {len(failed)} fail; "
        f"processor time {before:.1f} s before, {after:.1f} s after, ratio {after / before:.3f}"
    )
    return 1 if differing or failed else 0


if __name__ == "__main__":
    sys.exit(main())
