"""The records of controllers: the roster, and the schema versions that they support."""

from typing import Any

import msgspec

from sandladder.model import Member


def read_roster(value: Any) -> dict[str, Member]:
    """Decode the roster by controller; an absent record is empty."""
    return msgspec.convert(value or {}, dict[str, Member])


def read_supported_versions(value: Any) -> dict[str, int]:
    """Decode the newest schema version that each controller has recorded as supported."""
    return {str(node): int(version) for node, version in (value or {}).items()}
