"""Start sandladder from a checkout: put the sources and their dependencies on the path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from sandladder.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
