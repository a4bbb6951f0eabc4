"""The base class of sandladder's exceptions."""


class SandladderError(Exception):
    """Base class of all exceptions that sandladder defines; texts are human-readable."""
