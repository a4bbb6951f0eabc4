"""Addresses in settings and messages."""

from typing import NamedTuple

_LARGEST_PORT = 65535


class Address(NamedTuple):
    """Where a server listens."""

    host: str
    port: int


def parse_address(addr: str) -> Address:
    """Read `host:port`.

    Raises:
        ValueError: it is not that, or the port is none.
    """
    host, colon, port = addr.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= _LARGEST_PORT:
        raise ValueError(f"not host:port: {addr!r}")
    return Address(host, int(port))
