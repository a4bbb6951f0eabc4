"""Messages between controllers and the consensus-backed key-value store."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from sandladder.protocol.codec import MalformedMessageError, dumps, loads_map, read_count

KEYS_PATH = "/store"
COMMIT_PATH = "/commit"
LEASES_PATH = "/holds"
WATCH_PATH = "/follow"

# Keys on one page of a listing; the store allows 1,000.
_PAGE_KEYS = 500
_SHORTEST_LEASE_MS, _LONGEST_LEASE_MS = 100, 600_000


class VersionedValue(NamedTuple):
    """What is kept under a key."""

    value: Any
    version: int  # the revision of its last change


class KeyPage(NamedTuple):
    """A part of a listing, in the order of the keys."""

    revision: int  # of the store when it was read
    items: list[tuple[str, Any, int]]  # key, value, version
    more: bool  # whether others follow


class ChangeBatch(NamedTuple):
    """The changes after a revision, in their order."""

    revision: int  # which they reach
    changes: list[tuple[str, Any, int]]  # key, value (None: deleted), version


def commit_body(
    expected_versions: Iterable[tuple[str, int]],
    puts: Iterable[tuple[str, Any, int | None]],
    drops: Iterable[str],
) -> bytes:
    """A transaction that is applied as a whole or not at all.

    Args:
        expected_versions: keys, each with the version that it must have; 0: it must not exist.
        puts: keys, each with its value and the lease that it is attached to, or None.
        drops: keys to delete.
    """
    changes: list[dict[str, Any]] = []
    for key, value, lease in puts:
        change: dict[str, Any] = {"put": key, "v": value}
        if lease is not None:
            change["tenure"] = lease
        changes.append(change)
    changes.extend({"drop": key} for key in drops)
    conditions = [{"key": key, "edition": version} for key, version in expected_versions]
    return dumps({"guards": conditions, "apply": changes})


def parse_revision(body: bytes) -> int:
    """The revision that a transaction got.

    Raises:
        MalformedMessageError: the protocol does not allow it.
    """
    return read_count(loads_map(body), "ledger")


def parse_failed_keys(body: bytes) -> list[str]:
    """The keys that did not have the version that a transaction expected.

    Raises:
        MalformedMessageError: the body is not a map.
    """
    failed = loads_map(body).get("failed")
    return [str(key) for key in failed] if isinstance(failed, list) else []


def lease_body(ttl_s: float) -> bytes:
    """A request for a lease that lasts so many seconds, within what the store allows."""
    ttl_ms = min(_LONGEST_LEASE_MS, max(_SHORTEST_LEASE_MS, round(ttl_s * 1000)))
    return dumps({"ttl_ms": ttl_ms})


def parse_lease(body: bytes) -> int:
    """The id of a lease that was granted.

    Raises:
        MalformedMessageError: the protocol does not allow it.
    """
    return read_count(loads_map(body), "tenure")


def watch_target(prefix: str, after: int, wait_s: float) -> str:
    """The target that waits so many seconds for changes after a revision."""
    return f"{WATCH_PATH}?prefix={prefix}&after={after}&block_ms={round(wait_s * 1000)}"


def list_target(prefix: str, after: str, limit: int = _PAGE_KEYS) -> str:
    """The target of one page of the keys with a prefix, in order, from after `after` on."""
    start = f"&after={after}" if after else ""
    return f"{KEYS_PATH}?prefix={prefix}{start}&most={limit}"


def parse_events(body: bytes) -> ChangeBatch:
    """The changes that a watch brought.

    Raises:
        MalformedMessageError: the protocol does not allow it.
    """
    raw = loads_map(body)
    log = raw.get("log") or []
    if not isinstance(log, list):
        raise MalformedMessageError("a list is needed", "log")
    changes: list[tuple[str, Any, int]] = []
    for item in log:
        if not isinstance(item, dict):
            raise MalformedMessageError("maps are needed", "log")
        if "put" in item:
            changes.append((_key(item, "put"), item.get("v"), read_count(item, "edition")))
        else:
            changes.append((_key(item, "drop"), None, read_count(item, "edition")))
    return ChangeBatch(read_count(raw, "ledger"), changes)


def parse_items(body: bytes) -> KeyPage:
    """One page of a listing of keys.

    Raises:
        MalformedMessageError: the protocol does not allow it.
    """
    raw = loads_map(body)
    items = raw.get("items")
    if not isinstance(items, list):
        raise MalformedMessageError("a list is needed", "items")
    found = [(_key(item, "key"), item.get("v"), read_count(item, "edition")) for item in items]
    return KeyPage(read_count(raw, "ledger"), found, raw.get("more") is True)


def parse_value(body: bytes) -> VersionedValue:
    """A key's value and version.

    Raises:
        MalformedMessageError: the protocol does not allow it.
    """
    raw = loads_map(body)
    return VersionedValue(raw.get("v"), read_count(raw, "edition"))


def _key(raw: dict[Any, Any], field: str) -> str:
    value = raw.get(field)
    if not isinstance(value, str):
        raise MalformedMessageError("a key is needed", field)
    return value
