"""HTTP requests of the experiments, each on a connection of its own."""

import contextlib
import http.client

import orjson

__all__ = ["NoAnswer", "fetch", "fetch_json"]

TIMEOUT_SECONDS = 2.0


class NoAnswer(Exception):
    """No complete response came in time."""


def fetch(address, target, *, method="GET", document=None):
    """Send a request.

    :param address: ``host:port``
    :param document: JSON value of the body, ``None`` for no body
    :returns: status and body
    :raises NoAnswer: when no complete response came
    """
    body = None if document is None else orjson.dumps(document)
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    with contextlib.closing(connection):
        try:
            connection.request(method, target, body=body)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            raise NoAnswer(f"{address}{target}: {error!r}") from error


def fetch_json(address, target, **options):
    """Send a request and return the JSON value of the response.

    :raises NoAnswer: without a complete response of status 200
    """
    status, body = fetch(address, target, **options)
    if status != 200:
        raise NoAnswer(f"{address}{target}: status {status}")
    return orjson.loads(body)
