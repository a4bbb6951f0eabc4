"""Expected versions that the store has refused.  Pure: no I/O, no clock."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# The number of keys that are remembered, the latest ones.
_MAX_KEYS = 4096
# After repeated refusals of a key that was expected to be absent, the time in seconds until it may
# be expected to be absent again.
_ABSENCE_RETRY_S = 1.0


class _Refusal(NamedTuple):
    """The refusals of one version of a key: how often, and when last, in seconds."""

    version: int
    times: int
    at: float


class RefusedVersions:
    """The latest version of each key that a conflict has shown to be outdated.

    A change that still expects such a version after a later read of the store conflicts again, and
    with it every change in the same transaction.

    A version is the revision of a key's last change, so an outdated one never returns.  Version 0,
    an absent key, may return when the key is deleted.
    """

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusal] = {}

    def record_conflict(
        self, expected_versions: Mapping[str, int], failed: Iterable[str], now: float
    ) -> None:
        """Record the keys on which a transaction conflicted, and the versions that it expected."""
        for key in failed:
            version = expected_versions.get(key)
            if version is None:
                continue
            earlier = self._refusals.pop(key, None)
            times = earlier.times if earlier is not None and earlier.version == version else 0
            self._refusals[key] = _Refusal(version, times + 1, now)
            if len(self._refusals) > _MAX_KEYS:
                del self._refusals[next(iter(self._refusals))]

    def record_commit(self, expected_versions: Iterable[str]) -> None:
        """Record that the keys of a committed transaction had the versions that it expected."""
        if self._refusals:
            for key in expected_versions:
                self._refusals.pop(key, None)

    def refused_key(self, expected_versions: Mapping[str, int], now: float) -> str | None:
        """Return a key whose expected version cannot be current, or None if there is none."""
        if not self._refusals:
            return None
        return next(
            (
                key
                for key, version in expected_versions.items()
                if self._is_refused(key, version, now)
            ),
            None,
        )

    def _is_refused(self, key: str, version: int, now: float) -> bool:
        """Return whether the expected version of a key cannot be current."""
        refusal = self._refusals.get(key)
        if refusal is None or refusal.version != version:
            return False
        if version > 0:
            return True
        return refusal.times > 1 and now < refusal.at + _ABSENCE_RETRY_S
