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

_OK, _BAD_REQUEST, _NOT_FOUND, _CONFLICT, _GONE, _BODY_TOO_LARGE = 200, 400, 404, 409, 410, 413
_RATE_LIMITED, _SERVER_ERROR, _UNAVAILABLE = 429, 500, 503
# The store's error for a transaction that names an unknown lease.
_NO_SUCH_LEASE = "no such lease"


class StoreClient:
    """A client that counts its requests against the store's rate limits.

    Cancelling a request closes its connection; a cancelled commit may still be applied.

    Attributes:
        limits: the store's configured limits.
        writes: this controller's share of the rate limit on puts and deletes.
        requests: this controller's share of the rate limit on requests.
        last_answer_at: when the store last responded, in seconds on the steady clock.
    """

    def __init__(self, client: HttpRequester, limits: StoreSettings, timeout_s: float) -> None:
        """Create a client.

        Args:
            client: sends the requests.
            limits: the store's configured limits.
            timeout_s: the timeout of a request, in seconds.
        """
        self._client = client
        self._timeout_s = timeout_s
        self.limits = limits
        strictest = limits.strictest()
        self.writes = AdaptiveTokenBucket(limits.write_rps, strictest.write_rps)
        self.requests = AdaptiveTokenBucket(limits.rps, strictest.rps)
        self.last_answer_at = float("-inf")

    async def get(self, key: str) -> StoredValue | None:
        """Return a key's value and version, or None if the key does not exist.

        Raises:
            StoreRequestError: the store did not respond, or returned an error.
        """
        answer = await self._request("GET", f"{store_messages.KEYS_PATH}/{key}")
        if answer.status == _NOT_FOUND:
            return None
        return StoredValue(*store_messages.parse_value(_ok_body(answer)))

    async def read_all(self, prefix: str) -> StoredEntries:
        """Read all keys with a prefix, page by page.

        The revision is the lowest of all pages.  The entries are complete as of that revision, and
        may include later changes.

        Raises:
            StoreRequestError: the store did not respond to a request, or returned an error.
        """
        entries: list[StoredEntry] = []
        after, min_revision = "", None
        while True:
            answer = await self._request("GET", store_messages.list_target(prefix, after))
            revision, page, more = store_messages.parse_items(_ok_body(answer))
            min_revision = revision if min_revision is None else min(min_revision, revision)
            entries += [StoredEntry(*item) for item in page]
            if not more or not page:
                return StoredEntries(min_revision, entries)
            after = entries[-1].key

    async def follow(self, after: int) -> StoredEntries | None:
        """Return the changes after a revision, or None if the store's log no longer has them.

        Raises:
            StoreRequestError: the store did not respond, or returned an error.
        """
        answer = await self._request("GET", store_messages.watch_target(KEY_ROOT, after, 0.0))
        if answer.status == _GONE:
            return None
        revision, events = store_messages.parse_changes(_ok_body(answer))
        return StoredEntries(revision, [StoredEntry(*event) for event in events])

    async def commit(self, body: bytes, changes: int) -> int:
        """Commit a transaction.

        Args:
            body: the transaction, an encoded `store_messages.commit_message`.
            changes: the number of its puts and deletes.

        Returns:
            The revision of the commit.

        Raises:
            ConflictError: some keys were not at the expected versions; nothing was applied.
            LeaseExpiredError: a lease that it names has expired; nothing was applied.
            TransactionTooLargeError: it exceeds the store's limits; nothing was applied.
            StoreRequestError: the store rejected or failed the request; nothing was applied.
            UnknownOutcomeError: there was no response; it may have been applied, or may be later.
        """
        self.writes.spend(changes)
        self.requests.spend(1)
        try:
            answer = await self._client.request(
                "POST", store_messages.COMMIT_PATH, body, timeout=self._timeout_s
            )
        except HttpError as error:
            raise UnknownOutcomeError(str(error)) from None
        if answer.status == _RATE_LIMITED:
            self.writes.on_rejected(changes)
            raise StoreRequestError("rate limit exceeded", answer.status)
        if answer.status == _UNAVAILABLE:
            self.writes.refund(changes)
            raise StoreUnavailableError("status 503", answer.status)
        if answer.status >= _SERVER_ERROR:
            raise UnknownOutcomeError(f"status {answer.status}", answer.status)
        self.last_answer_at = clock.now()
        _raise_if_refused(answer)
        self.writes.on_allowed()
        return store_messages.parse_revision(_ok_body(answer))

    async def grant_lease(self, ttl_s: float) -> int:
        """Grant a new lease and return its id.

        Args:
            ttl_s: the time to live from the grant or the last renewal, in seconds.

        Raises:
            StoreRequestError: the store did not respond, or returned an error.  A lease may have
                been granted; it expires.
        """
        answer = await self._request(
            "POST", store_messages.LEASES_PATH, store_messages.lease_body(ttl_s)
        )
        return store_messages.parse_lease(_ok_body(answer))

    async def renew(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseExpiredError: the lease has expired.
            StoreRequestError: the store did not respond, or returned an error.  The lease may have
                been renewed.
        """
        answer = await self._request("POST", f"{store_messages.LEASES_PATH}/{lease}/renew")
        if answer.status == _NOT_FOUND:
            raise LeaseExpiredError(lease)
        _ok_body(answer)

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response:
        """Send an idempotent request."""
        self.requests.spend(1)
        try:
            answer = await self._client.request(method, target, body, timeout=self._timeout_s)
        except HttpError as error:
            raise StoreRequestError(str(error)) from None
        if answer.status == _RATE_LIMITED:
            self.requests.on_rejected(1)
            raise StoreRequestError("rate limit exceeded", answer.status)
        if answer.status >= _SERVER_ERROR:
            raise StoreRequestError(f"status {answer.status}", answer.status)
        self.last_answer_at = clock.now()
        self.requests.on_allowed()
        return answer


def _raise_if_refused(answer: Response) -> None:
    """Raise the error of a transaction that the store refused; nothing of it was applied."""
    if answer.status == _CONFLICT:
        raise ConflictError(store_messages.parse_failed_keys(answer.body))
    if answer.status == _BODY_TOO_LARGE:
        raise TransactionTooLargeError(f"status {answer.status}")
    if answer.status == _BAD_REQUEST:
        reason = loads_map(answer.body).get("error")
        if reason == _NO_SUCH_LEASE:
            raise LeaseExpiredError
        raise TransactionTooLargeError(reason)


def _ok_body(answer: Response) -> bytes:
    if answer.status != _OK:
        raise StoreRequestError(f"status {answer.status}", answer.status)
    return answer.body


class LeaseRenewal(NamedTuple):
    """A renewed lease, and the time until which it is certainly valid."""

    lease: int
    valid_until: float  # in seconds on the steady clock
