"""The local copy of the records, in layers: jobs, records of every kind, and their versions.

Pure: no I/O, no clock.  Where the order of iteration may matter, sets are kept as dictionaries: the
order of a set depends on the process, and with it what a controller would do next.
"""

from sandladder.state.cache.state_cache import StateCache

__all__ = ["StateCache"]
