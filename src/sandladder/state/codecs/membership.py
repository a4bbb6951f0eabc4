"""The records about controllers: the roster, and which schema versions they support."""

from typing import Any

import msgspec

from sandladder.model import Member


def read_roster(value: Any) -> dict[str, Member]:
    """Read the roster, by controller; an absent one is empty."""
    return msgspec.convert(value or {}, dict[str, Member])


def read_supported_versions(value: Any) -> dict[str, int]:
    """The newest schema version that each controller supports, as far as it has said so."""
    return {str(node): int(version) for node, version in (value or {}).items()}
