"""Balancing policies: which upstream of a pool takes the next request.

Policies look at a constant number of upstreams per pick, except
``least_in_flight``, which is kept for comparison.
"""

import itertools

from monsoonline.core.health import HealthState
from monsoonline.registry import Registry

__all__ = ["policies"]

policies = Registry(kind="balancing policy")

RANDOM_CHOICES = 5
RECENT_CHOICES = 6
# Picks after which a policy scans the pool, when each sampled upstream was full.
SAMPLED_TRIES = 4
BUFFERED_NUMBERS = 256


class Uniforms:
    """Uniform random numbers drawn from a numpy Generator in blocks.

    One scalar draw from numpy costs about as much as the rest of a pick.

    :param generator: numpy Generator
    """

    __slots__ = ("_generator", "_numbers")

    def __init__(self, *, generator):
        self._generator = generator
        self._numbers = []

    def below(self, bound):
        """Return an integer from 0 to ``bound`` - 1."""
        if not self._numbers:
            self._numbers = self._generator.random(BUFFERED_NUMBERS).tolist()
        return int(self._numbers.pop() * bound)


class Policy:
    """Base class of the policies.

    :param generator: numpy Generator
    """

    # Whether the entry limits its requests in flight by the reported queues. The
    # plain policies do without, since they cause queues that are no overload.
    limits_concurrency = False

    def __init__(self, *, generator):
        self._uniforms = Uniforms(generator=generator)

    def choose(self, view, now, excluded):
        """Return an upstream's state with room for a request, or ``None``.

        :param view: the :class:`monsoonline.core.load_view.LoadView`
        :param now: the time in ms
        :param excluded: addresses not to use
        """
        raise NotImplementedError

    @staticmethod
    def _usable(state, now, excluded):
        health = state.health
        if health.state is HealthState.HEALTHY:
            room = state.in_flight < state.slots
        else:
            room = state.in_flight < health.allowed(now, slots=state.slots)
        return room and state.upstream.address not in excluded

    def _scan(self, view, now, excluded):
        """Return the first usable state from a random start."""
        available = view.available
        size = len(available)
        start = self._uniforms.below(size) if size else 0
        for offset in range(size):
            state = available[(start + offset) % size]
            if self._usable(state, now, excluded):
                return state
        return None


@policies.register("random")
class RandomPolicy(Policy):
    """Any upstream with room."""

    def choose(self, view, now, excluded):
        """Return a random usable state."""
        return self._scan(view, now, excluded)


@policies.register("round_robin")
class RoundRobinPolicy(Policy):
    """The next upstream in turn, from a random start."""

    def __init__(self, *, generator):
        super().__init__(generator=generator)
        self._next = int(generator.integers(1 << 30))

    def choose(self, view, now, excluded):
        """Return the next usable state in turn."""
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
    """The upstream with the fewest requests of this entry per slot."""

    def choose(self, view, now, excluded):
        """Return the usable state with the fewest own requests, ties at random."""
        usable = [s for s in view.available if self._usable(s, now, excluded)]
        if not usable:
            return None
        least = min(s.in_flight / s.slots for s in usable)
        ties = [s for s in usable if s.in_flight / s.slots == least]
        return ties[self._uniforms.below(len(ties))]


@policies.register("power_of_two")
class PowerOfTwoPolicy(Policy):
    """The better of two random upstreams by this entry's own requests."""

    def choose(self, view, now, excluded):
        """Return the better of two random usable states."""
        available = view.available
        size = len(available)
        best = None
        seen = 0
        for _ in range(SAMPLED_TRIES if size else 0):
            state = available[self._uniforms.below(size)]
            if state is best or not self._usable(state, now, excluded):
                continue
            seen += 1
            if best is None or (
                state.in_flight * best.slots < best.in_flight * state.slots
            ):
                best = state
            if seen == 2:
                break
        return best or self._scan(view, now, excluded)


@policies.register("adaptive")
class AdaptivePolicy(Policy):
    """The least expected time among recent reporters and random upstreams."""

    limits_concurrency = True

    def choose(self, view, now, excluded):
        """Return the usable state with the least expected time."""
        available = view.available
        size = len(available)
        if not size:
            return None
        best = None
        best_ms = 0.0
        for state in self._candidates(view, available, size):
            if state.position < 0 or not self._usable(state, now, excluded):
                continue
            expected = view.expected_ms(state, now)
            if best is None or expected < best_ms:
                best, best_ms = state, expected
        return best or self._scan(view, now, excluded)

    def _candidates(self, view, available, size):
        """Return distinct recent reporters and random upstreams."""
        below = self._uniforms.below
        candidates = {available[below(size)]: None for _ in range(RANDOM_CHOICES)}
        for state in itertools.islice(reversed(view.recent), RECENT_CHOICES):
            candidates[state] = None
        return candidates
