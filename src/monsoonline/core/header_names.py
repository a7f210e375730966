"""Names of the headers exchanged by callers, entries and upstreams."""

import dataclasses

__all__ = ["HeaderNames"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names by meaning; set by the adapter in use.

    :param request_id: id of a caller's request, repeated in the response
    :param deadline_ms: time in ms for which the sender waits for the response
    :param intended_instance: the only upstream that may run the request
    :param not_run: present if the upstream did not run the request
    :param signature: present in every response from a request that the upstream ran
    :param load: the upstream's load report
    :param instance: id of the responding upstream
    :param limit: requests per second that the upstream accepts from all entries
    :param leaving: ``1`` in all responses of an upstream that leaves
    """

    request_id: str = "Monsoonline-Request-Id"
    deadline_ms: str = "Monsoonline-Deadline-Ms"
    intended_instance: str = "Monsoonline-Instance-Expected"
    not_run: str = "Monsoonline-Not-Run"
    signature: str = "Monsoonline-Signature"
    load: str = "Monsoonline-Load"
    instance: str = "Monsoonline-Instance"
    limit: str = "Monsoonline-Limit"
    leaving: str = "Monsoonline-Leaving"
