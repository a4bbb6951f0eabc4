"""Processor time in units of a reference step, for comparison of runs on different machines."""

import gc
import hashlib
import time
from collections.abc import Callable
from statistics import median

# The reference step is the hash of a block of this size.
_REFERENCE_BLOCK_BYTES = 1 << 16
# Number of measurements of a step, of which the median is taken.
_MEASUREMENTS = 7


class Stopwatch:
    """Measures processor time in reference steps.

    Attributes:
        reference_s: the processor time of the reference step, in seconds.
    """

    def __init__(self) -> None:
        block = bytes(_REFERENCE_BLOCK_BYTES)
        self.reference_s = self._seconds(lambda: hashlib.sha256(block).digest(), 200)

    @staticmethod
    def _seconds(step: Callable[[], object], repeat: int) -> float:
        durations_s = []
        for _ in range(_MEASUREMENTS):
            gc.collect()
            began = time.process_time()
            for _ in range(repeat):
                step()
            durations_s.append((time.process_time() - began) / repeat)
        return median(durations_s)

    def steps(self, step: Callable[[], object], repeat: int = 20) -> float:
        """Return the processor time of one call, in reference steps."""
        return self._seconds(step, repeat) / self.reference_s
