"""Reads the request limits that upstreams name in their responses."""

import logging

from monsoonline.core.upstream_limits import LimitObservation, parse_limits

__all__ = ["LimitReader"]

# A limit may change with each response; fewer changes than that are logged.
LOG_INTERVAL_MS = 1_000.0
MAX_LOGGED_VALUE_LENGTH = 40

logger = logging.getLogger(__name__)


class LimitReader:
    """Records the limits of responses, and logs and counts their changes.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param metrics: counters
    """

    def __init__(self, *, clock, names, metrics):
        self._clock = clock
        self._header = names.limit.lower()
        self._metrics = metrics

    def read(self, state, response, *, sent_at):
        """Record the limit that a response names, also if it names none.

        :param state: :class:`monsoonline.core.upstream_view.UpstreamState` of the
            upstream that responded
        :param response: the complete :class:`monsoonline.types.Answer`
        :param sent_at: instant in ms at which the request was sent
        :returns: the limit in requests per second, ``None`` without one
        """
        values = [v for name, v in response.headers if name.lower() == self._header]
        limit, unreadable = parse_limits(values)
        if unreadable is not None:
            self._note_unreadable(state, unreadable)
        self.apply(
            state,
            LimitObservation(
                limit=limit, sent_at=sent_at, received_at=self._clock.now()
            ),
        )
        return limit

    def apply(self, state, observation):
        """Apply an observation of this or another entry to an upstream's limit."""
        previous = state.limit.value
        if not state.limit.observe(observation):
            return
        self._metrics.count("upstream_limit_changes_total")
        now = self._clock.now()
        if now - state.limit_logged_at >= LOG_INTERVAL_MS or state.limit.value is None:
            state.limit_logged_at = now
            logger.info(
                "upstream limit",
                extra={
                    "upstream": state.registration.instance,
                    "limit": state.limit.value,
                    "previous": previous,
                },
            )

    def _note_unreadable(self, state, text):
        self._metrics.count("upstream_limits_unreadable_total")
        if not state.limit_unreadable:
            state.limit_unreadable = True
            logger.warning(
                "unreadable request limit is taken as no limit",
                extra={
                    "upstream": state.registration.instance,
                    "value": repr(text[:MAX_LOGGED_VALUE_LENGTH]),
                    "expected": "a decimal number of at least 0",
                },
            )
