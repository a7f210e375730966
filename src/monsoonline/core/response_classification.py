"""Classification of upstream responses by what they imply for the request."""

import enum

__all__ = ["MISDIRECTED_STATUS", "ResponseClass", "classify_response"]

MISDIRECTED_STATUS = 421
# Statuses that callers take as a guarantee that the request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class ResponseClass(enum.Enum):
    """Outcome that a response implies for its request."""

    SUCCESS = "success"
    # The upstream ran the request and reports that it failed.
    FAILURE = "failure"
    # The upstream guarantees that it did not run the request.
    NOT_RUN = "not-run"
    # The address now belongs to another upstream, which did not run the request.
    MISDIRECTED = "misdirected"
    # The response is not trustworthy; the request may have run.
    BROKEN = "broken"


def classify_response(response, names):
    """Classify a complete response to a request.

    :param response: the :class:`monsoonline.types.Answer`
    :param names: the :class:`monsoonline.core.header_names.HeaderNames` in use
    :returns: a :class:`ResponseClass`
    """
    if response.status == MISDIRECTED_STATUS:
        return ResponseClass.MISDIRECTED
    if response.header(names.not_run) is not None:
        return ResponseClass.NOT_RUN
    signed = response.header(names.signature) is not None
    if not signed or response.header("Content-Encoding") is not None:
        return ResponseClass.BROKEN
    if 200 <= response.status < 300:
        return ResponseClass.SUCCESS
    if response.status in NOT_RUN_STATUSES:
        # The signature shows that the request ran, which contradicts the status.
        return ResponseClass.BROKEN
    return ResponseClass.FAILURE
