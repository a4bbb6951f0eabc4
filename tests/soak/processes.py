"""The controller processes: started, frozen, resumed and killed."""

import contextlib
import shlex
import signal
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).resolve().parents[2]
_DEPLOY_FILE = ROOT / "deploy" / "service.toml"
# Log lines that no fault explains.
_DEFECT_LINES = ("Traceback", "after its end was recorded", "after its exit was reported")


class ControllerProcesses:
    """One process of each controller, started with the command of the deploy file."""

    def __init__(self, directory: Path, platform_files: list[dict[str, Any]]) -> None:
        """Write the settings files; no process is started yet.

        Args:
            directory: where the settings and the logs of the controllers are written.
            platform_files: the contents of the settings file of each controller.
        """
        self._directory = directory
        self._command = _deployed_command()
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        for index, contents in enumerate(platform_files):
            self._settings_path(index).write_bytes(tomli_w.dumps(contents).encode())

    def _settings_path(self, index: int) -> Path:
        return self._directory / f"node-{index}.toml"

    def log_path(self, index: int) -> Path:
        """Return the file that holds a controller's log."""
        return self._directory / f"node-{index}.log"

    def boot(self, index: int) -> None:
        """Start a controller unless it is running."""
        name = f"node-{index}"
        if name in self.running:
            return
        with self.log_path(index).open("ab") as log:
            self.running[name] = subprocess.Popen(
                [*self._command, str(self._settings_path(index))],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def crash(self, index: int) -> None:
        """Kill a controller, if it is running."""
        process = self.running.pop(f"node-{index}", None)
        if process is not None:
            process.kill()
            process.wait()

    def freeze(self, index: int) -> None:
        """Suspend a controller's process, if it is running."""
        self._signal(index, signal.SIGSTOP)

    def thaw(self, index: int) -> None:
        """Resume a frozen controller."""
        self._signal(index, signal.SIGCONT)

    def _signal(self, index: int, number: signal.Signals) -> None:
        process = self.running.get(f"node-{index}")
        if process is not None and process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    def exited(self) -> list[str]:
        """Return the controllers that ended on their own."""
        return [name for name, process in self.running.items() if process.poll() is not None]

    def defects(self, count: int) -> list[str]:
        """Return the lines in the logs of `count` controllers that no fault explains."""
        lines = []
        for index in range(count):
            if self.log_path(index).exists():
                text = self.log_path(index).read_text("utf-8", "replace")
                lines += [
                    f"node-{index}: {line}"
                    for line in text.splitlines()
                    if any(defect in line for defect in _DEFECT_LINES)
                ]
        return lines


def _deployed_command() -> list[str]:
    """Return the command that starts a controller, with this interpreter."""
    command = shlex.split(tomllib.loads(_DEPLOY_FILE.read_text("utf-8"))["run"])
    return [sys.executable, *command[1:]] if command[0] == "python3" else command
