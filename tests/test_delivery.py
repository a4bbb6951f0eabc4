"""Reports in, orders and ends out."""

from helpers import LIMITS, accept, commit
from sandladder.agents import LeaseRenewalGuard, Reconciler
from sandladder.jobs import start
from sandladder.model import AgentHeartbeat, Attempt, Command, EndedAttempt, Placement, ReportedTask
from sandladder.state import StateCache, Transaction
from world import settings


def test_nothing_is_started_before_the_machine_obeys_and_the_records_are_newer() -> None:
    reconciler, cache = Reconciler(), StateCache()
    accept(cache, entries=1)
    transaction = Transaction(cache)
    start(transaction, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
    commit(cache, transaction)
    reconciler.new_term(5)

    def report(seq: int, token: int, *entries: ReportedTask) -> AgentHeartbeat:
        return AgentHeartbeat(
            "vm-1", "vm-1:1", "small", "north", False, 1, seq, token, None, entries
        )

    agent = reconciler.heard(report(1, 0), 0.0, direct=False).agent
    assert reconciler.orders(agent, cache) == []
    reconciler.heard(report(2, 5), 0.0, direct=False)
    assert reconciler.orders(agent, cache) == []
    agent.synced = True
    assert [c.op for c in reconciler.orders(agent, cache)] == ["start"]
    # Once it was seen there it is not started again, whatever later reports lack.
    entry = ReportedTask("job-000001", 0, 1, "running", "", False)
    reconciler.heard(report(3, 5, entry), 0.0, direct=False)
    reconciler.heard(report(4, 5), 0.0, direct=False)
    assert reconciler.orders(agent, cache) == []
    # An older message changes nothing; a foreign term ends our say.
    assert not reconciler.heard(report(3, 5, entry), 0.0, direct=False).news
    reconciler.heard(report(5, 6), 0.0, direct=False)
    assert not agent.accepts_token


def test_an_exited_task_is_not_forgotten_while_a_start_may_still_arrive() -> None:
    reconciler, cache = Reconciler(), StateCache()
    reconciler.new_term(5)
    entry = ReportedTask("job-000001", 0, 1, "exited", "full", False)
    report = AgentHeartbeat("vm-1", "vm-1:1", "small", "north", False, 1, 1, 5, None, (entry,))
    agent = reconciler.heard(report, 0.0, direct=False).agent
    agent.synced = True
    agent.stale_start_token = 5
    assert reconciler.orders(agent, cache) == []
    reconciler.new_term(6)
    reconciler.heard(report._replace(seq=2, token=6), 0.0, direct=False)
    assert [c.op for c in reconciler.orders(agent, cache)] == ["forget"]
    agent.start_in_answer = True
    assert reconciler.orders(agent, cache) == []


def test_attempts_of_different_sessions_differ() -> None:
    cache, reconciler = StateCache(), Reconciler()
    accept(cache, entries=1)
    transaction = Transaction(cache)
    start(transaction, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
    commit(cache, transaction)
    reconciler.new_term(1)
    report = AgentHeartbeat("vm-1", "vm-1:1", "small", "north", False, 2, 9, 1, None, ())
    agent = reconciler.heard(report, 0.0, direct=False).agent
    attempt = Attempt("vm-1", "north", 1, 1)
    assert reconciler.ends(agent, cache) == [EndedAttempt("job-000001", 0, attempt, "lost")]


def test_what_is_cancelled_is_stopped_with_any_answer_and_on_a_peers_word() -> None:
    cache, reconciler = StateCache(), Reconciler()
    accept(cache, entries=2)
    transaction = Transaction(cache)
    places = [Placement(task, "vm-1", "north", 1) for task in range(2)]
    start(transaction, "job-000001", places, LIMITS)
    commit(cache, transaction)
    reconciler.new_term(5)
    entry = ReportedTask("job-000001", 0, 1, "running", "", False)
    report = AgentHeartbeat("vm-1", "vm-1:1", "small", "north", False, 1, 1, 5, None, (entry,))
    agent = reconciler.heard(report, 0.0, direct=False).agent
    agent.synced = True
    assert [c.op for c in reconciler.answer(agent, cache)] == ["start"]
    assert cache.tell(["job-000001"], 7.0) == ["job-000001"]
    stops = [Command("stop", "job-000001", task, 1) for task in range(2)]
    assert reconciler.answer(agent, cache) == stops
    # A machine that is not ours to tell more is told at least what surely stops.
    agent.synced = False
    assert reconciler.orders(agent, cache) == []
    assert reconciler.answer(agent, cache) == stops[:1]
    # A later reading holds what was told before it was sent; an earlier one may not.
    cache.synced(7.0)
    assert cache.cancels("job-000001")
    cache.synced(7.1)
    assert not cache.cancels("job-000001")


def test_a_start_without_an_answer_bounds_what_is_known_for_its_machine() -> None:
    """Held up in the network, it may bring a cancelled task back for as long as the lease goes on."""
    reconciler = Reconciler()
    reconciler.new_term(5)
    report = AgentHeartbeat("vm-1", "vm-1:1", "small", "north", False, 1, 1, 5, None, ())
    agent = reconciler.heard(report, 0.0, direct=False).agent
    workers = settings().platform.deployment.workers
    fence = LeaseRenewalGuard("node-0", ["node-1"], 1, workers)
    fence.read(100.0)
    agent.stale_start_token, agent.unsure = 5, fence.known_at()
    fence.read(100.0 + workers.knowledge_s)
    later = 101.0 + workers.knowledge_s
    assert fence.open(later) and not fence.open(later, agent.unsure)
    reconciler.new_term(6)
    reconciler.heard(report._replace(seq=2, token=6), later, direct=False)
    assert fence.open(later, agent.unsure)
