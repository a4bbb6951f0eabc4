"""What may go wrong with the key-value store and with changes of its records."""

from sandladder.errors import SandladderError


class PreconditionFailedError(SandladderError):
    """A change does not hold on the current records; the text says why."""


class StoreRequestError(SandladderError):
    """The store did not carry a request out, or did not answer a read.

    Attributes:
        status: the HTTP status, or None if there was no answer.
    """

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class StoreUnavailableError(StoreRequestError):
    """The store serves nobody, or not this controller: to retry at once is of no use."""


class UnknownOutcomeError(SandladderError):
    """A transaction got no answer: it may be applied now, later or never.

    Attributes:
        status: the HTTP status, or None if there was no answer at all.
    """

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class LeaseExpiredError(SandladderError):
    """The lease has expired.

    Attributes:
        lease: the lease, or None if it is not known which one of a transaction it was.
    """

    def __init__(self, lease: int | None = None) -> None:
        super().__init__("the lease has expired" if lease is None else f"lease {lease} has expired")
        self.lease = lease


class TransactionTooLargeError(SandladderError):
    """The store refused a transaction as such: it is too large.

    Attributes:
        reason: what the store said.
    """

    def __init__(self, reason: object) -> None:
        super().__init__(f"the store refused a transaction: {reason}")
        self.reason = reason


class ConflictError(SandladderError):
    """Some keys were not at the versions that a transaction expected.

    Attributes:
        failed: these keys.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class UnknownSchemaVersionError(SandladderError):
    """The records are of a schema version that this program does not support.

    Attributes:
        found: the version that the store names; anything at all if that record is malformed.
        supported: the newest version that this program supports.
    """

    def __init__(self, found: object, supported: int) -> None:
        super().__init__(
            f"the records are of schema version {found!r}, this program supports {supported}"
        )
        self.found = found
        self.supported = supported
