"""The duty that brings the records to this version's form, once all controllers understand it.

See docs/upgrading.md.  What this module does while the form is plain can go once no store is
left that the version before wrote.
"""

import contextlib
import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import anyio
import msgspec

from sandladder.model.schema import FORM, PLAIN
from sandladder.protocol import wire
from sandladder.state.cache import Mirror
from sandladder.state.errors import Refused, Rejected
from sandladder.state.group_commit import P_IDLE, P_USER, Change
from sandladder.state.records import (
    FLEET,
    FORM_KEY,
    JOB,
    MARKS,
    NODE,
    TERM,
    TYPES,
    fleet_value,
    form_value,
    job_value,
)
from sandladder.state.store_client import StateClient
from sandladder.state.transaction import View

if TYPE_CHECKING:
    from sandladder.controller.controller import Controller

log = logging.getLogger(__name__)


class Upgrade:
    """Says what this controller understands, and raises the form when all do."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller

    async def run(self) -> None:
        """Raise the form, shorten what is too long for the limits to come, and rest."""
        c = self._c
        raised_here = False
        while not c.watch.loaded or c.mirror.form < FORM:
            await anyio.sleep(c.report_s / 4)
            if not c.watch.loaded or not c.hold.alive() or c.mirror.form >= FORM:
                continue
            raised_here = True
            try:
                await self._step()
            except Refused as refusal:
                log.debug("the records stay in the plain form: %s", refusal)
        if raised_here:
            log.info("the records are of the form %d now", c.mirror.form)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._shorten)
            tasks.start_soon(self._bar)

    async def _bar(self) -> None:
        """Keep a controller of the version before from reading these records.

        It half understands them.  It tries again and again, and passes over what it failed on
        before unless that is written anew.
        """
        c = self._c
        barred: set[str] = set()
        while True:
            await anyio.sleep(c.report_s / 5)
            old = c.peers.older()
            if old - barred:
                log.error("%s run a version that does not know these records", sorted(old))
            barred = old
            # One of those that hear it is enough.
            if old and c.hold.alive() and c.node == min(set(c.peers.live_nodes()) - old):
                with contextlib.suppress(Refused):
                    await self._commit("form", again)

    async def _step(self) -> None:
        mirror, node = self._c.mirror, self._c.node
        if mirror.marks.get(node, PLAIN) < FORM:
            await self._commit("mark of the form", partial(mark_form, node=node, form=FORM))
        for name, summary in mirror.nodes.items():
            if summary.form < FORM and mirror.marks.get(name, PLAIN) >= FORM:
                log.warning("%s runs an older version again", name)
                await self._commit("mark of the form", partial(mark_form, node=name, form=None))
        if all(mirror.marks.get(name, PLAIN) >= FORM for name in self._c.nodes):
            # Its proof rests on everything written until now.
            await self._c.watch.barrier()
            await self._commit("form", partial(raise_form, nodes=self._c.nodes))

    async def _commit(
        self, name: str, apply: Callable[[View], bool], priority: float = P_USER
    ) -> None:
        await self._c.committer.add(Change(name, priority, 2, apply)).wait()

    async def _shorten(self) -> None:
        """Rewrite what is longer than the limits to come, while there is time."""
        c = self._c
        most = c.limits.value_bytes
        keys = [
            JOB + job.id
            for job in c.mirror.jobs.values()
            if c.peers.places(job.spec.team) and _length(job_value(job)) > most
        ]
        if c.mirror.renter == c.node:
            keys += [
                f"{FLEET}{chunk}"
                for chunk, machines in c.mirror.chunks.items()
                if _length(fleet_value({m: c.mirror.fleet[m] for m in machines})) > most
            ]
        for key in keys:
            try:
                await self._commit(f"shorter {key}", partial(rewrite, key=key), P_IDLE)
            except Refused as refusal:
                log.debug("%s stays as it is: %s", key, refusal)


def again(view: View) -> bool:
    """Write the mark of the form anew."""
    view.put(FORM_KEY, form_value(FORM), view.mirror.version(FORM_KEY))
    return True


def _length(value: object) -> int:
    return len(msgspec.json.encode(value))


async def retire(state: StateClient, node: str) -> str | None:
    """Say for a controller that never comes back that it does not bar the second form.

    None when that is written; otherwise why it is not.  It must not live: its summary, which
    goes with its hold, is bound to be absent.
    """
    if await state.get(NODE + node) is not None:
        return f"{node} lives: it says itself what it understands"
    found = await state.get(MARKS)
    marks, version = found or ({}, 0)
    body = wire.commit_body(
        [(NODE + node, 0), (MARKS, version)], [(MARKS, {**marks, node: FORM}, None)], []
    )
    try:
        await state.commit(body, 1)
    except Rejected as rejection:
        return f"something changed meanwhile ({rejection}): try again"
    return None


def fresh(mirror: Mirror) -> bool:
    """Whether nobody has ever written here: the first things written are term and types."""
    return not mirror.version(TERM) and not mirror.version(TYPES) and not mirror.jobs


def mark_form(view: View, node: str, form: int | None) -> bool:
    """Note which form of records a controller's program understands; None: not known any more."""
    marks = dict(view.mirror.marks)
    if form is None:
        marks.pop(node, None)
    else:
        marks[node] = form
    if marks == view.mirror.marks:
        return False
    view.put(MARKS, marks, view.mirror.version(MARKS))
    return True


def raise_form(view: View, nodes: list[str]) -> bool:
    """Have records written in our form from now on: all controllers understand it.

    That is proved by what each of them wrote, never by silence: by its mark, and by its room
    summary if it lives.  The summaries are bound, so none can begin with an older program
    unseen; and the term moves, so that one that has just read the records must read again
    before it can enter.
    """
    mirror = view.mirror
    if mirror.form >= FORM:
        return False
    for node in nodes:
        summary = mirror.nodes.get(node)
        if mirror.marks.get(node, PLAIN) < FORM or node in mirror.opaque:
            raise Refused(f"{node} is not known to understand the form")
        if summary is not None and summary.form < FORM:
            raise Refused(f"{node} runs an older version")
        view.guards[NODE + node] = mirror.version(NODE + node)
    view.guards[MARKS] = mirror.version(MARKS)
    view.put(FORM_KEY, form_value(FORM), 0)
    view.put(TERM, mirror.term + 1, mirror.version(TERM))
    return True


def rewrite(view: View, key: str) -> bool:
    """Write a record again as it is, within the limits in force."""
    name = key.rpartition("/")[2]
    if key.startswith(JOB):
        return view.job(name) is not None
    if key.startswith(FLEET) and int(name) in view.mirror.chunks:
        machines = {m: view.mirror.fleet[m] for m in view.mirror.chunks[int(name)]}
        view.put(key, fleet_value(machines), view.mirror.version(key))
        return True
    return False
