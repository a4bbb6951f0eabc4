"""The cache of the records, in layers: jobs, records of all kinds, keys with their versions.

Pure: no I/O, no clock.  Where iteration order may affect behavior, dictionaries are used as sets:
the iteration order of a `set` differs between processes.
"""

from sandladder.state.cache.state_cache import StateCache

__all__ = ["StateCache"]
