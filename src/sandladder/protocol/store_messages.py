"""Messages between controllers and the consensus-backed key-value store."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from sandladder.protocol.codec import MalformedMessageError, dumps, loads_map, read_count

KEYS_PATH = "/store"
COMMIT_PATH = "/commit"
LEASES_PATH = "/holds"
WATCH_PATH = "/follow"

# Keys on one page of a listing; the store's maximum is 1,000.
_PAGE_KEYS = 500
_MIN_LEASE_MS, _MAX_LEASE_MS = 100, 600_000


class VersionedValue(NamedTuple):
    """The value of a key, with its version."""

    value: Any
    version: int  # the revision of the last change of the key


class KeyPage(NamedTuple):
    """A page of a listing, sorted by key."""

    revision: int  # the store's revision at the time of the read
    items: list[tuple[str, Any, int]]  # key, value, version
    more: bool  # whether there are further pages


class ChangeBatch(NamedTuple):
    """The changes after a revision, in the order of the store's log."""

    revision: int  # the revision up to which the batch is complete
    changes: list[tuple[str, Any, int]]  # key, value (None: deleted), version


def commit_message(
    expected_versions: Iterable[tuple[str, int]],
    puts: Iterable[tuple[str, Any, int | None]],
    drops: Iterable[str],
) -> dict[str, Any]:
    """Return the body of an atomic compare-and-swap transaction, before encoding.

    Args:
        expected_versions: keys, each with the version that it must have; 0: it must not exist.
        puts: keys to write, each with its value and the lease that it is attached to, or None.
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
    return {"guards": conditions, "apply": changes}


def commit_body(
    expected_versions: Iterable[tuple[str, int]],
    puts: Iterable[tuple[str, Any, int | None]],
    drops: Iterable[str],
) -> bytes:
    """Return the encoded body of a transaction; arguments as in `commit_message`."""
    return dumps(commit_message(expected_versions, puts, drops))


def parse_revision(body: bytes) -> int:
    """Parse the revision at which a transaction was committed.

    Raises:
        MalformedMessageError: the body is malformed.
    """
    return read_count(loads_map(body), "ledger")


def parse_failed_keys(body: bytes) -> list[str]:
    """Parse the keys that did not have the version that a transaction expected.

    Raises:
        MalformedMessageError: the body is not a map.
    """
    failed = loads_map(body).get("failed")
    return [str(key) for key in failed] if isinstance(failed, list) else []


def lease_body(ttl_s: float) -> bytes:
    """Return the body of a lease request; the TTL is clamped to the store's limits."""
    ttl_ms = min(_MAX_LEASE_MS, max(_MIN_LEASE_MS, round(ttl_s * 1000)))
    return dumps({"ttl_ms": ttl_ms})


def parse_lease(body: bytes) -> int:
    """Parse the id of a granted lease.

    Raises:
        MalformedMessageError: the body is malformed.
    """
    return read_count(loads_map(body), "tenure")


def watch_target(prefix: str, after: int, wait_s: float) -> str:
    """Return the target of a watch for up to `wait_s` seconds for changes after a revision."""
    return f"{WATCH_PATH}?prefix={prefix}&after={after}&block_ms={round(wait_s * 1000)}"


def list_target(prefix: str, after: str, limit: int = _PAGE_KEYS) -> str:
    """Return the target of the page of keys with a prefix that follows the key `after`."""
    after_parameter = f"&after={after}" if after else ""
    return f"{KEYS_PATH}?prefix={prefix}{after_parameter}&most={limit}"


def parse_changes(body: bytes) -> ChangeBatch:
    """Parse the changes that a watch returned.

    Raises:
        MalformedMessageError: the body is malformed.
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
            changes.append((_read_key(item, "put"), item.get("v"), read_count(item, "edition")))
        else:
            changes.append((_read_key(item, "drop"), None, read_count(item, "edition")))
    return ChangeBatch(read_count(raw, "ledger"), changes)


def parse_items(body: bytes) -> KeyPage:
    """Parse one page of a listing of keys.

    Raises:
        MalformedMessageError: the body is malformed.
    """
    raw = loads_map(body)
    items = raw.get("items")
    if not isinstance(items, list):
        raise MalformedMessageError("a list is needed", "items")
    parsed = [
        (_read_key(item, "key"), item.get("v"), read_count(item, "edition")) for item in items
    ]
    return KeyPage(read_count(raw, "ledger"), parsed, raw.get("more") is True)


def parse_value(body: bytes) -> VersionedValue:
    """Parse the value and version of a key.

    Raises:
        MalformedMessageError: the body is malformed.
    """
    raw = loads_map(body)
    return VersionedValue(raw.get("v"), read_count(raw, "edition"))


def _read_key(raw: dict[Any, Any], field: str) -> str:
    value = raw.get(field)
    if not isinstance(value, str):
        raise MalformedMessageError("a key is needed", field)
    return value
