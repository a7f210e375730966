"""Times for which upstreams have asked this entry to send nothing."""

import random
import re

__all__ = ["MAX_HOLD_MS", "UpstreamHolds", "parse_retry_after"]

# A hold comes from outside, and a fault there must not take an upstream out of use
# until it starts anew.
MAX_HOLD_MS = 600_000.0
# All entries that an upstream refused together would return together. The return is
# spread from the end of the hold on, over a share of it.
SPREAD_SHARE = 0.25
MAX_SPREAD_MS = 1_000.0
# Holds that have ended are forgotten once there are more than this.
MAX_ENDED_HOLDS = 1_000
SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_retry_after(text):
    """Return the time in ms that a ``Retry-After`` header states in seconds.

    :returns: ``None`` for what is no such time, for example a date
    """
    if SECONDS.fullmatch(text) is None:
        return None
    return float(text) * 1e3


class UpstreamHolds:
    """Holds by upstream and start time.

    A hold concerns one entry: others may send, and are not told. It ends early when
    the upstream starts anew.

    :param clock: source of time
    :param generator: :class:`random.Random`, a fresh one when omitted
    """

    def __init__(self, *, clock, generator=None):
        self._clock = clock
        self._generator = generator or random.Random()
        self._ends = {}

    def hold(self, registration, duration_ms):
        """Send nothing to an upstream for a time; a longer hold stays in effect.

        :param registration: :class:`monsoonline.core.registrations.Registration`
        :param duration_ms: the time in ms that the upstream asked for
        """
        now = self._clock.now()
        duration_ms = min(duration_ms, MAX_HOLD_MS)
        spread_ms = min(MAX_SPREAD_MS, SPREAD_SHARE * duration_ms)
        end = now + duration_ms + self._generator.uniform(0.0, spread_ms)
        key = key_of(registration)
        self._ends[key] = max(end, self._ends.get(key, 0.0))
        if len(self._ends) > MAX_ENDED_HOLDS:
            self._ends = {k: e for k, e in self._ends.items() if e > now}

    def remaining_ms(self, registration):
        """Return the time in ms for which nothing is sent to an upstream."""
        if not self._ends:
            return 0.0
        end = self._ends.get(key_of(registration), 0.0)
        return max(0.0, end - self._clock.now())


def key_of(registration):
    """Return what identifies one start of an upstream."""
    return registration.instance, registration.born_ms
