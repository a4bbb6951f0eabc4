"""Network addresses in settings and messages."""

from typing import NamedTuple

_MAX_PORT = 65535


class Address(NamedTuple):
    """The host and port at which a server listens."""

    host: str
    port: int


def parse_address(addr: str) -> Address:
    """Parse an address of the form `host:port`.

    Raises:
        ValueError: the text does not have this form, or the port is out of range.
    """
    host, colon, port = addr.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"not host:port: {addr!r}")
    return Address(host, int(port))
