"""The client of the consensus-backed key-value store."""

from typing import Any, NamedTuple

from sandladder import clock
from sandladder.config import State
from sandladder.protocol import wire
from sandladder.state.errors import (
    ConflictError,
    LeaseExpiredError,
    StoreRequestError,
    StoreUnavailableError,
    TransactionTooLargeError,
    UnknownOutcomeError,
)
from sandladder.state.records import ROOT
from sandladder.state.token_bucket import AdaptiveTokenBucket
from sandladder.transport import HttpError, Requester, Response


class StoreClient:
    """Requests to the state service."""

    def __init__(self, client: Requester, limits: State, timeout: float) -> None:
        self._client = client
        self._timeout = timeout
        self.limits = limits
        least = limits.least()
        self.writes = AdaptiveTokenBucket(limits.write_rps, least.write_rps)
        self.requests = AdaptiveTokenBucket(limits.rps, least.rps)
        self.ok_at = float("-inf")  # when it last answered

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response:
        self.requests.spend(1)
        answer = await self._client.request(method, target, body, timeout=self._timeout)
        if answer.status == 429:
            self.requests.refused(1)
            raise StoreRequestError("over the rate limit")
        if answer.status >= 500:
            raise StoreRequestError(f"status {answer.status}")
        self.ok_at = clock.now()
        self.requests.allowed()
        return answer

    async def _read(self, target: str) -> Response:
        try:
            return await self._request("GET", target)
        except HttpError as error:
            raise StoreRequestError(str(error)) from None

    async def get(self, key: str) -> tuple[Any, int] | None:
        """A key's value and version, or None."""
        answer = await self._read(f"{wire.STORE}/{key}")
        if answer.status == 404:
            return None
        return wire.parse_value(self._ok(answer))

    async def read_all(self, prefix: str) -> tuple[int, list[tuple[str, Any, int]]]:
        """All keys with a prefix, and the revision as of which at least they are complete."""
        found: list[tuple[str, Any, int]] = []
        after, least = "", None
        while True:
            answer = await self._read(wire.list_target(prefix, after))
            revision, items, more = wire.parse_items(self._ok(answer))
            least = revision if least is None else min(least, revision)
            found += items
            if not more or not items:
                return least, found
            after = items[-1][0]

    async def follow(self, after: int) -> tuple[int, list[tuple[str, Any, int]]] | None:
        """Changes after a revision, or None when those are no longer kept."""
        answer = await self._read(wire.follow_target(ROOT, after, 0.0))
        if answer.status == 410:
            return None
        return wire.parse_events(self._ok(answer))

    @staticmethod
    def _ok(answer: Response) -> bytes:
        if answer.status != 200:
            raise StoreRequestError(f"status {answer.status}")
        return answer.body

    async def commit(self, body: bytes, changes: int) -> int:
        """Apply a transaction; the revision it got."""
        self.writes.spend(changes)
        self.requests.spend(1)
        try:
            answer = await self._client.request("POST", wire.COMMIT, body, timeout=self._timeout)
        except HttpError as error:
            raise UnknownOutcomeError(str(error)) from None
        if answer.status == 429:
            self.writes.refused(changes)
            raise StoreRequestError("over the rate limit")
        if answer.status == 503:
            self.writes.unspent(changes)
            raise StoreUnavailableError("status 503")
        if answer.status >= 500:
            raise UnknownOutcomeError(f"status {answer.status}")
        self.ok_at = clock.now()
        if answer.status == 409:
            raise ConflictError(wire.parse_failed(answer.body))
        if answer.status == 400:
            text = wire.loads_map(answer.body).get("error")
            if text == "no such lease":
                raise LeaseExpiredError
            raise TransactionTooLargeError(f"the state service refused a transaction: {text}")
        self.writes.allowed()
        return wire.parse_revision(self._ok(answer))

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""
        try:
            answer = await self._request("POST", wire.HOLDS, wire.lease_body(ttl_s))
        except HttpError as error:
            raise StoreRequestError(str(error)) from None
        return wire.parse_lease(self._ok(answer))

    async def renew(self, lease: int) -> None:
        """Renew a lease; raises NoLease when it has ended."""
        try:
            answer = await self._request("POST", f"{wire.HOLDS}/{lease}/renew")
        except HttpError as error:
            raise StoreRequestError(str(error)) from None
        if answer.status == 404:
            raise LeaseExpiredError
        self._ok(answer)


class LeaseRenewal(NamedTuple):
    """A lease and until when it surely lasts."""

    lease: int
    until: float
