"""The duty that brings the records to this version's form, once all controllers understand it.

See docs/upgrading.md.  What this module does while the form is plain can go once no store is
left that the version before wrote.
"""

import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import anyio
import msgspec

from sandladder.lifecycle import Refused, View, mark_form, raise_form, rewrite
from sandladder.records import FLEET, FORM, JOB, PLAIN, fleet_value, job_value
from sandladder.store import P_IDLE, P_USER, Change

if TYPE_CHECKING:
    from sandladder.control import Controller

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
        await self._shorten()
        await anyio.sleep_forever()

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
            if c.teams.places(job.spec.team) and _length(job_value(job)) > most
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


def _length(value: object) -> int:
    return len(msgspec.json.encode(value))
