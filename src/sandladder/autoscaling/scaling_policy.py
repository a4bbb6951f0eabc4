"""Which machines to rent and to return.  Pure: state in, decisions out.

One controller at a time is the renter; it decides on the whole fleet once a second or so.
"""

import logging
import math
from collections import Counter, deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

from sandladder.model import (
    EPSILON,
    HIGH,
    PRODUCTION,
    SERVICE,
    Job,
    JobSpec,
    ListedMachine,
    Machine,
    MachineType,
    TeamUsage,
    headroom,
)
from sandladder.scheduling import (
    SICK_ERRORS,
    Backlog,
    Bin,
    ClusterView,
    FreeCapacity,
    Shortage,
    ZoneShares,
    allowed,
    fill,
    likeness,
)

log = logging.getLogger(__name__)

# The share of the time that work may wait, past which spot machines are rented for it.
_PRESSING_SPOT = 0.1
# Over how many leases the demand is remembered, and which share of that time the fleet serves.
_DEMAND_LEASES, _DEMAND_SHARE = 4, 0.6
# How many jobs of a class are remembered.
_REMEMBERED = 32
# Into about so many pieces the machines for a long backlog are cut, each rented where it is
# cheapest then.  Seen in a measured day: a sixth of the renter's processor time went into
# choosing hundreds of machines one by one in each round.
_PIECES = 12
# How many machines one request to the cloud may ask for.
_MOST_HIRED = 50
# Where more than this share of a zone's machines is silent, it is the way to them.
_SILENT_ZONE = 0.5
# A machine is given up when less than this share of it is used, and what uses it would cost
# so many times less elsewhere.
_WASTEFUL_USE, _WASTEFUL_PRICE = 0.4, 1.6


class ScaleOutRequest(NamedTuple):
    """Machines of one type, zone and kind to ask the cloud for."""

    type: str
    zone: str
    spot: bool
    number: int


class ScalingPolicy:
    """Decides on rentals and returns for the whole fleet."""

    def __init__(self, cluster_view: ClusterView) -> None:
        self.cluster_view = cluster_view
        deployment = cluster_view.settings.platform.deployment
        self._lease_s = deployment.workers.lease_s
        self._report_s = deployment.workers.report_s
        self._refused: dict[tuple[str, str, bool], float] = {}
        self._idle_since: dict[str, float] = {}
        self._sizes: dict[str, deque[tuple[float, JobSpec]]] = {}
        self._known: set[str] = set()
        self._pressed = False  # some work lacks room
        self._wasteful_since: dict[str, float] = {}
        # Cores of all machines that can be counted on, spot or not, but for services; and GPUs.
        self._capacity = {True: 0.0, False: 0.0}
        self._gpu_capacity = {True: 0.0, False: 0.0}
        self._came_up: dict[str, None] = {}  # machines that have reported
        # When, and how many cores were in use or asked for: by what cannot wait, and by all.
        self._demand: deque[tuple[float, float, float]] = deque()
        # Classes whose aim for the start is shorter than machines take to boot.
        self._waits = cluster_view.settings.waits
        self._finishes = cluster_view.settings.finishes

    def refused(self, request: ScaleOutRequest) -> None:
        """The cloud had no capacity for this: ask again only later."""
        self._refused[request.type, request.zone, request.spot] = (
            self.cluster_view.now + self._lease_s
        )

    def learn(self) -> None:
        """Remember what recent jobs of each class looked like, and how often they came."""
        jobs = self.cluster_view.cache.jobs
        now = self.cluster_view.now
        for job_id, job in jobs.items():
            if job_id in self._known:
                continue
            spec = job.spec
            recent = self._sizes.setdefault(spec.cls, deque(maxlen=_REMEMBERED))
            recent.append((now, spec))
        self._known = set(jobs)

    def rental_requests(
        self, wall: float, unwritten: Mapping[str, Machine | None] | None = None
    ) -> list[ScaleOutRequest]:
        """What to rent now, the most urgent first, at the time of day `wall` in seconds.

        `unwritten` are machines' records that are not in the fleet records yet.  Seen in a
        measured day: what had just been rented was rented again until it was written down.
        """
        cluster_view = self.cluster_view
        if not cluster_view.cache.types:
            return []
        instances = cluster_view.cache.instances | {m: r for m, r in (unwritten or {}).items() if r}
        bins = self._bins(wall, instances)
        shortages: list[Shortage] = []
        teams = dict(cluster_view.cache.used)
        ready = cluster_view.cache.dependency_index.ready
        jobs = sorted(
            (job for job in cluster_view.cache.jobs.values() if job.waiting and ready(job)),
            key=cluster_view.order_key,
        )
        backlog = Backlog()
        waiting = {True: 0.0, False: 0.0}
        # Likenesses of tasks that found no room: it only gets less.  Seen in a measured day: with
        # two hundred jobs waiting, each was tried on each of six hundred machines every second.
        full: set[tuple[object, ...]] = set()
        for job in jobs:
            spec, count = job.spec, self._startable(job, teams)
            can_wait_for_boot = cluster_view.can_wait_for_boot(job)
            if spec.kind != SERVICE:
                waiting[can_wait_for_boot] += count * spec.cpus
            zones, like = ZoneShares.of(job), likeness(spec, can_wait_for_boot)
            keep_gpus = cluster_view.avoids_gpus(spec)
            if spec.one_zone and zones is None and count:
                zones = self._one_zone(spec, count, bins)
            missing = count
            if like not in full:
                missing -= fill(spec, count, bins, can_wait_for_boot, zones, keep_gpus)
                if missing and zones is None:
                    full.add(like)
            backlog.add(spec, count, spec.estimate_s or self._lease_s)
            if missing:
                worth = self._worth(
                    job, missing, backlog, wall - cluster_view.since(job), can_wait_for_boot
                )
                shortages += [shortage._replace(zones=zones) for shortage in worth]
        self._pressed = bool(shortages)
        self._note_demand(waiting)
        shortages += self._short()
        for machine, record in cluster_view.cache.instances.items():
            if record.state == "draining":
                for job, _, _ in cluster_view.cache.attempts_on(machine):
                    keep_gpus = cluster_view.avoids_gpus(job.spec)
                    if job.spec.kind == SERVICE and not fill(
                        job.spec, 1, bins, keep_gpus=keep_gpus
                    ):
                        shortages.append(Shortage(job.spec, True, 1))
        for shortage in shortages:
            kinds = " and are worth any" if shortage.any_kind else ""
            log.debug("%d tasks of %s lack room%s", shortage.number, shortage.spec.id, kinds)
        # Room kept for what may come is not worth the dearer kind where the other will do.
        shortages += [
            Shortage(spec, not spec.spot, n, zones) for spec, n, zones in self._spares(bins)
        ]
        return self._rent(shortages)

    def _bins(
        self, wall: float, instances: Mapping[str, Machine], without: Collection[str] = ()
    ) -> list[Bin]:
        cluster_view = self.cluster_view
        bins = []
        self._capacity = {True: 0.0, False: 0.0}
        self._gpu_capacity = {True: 0.0, False: 0.0}
        heard = dict.fromkeys(cluster_view.machines())
        self._came_up |= heard
        self._came_up = {m: None for m in self._came_up if m in heard or m in instances}
        for machine in heard:
            capacity = cluster_view.capacity(machine)
            if capacity is not None and capacity.usable:
                # What services hold serves no other work.
                kind = cluster_view.cache.types[capacity.type]
                self._capacity[capacity.spot] += kind.cpus - cluster_view.services(machine)
                self._gpu_capacity[capacity.spot] += kind.gpus
                if machine not in without:
                    bins.append(self._bin(capacity))
        for machine, record in instances.items():
            booting = cluster_view.cache.types.get(record.type)
            if record.state != "rented" or machine in self._came_up or booting is None:
                continue
            # A boot that takes long is no longer counted on.
            if wall - record.since <= 2.5 * booting.boot_s:
                self._capacity[record.spot] += booting.cpus
                self._gpu_capacity[record.spot] += booting.gpus
                bins.append(Bin(booting, record.zone, record.spot))
        bins.sort(key=lambda b: (not b.offer[2], b.cpus))
        return bins

    def _startable(self, job: Job, teams: dict[str, TeamUsage]) -> int:
        """How many waiting tasks the team's limit lets start; counts them as started."""
        spec = job.spec
        usage = teams.get(spec.team, TeamUsage())
        count = headroom(self.cluster_view.limits.get(spec.team), usage).tasks(spec, job.waiting)
        teams[spec.team] = usage.plus(spec, count)
        return count

    def _one_zone(self, spec: JobSpec, tasks: int, bins: list[Bin]) -> ZoneShares:
        """The zone in which tasks that must share one find room soonest.

        The one with the most room, if that is enough or more can be rented there.  Without
        this, room for parts of a gang in several zones was counted as room for the gang.
        """
        capacity = Counter({zone: 0 for kind in self._types_for(spec) for zone in kind.zones})
        for found in bins:
            if allowed(spec, Machine(*found.offer, "up", 0.0)):
                capacity[found.offer[1]] += found.tasks(spec, tasks)
        order = sorted(capacity, key=lambda zone: (-capacity[zone], zone))
        able = [z for z in order if capacity[z] >= tasks or self._offered(spec, z)]
        chosen = next(iter(able or order), None)
        return ZoneShares(tasks, Counter(), chosen)

    def _types_for(self, spec: JobSpec) -> list[MachineType]:
        return [kind for kind in self.cluster_view.cache.types.values() if kind.fits(spec)]

    def _offered(self, spec: JobSpec, zone: str) -> bool:
        """Whether a machine for such tasks may be rented in a zone, as far as the cloud said."""
        now = self.cluster_view.now
        return any(
            self._refused.get((kind.name, zone, spot), 0.0) <= now
            for kind in self._types_for(spec)
            if zone in kind.zones
            for spot in ([True, False] if spec.spot else [False])
        )

    def _allowance_s(self, job: Job, age_s: float) -> float:
        """How late the last task of a job may start, from when its times count.

        An aim that no machine rented now could meet any more presses for nothing: then the
        next one counts.
        """
        spec = job.spec
        boots = [t.boot_s for t in self.cluster_view.cache.types.values() if t.fits(spec)]
        up_s = age_s + min(boots, default=0.0)
        run_s = 1.3 * spec.estimate_s
        late = [self._waits.get(spec.cls, math.inf)]
        late += [max(0.0, within - run_s) for within in self._finishes.get(spec.cls, ())]
        due_s = self.cluster_view.outlook(job).due - self.cluster_view.since(job)
        if due_s < math.inf:
            late.append(max(0.0, due_s - run_s))
        late = sorted(limit for limit in late if limit < math.inf)
        if not late:
            return 10 * self._lease_s
        return next((limit for limit in late if limit >= up_s), late[-1])

    def _worth(
        self, job: Job, missing: int, work: Backlog, age_s: float, can_wait_for_boot: bool
    ) -> list[Shortage]:
        """What to rent for waiting tasks of a job, behind a backlog.

        A machine rented now is of use only after its boot; until then, or until the job must
        start, the machines that are there eat the backlog.  Only what they leave is worth an
        ordinary machine; spot machines are rented early.
        """
        cluster_view, spec = self.cluster_view, job.spec
        priority = cluster_view.outlook(job).priority
        if spec.kind == SERVICE or priority >= PRODUCTION:
            return [Shortage(spec, True, missing)]
        boot_s, allowance = cluster_view.boot_s(spec), self._allowance_s(job, age_s)
        # Work that needs GPUs waits for those alone, whatever cores there are.
        scarce = spec.gpus > 0
        backlog, need = (work.gpu_s, spec.gpus) if scarce else (work.core_s, spec.cpus)
        machines = self._gpu_capacity if scarce else self._capacity
        capacity = machines[True] if spec.spot else 0.0
        if not can_wait_for_boot:
            capacity += machines[False]
        horizon = max(boot_s, allowance - age_s - boot_s)
        left = backlog - capacity * horizon
        lacks = []
        if left > 0:
            span_s = max(horizon - boot_s, spec.estimate_s or self._lease_s)
            more = min(missing, math.ceil(left / span_s / need))
            lacks.append(Shortage(spec, True, more))
            missing -= more
        eta_s = age_s + backlog / max(capacity, need)
        early = priority >= HIGH or eta_s > _PRESSING_SPOT * allowance
        if spec.spot and early and missing:
            lacks.append(Shortage(spec, False, missing))
        return lacks

    def _note_demand(self, waiting: dict[bool, float]) -> None:
        """Remember how many cores are in use or asked for now, but for services."""
        cluster_view = self.cluster_view
        cores = dict(waiting)
        for job in cluster_view.cache.jobs.values():
            if job.spec.kind != SERVICE and job.live:
                cores[cluster_view.can_wait_for_boot(job)] += len(job.live) * job.spec.cpus
        self._demand.append((cluster_view.now, cores[False], cores[False] + cores[True]))
        span_s = _DEMAND_LEASES * self._lease_s
        while self._demand[0][0] < cluster_view.now - span_s:
            self._demand.popleft()

    def _usual(self, can_wait_for_boot: bool) -> float:
        """How many cores are in use or asked for most of the time, of late."""
        seen = sorted(sample[1 + can_wait_for_boot] for sample in self._demand)
        return seen[int(len(seen) * _DEMAND_SHARE)] if seen else 0.0

    def _short(self) -> list[Shortage]:
        """Cores that the fleet is short of, beside what waits just now.

        What waits is started when others end, or too late for a machine that must boot
        first.  A fleet that is as large as what is usually asked for lets it start at once.
        """
        specs = [recent[-1][1] for recent in self._sizes.values() if recent[-1][1].spot]
        if not specs:
            return []
        spec = max(specs, key=lambda spec: spec.cpus * spec.tasks)
        whole = self._capacity[True] + self._capacity[False]
        number = int((self._usual(False) - whole) / spec.cpus)
        if number > 0:
            return [Shortage(spec, True, number)]
        number = int((self._usual(True) - whole) / spec.cpus)
        return [Shortage(spec, False, number)] if number > 0 else []

    def _spares(self, bins: list[Bin]) -> list[tuple[JobSpec, int, ZoneShares | None]]:
        """Room shortages for classes that must start before a machine could boot."""
        shortages: list[tuple[JobSpec, int, ZoneShares | None]] = []
        for cls, recent in self._sizes.items():
            within = self._waits.get(cls)
            if within is None or within > 2 * self._lease_s:
                continue
            spec = recent[-1][1]
            sizes = sorted(spec.tasks for _, spec in recent)
            ratio = self.cluster_view.settings.operator.spare_jobs
            boots = [t.boot_s for t in self.cluster_view.cache.types.values() if t.fits(spec)]
            boot_s = min(boots, default=0.0)
            if within < boot_s:
                # Larger than most, and as much as arrivals vary while a machine boots.
                count = max(sizes[len(sizes) * 3 // 4], self._swing(recent, boot_s))
            else:
                # A machine may boot in time; this is for the days on which it does not.
                count = sizes[len(sizes) // 2]
                ratio *= 0.5
            count = max(1, round(count * ratio)) if ratio else 0
            zones = ZoneShares((count + 1) // 2, Counter()) if spec.spread else None
            if spec.one_zone and count:
                zones = self._one_zone(spec, count, bins)
            keep_gpus = self.cluster_view.avoids_gpus(spec)
            missing = count - fill(spec, count, bins, zones=zones, keep_gpus=keep_gpus)
            if missing:
                shortages.append((spec, missing, zones))
        return shortages

    def _swing(self, recent: deque[tuple[float, JobSpec]], horizon_s: float) -> int:
        """The standard deviation of the tasks that arrive in so long a time."""
        # Jobs that were there when we came did not arrive just then.
        arrived = [(at, spec) for at, spec in recent if at > recent[0][0]]
        if len(arrived) < 2:
            return 0
        span_s = max(horizon_s, self.cluster_view.now - recent[0][0])
        return round(math.sqrt(horizon_s / span_s * sum(spec.tasks**2 for _, spec in arrived)))

    def _rent(self, shortages: list[Shortage]) -> list[ScaleOutRequest]:
        wanted: Counter[tuple[str, str, bool]] = Counter()
        fresh: list[Bin] = []
        instances = Counter(
            (m.type, m.zone, m.spot) for m in self.cluster_view.cache.instances.values()
        )
        least = min((shortage.spec.cpus for shortage in shortages), default=0.0)
        for index, shortage in enumerate(shortages):
            keep_gpus = self.cluster_view.avoids_gpus(shortage.spec)
            count = shortage.number - fill(
                shortage.spec, shortage.number, fresh, zones=shortage.zones, keep_gpus=keep_gpus
            )
            while count > 0:
                choice = self._cheapest(count, shortages, index, wanted, instances)
                if choice is None:
                    break
                kind, zone, spot = choice
                new = Bin(kind, zone, spot)
                if shortage.zones is None:
                    # Most of a long backlog goes in pieces, the rest machine by machine.
                    each = max(1, new.tasks(shortage.spec, count))
                    whole = count // each // _PIECES
                    wanted[kind.name, zone, spot] += whole
                    count -= whole * each
                wanted[kind.name, zone, spot] += 1
                count -= fill(shortage.spec, count, [new], zones=shortage.zones)
                if new.cpus + EPSILON >= least:
                    fresh.append(new)
        # One request an offer: whether there are more of it is known once that is answered.
        return [
            ScaleOutRequest(kind, zone, spot, min(_MOST_HIRED, number))
            for (kind, zone, spot), number in wanted.items()
        ]

    def _cheapest(
        self,
        count: int,
        shortages: list[Shortage],
        index: int,
        wanted: Counter[tuple[str, str, bool]],
        instances: Counter[tuple[str, str, bool]],
    ) -> tuple[MachineType, str, bool] | None:
        """The offer with the lowest price for each core that would be used, by so many tasks of
        the shortage at `index` and those that come after it.
        """
        cluster_view, shortage = self.cluster_view, shortages[index]
        spec = shortage.spec
        best: tuple[float, MachineType, str, bool] | None = None
        avoids_gpus = cluster_view.avoids_gpus(spec)
        for kind in cluster_view.cache.types.values():
            if not kind.fits(spec) or (avoids_gpus and kind.gpus > 0):
                continue
            used = self._used(kind, count, shortages, index)
            kinds = [True] * spec.spot + [False] * (shortage.any_kind or not spec.spot)
            for spot in kinds:
                price = kind.spot_price if spot else kind.price
                if price <= 0:
                    continue
                for zone in kind.zones:
                    offer = (kind.name, zone, spot)
                    if spec.zone not in (None, zone):
                        continue
                    if shortage.zones is not None and not shortage.zones.left(zone):
                        continue
                    if self._refused.get(offer, 0.0) > cluster_view.now:
                        continue
                    cost = price / max(used, 1e-6)
                    # Zones alike in price take turns.
                    cost *= 1 + 0.01 * (instances[offer] + wanted[offer])
                    if best is None or cost < best[0]:
                        best = cost, kind, zone, spot
        return best[1:] if best else None

    @staticmethod
    def _used(kind: MachineType, count: int, shortages: list[Shortage], index: int) -> float:
        """How many cores of a new machine would be used."""
        service = shortages[index].spec.kind == SERVICE
        cpus, memory, used = kind.cpus, kind.memory_gb, 0.0
        for at in range(index, len(shortages)):
            spec = shortages[at].spec
            # Services stay for long and the rest goes: a machine is filled with one of the two.
            if (spec.kind == SERVICE) != service:
                continue
            most = count if at == index else shortages[at].number
            number = min(most, int((cpus + 1e-6) / spec.cpus))
            if spec.memory_gb > 0:
                number = min(number, int((memory + 1e-6) / spec.memory_gb))
            cpus -= number * spec.cpus
            memory -= number * spec.memory_gb
            used += number * spec.cpus
            if cpus < 1e-6:
                break
        return used

    def describe(self) -> str:
        """What the fleet is and what uses it, in cores, for the log."""
        cluster_view = self.cluster_view
        cores: Counter[str] = Counter()
        for machine in cluster_view.machines():
            capacity = cluster_view.capacity(machine)
            if capacity is None:
                continue
            kind = cluster_view.cache.types[capacity.type]
            name = "spot" if capacity.spot else "ordinary"
            cores[name] += round(kind.cpus)
            cores[f"{name} free" if capacity.usable else f"{name} unusable"] += round(capacity.cpus)
            if capacity.cpus >= kind.cpus:
                cores[f"{name} idle"] += round(kind.cpus)
            for job, _, _ in cluster_view.cache.attempts_on(machine):
                cores[f"{name} for {job.spec.cls}"] += round(job.spec.cpus)
        for machine, record in cluster_view.cache.instances.items():
            if record.state == "rented" and machine not in self._came_up:
                name = "spot" if record.spot else "ordinary"
                cores[f"{name} booting"] += round(cluster_view.cache.types[record.type].cpus)
        return ", ".join(f"{name} {number}" for name, number in sorted(cores.items()))

    def surplus(self, wall: float) -> list[str]:
        """Machines to drain: idle for long, sick, or silent."""
        cluster_view = self.cluster_view
        now = cluster_view.now
        idle = []
        for machine in list(cluster_view.machines()):
            capacity = cluster_view.capacity(machine)
            busy = not cluster_view.freed(machine) or any(
                True for _ in cluster_view.gate.on_machine(machine)
            )
            if capacity is None or busy or not capacity.usable:
                self._idle_since.pop(machine, None)
                continue
            # Renting anew costs a boot, so an idle machine is kept for about as long.
            boot_s = cluster_view.cache.types[capacity.type].boot_s
            keep_s = cluster_view.settings.operator.idle_boots * boot_s
            if now - self._idle_since.setdefault(machine, now) >= keep_s:
                idle.append(machine)
        chosen = self._dispensable(idle, wall)
        for machine in cluster_view.machines():
            observation = cluster_view.observation(machine)
            if observation is not None and observation.seen.errors >= SICK_ERRORS:
                chosen.append(machine)
        self._idle_since = {
            m: t for m, t in self._idle_since.items() if m in cluster_view.machines()
        }
        chosen += self._wasteful()
        return [m for m in dict.fromkeys(chosen) if self._state(m) not in ("draining", "gone")]

    def _wasteful(self) -> list[str]:
        """A large machine that little work holds, and that smaller ones could hold for less."""
        cluster_view = self.cluster_view
        if self._pressed or any(
            m.state == "draining" for m in cluster_view.cache.instances.values()
        ):
            self._wasteful_since.clear()
            return []
        worst: tuple[float, str] | None = None
        seen = set()
        for machine, capacity in cluster_view.usable_capacities().items():
            kind = cluster_view.cache.types[capacity.type]
            if (
                not cluster_view.services(machine)
                or kind.cpus - capacity.cpus > _WASTEFUL_USE * kind.cpus
            ):
                continue
            services = [
                job.spec
                for job, _, _ in cluster_view.cache.attempts_on(machine)
                if job.spec.kind == SERVICE
            ]
            price = kind.spot_price if capacity.spot else kind.price
            cost = sum(self._lowest_price(spec) for spec in services)
            if price < _WASTEFUL_PRICE * cost:
                continue
            seen.add(machine)
            since = self._wasteful_since.setdefault(machine, cluster_view.now)
            if cluster_view.now - since >= kind.boot_s and (
                worst is None or price - cost > worst[0]
            ):
                worst = price - cost, machine
        self._wasteful_since = {m: t for m, t in self._wasteful_since.items() if m in seen}
        return [worst[1]] if worst else []

    def _lowest_price(self, spec: JobSpec) -> float:
        """What a task costs an hour on the ordinary machine that suits it best."""
        prices = []
        for kind in self.cluster_view.cache.types.values():
            if kind.fits(spec) and kind.price > 0:
                memory = kind.memory_gb / spec.memory_gb if spec.memory_gb else kind.cpus
                prices.append(kind.price / max(1, int(min(kind.cpus / spec.cpus, memory))))
        return min(prices, default=0.0)

    def silent(self, wall: float) -> list[str]:
        """Machines that came up and went silent: returning them proves what was on them gone.

        Only when few are silent: if many are, it is rather we who cannot hear them, or their zone
        that is cut off and works on inside.  Seen in a measured day: half of the fleet was returned
        with all that ran there.  A controller whose summaries are held up may still hear some
        of these, so each is asked directly before anything is done (see `Autoscaler`).
        """
        cluster_view = self.cluster_view
        heard_lately = set()
        doubtful: dict[str, list[str]] = {}
        heard: Counter[str] = Counter()
        limit = cluster_view.settings.operator.silent_leases * self._lease_s
        for machine in cluster_view.machines():
            observation = cluster_view.observation(machine)
            if observation is not None and cluster_view.age_s(observation) <= limit:
                heard_lately.add(machine)
                heard[observation.seen.zone] += 1
        for machine in self._came_up:
            record = cluster_view.cache.instances.get(machine)
            if machine in heard_lately or record is None or record.state == "gone":
                continue
            if wall - record.since > limit:
                doubtful.setdefault(record.zone, []).append(machine)
        return [
            machine
            for zone, machines in doubtful.items()
            if len(machines) <= max(1, _SILENT_ZONE * (heard[zone] + len(machines)))
            for machine in machines
        ]

    def _state(self, machine: str) -> str:
        record = self.cluster_view.cache.instances.get(machine)
        return "unknown" if record is None else record.state

    def _dispensable(self, idle: list[str], wall: float) -> list[str]:
        """Those of the idle machines without which the spare room is still there.

        At most a tenth of the fleet at a time: what the next moments bring is not known.
        """
        cluster_view = self.cluster_view
        if not idle:
            return []
        kept = []
        for machine in idle:
            capacity = cluster_view.capacity(machine)
            if capacity is not None:
                kept.append((machine, self._bin(capacity)))
        # The dearest go first; spares are put on what is in use anyway, then on the cheapest.
        kept.sort(key=lambda item: (not item[1].offer[2], item[1].cpus, item[0]))
        self._spares(
            [
                *self._bins(wall, cluster_view.cache.instances, set(idle)),
                *(found for _, found in kept),
            ]
        )
        whole = cluster_view.cache.types
        free = [
            (machine, found) for machine, found in kept if found.cpus == whole[found.offer[0]].cpus
        ]
        # As large as what is usually asked for it stays; the dearer kind only for what cannot
        # wait for the other.
        cores = self._capacity[True] + self._capacity[False]
        chosen: list[str] = []
        for machine, found in free[::-1][: max(1, len(cluster_view.cache.instances) // 10)]:
            if cores - found.cpus >= self._usual(found.offer[2]):
                cores -= found.cpus
                chosen.append(machine)
        return chosen

    def _bin(self, capacity: FreeCapacity) -> Bin:
        found = Bin(self.cluster_view.cache.types[capacity.type], capacity.zone, capacity.spot)
        found.cpus, found.gpus, found.memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
        return found

    def stuck(self, machine: ListedMachine) -> bool:
        """Whether a booting machine has taken so long that it will hardly come up."""
        kind = self.cluster_view.cache.types.get(machine.type)
        return machine.state == "booting" and machine.age_s > 4 * (kind.boot_s if kind else 60.0)
