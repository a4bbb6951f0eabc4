"""Compression and splitting of values that exceed the store's limit on values."""

import base64
import zlib
from typing import Any

import msgspec

from sandladder.state.entries import KeyValue, StoredValue
from sandladder.state.keys import continuation_key

# Fields of a part: its text, and in the first part the number of parts.
_TEXT, _PART_COUNT = "~", "of"
# Fields of a record that is written in several transactions: the stamp of all its parts, and the
# index of the first continuation.
_STAMP, _FIRST_INDEX = "r", "b"
# The encoded length of a part without its text, in bytes.
_PART_OVERHEAD_BYTES = len(
    msgspec.json.encode({_TEXT: "", _PART_COUNT: 1000, _STAMP: 1 << 53, _FIRST_INDEX: 1000})
)
# Maximum length of a joined record, in bytes: bounds the memory that a malformed one can use.
_JOINED_BYTES_LIMIT = 4 << 20
# Upper bound assumed for the number of continuations: the indices used with odd and with even
# stamps must not overlap.
_CONTINUATIONS_LIMIT = 999


def split_value(value: Any, max_bytes: float) -> list[Any]:
    """Split a record into the values under its key and its continuation keys.

    A value of at most `max_bytes` is not split.  Otherwise all parts must be written in one
    transaction, or be stamped by `stamp_parts`.
    """
    encoded = msgspec.json.encode(value)
    if len(encoded) <= max_bytes:
        return [value]
    text = base64.b64encode(zlib.compress(encoded)).decode("ascii")
    text_bytes = max(1, int(max_bytes) - _PART_OVERHEAD_BYTES)
    texts = [text[at : at + text_bytes] for at in range(0, len(text), text_bytes)]
    parts: list[dict[str, Any]] = [{_TEXT: part} for part in texts]
    parts[0][_PART_COUNT] = len(parts)
    return parts


def stamp_parts(key: str, parts: list[dict[str, Any]], stamp: int) -> list[tuple[str, Any]]:
    """Return the keys and values of a record that exceeds one transaction, its first part last.

    Continuations are written under other keys than those of the current record, before the first
    part.  All parts have the same stamp, so that an incomplete record is not joined.
    """
    first_index = 1 + stamp % 2 * (_CONTINUATIONS_LIMIT + 1)
    head = parts[0] | {_STAMP: stamp, _FIRST_INDEX: first_index}
    continuations = [
        KeyValue(continuation_key(key, first_index + index), part | {_STAMP: stamp})
        for index, part in enumerate(parts[1:])
    ]
    return [*continuations, KeyValue(key, head)]


def is_split(value: Any) -> bool:
    """Return whether a value is the first part of a split record."""
    return isinstance(value, dict) and _TEXT in value


def join_value(head: StoredValue, continuations: dict[int, StoredValue]) -> Any:
    """Join the parts of a record, or return None if they are incomplete or do not match."""
    value, version = head
    texts = [value[_TEXT]]
    first_index = int(value.get(_FIRST_INDEX, 1))
    for index in range(first_index, first_index + int(value[_PART_COUNT]) - 1):
        part = continuations.get(index)
        if part is None:
            return None
        if _STAMP in value:
            if part.value.get(_STAMP) != value[_STAMP]:
                return None
        elif part.version != version:
            return None
        texts.append(part.value[_TEXT])
    data = base64.b64decode("".join(texts), validate=True)
    return msgspec.json.decode(zlib.decompressobj().decompress(data, _JOINED_BYTES_LIMIT))
