"""Start sandladder from a checkout, with its sources and dependencies on the import path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from sandladder.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
