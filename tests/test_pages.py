"""Checks that relative links and named files of the project's pages exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
# Records of past events; the files that they name may have been removed.
RECORDS = {"measurements.md", "incidents"}
PAGES = [
    page
    for page in (*sorted(ROOT.glob("*.md")), *sorted((ROOT / "docs").rglob("*.md")))
    if not RECORDS & set(page.parts)
]
LINK = re.compile(r"\]\((?!https?:)([^)#\s]+)(?:#[^)]*)?\)")
NAMED_PAGE = re.compile(r"`((?:docs|tests|tools|src)/[\w./-]+\.\w+)`")


def broken_links(page: Path, text: str) -> list[str]:
    """Return the relative links and the named files of a page that do not exist."""
    links = [link for link in LINK.findall(text) if not (page.parent / link).exists()]
    return links + [name for name in NAMED_PAGE.findall(text) if not (ROOT / name).exists()]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_and_named_files_exist(page: Path) -> None:
    assert broken_links(page, page.read_text("utf-8")) == []


def test_a_broken_link_is_reported() -> None:
    text = "[a](nowhere.md) [b](README.md#install) [c](https://example.org/x) `docs/none.md`"
    assert broken_links(ROOT / "README.md", text) == ["nowhere.md", "docs/none.md"]
