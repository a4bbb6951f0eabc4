"""The version in production, loaded from the git history alongside the working tree's version."""

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
    """Return the commit that runs in production."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text("utf-8"))
    return str(deploy["production"])


@functools.cache
def unavailable_reason() -> str | None:
    """Return why the version in production is unavailable, or None if it is available."""
    try:
        _git("cat-file", "-e", f"{commit()}^{{commit}}")
    except (OSError, subprocess.CalledProcessError):
        return "the git history does not contain the version in production"
    return None


@functools.cache
def load() -> Version:
    """Import the modules of the version in production, without replacing the current ones."""
    scratch = Path(tempfile.mkdtemp(prefix="sandladder-production-"))
    with tarfile.open(fileobj=io.BytesIO(_git("archive", commit(), "src/sandladder"))) as archive:
        archive.extractall(scratch, filter="data")
    current_modules = _pop_package_modules()
    sys.path.insert(0, str(scratch / "src"))
    try:
        modules = {name: importlib.import_module(f"sandladder.{name}") for name in _MODULES}
    finally:
        _pop_package_modules()
        sys.modules.update(current_modules)
        sys.path.remove(str(scratch / "src"))
    assert all(str(scratch) in str(module.__file__) for module in modules.values())
    return Version(**modules)


def _pop_package_modules() -> dict[str, ModuleType]:
    """Remove the package's modules from `sys.modules`, and return them."""
    names = [n for n in sys.modules if n == "sandladder" or n.startswith("sandladder.")]
    return {name: sys.modules.pop(name) for name in names}
