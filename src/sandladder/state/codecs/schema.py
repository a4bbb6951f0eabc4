"""The record that states the schema version of all others."""

from typing import Any

from sandladder.model import ARRAY, SCHEMA_V1, SCHEMA_V2
from sandladder.state.errors import UnknownSchemaVersionError

# Stands where the version before expects a number: it fails there, and logs this text.
UPGRADE_REQUIRED = "these records need sandladder 0.2 or later"


def schema_version_value(schema_version: int) -> dict[str, Any]:
    """The record that states the schema version.

    A controller of the version before takes it for a job.  It cannot read the time, logs the text
    that stands there, and does not get past it: it would do harm with records that it half
    understands.  As it skips a key that it failed on once, the record is written again while such
    a controller sends heartbeats (`SchemaMigration`), and inventories stop it as well.
    This can go once no store is left that such a version may meet.
    """
    spec = ["form", "", "", ARRAY, 0, 1, 1.0, 0.0, 0.0, "", 0.0]
    spec += [None, None, False, False, False, 0.0, 0.0, 0.0, None]
    return {"s": spec, "t": UPGRADE_REQUIRED, "n": 1, "form": schema_version}


def read_schema_version(value: Any) -> int:
    """The schema version that the record states.

    Raises:
        UnknownSchemaVersionError: this program does not support it.
    """
    schema_version = value.get("form") if isinstance(value, dict) else None
    if not isinstance(schema_version, int) or not SCHEMA_V1 < schema_version <= SCHEMA_V2:
        raise UnknownSchemaVersionError(schema_version, SCHEMA_V2)
    return schema_version
