"""Processor time in steps that are measured in the same run, so that machines can be compared."""

import gc
import hashlib
import time
from collections.abc import Callable
from statistics import median

# The step that processor time is given in: a hash over so many bytes.
_REFERENCE_BYTES = 1 << 16
# How often a step is measured; the median counts.
_TIMES = 7


class Stopwatch:
    """Processor time in reference steps."""

    def __init__(self) -> None:
        block = bytes(_REFERENCE_BYTES)
        self.reference_s = self._seconds(lambda: hashlib.sha256(block).digest(), 200)

    @staticmethod
    def _seconds(step: Callable[[], object], repeat: int) -> float:
        found = []
        for _ in range(_TIMES):
            gc.collect()
            began = time.process_time()
            for _ in range(repeat):
                step()
            found.append((time.process_time() - began) / repeat)
        return median(found)

    def steps(self, step: Callable[[], object], repeat: int = 20) -> float:
        """How many reference steps one call takes."""
        return self._seconds(step, repeat) / self.reference_s
