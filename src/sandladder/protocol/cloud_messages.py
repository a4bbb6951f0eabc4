"""Messages between controllers and the cloud."""

from typing import Any, NamedTuple

from sandladder.model import ListedMachine, MachineType
from sandladder.protocol.codec import (
    MalformedMessageError,
    dumps,
    loads_map,
    read_number,
    read_text,
)

CATALOG_PATH = "/catalog"
MACHINES_PATH = "/machines"
RETURN_PATH = "/machines/return"

# Machines on one page of the list; the cloud's maximum.
_PAGE_MACHINES = 500

_MACHINE_STATES = {"starting": "booting"}
# Negative: the list may describe a time before the machine was requested.
_MIN_LISTED_AGE_S = -1e9


class MachinePage(NamedTuple):
    """A page of the machine list, sorted by name."""

    machines: list[ListedMachine]
    more: bool  # whether there are further pages


def parse_catalog(body: bytes) -> dict[str, MachineType]:
    """Parse the cloud's machine types, by name.

    Raises:
        MalformedMessageError: the body is malformed, or it has no machine types.
    """
    types = loads_map(body).get("breeds")
    if not isinstance(types, list) or not types:
        raise MalformedMessageError("a list is needed", "breeds")
    parsed = map(_parse_machine_type, types)
    return {machine_type.name: machine_type for machine_type in parsed}


def _parse_machine_type(raw: Any) -> MachineType:
    if not isinstance(raw, dict):
        raise MalformedMessageError("maps are needed", "breeds")
    zones = raw.get("districts")
    if not isinstance(zones, list):
        raise MalformedMessageError("a list is needed", "districts")
    return MachineType(
        name=read_text(raw, "label"),
        cpus=read_number(raw, "vcpus"),
        gpus=_read_number_or_zero(raw, "gpus"),
        memory_gb=read_number(raw, "ram_gb"),
        cache_gb=_read_number_or_zero(raw, "cache_gb"),
        fetch_gb_per_s=read_number(raw, "pull_gb_per_s"),
        price=read_number(raw, "price"),
        spot_price=_read_number_or_zero(raw, "market_price"),
        boot_s=read_number(raw, "boot_s"),
        zones=tuple(str(zone) for zone in zones),
    )


def _read_number_or_zero(raw: dict[Any, Any], field: str) -> float:
    return 0.0 if raw.get(field) is None else read_number(raw, field)


def rental_body(name: str, type_name: str, zone: str, spot: bool, count: int) -> bytes:
    """Return the body of a request to rent machines.

    The request is idempotent by its name, which must not be reused for another request.
    """
    return dumps(
        {"hire": name, "breed": type_name, "district": zone, "loaners": spot, "count": count}
    )


def parse_rented(body: bytes) -> list[str]:
    """Parse the names of the machines that a rental request returned.

    Raises:
        MalformedMessageError: the body is malformed.
    """
    names = loads_map(body).get("rungs")
    if not isinstance(names, list) or not all(isinstance(n, str) and n for n in names):
        raise MalformedMessageError("names are needed", "rungs")
    return names


def return_body(machines: list[str]) -> bytes:
    """Return the body of a request to return machines, given their names."""
    return dumps({"rungs": machines})


def machines_target(after: str) -> str:
    """Return the target of the page of the machine list that follows the machine `after`."""
    after_parameter = f"after={after}&" if after else ""
    return f"{MACHINES_PATH}?{after_parameter}most={_PAGE_MACHINES}"


def parse_machines(body: bytes) -> MachinePage:
    """Parse one page of the machine list.

    No item is skipped, as a machine without an item counts as missing.

    Raises:
        MalformedMessageError: the body or any of its items is malformed.
    """
    raw = loads_map(body)
    items, more = raw.get("rungs"), raw.get("more")
    if not isinstance(items, list):
        raise MalformedMessageError("a list is needed", "rungs")
    if not isinstance(more, bool):
        raise MalformedMessageError("true or false is needed", "more")
    return MachinePage([_parse_listed_machine(item) for item in items], more)


def _parse_listed_machine(raw: Any) -> ListedMachine:
    if not isinstance(raw, dict):
        raise MalformedMessageError("maps are needed", "rungs")
    state = str(raw.get("standing"))
    return ListedMachine(
        id=read_text(raw, "id"),
        type=read_text(raw, "breed"),
        zone=read_text(raw, "district"),
        spot=raw.get("loaners") is True,
        state=_MACHINE_STATES.get(state, state),
        age_s=read_number(raw, "age_s", _MIN_LISTED_AGE_S),
        addr=read_text(raw, "addr"),
    )
