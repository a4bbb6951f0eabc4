"""The names and forms of the outside: the one package that knows how the wire is spelled."""

from sandladder.protocol.wire import dumps

__all__ = ["dumps"]
