"""The error raised for invalid settings."""

from sandladder.errors import SandladderError


class SettingsError(SandladderError):
    """Invalid settings.

    Attributes:
        subject: the name of the field, or of the file if no single field is at fault.
        problem: a description of the problem.
    """

    def __init__(self, subject: str, problem: str) -> None:
        super().__init__(f"{subject}: {problem}")
        self.subject = subject
        self.problem = problem
