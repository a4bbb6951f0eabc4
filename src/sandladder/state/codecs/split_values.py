"""Values that are too long for the store, compressed and split over several keys."""

import base64
import zlib
from typing import Any

import msgspec

from sandladder.state.entries import KeyValue, StoredValue
from sandladder.state.keys import continuation_key

# Fields of a part: its text; and of the first part, the number of parts.
_TEXT, _PART_COUNT = "~", "of"
# Fields of a record whose parts several transactions wrote: the stamp that all of them carry, and
# the index of the first continuation.
_STAMP, _FIRST_INDEX = "r", "b"
# What surrounds the text of a part, in bytes.
_PART_OVERHEAD_BYTES = len(
    msgspec.json.encode({_TEXT: "", _PART_COUNT: 1000, _STAMP: 1 << 53, _FIRST_INDEX: 1000})
)
# Bounds what a malformed record can make of the memory.
_JOINED_BYTES_LIMIT = 4 << 20
_CONTINUATIONS_LIMIT = 999


def split_value(value: Any, most_bytes: float) -> list[Any]:
    """The values that a record is written as, the first under the record's own key.

    The value itself if it is at most `most_bytes` long.  Otherwise the parts belong together when
    one transaction wrote them all.
    """
    encoded = msgspec.json.encode(value)
    if len(encoded) <= most_bytes:
        return [value]
    text = base64.b64encode(zlib.compress(encoded)).decode("ascii")
    text_bytes = max(1, int(most_bytes) - _PART_OVERHEAD_BYTES)
    texts = [text[at : at + text_bytes] for at in range(0, len(text), text_bytes)]
    parts: list[dict[str, Any]] = [{_TEXT: part} for part in texts]
    parts[0][_PART_COUNT] = len(parts)
    return parts


def stamp_parts(key: str, parts: list[dict[str, Any]], stamp: int) -> list[tuple[str, Any]]:
    """The keys and values of a record too large for one transaction, its first part last.

    The continuations are written ahead, beside those that the first part still names; all carry
    one stamp, so that a half-written record is never taken for a whole one.
    """
    first_index = 1 + stamp % 2 * (_CONTINUATIONS_LIMIT + 1)
    head = parts[0] | {_STAMP: stamp, _FIRST_INDEX: first_index}
    ahead = [
        KeyValue(continuation_key(key, first_index + index), part | {_STAMP: stamp})
        for index, part in enumerate(parts[1:])
    ]
    return [*ahead, KeyValue(key, head)]


def is_split(value: Any) -> bool:
    """Whether a value is the first part of a split record."""
    return isinstance(value, dict) and _TEXT in value


def join_value(head: StoredValue, continuations: dict[int, StoredValue]) -> Any:
    """The record of these parts; None if one is missing or they were not written together."""
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
