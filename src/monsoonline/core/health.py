"""Outlier detection: health of one upstream as observed by one entry.

Failures add a penalty to the load estimate, so a server that fails fast does not
attract requests before it is ejected. Ejection is temporary. When it ends, a single
trial request is sent; after its success the concurrency limit ramps up.
"""

import enum

from monsoonline.types import AttemptKind

__all__ = ["EjectionLimit", "HealthState", "UpstreamHealth"]

# Consecutive failures after which an upstream is ejected. Each entry has about one
# twentieth of the traffic, so an increase by one costs each entry one more failed
# request per upstream.
FAILURES_TO_EJECT = 2
EJECTION_MS = 2_000.0
MAX_EJECTION_MS = 30_000.0
# Largest random addition to the duration of an ejection, as a share of it.
EJECTION_JITTER = 0.5
RAMP_UP_MS = 2_000.0
# Maximum share of a pool that may be ejected. It exceeds one third, so all upstreams of
# one of three failure domains can be ejected.
MAX_EJECTED_SHARE = 0.5
# Penalties are loads in requests per slot.
PENALTY_PER_FAILURE = 2.0
PENALTY_DECAY_MS = 1_000.0
MAX_PENALTY = 20.0
FAILURE_KINDS = frozenset(
    (
        AttemptKind.FAILED_RESPONSE,
        AttemptKind.TIMED_OUT,
        AttemptKind.CONNECT_FAILED,
        AttemptKind.CONNECTION_LOST,
    )
)


class HealthState(enum.Enum):
    """State of an upstream in the ejection cycle."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    HALF_OPEN = "half-open"
    RAMPING = "ramping"


class EjectionLimit:
    """Cap on the share of the upstreams of a pool that may be ejected.

    :param size: number of upstreams of the pool
    """

    def __init__(self, *, size):
        self._size = size
        self._ejected = 0

    @property
    def ejected(self):
        """Number of upstreams that are ejected or half-open."""
        return self._ejected

    def resize(self, size):
        """Change the number of upstreams of the pool."""
        self._size = size

    def try_acquire(self):
        """Count one more ejection if the cap allows it; return whether it does."""
        if self._ejected + 1 > self._size * MAX_EJECTED_SHARE:
            return False
        self._ejected += 1
        return True

    def release(self):
        """Count one ejection less."""
        self._ejected -= 1


class UpstreamHealth:
    """Failure penalty, ejection, half-open trial and ramp-up of one upstream.

    :param limit: the :class:`EjectionLimit` of the pool
    :param generator: numpy random generator for the jitter of ejections
    """

    __slots__ = (
        "_consecutive_failures",
        "_generator",
        "_ejection_limit",
        "_penalty",
        "_penalty_at",
        "_ramp_started_at",
        "_consecutive_ejections",
        "_state",
        "_ejected_until",
    )

    def __init__(self, *, limit, generator):
        self._ejection_limit = limit
        self._generator = generator
        self._state = HealthState.HEALTHY
        self._consecutive_failures = 0
        self._consecutive_ejections = 0
        self._ejected_until = 0.0
        self._ramp_started_at = 0.0
        self._penalty = 0.0
        self._penalty_at = 0.0

    @property
    def state(self):
        """The current :class:`HealthState`."""
        return self._state

    @property
    def ejected_until(self):
        """Instant in ms at which the last ejection ends."""
        return self._ejected_until

    @property
    def penalty(self):
        """Failure penalty without decay; 0 when there is no recent failure."""
        return self._penalty

    def penalty_at(self, now):
        """Return the decayed failure penalty in requests per slot.

        :param now: current time in ms
        """
        if self._penalty <= 0.0:
            return 0.0
        remaining = self._penalty * (1.0 - (now - self._penalty_at) / PENALTY_DECAY_MS)
        if remaining <= 0.0:
            self._penalty = 0.0
            return 0.0
        return remaining

    def max_in_flight(self, now, *, slots):
        """Return how many requests of this entry may be in flight at the upstream.

        :param now: current time in ms
        :param slots: limit of a healthy upstream
        """
        if self._state is HealthState.HEALTHY:
            return slots
        if self._state is HealthState.RAMPING:
            share = (now - self._ramp_started_at) / RAMP_UP_MS
            if share >= 1.0:
                self._state = HealthState.HEALTHY
                self._consecutive_ejections = 0
                return slots
            return max(1, int(slots * share))
        return 0 if self._state is HealthState.EJECTED else 1

    def expire(self, now):
        """Enter the half-open state after an ejection; return whether it has ended."""
        if self._state is HealthState.EJECTED and now >= self._ejected_until:
            self._state = HealthState.HALF_OPEN
            return True
        return False

    def record(self, kind, now):
        """Update the health from the result of an attempt.

        :param kind: the :class:`monsoonline.types.AttemptKind` of the attempt
        :param now: current time in ms
        :returns: whether this result ejected the upstream
        """
        if kind is AttemptKind.SUCCEEDED:
            self._consecutive_failures = 0
            if self._state is HealthState.HALF_OPEN:
                self._ejection_limit.release()
                self._state = HealthState.RAMPING
                self._ramp_started_at = now
            return False
        if kind not in FAILURE_KINDS:
            return False
        self._penalty = min(MAX_PENALTY, self.penalty_at(now) + PENALTY_PER_FAILURE)
        self._penalty_at = now
        self._consecutive_failures += 1
        if self._state is HealthState.EJECTED:
            return False
        if self._state is HealthState.HALF_OPEN:
            self._eject(now)
            return True
        if (
            self._consecutive_failures < FAILURES_TO_EJECT
            or not self._ejection_limit.try_acquire()
        ):
            return False
        self._eject(now)
        return True

    def release_ejection(self):
        """Stop counting the ejection of an upstream that is removed from the pool."""
        if self._state in (HealthState.EJECTED, HealthState.HALF_OPEN):
            self._ejection_limit.release()
            self._state = HealthState.HEALTHY

    def _eject(self, now):
        duration_ms = min(
            MAX_EJECTION_MS, EJECTION_MS * 2.0**self._consecutive_ejections
        )
        jitter = 1.0 + EJECTION_JITTER * self._generator.random()
        self._consecutive_ejections += 1
        self._state = HealthState.EJECTED
        self._ejected_until = now + duration_ms * jitter
