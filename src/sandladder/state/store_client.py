"""The client of the consensus-backed key-value store."""

from typing import NamedTuple

from sandladder import clock
from sandladder.config import StoreSettings
from sandladder.protocol import loads_map, store_messages
from sandladder.state.entries import StoredEntries, StoredEntry, StoredValue
from sandladder.state.errors import (
    ConflictError,
    LeaseExpiredError,
    StoreRequestError,
    StoreUnavailableError,
    TransactionTooLargeError,
    UnknownOutcomeError,
)
from sandladder.state.keys import KEY_ROOT
from sandladder.state.token_bucket import AdaptiveTokenBucket
from sandladder.transport import HttpError, HttpRequester, Response

_OK, _BAD_REQUEST, _NOT_FOUND, _CONFLICT, _GONE = 200, 400, 404, 409, 410
_RATE_LIMITED, _SERVER_ERROR, _UNAVAILABLE = 429, 500, 503
# What the store says of a transaction that names a lease which it does not have.
_NO_SUCH_LEASE = "no such lease"


class StoreClient:
    """Requests to the key-value store, counted against its rate limits.

    Cancelling a request leaves its connection closed; a commit that was cancelled may still be
    applied.

    Attributes:
        limits: the store's limits by the settings.
        writes: this controller's share of the limit on puts and deletes.
        requests: its share of the limit on requests.
        ok_at: when the store last answered, in seconds on the steady clock.
    """

    def __init__(self, client: HttpRequester, limits: StoreSettings, timeout: float) -> None:
        """`timeout`: after how many seconds a request without an answer is given up."""
        self._client = client
        self._timeout = timeout
        self.limits = limits
        least = limits.strictest()
        self.writes = AdaptiveTokenBucket(limits.write_rps, least.write_rps)
        self.requests = AdaptiveTokenBucket(limits.rps, least.rps)
        self.last_answer_at = float("-inf")

    async def get(self, key: str) -> StoredValue | None:
        """A key's value and version, or None if there is no such key.

        Raises:
            StoreRequestError: the store did not answer, or not with a value.
        """
        answer = await self._request("GET", f"{store_messages.KEYS_PATH}/{key}")
        if answer.status == _NOT_FOUND:
            return None
        return StoredValue(*store_messages.parse_value(_ok_body(answer)))

    async def read_all(self, prefix: str) -> StoredEntries:
        """All keys with a prefix, read page by page.

        The revision is the least of all pages: the entries are complete as of it at least.

        Raises:
            StoreRequestError: the store did not answer each page.
        """
        entries: list[StoredEntry] = []
        after, least = "", None
        while True:
            answer = await self._request("GET", store_messages.list_target(prefix, after))
            revision, page, more = store_messages.parse_items(_ok_body(answer))
            least = revision if least is None else min(least, revision)
            entries += [StoredEntry(*item) for item in page]
            if not more or not page:
                return StoredEntries(least, entries)
            after = entries[-1].key

    async def follow(self, after: int) -> StoredEntries | None:
        """The changes after a revision, or None if the store keeps these no longer.

        Raises:
            StoreRequestError: the store did not answer.
        """
        answer = await self._request("GET", store_messages.watch_target(KEY_ROOT, after, 0.0))
        if answer.status == _GONE:
            return None
        revision, events = store_messages.parse_events(_ok_body(answer))
        return StoredEntries(revision, [StoredEntry(*event) for event in events])

    async def commit(self, body: bytes, changes: int) -> int:
        """Apply a transaction, as `store_messages.commit_body` encodes it.

        Args:
            body: the transaction.
            changes: how many puts and deletes it has.

        Returns:
            The revision that it got.

        Raises:
            ConflictError: some keys were not at the expected versions; nothing was applied.
            LeaseExpiredError: a lease that it names has expired; nothing was applied.
            TransactionTooLargeError: the store does not take it; nothing was applied.
            StoreRequestError: the store did not carry it out, for a reason of its own.
            UnknownOutcomeError: there was no answer; it may be applied now, later or never.
        """
        self.writes.spend(changes)
        self.requests.spend(1)
        try:
            answer = await self._client.request(
                "POST", store_messages.COMMIT_PATH, body, timeout=self._timeout
            )
        except HttpError as error:
            raise UnknownOutcomeError(str(error)) from None
        if answer.status == _RATE_LIMITED:
            self.writes.on_rejected(changes)
            raise StoreRequestError("over the rate limit", answer.status)
        if answer.status == _UNAVAILABLE:
            self.writes.refund(changes)
            raise StoreUnavailableError("status 503", answer.status)
        if answer.status >= _SERVER_ERROR:
            raise UnknownOutcomeError(f"status {answer.status}", answer.status)
        self.last_answer_at = clock.now()
        if answer.status == _CONFLICT:
            raise ConflictError(store_messages.parse_failed_keys(answer.body))
        if answer.status == _BAD_REQUEST:
            reason = loads_map(answer.body).get("error")
            if reason == _NO_SUCH_LEASE:
                raise LeaseExpiredError
            raise TransactionTooLargeError(reason)
        self.writes.on_allowed()
        return store_messages.parse_revision(_ok_body(answer))

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease that lasts so many seconds from now or from its last renewal.

        Raises:
            StoreRequestError: the store did not answer; a lease may exist that nobody renews.
        """
        answer = await self._request(
            "POST", store_messages.LEASES_PATH, store_messages.lease_body(ttl_s)
        )
        return store_messages.parse_lease(_ok_body(answer))

    async def renew(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseExpiredError: it has expired.
            StoreRequestError: the store did not answer; it may have been renewed.
        """
        answer = await self._request("POST", f"{store_messages.LEASES_PATH}/{lease}/renew")
        if answer.status == _NOT_FOUND:
            raise LeaseExpiredError(lease)
        _ok_body(answer)

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response:
        """Send a request that may be repeated without harm."""
        self.requests.spend(1)
        try:
            answer = await self._client.request(method, target, body, timeout=self._timeout)
        except HttpError as error:
            raise StoreRequestError(str(error)) from None
        if answer.status == _RATE_LIMITED:
            self.requests.on_rejected(1)
            raise StoreRequestError("over the rate limit", answer.status)
        if answer.status >= _SERVER_ERROR:
            raise StoreRequestError(f"status {answer.status}", answer.status)
        self.last_answer_at = clock.now()
        self.requests.on_allowed()
        return answer


def _ok_body(answer: Response) -> bytes:
    if answer.status != _OK:
        raise StoreRequestError(f"status {answer.status}", answer.status)
    return answer.body


class LeaseRenewal(NamedTuple):
    """A lease and until when it certainly lasts, in seconds on the steady clock."""

    lease: int
    valid_until: float
