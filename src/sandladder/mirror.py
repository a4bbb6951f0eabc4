"""A controller's copy of the records."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

import msgspec

from sandladder.model import Attempt, Final, Job, Machine, MachineType, Summary, Team
from sandladder.records import (
    FINAL,
    FLEET,
    JOB,
    NODE,
    RENTER,
    TEAM,
    TERM,
    TYPES,
    load_job,
    read_fleet,
    unpack_summary,
)

FINALS_KEPT = 4096


class Mirror:
    """A controller's copy of the records, kept up by the watch and by its own commits."""

    def __init__(self) -> None:
        self.revision = 0
        self.jobs: dict[str, Job] = {}
        self.teams: dict[str, Team] = {}
        self.nodes: dict[str, Summary] = {}
        self.fleet: dict[str, Machine] = {}
        self.chunks: dict[int, list[str]] = {}  # the machines of each fleet record
        self.renter: str | None = None
        self.term = 0
        self.types: dict[str, MachineType] = {}
        self.on_machine: dict[str, set[tuple[str, int]]] = {}
        self.versions: dict[str, int] = {}
        self.finals: OrderedDict[str, Final] = OrderedDict()
        # Machines whose committed starts changed, and tasks that were started or done, since
        # somebody last asked.
        self.touched: set[str] = set()
        self.begun: set[tuple[str, int]] = set()
        self._parts: dict[str, dict[int, Any]] = {}  # values of the nodes' summaries
        # Keys that our own commits moved past `revision`: older news of them is ignored.
        self._ahead: dict[str, int] = {}

    def version(self, key: str) -> int:
        return self.versions.get(key, 0)

    def reset(self, revision: int, items: list[tuple[str, Any, int]]) -> set[str]:
        """Replace everything by a full reading; the keys whose records may have changed."""
        changed = set()
        present = {key for key, _, _ in items}
        for key in [k for k in self.versions if k not in present]:
            if self._ahead.get(key, 0) <= revision:
                self._set(key, None, 0)
                changed.add(key)
        for key, value, version in items:
            if version > self._ahead.get(key, 0) and version != self.version(key):
                self._set(key, value, version)
                changed.add(key)
        self._advance(max(revision, self.revision))
        return changed

    def apply(self, revision: int, events: list[tuple[str, Any, int]]) -> set[str]:
        """Apply watched changes that reach `revision`; the keys that changed."""
        changed = set()
        for key, value, version in events:
            if version <= self.revision or version <= self._ahead.get(key, 0):
                continue
            self._set(key, value, 0 if value is None else version)
            changed.add(key)
        self._advance(max(revision, self.revision))
        return changed

    def wrote(self, revision: int, changes: list[tuple[str, Any]]) -> set[str]:
        """Apply a commit of our own."""
        changed = set()
        for key, value in changes:
            if revision <= max(self.version(key), self._ahead.get(key, 0)):
                continue
            if revision > self.revision:
                self._ahead[key] = revision
            self._set(key, value, 0 if value is None else revision)
            changed.add(key)
        return changed

    def _advance(self, revision: int) -> None:
        self.revision = revision
        if self._ahead:
            self._ahead = {k: v for k, v in self._ahead.items() if v > revision}

    def _set(self, key: str, value: Any, version: int) -> None:
        if key.startswith(FINAL):
            # Finished jobs never change; only the latest are kept, others are read again.
            if value is not None:
                self.remember(key[len(FINAL) :], Final(*value))
            return
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        name = key.rpartition("/")[2]
        if key.startswith(JOB):
            self._set_job(name, value)
        elif key.startswith(TEAM):
            if value is None:
                self.teams.pop(name, None)
            else:
                self.teams[name] = Team(*value)
        elif key.startswith(NODE):
            node, _, part = key[len(NODE) :].partition("/")
            self._set_part(node, int(part or 0), value)
        elif key.startswith(FLEET):
            for machine in self.chunks.pop(int(name), ()):
                del self.fleet[machine]
            if value is not None:
                found = read_fleet(value)
                self.fleet.update(found)
                self.chunks[int(name)] = list(found)
        elif key == TERM:
            self.term = int(value or 0)
        elif key == RENTER:
            self.renter = value
        elif key == TYPES:
            self.types = msgspec.convert(value or {}, dict[str, MachineType], strict=False)

    def remember(self, job_id: str, final: Final) -> None:
        """Keep what a finished job came to, among the latest such."""
        self.finals[job_id] = final
        if len(self.finals) > FINALS_KEPT:
            self.finals.popitem(last=False)

    def _set_part(self, node: str, index: int, value: Any) -> None:
        parts = self._parts.setdefault(node, {})
        if value is None:
            parts.pop(index, None)
        else:
            parts[index] = value
        if 0 not in parts:
            self.nodes.pop(node, None)
            return
        number = int(parts[0].get("p", 1))
        # Parts arrive one after the other; until the last the former summary stands.
        if all(i in parts for i in range(number)):
            summary = unpack_summary([parts[i] for i in range(number)])
            if summary is not None:
                self.nodes[node] = summary

    def _set_job(self, job_id: str, value: Any) -> None:
        old = self.jobs.get(job_id)
        before = old.live if old is not None else {}
        after: dict[int, Attempt] = {}
        if value is None:
            self.jobs.pop(job_id, None)
        else:
            job = load_job(value, old.spec if old is not None else None)
            self.jobs[job_id] = job
            after = job.live
            if old is not None and job.cancelled != old.cancelled:
                self.touched.update(attempt.machine for attempt in after.values())
        for task, attempt in before.items():
            if after.get(task) == attempt:
                continue
            self.touched.add(attempt.machine)
            tasks = self.on_machine[attempt.machine]
            tasks.discard((job_id, task))
            if not tasks:
                del self.on_machine[attempt.machine]
        for task, attempt in after.items():
            if before.get(task) == attempt:
                continue
            self.touched.add(attempt.machine)
            self.begun.add((job_id, task))
            self.on_machine.setdefault(attempt.machine, set()).add((job_id, task))

    def attempts_on(self, machine: str) -> Iterator[tuple[Job, int, Attempt]]:
        """The committed starts on a machine whose end is not proved."""
        for job_id, task in self.on_machine.get(machine, ()):
            job = self.jobs[job_id]
            yield job, task, job.live[task]
