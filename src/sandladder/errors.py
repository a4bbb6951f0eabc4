"""The base of every error that sandladder raises."""


class SandladderError(Exception):
    """Something that sandladder names as having gone wrong; the text is for people."""
