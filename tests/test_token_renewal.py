"""Tests of the decision when a later fencing token is acquired."""

from sandladder.agents import CommandBatch, Reconciler, TokenRenewal
from sandladder.agents.agent_session import AgentSession
from sandladder.model import AgentHeartbeat, Command, TaskStatus

LEASE_S = 12.0
CONTROLLERS = 3
# The store's write rate at which a lease is longer than the interval that the rate allows (6 s).
WRITE_RPS = 20.0


def heartbeat(sequence_number: int, token: int, exited: int) -> AgentHeartbeat:
    """Return a heartbeat of vm-1 with a number of exited tasks."""
    tasks = tuple(
        TaskStatus("job-000001", task, 1, "exited", "error", False) for task in range(exited)
    )
    return AgentHeartbeat(
        "vm-1", "vm-1:1", "small", "north", False, 1, sequence_number, token, None, tasks
    )


def start_and_fail(reconciler: Reconciler, tasks: int, token: int = 1) -> AgentSession:
    """Start tasks on vm-1 under a token, and receive a heartbeat that shows that they exited."""
    agent = reconciler.receive_heartbeat(heartbeat(1, token, 0), 0.0, direct=False).agent
    starts = [Command("start", "job-000001", task, 1) for task in range(tasks)]
    reconciler.record_sent(agent, CommandBatch(token, starts), direct=True)
    reconciler.receive_heartbeat(heartbeat(2, token, tasks), 0.0, direct=False)
    return agent


def renewal_after_token(tasks: int, write_rps: float = WRITE_RPS) -> TokenRenewal:
    """Return the decision of a controller that acquired token 1 at 100 s and started tasks."""
    reconciler = Reconciler()
    renewal = TokenRenewal(reconciler, LEASE_S, CONTROLLERS, write_rps)
    reconciler.adopt_fencing_token(1)
    renewal.record_token(100.0)
    start_and_fail(reconciler, tasks)
    return renewal


def test_a_token_is_acquired_a_lease_after_the_last_one_if_an_exited_task_awaits_it() -> None:
    renewal = renewal_after_token(1)
    assert not renewal.is_due(100.0 + LEASE_S - 0.1)
    assert renewal.is_due(100.0 + LEASE_S)


def test_no_token_is_acquired_while_no_exited_task_awaits_one() -> None:
    assert not renewal_after_token(0).is_due(1000.0)


def test_no_token_is_acquired_if_the_newest_one_is_later_than_the_starts() -> None:
    reconciler = Reconciler()
    renewal = TokenRenewal(reconciler, LEASE_S, CONTROLLERS, WRITE_RPS)
    reconciler.adopt_fencing_token(1)
    start_and_fail(reconciler, 1)
    assert renewal.is_due(1000.0)
    reconciler.adopt_fencing_token(4)
    assert not renewal.is_due(1000.0)


def test_a_long_heartbeat_gets_a_token_sooner() -> None:
    """Guards against a machine that is killed because its heartbeats exceed 64 KiB."""
    renewal = renewal_after_token(200)
    assert not renewal.is_due(105.9)
    assert renewal.is_due(106.0)


def test_all_controllers_use_at_most_a_twentieth_of_the_write_rate() -> None:
    write_rps = 2.0
    for tasks in (1, 200):
        renewal = renewal_after_token(tasks, write_rps)
        interval_s = next(s for s in range(1000) if renewal.is_due(100.0 + s))
        assert CONTROLLERS * 2 / interval_s <= write_rps / 20


def test_an_agent_that_another_controller_commands_causes_no_token() -> None:
    reconciler = Reconciler()
    renewal = TokenRenewal(reconciler, LEASE_S, CONTROLLERS, WRITE_RPS)
    reconciler.adopt_fencing_token(1)
    agent = start_and_fail(reconciler, 1)
    agent.revoke_token()
    assert not renewal.is_due(1000.0)
