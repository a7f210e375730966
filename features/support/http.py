"""Single HTTP exchanges with a bound."""

import dataclasses
import http.client

import orjson

__all__ = ["HttpReply", "exchange", "read_document"]

TIMEOUT_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """Status, headers (names in lower case) and body of a complete response."""

    status: int
    headers: dict
    body: bytes

    @property
    def document(self):
        """The body as JSON."""
        return orjson.loads(self.body)

    @property
    def outcome(self):
        """The refusal's outcome, ``None`` for an upstream's own answer."""
        return self.headers.get("monsoonline-outcome")

    @property
    def code(self):
        """The refusal's code, ``""`` for an upstream's own answer."""
        return self.document["code"] if self.outcome else ""


def exchange(address, method, target, *, headers=None, body=None, seconds=None):
    """Send one request on a connection of its own.

    :param address: ``host:port``
    :returns: :class:`HttpReply`
    :raises OSError: also when the bound passed
    :raises http.client.HTTPException: when the response is not complete
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=seconds or TIMEOUT_SECONDS
    )
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        return HttpReply(
            status=response.status,
            headers={name.lower(): value for name, value in response.getheaders()},
            body=response.read(),
        )
    finally:
        connection.close()


def read_document(address, target):
    """Return the JSON document of a target, ``None`` when there is no answer."""
    try:
        return exchange(address, "GET", target, seconds=1.0).document
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError):
        return None
