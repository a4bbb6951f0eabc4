"""Reports in, orders and ends out."""

from helpers import LIMITS, accept, commit
from sandladder.agents.lease_renewal_guard import Fence
from sandladder.agents.reconciler import Delivery
from sandladder.jobs.transitions import start
from sandladder.model.agents import Command, Entry, Report
from sandladder.model.jobs import Attempt, Ended, Placement
from sandladder.state.cache import Mirror
from sandladder.state.transaction import View
from world import settings


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


def test_what_is_cancelled_is_stopped_with_any_answer_and_on_a_peers_word() -> None:
    mirror, delivery = Mirror(), Delivery()
    accept(mirror, entries=2)
    view = View(mirror)
    places = [Placement(task, "vm-1", "north", 1) for task in range(2)]
    start(view, "job-000001", places, LIMITS)
    commit(mirror, view)
    delivery.new_term(5)
    entry = Entry("job-000001", 0, 1, "running", "", False)
    report = Report("vm-1", "vm-1:1", "small", "north", False, 1, 1, 5, None, (entry,))
    dialogue = delivery.heard(report, 0.0, direct=False).dialogue
    dialogue.synced = True
    assert [c.op for c in delivery.answer(dialogue, mirror)] == ["start"]
    assert mirror.tell(["job-000001"], 7.0) == ["job-000001"]
    stops = [Command("stop", "job-000001", task, 1) for task in range(2)]
    assert delivery.answer(dialogue, mirror) == stops
    # A machine that is not ours to tell more is told at least what surely stops.
    dialogue.synced = False
    assert delivery.orders(dialogue, mirror) == []
    assert delivery.answer(dialogue, mirror) == stops[:1]
    # A later reading holds what was told before it was sent; an earlier one may not.
    mirror.synced(7.0)
    assert mirror.cancels("job-000001")
    mirror.synced(7.1)
    assert not mirror.cancels("job-000001")


def test_a_start_without_an_answer_bounds_what_is_known_for_its_machine() -> None:
    """Held up in the network, it may bring a cancelled task back for as long as the lease goes on."""
    delivery = Delivery()
    delivery.new_term(5)
    report = Report("vm-1", "vm-1:1", "small", "north", False, 1, 1, 5, None, ())
    dialogue = delivery.heard(report, 0.0, direct=False).dialogue
    workers = settings().platform.deployment.workers
    fence = Fence("node-0", ["node-1"], 1, workers)
    fence.read(100.0)
    dialogue.tainted, dialogue.unsure = 5, fence.known_at()
    fence.read(100.0 + workers.knowledge_s)
    later = 101.0 + workers.knowledge_s
    assert fence.open(later) and not fence.open(later, dialogue.unsure)
    delivery.new_term(6)
    delivery.heard(report._replace(seq=2, token=6), later, direct=False)
    assert fence.open(later, dialogue.unsure)
