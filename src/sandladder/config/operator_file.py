"""The operators' settings file: one S-expression of `(key value)` pairs.

sandladder defines the keys of this file, so an unknown key is an error.
"""

from math import isfinite
from pathlib import Path
from typing import Any

import msgspec
import sexpdata

from sandladder.config.errors import SettingsError

_SUBJECT = "operator settings"
_HEAD_SYMBOL = "sandladder"
# In agents' leases; a shorter controller lease would expire between two renewals.
_MIN_HOLD_LEASES = 0.5


class Operator(msgspec.Struct, frozen=True, rename="kebab"):
    """The operators' settings, most of them relative to a value of the platform's file."""

    # The TTL of a controller's lease in the key-value store, in agents' leases.  It must exceed a
    # typical outage of the store, so that such an outage causes no agent's lease to expire.
    hold_leases: float = 2.0
    # The interval at which a controller writes its machine inventory, in heartbeat intervals.
    summary_reports: float = 1.0
    # The number of machines initially sampled to place a task.
    sample: int = 4
    # The time for which an idle machine is kept, in boot times of its type.
    idle_boots: float = 1.0
    # Free capacity reserved for each class whose jobs must start before a machine could boot, in
    # typical jobs of the class.
    spare_jobs: float = 1.0
    # The silence after which an unreachable machine is returned, in agents' leases.
    silent_leases: float = 0.35


def parse_operator(text: str) -> Operator:
    """Parse and check the operators' settings: a list of a head symbol and pairs.

    Raises:
        SettingsError: the text is not such a list, or a key or value is invalid.
    """
    values = _read_pairs(text)
    try:
        operator = msgspec.convert(values, Operator)
    except msgspec.ValidationError as error:
        raise SettingsError(_SUBJECT, str(error)) from None
    _check_ratios(operator)
    return operator


def _read_pairs(text: str) -> dict[str, Any]:
    """Parse the value of each key, without checking the values."""
    try:
        tree = sexpdata.loads(text)
    except Exception as error:  # noqa: BLE001 (sexpdata raises its own and built-in exceptions)
        raise SettingsError(_SUBJECT, str(error)) from None
    starts_with_symbol = isinstance(tree, list) and tree and isinstance(tree[0], sexpdata.Symbol)
    if not starts_with_symbol or tree[0].value() != _HEAD_SYMBOL:
        raise SettingsError(
            _SUBJECT, f"must be one list that starts with the symbol {_HEAD_SYMBOL}"
        )
    values: dict[str, Any] = {}
    known_keys = {field.encode_name for field in msgspec.structs.fields(Operator)}
    for pair in tree[1:]:
        if not isinstance(pair, list) or len(pair) != 2 or not isinstance(pair[0], sexpdata.Symbol):
            raise SettingsError(_SUBJECT, f"not a (key value) pair: {pair!r}")
        key = pair[0].value()
        if key not in known_keys:
            raise SettingsError(_SUBJECT, f"unknown key {key}")
        if key in values:
            raise SettingsError(_SUBJECT, f"duplicate key {key}")
        values[key] = pair[1]
    return values


def _check_ratios(operator: Operator) -> None:
    for field in msgspec.structs.fields(Operator):
        value = getattr(operator, field.name)
        if not isfinite(value) or value < 0 or (value == 0 and field.name != "spare_jobs"):
            raise SettingsError(f"{_SUBJECT}: {field.encode_name}", "must be above 0")
    if operator.hold_leases < _MIN_HOLD_LEASES:
        raise SettingsError(f"{_SUBJECT}: hold-leases", f"must be at least {_MIN_HOLD_LEASES}")


def load_operator(path: Path) -> Operator:
    """Read and check the operators' file.

    Raises:
        SettingsError: the file cannot be read or is invalid.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error)) from None
    return parse_operator(text)
