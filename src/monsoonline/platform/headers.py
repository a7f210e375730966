"""Header names and response formats of the platform."""

import json
import re
import urllib.parse

from monsoonline.core.header_names import HeaderNames
from monsoonline.core.store_revisions import MAX_ERA
from monsoonline.types import Answer, LoadReport

__all__ = [
    "DISCOVERY_PATH",
    "HEADERS",
    "READINESS_PATH",
    "STORE_ERA",
    "caller_domain",
    "discovery_response",
    "parse_load",
    "parse_store_era",
    "refusal_response",
]

HEADERS = HeaderNames(
    request_id="X-Request-Id",
    deadline_ms="X-Deadline-Ms",
    intended_instance="X-Intended-Instance",
    not_run="X-Not-Executed",
    signature="X-Response-Signature",
    load="X-Server-Load",
    instance="X-Instance-Id",
    limit="Server-Limit",
    leaving="Server-Leaving",
)
# Number of times that the store was restored from a copy, in all of its responses.
STORE_ERA = "Store-Era"
READINESS_PATH = "/-/ready"
DISCOVERY_PATH = "/-/resolve"
# Running requests, queued requests and slots; optionally the slowdown, the time that
# work takes in percent of the nominal time.
LOAD_PATTERN = re.compile(
    r"\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})"
    r"(?:\s*,\s*([0-9]{1,6}(?:\.[0-9]+)?))?\s*"
)
ERA_PATTERN = re.compile(r"[0-9]{1,9}")
NOMINAL_SLOWDOWN_PERCENT = 100.0
MIN_SLOWDOWN = 0.05


def parse_load(text):
    """Return the :class:`LoadReport` of a load header, ``None`` if it is invalid."""
    match = LOAD_PATTERN.fullmatch(text)
    if match is None or int(match[3]) < 1:
        return None
    slowdown = float(match[4]) / NOMINAL_SLOWDOWN_PERCENT if match[4] else 1.0
    return LoadReport(
        in_flight=int(match[1]),
        queued=int(match[2]),
        slots=int(match[3]),
        pace=max(MIN_SLOWDOWN, slowdown),
    )


def parse_store_era(text):
    """Return the era that a response of the store states, ``None`` if it is invalid.

    :param text: value of the header, ``None`` without one
    """
    if text is None or ERA_PATTERN.fullmatch(text) is None or int(text) > MAX_ERA:
        return None
    return int(text)


def refusal_response(refusal):
    """Return the response that reports a refusal to a caller.

    On the platform, status 429 or 503 means that the request has not run. A
    :class:`monsoonline.errors.Refusal` has one of them only if that is the case.
    """
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after_ms is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_ms / 1e3:.3f}"))
    body = json.dumps({"error": refusal.code, "message": refusal.message})
    return Answer(
        status=refusal.status, headers=tuple(headers), body=(body + "\n").encode()
    )


def caller_domain(request):
    """Return the failure domain that a discovery request names.

    The platform calls it a zone.

    :returns: ``None`` if the request names none
    """
    query = urllib.parse.parse_qs(urllib.parse.urlsplit(request.target).query)
    return query.get("zone", [None])[0]


def discovery_response(addresses, lifetime_ms):
    """Return the response to a discovery request.

    :param addresses: addresses that callers should use
    :param lifetime_ms: time in ms for which callers may cache the response
    """
    document = {"addresses": addresses, "ttl": f"{round(lifetime_ms)}ms"}
    return Answer(
        status=200,
        headers=(("Content-Type", "application/json"),),
        body=json.dumps(document).encode(),
    )
