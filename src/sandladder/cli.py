"""The command line."""

import argparse
import logging
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

import anyio

from sandladder import __version__
from sandladder.config import Settings, SettingsError, load

OPERATOR_ENV = "SANDLADDER_OPERATOR"
_LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sandladder",
        description="A controller of the sandladder cluster scheduler.",
        epilog="LOG_LEVEL (error, info or debug) sets how much is logged to standard error.",
    )
    parser.add_argument(
        "--config", type=Path, required=True, metavar="FILE", help="the platform's settings (TOML)"
    )
    parser.add_argument(
        "--operator",
        type=Path,
        metavar="FILE",
        default=os.environ.get(OPERATOR_ENV),
        help=f"the operators' settings (S-expressions); default: ${OPERATOR_ENV}, if set",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit without serving"
    )
    parser.add_argument(
        "--retire",
        metavar="NODE",
        help="record that a controller in the settings is permanently removed, so that an upgrade "
        "does not wait for it, and exit (see docs/upgrading.md)",
    )
    parser.add_argument("--version", action="version", version=f"sandladder {__version__}")
    return parser


async def _serve(settings: Settings) -> None:
    from sandladder.controller import Controller

    controller = Controller(settings, Random())

    async def leave_on_signal(signals: AsyncIterator[signal.Signals]) -> None:
        async for _ in signals:
            logging.getLogger(__name__).info(
                "received SIGTERM; handing over teams and shutting down"
            )
            await controller.leave()

    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(leave_on_signal, signals)
            await controller.run()
            tasks.cancel_scope.cancel()


async def _retire(settings: Settings, node: str) -> str | None:
    """Record the permanent removal of a controller; return the problem, or None on success."""
    from sandladder.config import parse_address
    from sandladder.state import (
        StoreClient,
        StoreRequestError,
        UnknownOutcomeError,
        retire_controller,
    )
    from sandladder.transport import HttpClient

    if node not in settings.node_names:
        return f"{node} is not named in the settings"
    deployment = settings.platform.deployment
    client = HttpClient(*parse_address(settings.platform.external.state))
    store = StoreClient(client, deployment.state, deployment.workers.lease_s)
    try:
        return await retire_controller(store, node)
    except (StoreRequestError, UnknownOutcomeError) as error:
        return f"key-value store: {error}"
    finally:
        await client.aclose()


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit status."""
    args = _parser().parse_args(argv)
    operator = Path(args.operator) if args.operator else None
    try:
        settings = load(args.config, operator)
    except SettingsError as error:
        print(f"sandladder: {error}", file=sys.stderr)
        return 2
    if args.check:
        print(f"sandladder: the settings of {settings.node} are good")
        return 0
    if args.retire is not None:
        problem = anyio.run(_retire, settings, args.retire)
        if problem is not None:
            print(f"sandladder: {problem}", file=sys.stderr)
            return 1
        print(f"sandladder: an upgrade no longer waits for {args.retire}")
        return 0
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=_LOG_LEVELS.get(level, logging.INFO),
        format="%(levelname)s %(name)s: %(message)s",
    )
    try:
        anyio.run(_serve, settings, backend_options={"use_uvloop": True})
    except KeyboardInterrupt:
        return 130
    except OSError as error:
        print(f"sandladder: {error}", file=sys.stderr)
        return 1
    return 0
