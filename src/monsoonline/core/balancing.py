"""Balancing policies, which select the upstream for a request.

The policies usually examine a constant number of upstreams per selection and scan
the pool only when none of these is usable. ``least_in_flight`` always scans it and
is kept for comparison.
"""

import itertools

from monsoonline.core.health import HealthState
from monsoonline.registry import Registry

__all__ = ["policies"]

policies = Registry(kind="balancing policy")

# Upstreams that the adaptive policy compares per selection.
RANDOM_CANDIDATES = 5
RECENTLY_FREE_CANDIDATES = 6
# Random draws before ``power_of_two`` scans the pool for a usable upstream.
MAX_SAMPLES = 4
RANDOM_BUFFER_SIZE = 256


class RandomIntegers:
    """Uniform random integers from a buffer of pregenerated numbers.

    A scalar draw from numpy costs about as much as the rest of a selection, so
    numbers are drawn in blocks.

    :param generator: numpy random generator
    """

    __slots__ = ("_generator", "_numbers")

    def __init__(self, *, generator):
        self._generator = generator
        self._numbers = []

    def integer_below(self, bound):
        """Return a random integer in the range [0, bound)."""
        if not self._numbers:
            self._numbers = self._generator.random(RANDOM_BUFFER_SIZE).tolist()
        return int(self._numbers.pop() * bound)


class Policy:
    """Base class of balancing policies.

    :param generator: numpy random generator
    """

    # Whether the concurrency limit follows the reported queues. It does not for
    # policies that ignore load: they cause queues without an overload of the pool.
    limits_concurrency = False

    def __init__(self, *, generator):
        self._random_integers = RandomIntegers(generator=generator)

    def choose(self, view, now, excluded):
        """Select an upstream for one request.

        :param view: the :class:`monsoonline.core.load_view.LoadView` of the pool
        :param now: current time in ms
        :param excluded: addresses of upstreams that must not be used
        :returns: an :class:`monsoonline.core.load_view.UpstreamLoad` with a free
            slot, or ``None``
        """
        raise NotImplementedError

    @staticmethod
    def _usable(state, now, excluded):
        health = state.health
        if health.state is HealthState.HEALTHY:
            has_free_slot = state.in_flight < state.slots
        else:
            has_free_slot = state.in_flight < health.max_in_flight(
                now, slots=state.slots
            )
        return has_free_slot and state.upstream.address not in excluded

    def _scan(self, view, now, excluded):
        """Return the first usable upstream in order from a random start, or None."""
        available = view.available
        size = len(available)
        start = self._random_integers.integer_below(size) if size else 0
        for offset in range(size):
            state = available[(start + offset) % size]
            if self._usable(state, now, excluded):
                return state
        return None


@policies.register("random")
class RandomPolicy(Policy):
    """Selects a random upstream with a free slot."""

    def choose(self, view, now, excluded):
        """Return a random usable upstream."""
        return self._scan(view, now, excluded)


@policies.register("round_robin")
class RoundRobinPolicy(Policy):
    """Selects the upstreams in turn, from a random start."""

    def __init__(self, *, generator):
        super().__init__(generator=generator)
        self._next = int(generator.integers(1 << 30))

    def choose(self, view, now, excluded):
        """Return the next usable upstream in turn."""
        available = view.available
        size = len(available)
        for _ in range(size):
            self._next += 1
            state = available[self._next % size]
            if self._usable(state, now, excluded):
                return state
        return None


@policies.register("least_in_flight")
class LeastInFlightPolicy(Policy):
    """Selects the upstream with the fewest requests of this entry per slot."""

    def choose(self, view, now, excluded):
        """Return the upstream with the fewest own requests, breaking ties randomly."""
        usable = [s for s in view.available if self._usable(s, now, excluded)]
        if not usable:
            return None
        least = min(s.in_flight / s.slots for s in usable)
        ties = [s for s in usable if s.in_flight / s.slots == least]
        return ties[self._random_integers.integer_below(len(ties))]


@policies.register("power_of_two")
class PowerOfTwoPolicy(Policy):
    """Selects the one of two random upstreams with fewer own requests per slot."""

    def choose(self, view, now, excluded):
        """Return the less loaded of two random usable upstreams."""
        available = view.available
        size = len(available)
        best = None
        compared = 0
        for _ in range(MAX_SAMPLES if size else 0):
            state = available[self._random_integers.integer_below(size)]
            if state is best or not self._usable(state, now, excluded):
                continue
            compared += 1
            if best is None or (
                state.in_flight * best.slots < best.in_flight * state.slots
            ):
                best = state
            if compared == 2:
                break
        return best or self._scan(view, now, excluded)


@policies.register("adaptive")
class AdaptivePolicy(Policy):
    """Selects the upstream with the least expected latency.

    It compares random upstreams and those that recently reported a free slot.
    """

    limits_concurrency = True

    def choose(self, view, now, excluded):
        """Return the usable candidate with the least expected latency."""
        available = view.available
        size = len(available)
        if not size:
            return None
        best = None
        least_latency = 0.0
        for state in self._candidates(view, available, size):
            if state.available_index < 0 or not self._usable(state, now, excluded):
                continue
            latency = view.relative_latency(state, now)
            if best is None or latency < least_latency:
                best, least_latency = state, latency
        return best or self._scan(view, now, excluded)

    def _candidates(self, view, available, size):
        """Return distinct random and recently free upstreams, as keys of a dict."""
        integer_below = self._random_integers.integer_below
        candidates = {
            available[integer_below(size)]: None for _ in range(RANDOM_CANDIDATES)
        }
        for state in itertools.islice(
            reversed(view.recently_free), RECENTLY_FREE_CANDIDATES
        ):
            candidates[state] = None
        return candidates
