"""Rate limit that keeps the probes of all entries within a pool's budget."""

__all__ = ["ProbeAllowance"]

# Share of the budget that is used; the rest covers entries that do not know of each
# other yet.
BUDGET_SHARE = 0.85
# Capacity of the bucket, as the time in which the rate fills it.
BURST_DURATION_MS = 1_500.0
# Initial content of the bucket, as the time in which the rate fills it. All entries may
# start at once while callers wait after an outage; together they stay below the budget
# of one second.
INITIAL_DURATION_MS = 500.0


class ProbeAllowance:
    """Token bucket for this entry's share of a pool's probe budget.

    :param now: the time in ms
    """

    def __init__(self, *, now):
        self._tokens = None
        self._refilled_at = now

    def take(self, wanted, now, *, rate):
        """Take up to ``wanted`` probes and return the number granted.

        :param wanted: number of probes requested
        :param now: the time in ms
        :param rate: probes per second that this entry may send to the pool
        """
        capacity = max(1.0, rate * BURST_DURATION_MS / 1e3)
        if self._tokens is None:
            self._tokens = rate * INITIAL_DURATION_MS / 1e3
        refilled = rate * (now - self._refilled_at) / 1e3
        self._tokens = min(capacity, self._tokens + refilled)
        self._refilled_at = now
        granted = max(0, min(wanted, int(self._tokens)))
        self._tokens -= granted
        return granted

    @staticmethod
    def rate_of(*, per_upstream, upstreams, entries):
        """Return the probes per second that one entry may send to a pool.

        :param per_upstream: probes per second that one upstream may receive
        :param upstreams: number of upstreams
        :param entries: number of entries that share the budget
        """
        return BUDGET_SHARE * per_upstream * upstreams / max(1, entries)
