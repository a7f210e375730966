"""Permits that keep the requests of all entries within an upstream's limit.

Each upstream that names a limit has one owner among the entries, the first in an order
that a hash of upstream and entry defines, so no election is needed. An entry requests a
permit from the owner before each send, and the owner issues permits at the rate of the
limit. The next entry in the order takes over when the owner does not respond to it and
nothing was heard of the owner lately. It starts without permits, since the previous
owner may have issued some just before. An owner that hears only a part of the fleet
issues a smaller share, so owners on both sides of a partition together stay within the
limit.
"""

import dataclasses
import functools
import hashlib
import heapq

__all__ = [
    "OwnerContact",
    "PermitBucket",
    "PermitForecast",
    "PermitIssuer",
    "capacity_of",
    "owner_order",
    "permits_needed",
]

# Permits that may be issued at one moment after a pause: a number, and what the limit
# allows in a time. Upstreams that share their machine are slow for about as long.
BASE_CAPACITY = 2.0
CAPACITY_DURATION_MS = 500.0
# Share of the capacity that the least urgent requests leave to others. The rest keeps
# permits from being lost while the next request is on its way.
RESERVED_SHARE = 0.5
# Ranks from here on share the lowest priority.
MAX_RANK = 2
# Interval after which an owner is asked again although no permit is expected, so that
# an entry learns of the end of a limit that allows almost nothing.
MAX_FORECAST_AGE_MS = 1_000.0
# An issuer drops the state of an upstream without requests for this time.
BUCKET_LIFETIME_MS = 30_000.0
# Time after which an entry that has not responded to a check counts as silent.
CHECK_TIMEOUT_MS = 100.0
# Age of the last response or silence at which an entry is checked again.
CHECK_INTERVAL_MS = 400.0
HASH_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15


def capacity_of(limit):
    """Return how many permits of a limit may be issued at one moment."""
    return BASE_CAPACITY + limit * CAPACITY_DURATION_MS / 1e3


def permits_needed(limit, rank):
    """Return how many permits must be available to issue one.

    Less urgent requests leave some to more urgent ones. While there are none of these,
    the permits left over increase and the full rate is issued.

    :param limit: requests per second that the upstream accepts
    :param rank: number of more urgent priorities in the pool, 0 for the most urgent
    """
    reserved = RESERVED_SHARE * (capacity_of(limit) - 1.0)
    return 1.0 + reserved * min(rank, MAX_RANK) / MAX_RANK


@functools.lru_cache(maxsize=4096)
def _hash_of(name):
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


def owner_order(instance, names, count):
    """Return the entries that may own an upstream, the owner first.

    An entry that leaves or returns changes the owner of few upstreams.

    :param instance: id of the upstream
    :param names: names of the known entries
    :param count: number of entries to return
    """
    target = _hash_of(instance)
    return heapq.nlargest(
        count,
        names,
        key=lambda name: ((_hash_of(name) ^ target) * HASH_MULTIPLIER) & HASH_MASK,
    )


class PermitBucket:
    """Token bucket of the permits of one upstream, empty at first.

    :param now: the time in ms
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, *, now):
        self._tokens = 0.0
        self._refilled_at = now

    @property
    def used_at(self):
        """Time in ms of the last request for a permit."""
        return self._refilled_at

    @property
    def tokens(self):
        """Permits available at the last request for one."""
        return self._tokens

    def take(self, now, *, limit, share, rank):
        """Take one permit; return whether it was available.

        :param now: the time in ms
        :param limit: requests per second that the upstream accepts
        :param share: share of the limit to issue
        :param rank: number of more urgent priorities in the pool
        """
        elapsed_ms = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(
            capacity_of(limit), self._tokens + limit * share * elapsed_ms / 1e3
        )
        if self._tokens < permits_needed(limit, rank):
            return False
        self._tokens -= 1.0
        return True

    def put_back(self):
        """Put back a permit that was not used; the next take applies the capacity."""
        self._tokens += 1.0


class OwnerContact:
    """Whether one other entry responds, as seen by this entry.

    An entry that does not respond is checked again until it does.
    """

    __slots__ = ("_check_sent_at", "_checked_at", "_silent")

    def __init__(self):
        self._silent = False
        self._check_sent_at = None
        self._checked_at = float("-inf")

    @property
    def silent(self):
        """Whether the entry did not respond to the last message."""
        return self._silent

    def record_response(self, now):
        """Record a response of the entry."""
        self._silent = False
        self._check_sent_at = None
        self._checked_at = now

    def record_silence(self, now):
        """Record that the entry did not respond in time."""
        self._silent = True
        self._check_sent_at = None
        self._checked_at = now

    def start_check(self, now):
        """Return whether a check must be sent now, and record it as sent.

        A check without a response for ``CHECK_TIMEOUT_MS`` makes the entry silent.
        """
        sent_at = self._check_sent_at
        if sent_at is not None and now - sent_at >= CHECK_TIMEOUT_MS:
            self.record_silence(now)
        due = now - self._checked_at >= CHECK_INTERVAL_MS
        if self._check_sent_at is not None or not due:
            return False
        self._check_sent_at = now
        return True


class PermitIssuer:
    """The permit buckets of the upstreams that one entry owns, by upstream."""

    def __init__(self):
        self._buckets = {}

    def issue(self, upstream, now, *, limit, share, rank):
        """Issue one permit if available.

        :param upstream: key that differs between two starts under the same id
        :param now: the time in ms
        :param limit: requests per second that the upstream accepts
        :param share: share of the limit to issue
        :param rank: number of more urgent priorities in the pool
        :returns: whether it was issued, and the permits that are left
        """
        bucket = self._buckets.get(upstream)
        if bucket is None:
            self._drop_unused(now)
            bucket = self._buckets[upstream] = PermitBucket(now=now)
        issued = bucket.take(now, limit=limit, share=share, rank=rank)
        return issued, bucket.tokens

    def take_back(self, upstream):
        """Return a permit that was not used to the bucket of an upstream."""
        bucket = self._buckets.get(upstream)
        if bucket is not None:
            bucket.put_back()

    def upstreams(self):
        """Return the keys of the upstreams that have a bucket."""
        return tuple(self._buckets)

    def forget(self, upstream):
        """Drop the bucket of an upstream that has no limit or another owner."""
        self._buckets.pop(upstream, None)

    def forget_all(self):
        """Drop all buckets, after a time in which others may have issued permits."""
        self._buckets.clear()

    def _drop_unused(self, now):
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if now - bucket.used_at < BUCKET_LIFETIME_MS
        }


@dataclasses.dataclass(slots=True, kw_only=True)
class PermitForecast:
    """What an entry expects of an upstream's owner since its last reply.

    Other entries take permits too, so fewer may be available than expected.

    :param tokens: permits available at the last reply
    :param as_of: instant in ms of the last reply
    :param blocked_until: instant in ms before which the owner is not asked
    """

    tokens: float = BASE_CAPACITY
    as_of: float = float("-inf")
    blocked_until: float = float("-inf")

    def allows(self, now, *, limit, rank):
        """Return whether asking the owner for a permit is worthwhile."""
        if now < self.blocked_until:
            return False
        expected = self.wait_ms(now, limit=limit, rank=rank) <= 0
        return expected or now - self.as_of >= MAX_FORECAST_AGE_MS

    def wait_ms(self, now, *, limit, rank):
        """Return the time in ms until a permit may be available."""
        missing = permits_needed(limit, rank) - self.tokens
        if missing <= 0:
            return 0.0
        if limit <= 0:
            return float("inf")
        return max(0.0, self.as_of + missing / limit * 1e3 - now)
