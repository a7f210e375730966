"""Request limits that upstreams name in their responses.

A limit applies to the requests of all entries together, for as long as responses name
it. Responses can overtake each other, and other entries pass on what they have read, so
observations are ordered by cause and effect: a response is newer than another one only
if its request was sent after the other response had arrived.
"""

import dataclasses
import math
import re

__all__ = ["LimitObservation", "UpstreamLimit", "parse_limits"]

# An optional exponent is allowed; signs of zero are accepted and mean zero.
DECIMAL_NUMBER = re.compile(r"[+-]?(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitObservation:
    """The limit that one response named.

    :param limit: requests per second from all entries together, ``None`` if the
        response named no limit
    :param sent_at: instant in ms at which the request was sent, ``-inf`` if unknown
    :param received_at: instant in ms at which the response was received
    """

    limit: float | None
    sent_at: float
    received_at: float

    def is_newer_than(self, other):
        """Return whether the upstream certainly sent this response after the other."""
        return self.sent_at >= other.received_at

    def is_stricter_than(self, other):
        """Return whether it allows fewer requests than the other."""
        return self.limit is not None and (
            other.limit is None or self.limit < other.limit
        )


class UpstreamLimit:
    """The request limit of one upstream as known to one entry."""

    def __init__(self):
        self._observation = None

    @property
    def value(self):
        """Requests per second from all entries together, ``None`` without a limit."""
        return None if self._observation is None else self._observation.limit

    @property
    def observation(self):
        """The :class:`LimitObservation` in effect, ``None`` before the first limit."""
        return self._observation

    def observe(self, observation):
        """Apply an observation.

        A newer one replaces the known one. Of two that may have been sent in either
        order, the stricter one applies.

        :returns: whether the limit changed
        """
        known = self._observation
        if known is None:
            if observation.limit is None:
                return False
            self._observation = observation
            return True
        if known.is_newer_than(observation):
            return False
        newer = observation.is_newer_than(known)
        if newer or observation.is_stricter_than(known):
            self._observation = observation
        elif observation.limit == known.limit:
            self._observation = max(known, observation, key=lambda o: o.received_at)
        return self._observation.limit != known.limit


def parse_limits(values):
    """Return the limit that the values of a header name.

    :param values: the values of all headers of the name; each may list several numbers
        separated by commas
    :returns: the lowest readable limit in requests per second, ``None`` without one,
        and the first value that is not a decimal number of at least 0, ``None`` if all
        are
    """
    limit = unreadable = None
    for text in (part.strip() for value in values for part in value.split(",")):
        number = float(text) if DECIMAL_NUMBER.fullmatch(text) else -1.0
        if number < 0:
            unreadable = text if unreadable is None else unreadable
        elif number < math.inf and (limit is None or number < limit):
            limit = number
    return limit, unreadable
