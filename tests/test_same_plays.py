"""Two trees are told apart by one changed byte, and the same tree is told to be the same."""

import shutil
from pathlib import Path

import same_plays

PLAY = "fault: ends"


def copy_of_the_tree(folder: Path) -> Path:
    for part in ("src", "tests", "tools", "deploy"):
        shutil.copytree(
            same_plays.ROOT / part, folder / part, ignore=shutil.ignore_patterns("__pycache__")
        )
    return folder


def test_a_play_is_the_same_in_a_copy_of_the_tree(tmp_path: Path) -> None:
    copy = copy_of_the_tree(tmp_path / "copy")
    found = same_plays.compare(PLAY, copy, same_plays.ROOT, tmp_path, 0)
    assert found.base.exit_status == 0, found.base.last_words
    assert found.same and found.base.count == found.current.count > 1000


def test_a_planted_change_of_bytes_is_found(tmp_path: Path) -> None:
    """Maps in canonical order mean the same to every receiver, and are other bytes."""
    copy = copy_of_the_tree(tmp_path / "copy")
    planted = 0
    for path in (copy / "src").rglob("*.py"):
        text = path.read_text("utf-8")
        planted += text.count("cbor2.dumps(value)")
        path.write_text(text.replace("cbor2.dumps(value)", "cbor2.dumps(value, canonical=True)"))
    assert planted == 1
    found = same_plays.compare(PLAY, copy, same_plays.ROOT, tmp_path, 0)
    assert found.base.exit_status == 0, found.base.last_words
    assert not found.same and found.differs_at is not None
    shown = list(same_plays.lines_around(found.current.events, found.differs_at, 1))
    assert len(shown) == 2


def test_a_play_that_ends_early_differs_where_it_ends(tmp_path: Path) -> None:
    one, other = tmp_path / "one", tmp_path / "other"
    one.write_text("a\nb\n")
    other.write_text("a\n")
    assert same_plays.first_difference(one, other) == 1
    assert same_plays.first_difference(one, one) is None


def test_a_base_that_the_history_lacks_is_said(capsys) -> None:  # type: ignore[no-untyped-def]
    assert same_plays.main(["no-such-commit"]) == 2
    assert "no-such-commit" in capsys.readouterr().err
