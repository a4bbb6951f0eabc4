"""Each kind of transaction gets no answer and is carried out after newer ones of the same controller."""

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from test_meetings import CANCEL_S, Meeting, day, leader, restart, up
from world import World, run

Changes = list[dict[str, Any]]


def of_job(differs: Callable[[Any, Any], bool]) -> Callable[[World, Changes], bool]:
    """A change of a job's record, told by what it was and what it becomes."""

    def found(world: World, changes: Changes) -> bool:
        for change in changes:
            key = change.get("put", "")
            if key.startswith("s/j/job-"):
                item = world.store.items.get(key)
                if differs(None if item is None else item[0], change["v"]):
                    return True
        return False

    return found


def of_key(*prefixes: str) -> Callable[[World, Changes], bool]:
    return lambda world, changes: any(
        change.get("put", change.get("drop")).startswith(prefixes) for change in changes
    )


def live(value: Any) -> int:
    """How many attempts a job's record holds: each is a list of its own, in order of tasks."""
    return len(value["l"]) if isinstance(value, dict) and "l" in value else 0


def cancelled(value: Any) -> bool:
    return isinstance(value, dict) and bool(value.get("c"))


KINDS: dict[str, Callable[[World, Changes], bool]] = {
    "submission": of_job(lambda old, new: old is None),
    "start": of_job(lambda old, new: isinstance(new, dict) and live(new) > live(old)),
    "end": of_job(lambda old, new: isinstance(new, dict) and live(new) < live(old)),
    "outcome": of_job(lambda old, new: isinstance(new, list)),
    "cancellation": of_job(lambda old, new: cancelled(new) and not cancelled(old)),
    "filing": of_key("s/f/"),
    "term": of_key("s/term"),
    "summary": of_key("s/p/"),
    "claim or fence of a team": of_key("s/t/"),
    "roster": of_key("s/m/"),
    "fleet": of_key("s/v/"),
    "renter": of_key("s/renter"),
}


def late(kind: str) -> Meeting:
    async def meeting(world: World) -> None:
        def chosen(changes: Changes) -> bool:
            found = KINDS[kind](world, changes)
            world.met["such a transaction"] += found
            return found

        rare = kind in ("fleet", "renter")
        world.store.late_if, world.store.late_writes = chosen, 0.9 if rare else 0.4
        for _ in range(2):
            await anyio.sleep(6.0)
            # Also of an earlier process.
            index = leader(world)
            if kind == "fleet":
                up(world)[0].vanish(True)  # so that there is something to record
                await anyio.sleep(18.0)
            if rare and (renter := world.store.items.get("s/renter")) is not None:
                index = int(renter[0].rpartition("-")[2])
            await restart(world, index, world.rng.uniform(0.1, 1.0))
        await anyio.sleep(4.0)
        world.store.late_writes = 0.0

    meeting.__name__ = f"late {kind}"
    return meeting


def play_late(seed: int, kind: str) -> None:
    world = World(seed, cancel_s=CANCEL_S)
    run(world, lambda: day(world, (late(kind),), 14))
    assert world.broken == [], world.broken[:3]
    met = world.met["late write taken"] + world.met["late write refused"]
    assert met, (kind, world.met)


@pytest.mark.parametrize("kind", KINDS)
def test_a_late_transaction_of_each_kind_is_harmless(kind: str) -> None:
    play_late(800 + list(KINDS).index(kind), kind)
