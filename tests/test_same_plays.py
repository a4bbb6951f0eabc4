"""Comparison of plays: equal trees have no difference, a changed byte is detected."""

import shutil
from pathlib import Path

import same_plays

PLAY = "fault: ends"


def copy_source_tree(folder: Path) -> Path:
    for part in ("src", "tests", "tools", "deploy"):
        shutil.copytree(
            same_plays.ROOT / part, folder / part, ignore=shutil.ignore_patterns("__pycache__")
        )
    return folder


def test_a_play_is_equal_in_a_copy_of_the_tree(tmp_path: Path) -> None:
    copy = copy_source_tree(tmp_path / "copy")
    comparison = same_plays.compare(PLAY, copy, same_plays.ROOT, tmp_path, 0)
    assert comparison.base.exit_status == 0, comparison.base.last_words
    assert comparison.same and comparison.base.count == comparison.current.count > 1000


def test_a_changed_encoding_is_detected(tmp_path: Path) -> None:
    """Canonical map order changes the encoded bytes but not their meaning."""
    copy = copy_source_tree(tmp_path / "copy")
    replacements = 0
    for path in (copy / "src").rglob("*.py"):
        text = path.read_text("utf-8")
        replacements += text.count("cbor2.dumps(value)")
        path.write_text(text.replace("cbor2.dumps(value)", "cbor2.dumps(value, canonical=True)"))
    assert replacements == 1
    comparison = same_plays.compare(PLAY, copy, same_plays.ROOT, tmp_path, 0)
    assert comparison.base.exit_status == 0, comparison.base.last_words
    assert not comparison.same and comparison.differs_at is not None
    shown = list(same_plays.lines_around(comparison.current.events, comparison.differs_at, 1))
    assert len(shown) == 2


def test_a_truncated_play_differs_at_its_end(tmp_path: Path) -> None:
    complete, truncated = tmp_path / "complete", tmp_path / "truncated"
    complete.write_text("a\nb\n")
    truncated.write_text("a\n")
    assert same_plays.first_difference(complete, truncated) == 1
    assert same_plays.first_difference(complete, complete) is None


def test_an_unknown_base_commit_is_reported(capsys) -> None:  # type: ignore[no-untyped-def]
    assert same_plays.main(["no-such-commit"]) == 2
    assert "no-such-commit" in capsys.readouterr().err
