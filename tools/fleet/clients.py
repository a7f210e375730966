"""HTTP requests of the experiments, each on a separate connection."""

import contextlib
import http.client

import orjson

__all__ = ["NoResponse", "fetch", "fetch_json"]

TIMEOUT_SECONDS = 2.0


class NoResponse(Exception):
    """No complete response was received in time."""


def fetch(address, target, *, method="GET", document=None):
    """Send a request.

    :param address: ``host:port``
    :param target: request target, a path with an optional query
    :param document: JSON value of the body; ``None`` for no body
    :returns: status and body
    :raises NoResponse: when no complete response is received in time
    """
    body = None if document is None else orjson.dumps(document)
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    with contextlib.closing(connection):
        try:
            connection.request(method, target, body=body)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            raise NoResponse(f"{address}{target}: {error!r}") from error


def fetch_json(address, target, **options):
    """Send a request and return the JSON value of the response.

    :param options: keyword arguments of :func:`fetch`
    :raises NoResponse: without a complete response with status 200
    """
    status, body = fetch(address, target, **options)
    if status != 200:
        raise NoResponse(f"{address}{target}: status {status}, expected 200")
    return orjson.loads(body)
