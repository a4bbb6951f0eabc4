"""Codecs of the stored records, one module for each kind of record.

Pure functions between the types of `sandladder.model` and values that JSON and CBOR can represent.
No other module encodes or decodes a stored record; `docs/upgrading.md` defines which records may be
extended.  A decoder raises its conversion's error (ValueError, KeyError, TypeError, msgspec's
errors) for a malformed record, which the cache then marks as unreadable.
"""
