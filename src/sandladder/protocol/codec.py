"""The codec of the protocol: CBOR bodies, and the checks of single fields in them.

Every value that comes in is checked by one of these readers before anything else sees it.  Pure: no
I/O, no clock.
"""

from math import isfinite
from typing import Any

import cbor2

from sandladder.errors import SandladderError

# Limits of the protocol page: bytes of a body, and one more than the largest count.
BODY_LIMIT = 64 * 1024
COUNT_LIMIT = 1 << 64
# Ours: characters of a text, and the largest amount that is taken for meant.
TEXT_LIMIT = 128
AMOUNT_LIMIT = 1e12


class MalformedMessageError(SandladderError):
    """A body or a field that the protocol does not allow.

    Attributes:
        problem: what is wrong with it.
        field: the name of the field on the wire; empty when it is the body as a whole.
    """

    def __init__(self, problem: str, field: str = "") -> None:
        super().__init__(f"{field}: {problem}" if field else problem)
        self.problem = problem
        self.field = field


def dumps(value: Any) -> bytes:
    """Encode a body."""
    return cbor2.dumps(value)


def loads(body: bytes) -> Any:
    """Decode a body.

    Raises:
        MalformedMessageError: it is not exactly one CBOR item.
    """
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds on hostile input
        raise MalformedMessageError("not CBOR") from error


def loads_map(body: bytes) -> dict[Any, Any]:
    """Decode a body that must be a map.

    Raises:
        MalformedMessageError: it is not CBOR, or not a map.
    """
    value = loads(body)
    if not isinstance(value, dict):
        raise MalformedMessageError("not a map")
    return value


def read_text(raw: dict[Any, Any], field: str) -> str:
    """A printable text that is not empty and not too long.

    Raises:
        MalformedMessageError: the field is absent or holds anything else.
    """
    value = raw.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_LIMIT or not value.isprintable():
        raise MalformedMessageError("a text is needed", field)
    return value


def read_number(raw: dict[Any, Any], field: str, least: float = 0.0) -> float:
    """A finite amount of at least `least`.

    Raises:
        MalformedMessageError: the field is absent, no number, or out of range.
    """
    value = raw.get(field)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedMessageError("a number is needed", field)
    try:
        number = float(value)
    except OverflowError:
        raise MalformedMessageError("too large", field) from None
    if not isfinite(number) or number < least or number > AMOUNT_LIMIT:
        raise MalformedMessageError("out of range", field)
    return number


def read_count(raw: dict[Any, Any], field: str, most: int = COUNT_LIMIT - 1, least: int = 0) -> int:
    """An integer from `least` to `most`, both included.

    Raises:
        MalformedMessageError: the field is absent, no integer, or out of range.
    """
    value = raw.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise MalformedMessageError("a count is needed", field)
    return value


def read_flag(raw: dict[Any, Any], field: str) -> bool:
    """True or false.

    Raises:
        MalformedMessageError: the field is absent or holds anything else.
    """
    value = raw.get(field)
    if not isinstance(value, bool):
        raise MalformedMessageError("true or false is needed", field)
    return value


def read_word(raw: dict[Any, Any], field: str, words: dict[str, Any]) -> Any:
    """What one of the words that the protocol lists stands for here.

    Raises:
        MalformedMessageError: the field is absent or holds none of these words.
    """
    value = raw.get(field)
    if not isinstance(value, str) or value not in words:
        raise MalformedMessageError("not a known word", field)
    return words[value]
