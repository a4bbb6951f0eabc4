"""The record of the schema version, which applies to all other records."""

from typing import Any

from sandladder.model import ARRAY, SCHEMA_V1, SCHEMA_V2
from sandladder.state.errors import UnknownSchemaVersionError

# Stored in place of a number, so that a controller of the previous version fails and logs this.
UPGRADE_REQUIRED = "these records need sandladder 0.2 or later"


def schema_version_value(schema_version: int) -> dict[str, Any]:
    """Encode the record of the schema version.

    A controller of the previous version decodes the record as a job and fails on its time, so that
    it cannot misinterpret the other records.  As it skips a key on which it has failed once, the
    record is written again while such a controller sends heartbeats (`SchemaMigration`);
    inventories make it fail as well.  This can be removed once no such controller may be started.
    """
    spec = ["form", "", "", ARRAY, 0, 1, 1.0, 0.0, 0.0, "", 0.0]
    spec += [None, None, False, False, False, 0.0, 0.0, 0.0, None]
    return {"s": spec, "t": UPGRADE_REQUIRED, "n": 1, "form": schema_version}


def read_schema_version(value: Any) -> int:
    """Decode the record of the schema version.

    Raises:
        UnknownSchemaVersionError: this program does not support it.
    """
    schema_version = value.get("form") if isinstance(value, dict) else None
    if not isinstance(schema_version, int) or not SCHEMA_V1 < schema_version <= SCHEMA_V2:
        raise UnknownSchemaVersionError(schema_version, SCHEMA_V2)
    return schema_version
