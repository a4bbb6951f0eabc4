"""Each kind of transaction gets no answer: it is carried out after newer ones, or at once.

Late, it comes after newer ones of the same controller.  At once, others read what it wrote before its
writer knows, and the writer lives on, ends, or is refused by the store at that moment.
"""

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from meeting import CANCEL_S, Meeting, day, leader, play, restart, up
from world import World, run, starts

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
    """How many tasks of a job a record holds: by attempt and stop, by machine, in ranges."""
    groups = value.get("l", ()) if isinstance(value, dict) else ()
    ranges = [where[3:] for _, _, *places in groups for where in places]
    return sum(hi - lo for flat in ranges for lo, hi in zip(flat[::2], flat[1::2], strict=True))


def cancelled(value: Any) -> bool:
    return isinstance(value, dict) and bool(value.get("c"))


CLAIM = "claim or fence of a team"
KINDS: dict[str, Callable[[World, Changes], bool]] = {
    "submission": of_job(lambda old, new: old is None),
    "start": of_job(lambda old, new: starts(new) > starts(old)),
    "end": of_job(lambda old, new: isinstance(new, dict) and live(new) < live(old)),
    "outcome": of_job(lambda old, new: isinstance(new, list)),
    "cancellation": of_job(lambda old, new: cancelled(new) and not cancelled(old)),
    "filing": of_key("s/f/"),
    "term": of_key("s/term"),
    "summary": of_key("s/p/"),
    CLAIM: of_key("s/t/"),
    "roster": of_key("s/m/"),
    "fleet": of_key("s/v/"),
    "renter": of_key("s/renter"),
}


def chosen(world: World, kind: str) -> Callable[[Changes], bool]:
    def found(changes: Changes) -> bool:
        found = KINDS[kind](world, changes)
        world.met["such a transaction"] += found
        return found

    return found


async def bring_about(world: World, kind: str) -> int:
    """Have something of a rare kind written; the controller to which that falls."""
    index = leader(world)
    if kind == "fleet":
        up(world)[0].vanish(True)  # so that there is something to record
        await anyio.sleep(18.0)
    if kind in (CLAIM, "roster"):
        index = int(world.store.items["s/t/red"][0]["p"].rpartition("-")[2])
    if kind in ("fleet", "renter") and (renter := world.store.items.get("s/renter")) is not None:
        index = int(renter[0].rpartition("-")[2])
    return index


def away_s(world: World, kind: str) -> float:
    """How long a controller is away: its work is handed over only if it does not return at once."""
    return 6.0 if kind in (CLAIM, "roster") else world.rng.uniform(0.1, 1.0)


def late(kind: str) -> Meeting:
    async def meeting(world: World) -> None:
        world.store.late_if, world.store.late_writes = chosen(world, kind), 0.4
        for _ in range(2):
            world.store.late_sure = 2
            await anyio.sleep(6.0)
            # Also of an earlier process.
            await restart(world, await bring_about(world, kind), away_s(world, kind))
        await anyio.sleep(4.0)
        world.store.late_writes = 0.0

    meeting.__name__ = f"late {kind}"
    return meeting


def lost(kind: str, fate: str) -> Meeting:
    """Carried out at once, only the answer is lost; then the writer lives on, ends or is refused."""

    async def meeting(world: World) -> None:
        struck = False

        def strike(writer: str) -> None:
            nonlocal struck
            index = int(writer.rpartition("-")[2])
            if struck or writer not in world.nodes:
                return
            struck = True
            world.met[fate] += 1
            if fate == "ends":
                world.network.tasks.start_soon(restart, world, index, 1.0)
            elif fate == "is refused":
                world.store.refuses = {writer}

        store = world.store
        store.on_lost, store.at_once, store.late_if = strike, True, chosen(world, kind)
        store.late_writes = 0.4
        for _ in range(2):
            struck, store.late_sure = False, 2
            await anyio.sleep(6.0)
            await restart(world, await bring_about(world, kind), away_s(world, kind))
            await anyio.sleep(4.0)
            store.refuses = set()
        store.late_writes, store.at_once, store.on_lost = 0.0, False, None

    meeting.__name__ = f"lost {kind}"
    return meeting


@pytest.mark.parametrize("kind", KINDS)
def test_a_late_transaction_of_each_kind_is_harmless(kind: str) -> None:
    world = World(800 + list(KINDS).index(kind), cancel_s=CANCEL_S)
    run(world, lambda: day(world, (late(kind),), 14))
    assert world.broken == [], world.broken[:3]
    met = world.met["late write taken"] + world.met["late write refused"]
    assert met, (kind, world.met)


@pytest.mark.parametrize("fate", ["lives on", "ends", "is refused"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_lost_answer_to_a_transaction_of_each_kind_is_harmless(kind: str, fate: str) -> None:
    world = World(850 + list(KINDS).index(kind), cancel_s=CANCEL_S)
    world.close_looks = 1.0
    play(
        world,
        lambda: day(world, (lost(kind, fate),), 14),
        "answer lost",
        "read by others while its writer did not know",
        fate,
    )
