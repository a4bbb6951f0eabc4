"""Versions of the stored schema.

Records are written as schema version 1, the one of the version before, until all controllers
support version 2 and the record of the schema version says so (docs/upgrading.md).
"""

SCHEMA_V1, SCHEMA_V2 = 1, 2
