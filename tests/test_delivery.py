"""Reports in, orders and ends out."""

from helpers import LIMITS, accept, commit
from sandladder.delivery import Delivery
from sandladder.lifecycle import Ended, Placement, View, start
from sandladder.mirror import Mirror
from sandladder.model import Attempt, Entry, Report


def test_nothing_is_started_before_the_machine_obeys_and_the_records_are_newer() -> None:
    delivery, mirror = Delivery(), Mirror()
    accept(mirror, entries=1)
    view = View(mirror)
    start(view, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
    commit(mirror, view)
    delivery.new_term(5)

    def report(seq: int, token: int, *entries: Entry) -> Report:
        return Report("vm-1", "vm-1:1", "small", "north", False, 1, seq, token, None, entries)

    dialogue = delivery.heard(report(1, 0), 0.0, direct=False).dialogue
    assert delivery.orders(dialogue, mirror) == []
    delivery.heard(report(2, 5), 0.0, direct=False)
    assert delivery.orders(dialogue, mirror) == []
    dialogue.synced = True
    assert [c.op for c in delivery.orders(dialogue, mirror)] == ["start"]
    # Once it was seen there it is not started again, whatever later reports lack.
    entry = Entry("job-000001", 0, 1, "running", "", False)
    delivery.heard(report(3, 5, entry), 0.0, direct=False)
    delivery.heard(report(4, 5), 0.0, direct=False)
    assert delivery.orders(dialogue, mirror) == []
    # An older message changes nothing; a foreign term ends our say.
    assert not delivery.heard(report(3, 5, entry), 0.0, direct=False).news
    delivery.heard(report(5, 6), 0.0, direct=False)
    assert not dialogue.obeys


def test_an_exited_task_is_not_forgotten_while_a_start_may_still_arrive() -> None:
    delivery, mirror = Delivery(), Mirror()
    delivery.new_term(5)
    entry = Entry("job-000001", 0, 1, "exited", "full", False)
    report = Report("vm-1", "vm-1:1", "small", "north", False, 1, 1, 5, None, (entry,))
    dialogue = delivery.heard(report, 0.0, direct=False).dialogue
    dialogue.synced = True
    dialogue.tainted = 5
    assert delivery.orders(dialogue, mirror) == []
    delivery.new_term(6)
    delivery.heard(report._replace(seq=2, token=6), 0.0, direct=False)
    assert [c.op for c in delivery.orders(dialogue, mirror)] == ["forget"]
    dialogue.start_in_answer = True
    assert delivery.orders(dialogue, mirror) == []


def test_attempts_of_different_sessions_differ() -> None:
    mirror, delivery = Mirror(), Delivery()
    accept(mirror, entries=1)
    view = View(mirror)
    start(view, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
    commit(mirror, view)
    delivery.new_term(1)
    report = Report("vm-1", "vm-1:1", "small", "north", False, 2, 9, 1, None, ())
    dialogue = delivery.heard(report, 0.0, direct=False).dialogue
    attempt = Attempt("vm-1", "north", 1, 1)
    assert delivery.ends(dialogue, mirror) == [Ended("job-000001", 0, attempt, "lost")]
