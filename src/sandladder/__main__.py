"""Run sandladder with `python -m sandladder`."""

import sys

from sandladder.cli import main

sys.exit(main())
