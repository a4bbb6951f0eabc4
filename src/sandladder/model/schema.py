"""Versions of the stored schema."""

# The form of records that this program writes once all controllers understand it.  Until
# FORM_KEY says so, everything is written as the version before wrote it.
SCHEMA_V1, SCHEMA_V2 = 1, 2
