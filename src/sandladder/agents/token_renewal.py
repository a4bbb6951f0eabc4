"""Decision when this controller acquires a later fencing token to have exited tasks forgotten.

Performs no I/O and reads no clock.
"""

from sandladder.agents.reconciler import Reconciler

# Changes of the store for each acquired token, and the share of the store's write rate that all
# controllers together may use for them.
_CHANGES_PER_TOKEN = 2
_WRITE_RATE_SHARE = 0.05
# A machine that lists more tasks gets a later token sooner: its heartbeat may have 64 KiB.
_LONG_HEARTBEAT_TASKS = 128


class TokenRenewal:
    """Limits how often tokens are acquired for exited tasks that await a later one."""

    def __init__(
        self, reconciler: Reconciler, lease_s: float, controllers: int, write_rps: float
    ) -> None:
        """Set the limits.

        Args:
            reconciler: holds the tokens and the agents' sessions.
            lease_s: duration of an agent's lease.
            controllers: number of controllers, each of which acquires tokens.
            write_rps: the store's limit on changes per second.
        """
        self._reconciler = reconciler
        self._min_interval_s = controllers * _CHANGES_PER_TOKEN / (_WRITE_RATE_SHARE * write_rps)
        self._interval_s = max(lease_s, self._min_interval_s)
        self._acquired_at = 0.0

    def record_token(self, now: float) -> None:
        """Record that a token was acquired, for whatever reason."""
        self._acquired_at = now

    def is_due(self, now: float) -> bool:
        """Return whether an exited task awaits a later token and enough time has passed."""
        newest = self._reconciler.fencing_token
        tasks = max(
            (
                len(agent.reported_tasks)
                for agent in self._reconciler.agents.values()
                if agent.accepts_token and agent.exited_start_token >= newest > 0
            ),
            default=0,
        )
        interval_s = self._min_interval_s if tasks > _LONG_HEARTBEAT_TASKS else self._interval_s
        return tasks > 0 and now - self._acquired_at >= interval_s
