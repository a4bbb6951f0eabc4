"""How a controller's machine inventory is written."""

from typing import Any

from sandladder.model.machines import Summary
from sandladder.state.records import NODE, extra_key, fold_summary, pack_summary
from sandladder.state.transaction import View


def summary_changes(
    view: View, node: str, summary: Summary, value_bytes: float
) -> list[tuple[str, Any]]:
    """A room summary's values under their keys, in as many parts as the store's limit asks."""
    key = NODE + node
    if view.plain:
        values = pack_summary(summary, value_bytes)
        keys = [key, *(f"{key}/{index}" for index in range(1, len(values)))]
    else:
        values = fold_summary(summary, value_bytes)
        keys = [key, *(extra_key(key, index) for index in range(1, len(values)))]
    return list(zip(keys, values, strict=True))


def put_summary(
    view: View, node: str, changes: list[tuple[str, Any]], lease: int, most: int
) -> None:
    """Write a room summary under its writer's hold."""
    for key, value in changes:
        view.write(key, value, lease)
    # Parts of the first form that it no longer has; further parts of the second go with
    # the hold.
    index = len(changes) if view.plain else 1
    while view.mirror.version(old := f"{NODE}{node}/{index}") and view.size < most:
        view.write(old, None)
        index += 1
