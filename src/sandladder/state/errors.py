"""Errors of the key-value store and of changes to its records."""

from sandladder.errors import SandladderError


class PreconditionFailedError(SandladderError):
    """A change is not valid on the current records; the message states the reason."""


class StoreRequestError(SandladderError):
    """The store did not respond to a read, or rejected or failed a request.

    Attributes:
        status: the HTTP status, or None if there was no response.
    """

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class StoreUnavailableError(StoreRequestError):
    """The store is unavailable, at least to this controller; an immediate retry is of no use."""


class UnknownOutcomeError(SandladderError):
    """The outcome of a transaction is unknown: it may have been applied, or may be later.

    Attributes:
        status: the HTTP status, or None if there was no response.
    """

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class LeaseExpiredError(SandladderError):
    """A lease has expired.

    Attributes:
        lease: the lease, or None if the store does not say which of a transaction's leases it is.
    """

    def __init__(self, lease: int | None = None) -> None:
        super().__init__("the lease has expired" if lease is None else f"lease {lease} has expired")
        self.lease = lease


class TransactionTooLargeError(SandladderError):
    """The store rejected a transaction because of its size.

    Attributes:
        reason: the store's error message.
    """

    def __init__(self, reason: object) -> None:
        super().__init__(f"the store rejected a transaction: {reason}")
        self.reason = reason


class ConflictError(SandladderError):
    """Some keys were not at the versions that a transaction expected.

    Attributes:
        failed: the keys that were at other versions.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class UnknownSchemaVersionError(SandladderError):
    """The records have a schema version that this program does not support.

    Attributes:
        found: the version in the store; any value if that record is malformed.
        supported: the newest version that this program supports.
    """

    def __init__(self, found: object, supported: int) -> None:
        super().__init__(
            f"the records have schema version {found!r}; this program supports up to {supported}"
        )
        self.found = found
        self.supported = supported
