"""Reads from the responses of upstreams what they ask of their callers."""

import logging

from monsoonline.core.response_classification import MISDIRECTED_STATUS
from monsoonline.core.upstream_holds import parse_retry_after

__all__ = ["UpstreamNotices"]

LEAVING_VALUE = "1"
HOLD_HEADER = "retry-after"
HOLD_STATUS = 503

logger = logging.getLogger(__name__)


class UpstreamNotices:
    """Reads notices from all responses, also from refusals, failures and probes.

    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param on_leaving: called with id and start time of an upstream that leaves
    :param holds: :class:`monsoonline.core.upstream_holds.UpstreamHolds`
    :param metrics: counters
    """

    def __init__(self, *, names, on_leaving, holds, metrics):
        self._holds = holds
        self._leaving = names.leaving.lower()
        self._on_leaving = on_leaving
        self._metrics = metrics

    def read(self, state, response, *, identified=True):
        """Apply the notices in a response of an upstream.

        :param state: :class:`monsoonline.core.upstream_view.UpstreamState` of the
            upstream
        :param response: the complete :class:`monsoonline.types.Answer`
        :param identified: whether it has the id of the request, or of the upstream, so
            that it is certainly that upstream's own; otherwise only a hold is read,
            since leaving is final
        """
        if response.status == MISDIRECTED_STATUS:
            # Another upstream at the address speaks of itself.
            return
        leaving, hold_ms = self._parse(response)
        registration = state.registration
        if hold_ms:
            self._metrics.count("upstream_holds_total")
            self._holds.hold(registration, hold_ms)
        if identified and leaving and not registration.leaving:
            self._metrics.count("upstream_leaving_notices_total")
            logger.info(
                "upstream says that it leaves",
                extra={"upstream": registration.instance},
            )
            self._on_leaving(registration.instance, registration.born_ms)

    def _parse(self, response):
        """Return whether the upstream leaves, and for how long it wants nothing.

        :returns: a boolean, and a time in ms, 0 without one
        """
        leaving, hold_ms = False, 0.0
        for name, value in response.headers:
            lower_name = name.lower()
            if lower_name == self._leaving:
                leaving = leaving or value.strip() == LEAVING_VALUE
            elif lower_name == HOLD_HEADER and response.status == HOLD_STATUS:
                stated_ms = parse_retry_after(value.strip())
                if stated_ms is None:
                    self._metrics.count("upstream_holds_unreadable_total")
                hold_ms = max(hold_ms, stated_ms or 0.0)
        return leaving, hold_ms
