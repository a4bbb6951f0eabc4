"""The simulated key-value store, with compare-and-swap transactions, leases and a watch."""

import functools
import json
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import cbor2

from sandladder.transport import Request, Response
from simulation import rules
from simulation.deployment import NEXT_LIMITS, WRITE_RPS
from simulation.event_loop import now
from simulation.leases import Leases
from simulation.shared_state import SharedState

# Number of changes that the watch retains.
_LOG_LENGTH = 500
_NEVER_S = 1e6
# Range of the delay until a transaction without a response is applied, in seconds.
_LATE_COMMIT_S = (2.0, 12.0)
# Late reads of one key: their share, and their longest delay in seconds.
_LATE_READ_SHARE, _MAX_READ_DELAY_S = 0.8, 0.6
# Time after a lost response until the other controllers have read the change, in seconds.
_READ_BY_OTHERS_S = 0.8
_MAX_CONDITIONS_PER_TXN_OP = 4

# A status and the body of a response.
StatusAndBody = tuple[int, dict[str, Any]]


@dataclass
class UnansweredCommits:
    """A fault: transactions get no response, and are applied immediately or late."""

    share: float = 0.0  # of the selected transactions
    selects: Callable[[Any], bool] = bool  # predicate on the changes of a transaction
    forced_count: int = 0  # the first N selected ones, with any share above 0
    at_once: bool = False  # applied immediately, only the response is lost
    on_lost: Callable[[str], None] | None = None  # called with the writer after a loss


class Store:
    """The key-value store."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self.revision = 0
        # By key: value, revision of the last change, lease.
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self._log: deque[tuple[int, str, Any]] = deque(maxlen=_LOG_LENGTH)
        self._leases = Leases()
        # Limits.
        self.txn_ops, self.value_bytes, self.write_rps = 12, 8 * 1024.0, WRITE_RPS
        self._tokens, self._tokens_at = WRITE_RPS, 0.0
        # Faults.
        self.down = False
        self.refused_sources: set[str] = set()  # controllers that get 503
        self.commit_response_delay_s: dict[
            str, float
        ] = {}  # delay of the responses to transactions, by controller
        self.mean_delay_s = 0.0  # mean delay of a request, in seconds
        self.reads_late = False  # most responses to reads of one key are late
        self.unanswered = UnansweredCommits()
        # Observations.
        self.history: list[tuple[float, str, Any]] = []  # all changes: time, key, value
        self.writes: Counter[str] = Counter()  # number of writes by key prefix
        self.largest_value_bytes = 0  # size of the largest value, in bytes
        self.rate_limited = 0  # transactions refused by the rate limit
        self.too_large = 0  # transactions refused by a size limit

    def forget_log(self) -> None:
        """Drop the log of changes, as after many of them, so that followers read all records."""
        self._log.clear()
        self._log.append((self.revision + 1, "", None))

    def outage(self, down: bool) -> None:
        """Begin or end an outage; its end renews all leases."""
        self.down = down
        if not down:
            self._leases.renew_all()

    def apply_next_limits(self) -> None:
        """Apply the limits that the settings announce as `next`."""
        self.txn_ops = int(NEXT_LIMITS["txn_ops"])
        self.value_bytes = NEXT_LIMITS["value_kb"] * 1024
        self.write_rps = NEXT_LIMITS["write_rps"]

    async def handle(self, source: str, request: Request) -> Response:
        """Handle a request; a cancelled request may have been executed."""
        if self.down or source in self.refused_sources:
            return Response(503)
        if self.mean_delay_s:
            await anyio.sleep(self._shared.rng.uniform(0.0, 2 * self.mean_delay_s))
        self._expire_leases()
        url = urlsplit(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = cbor2.loads(request.body) if request.body else {}
        if url.path == "/commit" and self._loses_response(body):
            self._apply_without_response(source, body)
            await anyio.sleep(_NEVER_S)
        status, answer = self._answer(request.method, url.path, query, body)
        if source in self.commit_response_delay_s and url.path == "/commit":
            await anyio.sleep(self.commit_response_delay_s[source])
        may_be_late = self.reads_late and url.path.startswith("/store/")
        if may_be_late and self._shared.rng.random() < _LATE_READ_SHARE:
            self._shared.observed["late read"] += 1
            await anyio.sleep(self._shared.rng.uniform(0.0, _MAX_READ_DELAY_S))
        return Response(status, cbor2.dumps(answer))

    # Transactions without a response

    def _loses_response(self, body: Any) -> bool:
        fault = self.unanswered
        if not fault.share or not fault.selects(body["apply"]):
            return False
        if fault.forced_count <= 0 and self._shared.rng.random() >= fault.share:
            return False
        fault.forced_count -= 1
        return True

    def _apply_without_response(self, source: str, body: Any) -> None:
        if not self.unanswered.at_once:
            self._shared.network.start(functools.partial(self._apply_late, body))
            return
        status, _ = self._commit(body)
        if status == 200:
            self._shared.observed["transaction response lost"] += 1
            watcher = functools.partial(self._watch_lost_response, source, self.revision)
            self._shared.network.start(watcher)

    async def _watch_lost_response(self, writer: str, revision: int) -> None:
        """Record whether other controllers read a change whose response was lost."""
        if self.unanswered.on_lost is not None:
            self.unanswered.on_lost(writer)
        await anyio.sleep(_READ_BY_OTHERS_S)
        others = [node for name, node in self._shared.nodes.items() if name != writer]
        was_read = any(node.cache.revision >= revision for node in others)
        self._shared.observed["change read by others after its response was lost"] += was_read

    async def _apply_late(self, body: Any) -> None:
        """Apply a transaction after its sender timed out."""
        await anyio.sleep(self._shared.rng.uniform(*_LATE_COMMIT_S))
        while self.down:
            await anyio.sleep(0.5)
        self._expire_leases()
        status, _ = self._commit(body)
        self._shared.observed["late write " + ("applied" if status == 200 else "refused")] += 1

    # Requests

    def _answer(self, method: str, path: str, query: dict[str, str], body: Any) -> StatusAndBody:
        if path == "/commit":
            return self._commit(body)
        if path == "/follow":
            return self._changes_since(int(query["after"]), query["prefix"])
        if path == "/holds":
            return 200, {"tenure": self._leases.grant(body["ttl_ms"] / 1000)}
        if path.endswith("/renew"):
            lease = int(path.split("/")[2])
            return (200, {"tenure": lease}) if self._leases.renew(lease) else (404, {})
        if path == "/store":
            return self._list(query["prefix"], query.get("after", ""), int(query["most"]))
        item = self.items.get(path.removeprefix("/store/"))
        if item is None:
            return 404, {"ledger": self.revision}
        return 200, {"key": path, "v": item[0], "edition": item[1]}

    def _changes_since(self, after: int, prefix: str) -> StatusAndBody:
        """Return the changes after a revision; the simulated watch does not block."""
        if self._log and after < self._log[0][0] - 1:
            return 410, {}
        log = [
            {"drop": k, "edition": r} if v is None else {"put": k, "v": v, "edition": r}
            for r, k, v in self._log
            if r > after and k.startswith(prefix)
        ]
        return 200, {"ledger": self.revision, "log": log}

    def _list(self, prefix: str, after: str, most: int) -> StatusAndBody:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [{"key": k, "v": self.items[k][0], "edition": self.items[k][1]} for k in keys[:most]]
        return 200, {"items": page, "more": len(keys) > most, "ledger": self.revision}

    def _expire_leases(self) -> None:
        """Remove the expired leases and their keys."""
        for lease in self._leases.expire():
            keys = [key for key, item in self.items.items() if item[2] == lease]
            if keys:
                self.revision += 1
                for key in keys:
                    self._change(key, None, None)

    def _commit(self, body: Any) -> StatusAndBody:
        """Apply a transaction if all its conditions hold and it exceeds no limit."""
        changes, conditions = body["apply"], body["guards"]
        for change in changes:
            if change.get("tenure") is not None and change["tenure"] not in self._leases:
                return 400, {"error": "no such lease"}
        sizes = [len(json.dumps(c["v"], separators=(",", ":"))) for c in changes if "v" in c]
        if (
            len(changes) > self.txn_ops
            or len(conditions) > _MAX_CONDITIONS_PER_TXN_OP * self.txn_ops
            or any(size > self.value_bytes for size in sizes)
        ):
            self.too_large += 1
            return 400, {"error": "too large"}
        if not self._take_tokens(len(changes)):
            self.rate_limited += 1
            return 429, {}
        failed = [
            c["key"] for c in conditions if self.items.get(c["key"], (0, 0))[1] != c["edition"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if changes:
            self.revision += 1
        self.largest_value_bytes = max([self.largest_value_bytes, *sizes])
        for change in changes:
            self._apply(change)
        return 200, {"ledger": self.revision}

    def _take_tokens(self, number: int) -> bool:
        """Take tokens from the rate limiter; return whether there were enough."""
        rate = self.write_rps
        self._tokens = min(rate, self._tokens + (now() - self._tokens_at) * rate)
        self._tokens_at = now()
        if self._tokens < number:
            return False
        self._tokens -= number
        return True

    def _apply(self, change: dict[str, Any]) -> None:
        if "put" not in change:
            self._change(change["drop"], None, None)
            return
        key, value = change["put"], change["v"]
        before, _, _ = self.items.get(key, (None, 0, None))
        rules.check_committed_starts(self._shared, key, before, value)
        self._change(key, value, change.get("tenure"))

    def _change(self, key: str, value: Any, lease: int | None) -> None:
        """Write a key at the current revision; None removes it."""
        self.writes[key[:4]] += 1
        self.history.append((now(), key, value))
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = value, self.revision, lease
        self._log.append((self.revision, key, value))
