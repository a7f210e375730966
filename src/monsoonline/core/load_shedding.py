"""Load shedding: which requests are refused, and their retry delay.

This module is designed for periods of several seconds with more requests than slots. A
request that cannot be answered in time is refused at once with an accurate outcome, so
that its caller can use the remaining time elsewhere and the slot goes to a request that
can be answered.
"""

import random

__all__ = ["LoadShedder", "ReturnSchedule"]

# Share of the remaining time that the expected response time may take; the estimate is
# a mean, and service times vary by about a third.
ADMITTED_TIME_SHARE = 0.8
# Share of the latency objective that may be spent on the search for an upstream.
SEARCH_TIME_SHARE = 1 / 8
MIN_RETRY_AFTER_MS = 120.0
MAX_RETRY_AFTER_MS = 1_000.0
RETRY_JITTER_SHARE = 0.5
# Longest delay of a refusal for a limit. Callers that wait less return earlier anyway.
MAX_SCHEDULED_DELAY_MS = 10_000.0


class LoadShedder:
    """Admits or refuses requests by the best upstream that was found.

    :param generator: :class:`random.Random`, a fresh one when omitted
    """

    def __init__(self, *, generator=None):
        self._generator = generator or random.Random()

    @staticmethod
    def search_limit_ms(route):
        """Return the time limit in ms of the search for an upstream."""
        return route.success.latency_ms * SEARCH_TIME_SHARE

    @staticmethod
    def admits(best_ms, *, objective_left_ms, time_left_ms, has_free_slot, overloaded):
        """Return whether a request should be sent.

        A request that would be queued and miss its latency objective is sent only
        while the pool is not overloaded; otherwise it would make others miss theirs.

        :param best_ms: expected response time of the best upstream
        :param objective_left_ms: time left until the route's latency objective
        :param time_left_ms: time left until the caller stops waiting
        :param has_free_slot: whether the upstream has a free slot for the request
        :param overloaded: whether many requests find no acceptable upstream
        """
        if best_ms > ADMITTED_TIME_SHARE * time_left_ms:
            return False
        return has_free_slot or not overloaded or best_ms <= objective_left_ms

    def retry_after_ms(self, best_ms):
        """Return the delay in ms after which a refused caller should retry.

        It grows with the expected wait and has jitter, so that callers that were
        refused together do not retry together.

        :param best_ms: expected response time of the best upstream, ``None`` if there
            is none
        """
        wait_ms = MAX_RETRY_AFTER_MS if best_ms is None else best_ms / 2
        wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return wait_ms * (1.0 + RETRY_JITTER_SHARE * (self._generator.random() - 0.5))


class ReturnSchedule:
    """Spreads the returns of refused callers over what a limited pool accepts."""

    def __init__(self):
        self._next_at = float("-inf")

    def next_delay_ms(self, now, *, rate):
        """Return the delay in ms after which the next refused caller should retry.

        :param now: the time in ms
        :param rate: requests per second that the pool accepts from this entry
        """
        interval_ms = 1e3 / rate if rate > 0 else MAX_SCHEDULED_DELAY_MS
        earliest = max(now + MIN_RETRY_AFTER_MS, self._next_at + interval_ms)
        self._next_at = min(earliest, now + MAX_SCHEDULED_DELAY_MS)
        return self._next_at - now
