"""Grades from evidence, and machines shared out: pure, seeded."""

from collections import Counter
from random import Random

import pytest

from sandladder.membership import (
    MOST_PHI,
    FailureDetector,
    HealthLevel,
    PeerStatus,
    PhiAccrualWindow,
    WorkerAssignment,
    WorkerLoad,
)

BEAT, REPORT, LEASE = 0.4, 2.4, 15.0


def word(term: int = 1, **fields: object) -> PeerStatus:
    plain = {"token": term, "store_reachable": True, "late_s": 0.0, "machines": 5, "leaving": False}
    return PeerStatus(term, **(plain | {"heard": {}} | fields))  # type: ignore[arg-type]


def test_the_level_follows_the_links_own_spread() -> None:
    """The same silence is odd on a link that is regular, and not on one that is not."""
    levels = []
    for jitter in (0.02, 0.5):
        rng, link, now = Random(1), PhiAccrualWindow(BEAT), 0.0
        for _ in range(200):
            now += BEAT + rng.uniform(0, jitter)
            link.heard(now)
        phis = [link.phi(now + silence / 10) for silence in range(60)]
        assert phis == sorted(phis) and phis[-1] == MOST_PHI
        assert link.phi(now + 1.0) > link.phi(now + 1.0, widen=2.0)
        levels.append(link.phi(now + 1.1))
    assert levels[0] > 8.0 > 5.0 > levels[1]
    # An outage is no sample: the next one is noticed as soon.
    link.heard(now + 30.0)
    assert link.phi(now + 32.0) == pytest.approx(link.phi(now + 32.0 + 1e-9), abs=1e-3)
    assert link.mean_s < 2 * BEAT


def heard(detector: FailureDetector, until: float, words: dict[str, PeerStatus]) -> float:
    """Beats of these controllers up to a time."""
    now = 0.0
    while now < until:
        now += BEAT
        for name, said in words.items():
            detector.heartbeat(name, said, now)
    return now


def test_grades_name_what_was_seen() -> None:
    detector = FailureDetector("a", ["b", "c", "d"], BEAT, REPORT, REPORT)
    detector.holds(["b", "c"])
    now = heard(detector, 20.0, {"b": word(), "c": word(heard={"b": (0.1, False)})})
    assert detector.judge("b", now).grade is HealthLevel.LIVE
    assert detector.judge("d", now).grade is HealthLevel.ENDED
    detector.heartbeat("b", word(late_s=1.0), now)
    assert detector.judge("b", now).grade is HealthLevel.SLOW
    detector.heartbeat("b", word(store_reachable=False), now)
    assert detector.judge("b", now).grade is HealthLevel.UNABLE
    detector.heartbeat("b", word(leaving=True), now)
    assert detector.judge("b", now).grade is HealthLevel.LEFT
    detector.wrote("b", now)
    # It falls silent to us; c hears it, then does not.
    for step in range(1, 9):
        at = now + step * BEAT
        detector.heartbeat("c", word(heard={"b": (0.1, False)}), at)
    found = detector.judge("b", at)
    assert found.grade is HealthLevel.CUT and "c hears" in found.why
    for step in range(9, 13):
        at = now + step * BEAT
        detector.heartbeat("c", word(heard={"b": (step * BEAT, False)}), at)
    found = detector.judge("b", at)
    assert found.grade is HealthLevel.SUSPECT and found.against == 2 and not found.refused
    assert found.silent_s == pytest.approx(12 * BEAT, abs=0.5)
    # A witness that is late itself does not count.
    detector.heartbeat("c", word(heard={"b": (9.0, False)}, late_s=2.0), at)
    assert detector.judge("b", at).against == 1
    # What it writes speaks for it, until its next summary is overdue.
    detector.wrote("b", at)
    assert detector.judge("b", at).grade is HealthLevel.CUT
    later = at + 3 * REPORT
    detector.heartbeat("c", word(heard={"b": (20.0, True)}), later)
    detector.refused("b", True)
    for _ in range(3):
        detector.came_over("b", later)
    found = detector.judge("b", later)
    assert found.grade is HealthLevel.SUSPECT and found.against == 4 and found.refused


def test_one_that_stood_still_accuses_nobody() -> None:
    detector = FailureDetector("a", ["b", "c"], BEAT, REPORT, REPORT)
    detector.holds(["b", "c"])
    now = heard(detector, 20.0, {"b": word(), "c": word()})
    now += 12.0
    assert detector.judge("b", now).grade is HealthLevel.SUSPECT
    detector.woke(12.0, now)
    assert detector.judge("b", now).able and not detector.collected(now) and detector.late
    for _ in range(30):
        detector.woke(0.0, now)
    assert not detector.late


@pytest.mark.parametrize("count", [3, 7])
def test_a_failed_controllers_machines_spread_at_once(count: int) -> None:
    """All come to the same survivor, within a report interval; the numbers told are a beat old."""
    rng, nodes = Random(count), [f"rung-{i}" for i in range(count)]
    zones = {node: "xyz"[i % 3] for i, node in enumerate(nodes)}
    spreads = {node: WorkerAssignment(node, REPORT, LEASE) for node in nodes}
    size = 600
    at = {m: rng.choice(nodes) for m in range(size)}
    zone = {m: rng.choice("xyz") for m in range(size)}
    failed, heir = nodes[0], nodes[1]
    arrivals = sorted((rng.uniform(1.0, 3.5), m, heir) for m in range(size) if at[m] == failed)
    live = {m: n for m, n in at.items() if n != failed}
    told: list[tuple[float, Counter[str]]] = [(0.0, Counter(live.values()))]
    hops: Counter[int] = Counter()
    while arrivals:
        now, machine, node = arrivals.pop(0)
        if now - told[-1][0] > BEAT:
            told.append((now, Counter(live.values())))
        known = told[-2][1] if len(told) > 1 else told[-1][1]
        own = Counter(live.values())[node]
        loads = {n: WorkerLoad(zones[n], known[n], 9) for n in nodes[1:]}
        loads[node] = WorkerLoad(zones[node], own, 9)
        name = f"vm-{machine}"
        to = spreads[node].refer(name, zone[machine], 1, False, 3.0, loads, now, False)
        if to is None:
            live[machine] = node
        else:
            hops[machine] += 1
            arrivals = sorted([*arrivals, (now + rng.uniform(0, 0.5), machine, to)])
    fair = size / (count - 1)
    assert max(Counter(live.values()).values()) <= 1.25 * fair
    assert max(hops.values()) <= 3


def test_a_machine_in_need_is_taken_and_none_is_sent_twice() -> None:
    spread = WorkerAssignment("a", REPORT, LEASE)
    loads = {"a": WorkerLoad("x", 100, 9), "b": WorkerLoad("y", 10, 9)}

    def refer(machine: str, quiet_s: float | None, token: int = 1, now: float = 0.0) -> str | None:
        return spread.refer(machine, "x", token, False, quiet_s, loads, now, True)

    assert refer("m1", 9.0) is None  # heard by nobody for more than half its lease
    assert refer("m2", None) is None  # known to nobody, and may hold tasks
    assert refer("m3", None, token=0) == "b"  # it just came up
    assert refer("m4", 1.0) == "b"
    assert refer("m4", 1.0, now=6.0) is None  # it came back: it does not reach b
    assert refer("m4", 1.0, now=60.0) == "b"


def test_machines_move_while_all_is_well_few_at_a_time_and_to_no_lower_term() -> None:
    spread = WorkerAssignment("a", REPORT, LEASE)
    loads = {"a": WorkerLoad("x", 100, 5), "b": WorkerLoad("x", 0, 3), "c": WorkerLoad("x", 0, 8)}

    def moved(now: float, calm: bool, token: int) -> int:
        names = (f"m{now}-{i}" for i in range(50))
        return sum(spread.refer(n, "x", token, True, 1.0, loads, now, calm) == "c" for n in names)

    assert moved(0.0, False, 5) == 0
    assert moved(10.0, True, 9) == 0
    assert moved(20.0, True, 5) == 4  # a tenth of the fair share of 33
    assert moved(20.1 + REPORT, True, 5) == 4
