"""The leases that the simulated store grants."""

import itertools
from collections.abc import Iterator

from simulation.event_loop import now


class Leases:
    """Leases by id, each with its expiry and its time to live, in seconds."""

    def __init__(self) -> None:
        self._leases: dict[int, tuple[float, float]] = {}
        self._ids = itertools.count(1)

    def __contains__(self, lease: int) -> bool:
        return lease in self._leases

    def grant(self, ttl_s: float) -> int:
        """Grant a lease and return its id."""
        lease = next(self._ids)
        self._leases[lease] = now() + ttl_s, ttl_s
        return lease

    def renew(self, lease: int) -> bool:
        """Renew a lease for its full time to live; return False if it has expired."""
        if lease not in self._leases:
            return False
        _, ttl_s = self._leases[lease]
        self._leases[lease] = now() + ttl_s, ttl_s
        return True

    def renew_all(self) -> None:
        """Renew all leases for their full time to live, as after an outage."""
        self._leases = {lease: (now() + ttl_s, ttl_s) for lease, (_, ttl_s) in self._leases.items()}

    def expire(self) -> Iterator[int]:
        """Remove the expired leases and yield their ids."""
        for lease in [lease for lease, (expiry, _) in self._leases.items() if expiry < now()]:
            del self._leases[lease]
            yield lease
