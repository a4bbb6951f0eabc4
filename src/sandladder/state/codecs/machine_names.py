"""The short form that machine names have in records."""

import re

_NUMBERED = re.compile(r"vm-([0-9]{6})", re.ASCII)


def short_name(machine: str) -> str | int:
    """Return the short form of a name: its number if the name is `vm-NNNNNN`, or the name."""
    match = _NUMBERED.fullmatch(machine)
    return int(match[1]) if match else machine


def long_name(short: str | int) -> str:
    """Return the name of a short form; the inverse of `short_name`."""
    return f"vm-{short:06d}" if isinstance(short, int) else short


def machine_number(machine: str) -> int:
    """Return the digits of a machine's name, which determine its instance record's chunk."""
    short = short_name(machine)
    return short if isinstance(short, int) else int("".join(filter(str.isdigit, short)) or 0)
