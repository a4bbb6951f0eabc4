"""What may go wrong with the key-value store and with changes of its records."""


class PreconditionFailedError(Exception):
    """A change does not hold on the current records; the text says why."""


class StoreRequestError(Exception):
    """The state service did not carry the request out, or gave no answer to a reading."""


class StoreUnavailableError(StoreRequestError):
    """It serves nobody, or not us: until it does again, there is nothing to be had by asking."""


class UnknownOutcomeError(Exception):
    """A transaction got no answer: it may be applied now, later or never."""


class LeaseExpiredError(Exception):
    """The lease has ended."""


class TransactionTooLargeError(Exception):
    """The service refused a transaction as such: it holds too much for it."""


class ConflictError(Exception):
    """A transaction whose conditions did not hold."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed
