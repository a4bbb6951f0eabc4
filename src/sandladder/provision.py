"""Which machines to rent and to return.  Pure: state in, decisions out.

One controller at a time is the renter; it decides on the whole fleet once a second or so.
"""

from collections import Counter
from typing import NamedTuple

from sandladder.model import (
    HIGH,
    PRODUCTION,
    SERVICE,
    Job,
    JobSpec,
    ListedMachine,
    Machine,
    MachineType,
    Team,
)
from sandladder.placement import SICK_ERRORS, Picture, allowed, fits, order_key
from sandladder.settings import TeamLimits


class Wish(NamedTuple):
    """A rental to ask for."""

    type: str
    zone: str
    spot: bool
    number: int


class _Bin:
    """Room on a machine that is there, boots, or would be rented."""

    __slots__ = ("type", "zone", "spot", "cpus", "gpus", "memory_gb", "new")

    def __init__(self, kind: MachineType, zone: str, spot: bool, new: bool) -> None:
        self.type, self.zone, self.spot, self.new = kind.name, zone, spot, new
        self.cpus, self.gpus, self.memory_gb = kind.cpus, kind.gpus, kind.memory_gb

    def take(self, spec: JobSpec) -> bool:
        if not fits(spec, self.cpus, self.gpus, self.memory_gb):
            return False
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        return True


class Provisioner:
    """Decides on rentals and returns for the whole fleet."""

    def __init__(self, picture: Picture) -> None:
        self.picture = picture
        deployment = picture.settings.platform.deployment
        self._lease_s = deployment.workers.lease_s
        self._report_s = deployment.workers.report_s
        self._refused: dict[tuple[str, str, bool], float] = {}
        self._idle_since: dict[str, float] = {}
        self._sizes: dict[str, list[JobSpec]] = {}
        self._known: set[str] = set()
        self._came_up: set[str] = set()  # machines that have reported
        # Classes whose aim for the start is shorter than machines take to boot.
        self._waits = {
            o.cls: o.within_s
            for o in deployment.objectives
            if o.kind == "wait" and o.cls is not None and o.within_s is not None
        }

    def refused(self, wish: Wish) -> None:
        """The cloud had no capacity for this: ask again only later."""
        self._refused[wish.type, wish.zone, wish.spot] = self.picture.now + self._lease_s

    def learn(self) -> None:
        """Remember what recent jobs of each class looked like."""
        jobs = self.picture.mirror.jobs
        for job_id in jobs.keys() - self._known:
            spec = jobs[job_id].spec
            recent = self._sizes.setdefault(spec.cls, [])
            recent.append(spec)
            del recent[:-12]
        self._known = set(jobs)

    def wishes(self, wall: float) -> list[Wish]:
        """What to rent now."""
        picture = self.picture
        if not picture.mirror.types:
            return []
        bins = self._bins(wall)
        lacking: list[JobSpec] = []
        teams = dict(picture.mirror.teams)
        jobs = sorted(
            picture.mirror.jobs.values(),
            key=lambda job: order_key(
                job,
                picture.mirror.teams.get(job.spec.team, Team()),
                picture.limits.get(job.spec.team, TeamLimits(job.spec.team)),
            ),
        )
        for job in jobs:
            lacking += self._unplaced(job, bins, teams, wall)
        lacking += self._spares(bins)
        return self._rent(lacking, bins)

    def _bins(self, wall: float) -> list[_Bin]:
        picture = self.picture
        bins = []
        heard = picture.machines()
        self._came_up |= heard
        self._came_up &= heard | set(picture.mirror.fleet)
        for machine in sorted(heard):
            room = picture.room(machine)
            if room is not None and room.usable:
                found = _Bin(picture.mirror.types[room.type], room.zone, room.spot, False)
                found.cpus, found.gpus, found.memory_gb = room.cpus, room.gpus, room.memory_gb
                bins.append(found)
        for machine, record in picture.mirror.fleet.items():
            kind = picture.mirror.types.get(record.type)
            if record.state != "rented" or machine in self._came_up or kind is None:
                continue
            # A boot that takes long is no longer counted on.
            if wall - record.since <= 2.5 * kind.boot_s:
                bins.append(_Bin(kind, record.zone, record.spot, False))
        bins.sort(key=lambda b: (not b.spot, b.cpus))
        return bins

    def _unplaced(
        self, job: Job, bins: list[_Bin], teams: dict[str, Team], wall: float
    ) -> list[JobSpec]:
        spec = job.spec
        limits = self.picture.limits.get(spec.team, TeamLimits(spec.team))
        held = teams.get(spec.team, Team())
        count = job.waiting
        if spec.cpus > 0:
            count = min(count, int((limits.cpus_max - held.cpus + 1e-6) / spec.cpus))
        if spec.gpus > 0:
            count = min(count, int((limits.gpus_max - held.gpus + 1e-6) / spec.gpus))
        if count <= 0:
            return []
        teams[spec.team] = Team(held.cpus + count * spec.cpus, held.gpus + count * spec.gpus)
        missing = 0
        for _ in range(count):
            if not any(allowed(spec, _as_machine(b)) and b.take(spec) for b in bins):
                missing += 1
        if missing and wall - job.submitted < self._patience_s(spec):
            return []
        return [spec] * missing

    def _patience_s(self, spec: JobSpec) -> float:
        """How long work may wait for room to come free before more is rented."""
        if spec.priority >= HIGH or spec.kind == SERVICE:
            return 0.0
        return 0.1 * self._waits.get(spec.cls, 0.0)

    def _spares(self, bins: list[_Bin]) -> list[JobSpec]:
        """Room to keep ready for classes that must start before a machine could boot."""
        lacking: list[JobSpec] = []
        for cls, recent in self._sizes.items():
            within = self._waits.get(cls)
            if within is None or within > 2 * self._lease_s:
                continue
            spec = recent[-1]
            sizes = sorted(s.tasks for s in recent)
            count = sizes[len(sizes) // 2]
            if spec.priority < PRODUCTION:
                count = max(1, round(count * 0.5))
            for _ in range(count):
                if not any(allowed(spec, _as_machine(b)) and b.take(spec) for b in bins):
                    lacking.append(spec)
        return lacking

    def _rent(self, lacking: list[JobSpec], bins: list[_Bin]) -> list[Wish]:
        wanted: Counter[tuple[str, str, bool]] = Counter()
        fresh: list[_Bin] = []
        for index, spec in enumerate(lacking):
            if any(allowed(spec, _as_machine(b)) and b.take(spec) for b in fresh):
                continue
            choice = self._cheapest(lacking[index:], spec, wanted)
            if choice is None:
                continue
            kind, zone, spot = choice
            wanted[kind.name, zone, spot] += 1
            new = _Bin(kind, zone, spot, True)
            new.take(spec)
            fresh.append(new)
        return [Wish(t, z, s, min(n, 50)) for (t, z, s), n in wanted.items()]

    def _cheapest(
        self, rest: list[JobSpec], spec: JobSpec, wanted: Counter[tuple[str, str, bool]]
    ) -> tuple[MachineType, str, bool] | None:
        """The offer with the lowest price for each core that would be used."""
        picture = self.picture
        best: tuple[float, MachineType, str, bool] | None = None
        fleet = Counter((m.type, m.zone, m.spot) for m in picture.mirror.fleet.values())
        for kind in picture.mirror.types.values():
            if not kind.fits(spec):
                continue
            cpus, memory, used = kind.cpus, kind.memory_gb, 0.0
            for other in rest:
                if other.cpus <= cpus + 1e-6 and other.memory_gb <= memory + 1e-6:
                    cpus -= other.cpus
                    memory -= other.memory_gb
                    used += other.cpus
                    if cpus < 1e-6:
                        break
            for spot in (True, False) if spec.spot else (False,):
                price = kind.spot_price if spot else kind.price
                if price <= 0:
                    continue
                for zone in kind.zones:
                    offer = (kind.name, zone, spot)
                    if spec.zone not in (None, zone):
                        continue
                    if self._refused.get(offer, 0.0) > picture.now:
                        continue
                    cost = price / max(used, 1e-6)
                    # Zones alike in price take turns.
                    cost *= 1 + 0.01 * (fleet[offer] + wanted[offer])
                    if best is None or cost < best[0]:
                        best = cost, kind, zone, spot
        return best[1:] if best else None

    def surplus(self, wall: float) -> list[str]:
        """Machines to drain: idle for long, sick, or silent."""
        picture = self.picture
        now = picture.now
        keep_s = picture.settings.operator.idle_leases * self._lease_s
        idle = []
        for machine in picture.machines():
            room = picture.room(machine)
            busy = machine in picture.mirror.on_machine or any(
                True for _ in picture.gate.on_machine(machine)
            )
            if room is None or busy or not room.usable:
                self._idle_since.pop(machine, None)
                continue
            if now - self._idle_since.setdefault(machine, now) >= keep_s:
                idle.append(machine)
        chosen = [m for m in idle if self._dispensable(m, wall)][:1]
        for machine in picture.machines():
            sight = picture.sight(machine)
            if sight is not None and sight.seen.errors >= SICK_ERRORS:
                chosen.append(machine)
        self._idle_since = {m: t for m, t in self._idle_since.items() if m in picture.machines()}
        return [m for m in dict.fromkeys(chosen) if self._state(m) not in ("draining", "gone")]

    def silent(self, wall: float) -> list[str]:
        """Machines that came up and went silent: returning them proves what was on them gone.

        Only when few are silent: if many are, it is rather we who cannot hear them.
        """
        picture = self.picture
        heard_lately = set()
        doubtful = []
        limit = picture.settings.operator.silent_leases * self._lease_s
        for machine in picture.machines():
            sight = picture.sight(machine)
            if sight is not None and sight.age_s <= limit:
                heard_lately.add(machine)
        for machine in self._came_up:
            record = picture.mirror.fleet.get(machine)
            if machine in heard_lately or record is None or record.state == "gone":
                continue
            if wall - record.since > limit:
                doubtful.append(machine)
        if len(doubtful) > max(1, (len(heard_lately) + len(doubtful)) // 4):
            return []
        return doubtful

    def _state(self, machine: str) -> str:
        record = self.picture.mirror.fleet.get(machine)
        return "unknown" if record is None else record.state

    def _dispensable(self, machine: str, wall: float) -> bool:
        """Whether the spare room is there without this machine."""
        room = self.picture.room(machine)
        if room is None:
            return False
        bins = self._bins(wall)
        for found in bins:
            if (found.type, found.zone, found.spot) == (room.type, room.zone, room.spot) and (
                abs(found.cpus - room.cpus) < 1e-6
            ):
                bins.remove(found)
                break
        return not self._spares(bins)

    def stuck(self, machine: ListedMachine) -> bool:
        """Whether a booting machine has taken so long that it will hardly come up."""
        kind = self.picture.mirror.types.get(machine.type)
        return machine.state == "booting" and machine.age_s > 4 * (kind.boot_s if kind else 60.0)


def _as_machine(found: _Bin) -> Machine:
    return Machine(found.type, found.zone, found.spot, "up", 0.0)
