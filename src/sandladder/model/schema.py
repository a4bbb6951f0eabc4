"""Versions of the stored schema.

Controllers write records in schema version 1 until all of them support version 2 and the stored
schema version says so (docs/upgrading.md).
"""

SCHEMA_V1, SCHEMA_V2 = 1, 2
