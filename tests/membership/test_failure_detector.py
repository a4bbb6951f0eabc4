"""The failure detector: phi accrual, and assessments from evidence."""

from random import Random

import pytest

from sandladder.membership import (
    MAX_PHI,
    FailureDetector,
    HealthLevel,
    PeerStatus,
    PhiAccrualWindow,
)
from sandladder.transport import LinkObservation

HEARTBEAT_S, REPORT_S = 0.4, 2.4


def status(**fields: object) -> PeerStatus:
    """Return a healthy controller's status, with some fields replaced."""
    healthy = PeerStatus(
        incarnation=1,
        fencing_token=1,
        store_reachable=True,
        late_s=0.0,
        agents=5,
        leaving=False,
        observations={},
    )
    return healthy._replace(**fields)  # type: ignore[arg-type]


def status_observing_b(silent_s: float, refused: bool = False, **fields: object) -> PeerStatus:
    """Return the status of a controller with this observation of `b`."""
    return status(observations={"b": LinkObservation(silent_s, refused)}, **fields)


def make_detector(node: str, peers: list[str], lease_holders: list[str]) -> FailureDetector:
    detector = FailureDetector(node, peers, HEARTBEAT_S, REPORT_S, REPORT_S)
    detector.record_leases(lease_holders)
    return detector


def send_heartbeats(
    detector: FailureDetector, until: float, statuses: dict[str, PeerStatus]
) -> float:
    """Record regular heartbeats up to a time; return the time of the last ones."""
    now = 0.0
    while now < until:
        now += HEARTBEAT_S
        for name, peer_status in statuses.items():
            detector.record_heartbeat(name, peer_status, now)
    return now


def test_suspicion_depends_on_the_intervals_of_the_link() -> None:
    """The same silence is suspicious on a regular link, and not on one with jitter."""
    levels = []
    for jitter in (0.02, 0.5):
        rng, window, now = Random(1), PhiAccrualWindow(HEARTBEAT_S), 0.0
        for _ in range(200):
            now += HEARTBEAT_S + rng.uniform(0, jitter)
            window.record_arrival(now)
        phis = [window.phi(now + silence / 10) for silence in range(60)]
        assert phis == sorted(phis) and phis[-1] == MAX_PHI
        assert window.phi(now + 1.0) > window.phi(now + 1.0, health_multiplier=2.0)
        levels.append(window.phi(now + 1.1))
    assert levels[0] > 8.0 > 5.0 > levels[1]
    # An outage is not a sample, so that the next one is detected as quickly.
    window.record_arrival(now + 30.0)
    assert window.phi(now + 32.0) == pytest.approx(window.phi(now + 32.0 + 1e-9), abs=1e-3)
    assert window.mean_s < 2 * HEARTBEAT_S


def test_an_assessment_follows_from_its_evidence() -> None:
    detector = make_detector("a", ["b", "c", "d"], lease_holders=["b", "c"])
    now = send_heartbeats(detector, 20.0, {"b": status(), "c": status_observing_b(0.1)})
    assert detector.assess("b", now).level is HealthLevel.HEALTHY
    assert detector.assess("d", now).level is HealthLevel.EXPIRED
    detector.record_heartbeat("b", status(late_s=1.0), now)
    assert detector.assess("b", now).level is HealthLevel.SLOW
    detector.record_heartbeat("b", status(store_reachable=False), now)
    assert detector.assess("b", now).level is HealthLevel.UNREADY
    detector.record_heartbeat("b", status(leaving=True), now)
    assert detector.assess("b", now).level is HealthLevel.LEAVING
    detector.record_write("b", now)
    # b's heartbeats no longer arrive here; they still arrive at c, and later not there either.
    for step in range(1, 9):
        at = now + step * HEARTBEAT_S
        detector.record_heartbeat("c", status_observing_b(0.1), at)
    assessment = detector.assess("b", at)
    assert assessment.level is HealthLevel.PARTITIONED
    assert assessment.evidence == "c receives its heartbeats"
    for step in range(9, 13):
        at = now + step * HEARTBEAT_S
        detector.record_heartbeat("c", status_observing_b(step * HEARTBEAT_S), at)
    assessment = detector.assess("b", at)
    assert (
        assessment.level is HealthLevel.SUSPECT
        and assessment.witnesses == 2
        and not assessment.all_refused
    )
    assert assessment.silent_s == pytest.approx(12 * HEARTBEAT_S, abs=0.5)
    # A witness that is late itself does not count.
    detector.record_heartbeat("c", status_observing_b(9.0, late_s=2.0), at)
    assert detector.assess("b", at).witnesses == 1
    # A write shows that b is alive, until its next inventory is overdue.
    detector.record_write("b", at)
    assert detector.assess("b", at).level is HealthLevel.PARTITIONED
    later = at + 3 * REPORT_S
    detector.record_heartbeat("c", status_observing_b(20.0, refused=True), later)
    detector.record_connection("b", True)
    for _ in range(3):
        detector.record_agent_failover("b", later)
    assessment = detector.assess("b", later)
    assert (
        assessment.level is HealthLevel.SUSPECT
        and assessment.witnesses == 4
        and assessment.all_refused
    )


def test_the_evidence_that_the_roster_stores_keeps_its_wording() -> None:
    """Other versions and operators' tools read these texts."""
    detector = make_detector("a", ["b", "c", "d"], lease_holders=["b", "c"])
    now = send_heartbeats(detector, 20.0, {"b": status(), "c": status()})
    assert detector.assess("d", now).evidence == "it holds nothing in the state service"
    detector.record_heartbeat("b", status(store_reachable=False), now)
    assert detector.assess("b", now).evidence == "it does not reach the state service"
    detector.record_heartbeat("b", status(leaving=True), now)
    assert detector.assess("b", now).evidence == "it says that it goes"
    later = now + 8.0
    detector.record_heartbeat("c", status_observing_b(8.0), later)
    for _ in range(3):
        detector.record_agent_failover("b", later)
    assert detector.assess("b", later).evidence == (
        "not heard for 8.0 s, c not for 8.0 s, its summary is overdue, 3 machines came over"
    )
    detector.record_heartbeat("c", status_observing_b(8.0, refused=True), later)
    detector.record_connection("b", True)
    assert detector.assess("b", later).evidence == (
        "we were refused, c was refused, its summary is overdue, 3 machines came over"
    )


def test_a_process_that_was_paused_suspects_no_peer() -> None:
    detector = make_detector("a", ["b", "c"], lease_holders=["b", "c"])
    now = send_heartbeats(detector, 20.0, {"b": status(), "c": status()})
    now += 12.0
    assert detector.assess("b", now).level is HealthLevel.SUSPECT
    detector.record_wakeup(12.0, now)
    assert detector.assess("b", now).can_serve
    assert not detector.is_warmed_up(now) and detector.is_late
    for _ in range(30):
        detector.record_wakeup(0.0, now)
    assert not detector.is_late
