"""Rate-limited log of the decisions made for each request.

Requests that failed, exceeded their latency objective or needed more than one attempt
are always selected, all other requests are sampled. When the rate limit is reached,
all lines of a request are dropped together and counted.
"""

import logging

from monsoonline.core.decision_events import UpstreamChosen

__all__ = ["DecisionLog"]

# One of this many requests that met their latency objective at the first attempt is
# logged.
SAMPLING_INTERVAL_REQUESTS = 100
# Sustained rate of one entry. A refused request takes about three lines.
MAX_LINES_PER_SECOND = 200.0
# Burst size of the rate limit, as the time in which its tokens accumulate.
BURST_MS = 2_000.0
MIN_FAILED_STATUS = 400
DECIMALS = 1

logger = logging.getLogger(__name__)


class DecisionLog:
    """Logs the decision events of selected requests.

    :param clock: source of time
    :param metrics: :class:`monsoonline.metrics.Metrics` for written and dropped lines
    """

    def __init__(self, *, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._max_tokens = MAX_LINES_PER_SECOND * BURST_MS / 1e3
        self._tokens = self._max_tokens
        self._refilled_at = clock.now()
        self._request_count = 0

    def write(self, trail):
        """Log the events of a finished request if it is selected.

        :param trail: events of the request, a
            :class:`monsoonline.core.decision_events.DecisionTrail`
        """
        if not logger.isEnabledFor(logging.INFO):
            return
        self._request_count += 1
        if not is_notable(trail) and self._request_count % SAMPLING_INTERVAL_REQUESTS:
            return
        lines = len(trail.steps)
        if not self._try_acquire(lines):
            self._metrics.count("decision_lines_dropped_total", lines)
            return
        self._metrics.count("decision_lines_total", lines)
        for number, (at_ms, event) in enumerate(trail.steps, start=1):
            logger.info(
                event.message,
                extra={
                    "request": trail.request_id,
                    "step": number,
                    "at_ms": round(at_ms, DECIMALS),
                    **event_fields(event),
                },
            )

    def _try_acquire(self, lines):
        now = self._clock.now()
        refill = MAX_LINES_PER_SECOND * (now - self._refilled_at) / 1e3
        self._tokens = min(self._max_tokens, self._tokens + refill)
        self._refilled_at = now
        if lines > self._tokens:
            return False
        self._tokens -= lines
        return True


def is_notable(trail):
    """Return whether a request failed, was late or needed several attempts."""
    ended = trail.steps[-1][1]
    late = ended.goal_ms is not None and ended.took_ms > ended.goal_ms
    attempts = sum(isinstance(event, UpstreamChosen) for _, event in trail.steps)
    return ended.status >= MIN_FAILED_STATUS or late or attempts > 1


def event_fields(event):
    """Return the fields of an event, with floats rounded to tenths."""
    fields = {}
    for name in event.__slots__:
        value = getattr(event, name)
        fields[name] = round(value, DECIMALS) if isinstance(value, float) else value
    return fields
