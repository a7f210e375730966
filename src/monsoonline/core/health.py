"""Health of one upstream as one entry sees it.

Errors add to the load estimate, so a server that fails fast attracts no work even
before it is ejected. Ejection is temporary: a single trial request decides over the
return, which is followed by a ramp-up of the concurrency limit.
"""

import enum

from monsoonline.types import AttemptKind

__all__ = ["EjectionLimit", "HealthState", "UpstreamHealth"]

# Two failures in a row: with one twentieth of the traffic per entry, a longer run
# costs each entry one more failed request per failing upstream.
FAILURES_TO_EJECT = 2
EJECTION_MS = 2_000.0
MAX_EJECTION_MS = 30_000.0
EJECTION_JITTER = 0.5
RAMP_UP_MS = 2_000.0
# Half of a pool: losing one of three failure domains must not reach the cap.
MAX_EJECTED_SHARE = 0.5
PENALTY_PER_FAILURE = 2.0
PENALTY_DECAY_MS = 1_000.0
MAX_PENALTY = 20.0
FAILURE_KINDS = frozenset(
    (
        AttemptKind.FAILED_ANSWER,
        AttemptKind.TIMED_OUT,
        AttemptKind.CONNECT_FAILED,
        AttemptKind.CONNECTION_LOST,
    )
)


class HealthState(enum.Enum):
    """Whether an upstream takes requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    HALF_OPEN = "half-open"
    RAMPING = "ramping"


class EjectionLimit:
    """Cap on the ejected share of one pool.

    :param size: number of upstreams of the pool
    """

    def __init__(self, *, size):
        self._size = size
        self._ejected = 0

    @property
    def ejected(self):
        """Number of upstreams ejected now."""
        return self._ejected

    def resize(self, size):
        """Use a new number of upstreams."""
        self._size = size

    def take(self):
        """Claim one ejection; return whether the cap allows it."""
        if self._ejected + 1 > self._size * MAX_EJECTED_SHARE:
            return False
        self._ejected += 1
        return True

    def give_back(self):
        """End one ejection."""
        self._ejected -= 1


class UpstreamHealth:
    """Failure penalty, ejection, half-open trial and ramp-up of one upstream.

    :param limit: the pool's :class:`EjectionLimit`
    :param generator: numpy Generator for the jitter of ejection times
    """

    __slots__ = (
        "_failures",
        "_generator",
        "_limit",
        "_penalty",
        "_penalty_at",
        "_ramp_from",
        "_rounds",
        "_state",
        "_until",
    )

    def __init__(self, *, limit, generator):
        self._limit = limit
        self._generator = generator
        self._state = HealthState.HEALTHY
        self._failures = 0
        self._rounds = 0
        self._until = 0.0
        self._ramp_from = 0.0
        self._penalty = 0.0
        self._penalty_at = 0.0

    @property
    def state(self):
        """The current :class:`HealthState`."""
        return self._state

    @property
    def until(self):
        """Instant in ms at which the ejection ends."""
        return self._until

    @property
    def penalty(self):
        """Undecayed failure penalty; 0 when there was no recent failure."""
        return self._penalty

    def penalty_at(self, now):
        """Return the load in requests per slot that recent failures stand for."""
        if self._penalty <= 0.0:
            return 0.0
        left = self._penalty * (1.0 - (now - self._penalty_at) / PENALTY_DECAY_MS)
        if left <= 0.0:
            self._penalty = 0.0
            return 0.0
        return left

    def allowed(self, now, *, slots):
        """Return how many requests of this entry the upstream may hold.

        :param now: the time in ms
        :param slots: limit of a healthy upstream
        """
        if self._state is HealthState.HEALTHY:
            return slots
        if self._state is HealthState.RAMPING:
            share = (now - self._ramp_from) / RAMP_UP_MS
            if share >= 1.0:
                self._state = HealthState.HEALTHY
                self._rounds = 0
                return slots
            return max(1, int(slots * share))
        return 0 if self._state is HealthState.EJECTED else 1

    def expire(self, now):
        """Turn an ended ejection into the half-open state; return whether it did."""
        if self._state is HealthState.EJECTED and now >= self._until:
            self._state = HealthState.HALF_OPEN
            return True
        return False

    def record(self, kind, now):
        """Learn from the end of an attempt.

        :param kind: the :class:`monsoonline.types.AttemptKind`
        :param now: the time in ms
        :returns: whether the upstream was ejected by this
        """
        if kind is AttemptKind.SUCCEEDED:
            self._failures = 0
            if self._state is HealthState.HALF_OPEN:
                self._limit.give_back()
                self._state = HealthState.RAMPING
                self._ramp_from = now
            return False
        if kind not in FAILURE_KINDS:
            return False
        self._penalty = min(MAX_PENALTY, self.penalty_at(now) + PENALTY_PER_FAILURE)
        self._penalty_at = now
        self._failures += 1
        if self._state is HealthState.EJECTED:
            return False
        if self._state is HealthState.HALF_OPEN:
            self._eject(now)
            return True
        if self._failures < FAILURES_TO_EJECT or not self._limit.take():
            return False
        self._eject(now)
        return True

    def forget(self):
        """Give back the claim of an upstream that leaves the pool."""
        if self._state in (HealthState.EJECTED, HealthState.HALF_OPEN):
            self._limit.give_back()
            self._state = HealthState.HEALTHY

    def _eject(self, now):
        length = min(MAX_EJECTION_MS, EJECTION_MS * 2.0**self._rounds)
        jitter = 1.0 + EJECTION_JITTER * self._generator.random()
        self._rounds += 1
        self._state = HealthState.EJECTED
        self._until = now + length * jitter
