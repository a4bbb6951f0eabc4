"""The version in production, from the repository's own history, to run beside today's."""

import functools
import importlib
import io
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from pathlib import Path
from types import ModuleType, SimpleNamespace

ROOT = Path(__file__).resolve().parent.parent
_MODULES = ("control", "http", "lifecycle", "mesh", "model", "settings", "wire")


class Version(SimpleNamespace):
    """The modules of one version."""

    __hash__ = object.__hash__  # type: ignore[assignment]


def _git(*args: str) -> bytes:
    return subprocess.run(["git", "-C", str(ROOT), *args], check=True, capture_output=True).stdout


def commit() -> str:
    """The commit that runs in production."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text("utf-8"))
    return str(deploy["production"])


@functools.cache
def unavailable_reason() -> str | None:
    """Why the code in production cannot be had here, or None."""
    try:
        _git("cat-file", "-e", f"{commit()}^{{commit}}")
    except (OSError, subprocess.CalledProcessError):
        return "the history here does not reach back to the version in production"
    return None


@functools.cache
def load() -> Version:
    """Its modules, imported beside today's under their own roof."""
    scratch = Path(tempfile.mkdtemp(prefix="sandladder-production-"))
    with tarfile.open(fileobj=io.BytesIO(_git("archive", commit(), "src/sandladder"))) as archive:
        archive.extractall(scratch, filter="data")
    today = _taken()
    sys.path.insert(0, str(scratch / "src"))
    try:
        found = {name: importlib.import_module(f"sandladder.{name}") for name in _MODULES}
    finally:
        _taken()
        sys.modules.update(today)
        sys.path.remove(str(scratch / "src"))
    assert all(str(scratch) in str(module.__file__) for module in found.values())
    return Version(**found)


def _taken() -> dict[str, ModuleType]:
    """The package's modules, taken out of those imported."""
    names = [n for n in sys.modules if n == "sandladder" or n.startswith("sandladder.")]
    return {name: sys.modules.pop(name) for name in names}
