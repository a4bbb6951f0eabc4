"""The error of settings that cannot be used."""

from sandladder.errors import SandladderError


class SettingsError(SandladderError):
    """A settings file that cannot be used.

    Attributes:
        subject: the field, or the file where it is no single field.
        problem: what is wrong with it.
    """

    def __init__(self, subject: str, problem: str) -> None:
        super().__init__(f"{subject}: {problem}")
        self.subject = subject
        self.problem = problem
