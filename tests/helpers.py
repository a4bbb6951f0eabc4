"""What the tests of the parts share: specs, a scene with two machines, summaries."""

from random import Random

import cbor2
import msgspec

from sandladder.agents.lease_expiry import LossProof
from sandladder.agents.reconciler import Delivery
from sandladder.config.settings import Settings, TeamLimits
from sandladder.jobs.transitions import start, submit
from sandladder.model.agents import Report
from sandladder.model.jobs import Job
from sandladder.model.machines import MachineType, Seen, Summary
from sandladder.protocol import wire
from sandladder.scheduling.cluster_view import Picture
from sandladder.scheduling.planner import Planner
from sandladder.scheduling.premises import Gate
from sandladder.state.cache import Mirror
from sandladder.state.records import FINAL
from sandladder.state.store_limits import Limits
from sandladder.state.transaction import View
from world import job, settings

LIMITS = TeamLimits("red", 16.0, 48.0, 2.0, 4.0)


def spec(number: int = 1, **fields: object):
    return wire.parse_job(cbor2.dumps(job(number, **fields))).spec


def commit(mirror: Mirror, view: View) -> None:
    """Apply a view as the state service would."""
    for key, version in view.guards.items():
        final = mirror.finals.get(key.rpartition("/")[2]) if key.startswith(FINAL) else None
        assert version == (final.version if final and final.filed else mirror.version(key))
    changes = [(key, value) for key, value, _ in view.changes()]
    mirror.wrote(mirror.revision + 1, changes)
    mirror.apply(mirror.revision + 1, [])


def scene(value_kb: float = 8.0) -> tuple[Picture, Planner, Mirror, Delivery]:
    """A controller's picture with two machines that report to it."""
    mirror, delivery, gate = Mirror(), Delivery(), Gate()
    for name in ("small", "large"):
        size = 4.0 if name == "small" else 16.0
        mirror.types[name] = MachineType(
            name, size, 0.0, 4 * size, 20.0, 1.0, 0.2, 0.1, 9.0, ("north", "south")
        )
    loss = LossProof("node-0", ["node-0"], 12.0, 0.0)
    known = settings(0, 1)
    state = msgspec.structs.replace(known.platform.deployment.state, value_kb=value_kb)
    deployment = msgspec.structs.replace(known.platform.deployment, state=state)
    platform = msgspec.structs.replace(known.platform, deployment=deployment)
    picture = Picture(Settings(platform), mirror, delivery, loss, gate)
    delivery.new_term(1)
    for name, kind, zone in (("vm-1", "small", "north"), ("vm-2", "large", "south")):
        report = Report(name, f"{name}:1", kind, zone, False, 1, 1, 1, None, ())
        picture.heard(delivery.heard(report, 0.0, direct=False).dialogue)
    limits = Limits(state, mirror)
    return picture, Planner(picture, limits, Random(1)), mirror, delivery


def accept(mirror: Mirror, **fields: object) -> Job:
    view = View(mirror)
    submit(view, spec(**fields), 0.0)
    commit(mirror, view)
    return mirror.jobs[next(iter(view.jobs))]


def summary(machines: int, images: int = 4, part: str = "vm-") -> Summary:
    seen = {}
    for number in range(machines):
        names = tuple(f"img-{(number + i) % 31}" for i in range(images))
        odd = number % 9 == 0
        seen[f"{part}{number:06d}"] = Seen(
            "small" if number % 3 else "large",
            "north" if number % 2 else "south",
            bool(number % 5),
            1 + odd,
            number % 40 / 10,
            12.5 if odd else None,
            number % 2 if odd else 0,
            names,
        )
    return Summary(7, 99.5, 1234567, seen)


def started_gang() -> tuple[Mirror, Planner, Job]:
    picture, planner, mirror, _ = scene()
    found = accept(mirror, entries=3, form="group")
    view = View(mirror)
    start(view, found.id, [i.placement for i in planner.plan([found], {})], LIMITS)
    commit(mirror, view)
    for intent in list(picture.gate.pending.values()):
        picture.gate.withdraw(intent)
    return mirror, planner, mirror.jobs[found.id]
