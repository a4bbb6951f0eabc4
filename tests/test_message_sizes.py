"""Messages to and from agents fit the protocol's limit, however many tasks there are."""

from collections import Counter
from random import Random

import anyio
import cbor2
import pytest

from helpers import LIMITS, accept, commit, scheduler_with_two_machines
from sandladder.agents import AgentSession, Reconciler
from sandladder.agents.command_limits import limited_commands
from sandladder.autoscaling import ScalingPolicy
from sandladder.jobs import cancel, end, start, stop
from sandladder.model import (
    AgentHeartbeat,
    AttemptOutcome,
    Command,
    EndedAttempt,
    Job,
    Placement,
    TaskStatus,
)
from sandladder.protocol import agent_messages
from sandladder.protocol.agent_limits import MAX_COMMANDS, MAX_LISTED_TASKS
from sandladder.protocol.codec import BODY_LIMIT, COUNT_LIMIT
from sandladder.protocol.job_messages import LONGEST_JOB_ID
from sandladder.scheduling import MAX_TASKS_PER_MACHINE, Bin, PreemptionPolicy, pack
from sandladder.state import StateCache, Transaction
from simulation import LEASE_S, SimulatedCluster, job, run
from simulation.fault_scenarios import wait_until
from simulation.machines import Machine, Task
from simulation.rules import message_bytes
from simulation.workloads import wait_until_healthy
from test_upgrade import requires_history, upgrade_controllers

LAST_TASK, LAST_ATTEMPT = 99_999, COUNT_LIMIT - 1
TINY = {"vcpus": 0.002, "ram_gb": 0.001, "image_gb": 0.0}


def longest_heartbeat(tasks: int) -> bytes:
    """Return an agent's heartbeat in which each text and number is as long as possible."""
    text, number = 128 * "€", -2.2250738585072014e-308
    machine = Machine(text, text, text, True)
    machine.addr, machine.notice_until = text, number
    machine.epoch = machine.fencing_token = machine.sequence = LAST_ATTEMPT
    for index in range(tasks):
        task = Task(job(1, image_gb=0.0), f"{LONGEST_JOB_ID}/{LAST_TASK}", LAST_ATTEMPT, 0.0)
        task.state, task.cause, task.saved = "exited", "mates_gone", True
        machine.tasks[str(index)] = task
    return cbor2.dumps(machine.heartbeat() | {"recall_s": number})


def test_the_longest_lists_fit_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("simulation.machines.now", lambda: 0.0)
    assert 0.9 * BODY_LIMIT < message_bytes(longest_heartbeat(MAX_LISTED_TASKS)) <= BODY_LIMIT
    grace_s = 1.7976931348623157e308
    stops = [Command("stop", LONGEST_JOB_ID, LAST_TASK, LAST_ATTEMPT, grace_s)] * MAX_COMMANDS
    body = agent_messages.direct_commands_body(LAST_ATTEMPT, LAST_ATTEMPT, stops)
    assert 0.9 * BODY_LIMIT < message_bytes(body) <= BODY_LIMIT
    assert MAX_TASKS_PER_MACHINE < MAX_LISTED_TASKS <= MAX_COMMANDS


class Agent:
    """An agent that carries out commands; its tasks end at random."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.reconciler, self.token, self.sequence = Reconciler(), 1, 0
        self.reconciler.adopt_fencing_token(1)
        self.tasks: dict[tuple[str, int, int], TaskStatus] = {}
        self.most_listed = 0

    def report(self, *, direct: bool = False) -> AgentSession:
        """Send a heartbeat with the tasks as they are, and check its length."""
        self.sequence += 1
        self.most_listed = max(self.most_listed, len(self.tasks))
        tasks = tuple(self.tasks.values())
        entries = [
            {"entry": f"{t.job}/{t.task}", "try": t.attempt, "standing": t.state, "cause": t.cause}
            for t in tasks
        ]
        assert message_bytes(cbor2.dumps({"entries": entries})) <= BODY_LIMIT
        heartbeat = AgentHeartbeat(
            "vm-1", "vm-1:1", "small", "north", False, 1, self.sequence, self.token, None, tasks
        )
        session = self.reconciler.receive_heartbeat(heartbeat, 0.0, direct=direct).agent
        session.synced = True
        return session

    def exchange(self, cache: StateCache, *, direct: bool) -> None:
        """Report, and carry out the commands of a response or of a direct message."""
        session = self.report()
        batch_of = self.reconciler.direct_batch if direct else self.reconciler.response_batch
        batch = batch_of(session, cache)
        body = agent_messages.commands_value(batch.token, batch.commands)
        assert message_bytes(cbor2.dumps(body)) <= BODY_LIMIT
        self.reconciler.record_sent(session, batch, direct=direct)
        self.token = max(self.token, batch.token)
        for command in batch.commands:
            key = (command.job, command.task, command.attempt)
            if command.operation == "forget":
                del self.tasks[key]
            elif command.operation == "start":
                self.tasks.setdefault(key, TaskStatus(*key, "running", "", False))
            elif key in self.tasks:
                self.tasks[key] = TaskStatus(*key, "exited", "stopped", False)

    def end_tasks(self, share: float) -> None:
        """Let a share of the running tasks end."""
        for key, task in self.tasks.items():
            if task.state == "running" and self.rng.random() < share:
                self.tasks[key] = task._replace(state="exited", cause="done")


def start_all(cache: StateCache, job: Job) -> None:
    """Commit a start of each task of a job on the same machine, as earlier versions did."""
    transaction = Transaction(cache)
    placements = [Placement(task, "vm-1", "north", 1) for task in range(job.spec.tasks)]
    start(transaction, job.id, placements, LIMITS)
    commit(cache, transaction)


def commit_exits(cache: StateCache, agent: Agent, job: Job) -> None:
    """Commit the ends that the agent's tasks show."""
    ended = [
        EndedAttempt(job.id, task, attempt, AttemptOutcome.DONE)
        for task, attempt in job.live.items()
        if (status := agent.tasks.get((job.id, task, attempt.attempt))) is not None
        and status.state == "exited"
    ]
    transaction = Transaction(cache)
    if end(transaction, ended, 1.0):
        commit(cache, transaction)


@pytest.mark.parametrize("direct", [True, False], ids=["direct", "in responses"])
def test_starts_wait_until_the_heartbeat_has_room_and_all_are_carried_out(direct: bool) -> None:
    """Guards against heartbeats that are rejected as too long, so that all tasks are killed.

    The records are those of an earlier version, with more starts than the heartbeat can list.
    """
    cache, agent = StateCache(), Agent(3)
    accepted = accept(cache, id=LONGEST_JOB_ID, entries=2_000, **TINY)
    start_all(cache, accepted)
    for step in range(400):
        agent.exchange(cache, direct=direct)
        agent.end_tasks(0.3)
        live = cache.jobs.get(accepted.id)
        if live is None:
            break
        commit_exits(cache, agent, live)
        if step % 3 == 0:  # tasks that exited are forgotten only under a later token
            agent.reconciler.adopt_fencing_token(agent.reconciler.fencing_token + 1)
    assert accepted.id not in cache.jobs
    assert agent.most_listed == MAX_LISTED_TASKS


def test_no_task_is_started_on_a_machine_that_lists_too_many_until_it_lists_fewer() -> None:
    cache, agent = StateCache(), Agent(4)
    accepted = accept(cache, entries=1, **TINY)
    start_all(cache, accepted)
    # Tasks that an earlier version started, and that have exited.
    listed = [TaskStatus("job-000002", task, 1, "exited", "done", False) for task in range(600)]
    agent.tasks = {(task.job, task.task, task.attempt): task for task in listed}
    session = agent.report()
    batch = agent.reconciler.response_batch(session, cache)
    assert [c.operation for c in batch.commands] == ["forget"] * MAX_COMMANDS
    for _ in range(3):
        agent.exchange(cache, direct=False)
    assert [task.state for task in agent.tasks.values()] == ["running"]


def test_too_many_stops_are_sent_in_several_messages() -> None:
    cache, agent = StateCache(), Agent(5)
    accepted = accept(cache, entries=700, **TINY)
    start_all(cache, accepted)
    agent.tasks = {
        (accepted.id, task, 1): TaskStatus(accepted.id, task, 1, "running", "", False)
        for task in range(700)
    }
    transaction = Transaction(cache)
    cancel(transaction, accepted.id, 1.0)
    commit(cache, transaction)
    for running in (700 - MAX_COMMANDS, 0):
        agent.exchange(cache, direct=False)
        states = [task.state for task in agent.tasks.values()]
        assert states.count("running") == running


def test_stops_precede_forgets_and_starts_if_the_message_has_no_room_for_all() -> None:
    session = Agent(6).report()
    operations = ("forget", "stop", "start")
    forgets, stops, starts = (
        [Command(name, "job-000001", task, 1) for task in range(300)] for name in operations
    )
    commands = limited_commands(session, forgets, stops, starts)
    assert [c.operation for c in commands] == ["forget"] * (MAX_COMMANDS - 300) + ["stop"] * 300


def test_a_machine_is_given_no_more_tasks_than_its_heartbeat_can_list() -> None:
    """Guards against placements that count processors and memory only."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines(value_kb=64.0)
    accepted = accept(cache, entries=2_000, **TINY)
    placed = planner.plan([accepted], {})
    machines = [pending_start.placement.machine for pending_start in placed]
    assert machines.count("vm-1") == machines.count("vm-2") == MAX_TASKS_PER_MACHINE
    small = cache.machine_types["small"]
    bins = [Bin(small, "north", False), Bin(small, "north", False)]
    assert pack(accepted.spec, 2_000, bins) == 2 * MAX_TASKS_PER_MACHINE
    capacity = cluster_view.free_capacity("vm-1")
    assert capacity is not None and not capacity.can_take(accepted.spec)


def test_tasks_that_a_machine_cannot_list_are_evicted_from_it() -> None:
    """Guards against starts of an earlier version that wait for a machine whose tasks never end."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    services = [
        accept(cache, number=number, form="service", rank=rank, entries=300, **TINY)
        for number, rank in ((1, "normal"), (2, "prod"))
    ]
    for service in services:
        start_all(cache, service)
    preemption = PreemptionPolicy(cluster_view, planner.selector)
    evicted: set[tuple[str, int]] = set()
    for _ in range(10):
        jobs = list(cache.jobs.values())
        victims = preemption.excess_evictions(jobs)
        transaction = Transaction(cache)
        for victim in victims:
            assert stop(transaction, victim.job, [victim.task], victim.grace_s)
            evicted.add((victim.job, victim.task))
        commit(cache, transaction)
    assert {job_id for job_id, _ in evicted} == {services[0].id}
    assert len(evicted) == 600 - MAX_LISTED_TASKS


def test_machines_are_rented_for_tasks_that_the_others_cannot_list() -> None:
    """Guards against many tiny tasks that wait for one machine, as its cores seem to suffice."""
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    accept(cache, entries=2_000, loaners=False, rank="urgent", expect_s=300.0, due_s=400.0, **TINY)
    requests = ScalingPolicy(cluster_view).scale_out_requests(0.0)
    missing = 2_000 - 2 * MAX_TASKS_PER_MACHINE
    assert sum(request.number for request in requests) == -(-missing // MAX_TASKS_PER_MACHINE)


def test_arrays_of_many_short_tasks_with_long_ids_run_to_their_end() -> None:
    """Guards the whole path; the simulation rejects and records each message that is too long."""
    cluster = SimulatedCluster(63)
    most_listed = 0

    async def main() -> None:
        nonlocal most_listed
        await wait_until_healthy(cluster)
        arrays = [
            job(1, id=f"job-{number:018d}", entries=700, expect_s=2.0, breeds=["small"], **TINY)
            for number in (10**17, 10**17 + 1)
        ]
        for array in arrays:
            await cluster.submit(array)
        for _ in range(150):
            await anyio.sleep(1.0)
            listed = (len(machine.tasks) for machine in cluster.machines.values())
            most_listed = max(most_listed, *listed, 0)
            if all(cluster.is_done(array["id"]) for array in arrays):
                break
        assert await cluster.until_done([array["id"] for array in arrays], 30.0) == []

    run(cluster, main)
    assert cluster.violations == [] and cluster.expired_leases == 0
    assert 0.5 * MAX_TASKS_PER_MACHINE < most_listed <= MAX_LISTED_TASKS


def test_the_work_of_a_machine_whose_heartbeat_is_already_too_long_runs_again() -> None:
    """A machine that an earlier version filled is returned, or serves in its next epoch."""
    cluster = SimulatedCluster(64)
    filled: list[Machine] = []

    async def main() -> None:
        await wait_until_healthy(cluster)
        keeper = job(900, form="service", entries=1, rank="prod", breeds=["large"], **TINY)
        await cluster.submit(keeper)
        await wait_until(lambda: bool(cluster.tasks_on_machines()), 60.0)
        machine, _ = cluster.tasks_on_machines()[0]
        filled.append(machine)
        array = job(10**17, expect_s=1_000.0, entries=2_000, **TINY)
        cluster.specs[array["id"]] = array
        for number in range(array["entries"]):
            task = Task(array, f"{array['id']}/{number}", 1, 1_000.0)
            machine.tasks[f"{task.name}#1"] = task
        await wait_until(lambda: machine.epoch == 2 or machine.state == "deleted", 60.0)
        assert not machine.tasks
        later = job(901, entries=20, breeds=["large"], expect_s=2.0, **TINY)
        await cluster.submit(later)
        assert await cluster.until_done([later["id"]], 90.0) == []
        await cluster.until_running(keeper["id"], 1, 60.0)

    run(cluster, main)
    assert cluster.violations
    assert all(f"too_long: {filled[0].name} to node-" in text for text in cluster.violations)


@requires_history
@pytest.mark.parametrize("count", [6, 8], ids=["in time", "too late"])
def test_services_that_the_earlier_version_put_on_one_machine_run_after_an_upgrade(
    count: int,
) -> None:
    """Guards against starts in the records that their machine can never be sent.

    The heartbeat of the machine is already too long with eight services, and nearly with six.
    """
    cluster = SimulatedCluster(65, old=True)
    one_place = TINY | {"breeds": ["small"], "district": "north"}
    services = [
        job(1, id=f"job-{10**17 + number}", form="service", entries=150, rank="prod", **one_place)
        for number in range(count)
    ]

    def all_run_on_several_machines() -> bool:
        tasks = Counter(machine.name for machine, _ in cluster.tasks_on_machines())
        return tasks.total() == 150 * count and max(tasks.values()) <= MAX_LISTED_TASKS

    async def main() -> None:
        await wait_until_healthy(cluster)
        for service in services:
            await cluster.submit(service)
        await anyio.sleep(30.0)
        assert (cluster.violations != []) == (count > 6)
        await upgrade_controllers(cluster, [0, 1, 2], 3.0)
        await wait_until_healthy(cluster)
        cluster.violations.clear()
        await wait_until(all_run_on_several_machines, 180.0)
        if count > 6:
            cluster.violations.clear()  # of the heartbeats before the machine's lease expired
        expired_leases = cluster.expired_leases
        await anyio.sleep(3 * LEASE_S)
        assert cluster.expired_leases == expired_leases
        # Replicas may be moving, one at a time, to a machine with a lower price.
        assert len(cluster.tasks_on_machines()) > 0.95 * 150 * count

    run(cluster, main)
    assert cluster.violations == []
