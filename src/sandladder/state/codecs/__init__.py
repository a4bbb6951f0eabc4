"""How records are encoded: for each kind of record, one module that writes and reads its value.

Pure functions between the types of `sandladder.model` and values that JSON and CBOR can hold.  Each
stored form is written here and nowhere else; `docs/upgrading.md` says what may be added to which.
A reader raises whatever its conversion raises (ValueError, KeyError, TypeError, msgspec's errors):
the cache marks such a record as unreadable.
"""
