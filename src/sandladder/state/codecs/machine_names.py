"""The short form of machine names in records."""

import re

_NUMBERED = re.compile(r"vm-([0-9]{6})", re.ASCII)


def short_name(machine: str) -> str | int:
    """A machine's name as records hold it: its number, if that determines the whole name."""
    found = _NUMBERED.fullmatch(machine)
    return int(found[1]) if found else machine


def long_name(short: str | int) -> str:
    """The inverse of `short_name`."""
    return f"vm-{short:06d}" if isinstance(short, int) else short


def machine_number(machine: str) -> int:
    """The number that assigns a machine to an instance record: the digits of its name."""
    short = short_name(machine)
    return short if isinstance(short, int) else int("".join(filter(str.isdigit, short)) or 0)
