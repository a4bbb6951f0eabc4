"""The protocol's codec: CBOR bodies, and readers that validate single fields.

Every received value is validated by one of these readers before it is used.  Pure: no I/O, no
clock.
"""

from math import isfinite
from typing import Any

import cbor2
import msgspec

from sandladder.errors import SandladderError

# Limits of the protocol: the bytes of a body, and the exclusive upper bound of counts.
BODY_LIMIT = 64 * 1024
COUNT_LIMIT = 1 << 64
# Limits of this implementation: characters of a text, and the largest amount.
TEXT_LIMIT = 128
AMOUNT_LIMIT = 1e12


class MalformedMessageError(SandladderError):
    """A body or a field that the protocol does not allow.

    Attributes:
        problem: a description of the problem.
        field: the name of the field on the wire; empty if the problem concerns the whole body.
    """

    def __init__(self, problem: str, field: str = "") -> None:
        super().__init__(f"{field}: {problem}" if field else problem)
        self.problem = problem
        self.field = field


def dumps(value: Any) -> bytes:
    """Encode a body."""
    return cbor2.dumps(value)


def counted_bytes(value: Any) -> int:
    """Return the length of a body as the protocol's size limits count it: that of its JSON form."""
    return len(msgspec.json.encode(value))


def loads(body: bytes) -> Any:
    """Decode a body.

    Raises:
        MalformedMessageError: the body is not CBOR.
    """
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many types of exceptions on hostile input
        raise MalformedMessageError("not CBOR") from error


def loads_map(body: bytes) -> dict[Any, Any]:
    """Decode a body that must be a map.

    Raises:
        MalformedMessageError: the body is not CBOR, or not a map.
    """
    value = loads(body)
    if not isinstance(value, dict):
        raise MalformedMessageError("not a map")
    return value


def read_text(raw: dict[Any, Any], field: str) -> str:
    """Read a printable, non-empty text of at most `TEXT_LIMIT` characters.

    Raises:
        MalformedMessageError: the field is absent or holds anything else.
    """
    value = raw.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_LIMIT or not value.isprintable():
        raise MalformedMessageError("a text is needed", field)
    return value


def read_number(raw: dict[Any, Any], field: str, minimum: float = 0.0) -> float:
    """Read a finite number from `minimum` to `AMOUNT_LIMIT`, both included.

    Raises:
        MalformedMessageError: the field is absent, not a number, or out of range.
    """
    value = raw.get(field)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedMessageError("a number is needed", field)
    try:
        number = float(value)
    except OverflowError:
        raise MalformedMessageError("too large", field) from None
    if not isfinite(number) or number < minimum or number > AMOUNT_LIMIT:
        raise MalformedMessageError("out of range", field)
    return number


def read_count(
    raw: dict[Any, Any], field: str, maximum: int = COUNT_LIMIT - 1, minimum: int = 0
) -> int:
    """Read an integer from `minimum` to `maximum`, both included.

    Raises:
        MalformedMessageError: the field is absent, not an integer, or out of range.
    """
    value = raw.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise MalformedMessageError("a count is needed", field)
    return value


def read_flag(raw: dict[Any, Any], field: str) -> bool:
    """Read a boolean.

    Raises:
        MalformedMessageError: the field is absent or holds anything else.
    """
    value = raw.get(field)
    if not isinstance(value, bool):
        raise MalformedMessageError("true or false is needed", field)
    return value


def read_word(raw: dict[Any, Any], field: str, words: dict[str, Any]) -> Any:
    """Read one of the protocol's words and return the value that it maps to.

    Raises:
        MalformedMessageError: the field is absent or holds none of the words.
    """
    value = raw.get(field)
    if not isinstance(value, str) or value not in words:
        raise MalformedMessageError("not a known word", field)
    return words[value]
