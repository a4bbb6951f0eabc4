"""The operators' own settings: one S-expression of `(key value)` pairs.

The file is ours, so an unknown key there is a mistake and is refused.
"""

from math import isfinite
from pathlib import Path
from typing import Any

import msgspec
import sexpdata

from sandladder.config.errors import SettingsError

_SUBJECT = "operator settings"
_HEAD = "sandladder"
# A shorter lease of a controller would expire between two renewals.
_LEAST_HOLD_LEASES = 0.5


class Operator(msgspec.Struct, frozen=True, rename="kebab"):
    """The operators' own settings; each is a ratio to a figure of the platform's file."""

    # How long a controller's lease in the key-value store lasts, in agents' leases: longer than an
    # ordinary outage of the store, so that such an outage ends no agent's lease.
    hold_leases: float = 2.0
    # How often a controller writes its machine inventory, in heartbeat intervals.
    summary_reports: float = 1.0
    # Machines sampled for a task before the sample grows.
    sample: int = 4
    # How long an idle machine is kept, in boot times of its type.
    idle_boots: float = 1.0
    # Free capacity kept for work that must start before a machine could boot, in typical jobs of
    # each such class.
    spare_jobs: float = 1.0
    # Silence after which an unreachable machine is returned, in agents' leases.
    silent_leases: float = 0.35


def parse_operator(text: str) -> Operator:
    """Read and check the operators' settings: a list of pairs after a head symbol.

    Raises:
        SettingsError: the text is not such a list, or a key or value is not allowed.
    """
    values = _read_pairs(text)
    try:
        operator = msgspec.convert(values, Operator)
    except msgspec.ValidationError as error:
        raise SettingsError(_SUBJECT, str(error)) from None
    _check_ratios(operator)
    return operator


def _read_pairs(text: str) -> dict[str, Any]:
    """The value of each key, not checked yet."""
    try:
        tree = sexpdata.loads(text)
    except Exception as error:  # noqa: BLE001 (sexpdata raises its own kinds and plain ones)
        raise SettingsError(_SUBJECT, str(error)) from None
    head = isinstance(tree, list) and tree and isinstance(tree[0], sexpdata.Symbol)
    if not head or tree[0].value() != _HEAD:
        raise SettingsError(_SUBJECT, f"must be one list that starts with {_HEAD}")
    values: dict[str, Any] = {}
    known = {field.encode_name for field in msgspec.structs.fields(Operator)}
    for pair in tree[1:]:
        if not isinstance(pair, list) or len(pair) != 2 or not isinstance(pair[0], sexpdata.Symbol):
            raise SettingsError(_SUBJECT, f"not a (key value) pair: {pair!r}")
        key = pair[0].value()
        if key not in known:
            raise SettingsError(_SUBJECT, f"unknown key {key}")
        if key in values:
            raise SettingsError(_SUBJECT, f"{key} is given twice")
        values[key] = pair[1]
    return values


def _check_ratios(operator: Operator) -> None:
    for field in msgspec.structs.fields(Operator):
        value = getattr(operator, field.name)
        if not isfinite(value) or value < 0 or (value == 0 and field.name != "spare_jobs"):
            raise SettingsError(f"{_SUBJECT}: {field.encode_name}", "must be above 0")
    if operator.hold_leases < _LEAST_HOLD_LEASES:
        raise SettingsError(f"{_SUBJECT}: hold-leases", f"must be at least {_LEAST_HOLD_LEASES}")


def load_operator(path: Path) -> Operator:
    """Read and check the operators' file.

    Raises:
        SettingsError: it cannot be read or used.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error)) from None
    return parse_operator(text)
