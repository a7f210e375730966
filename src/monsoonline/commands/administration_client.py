"""Client of the administration API for the commands."""

import dataclasses
import http.client
import urllib.parse

import click
import orjson

__all__ = [
    "AdministrationClient",
    "ApiAnswer",
    "connection_options",
    "exit_code_of",
]

TIMEOUT_SECONDS = 30.0
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_REFUSED = 4
USAGE_STATUSES = frozenset((400, 401, 405))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApiAnswer:
    """Status and JSON body of an answer."""

    status: int
    document: dict


def exit_code_of(status):
    """Return the exit code for an HTTP status."""
    if status < 400:
        return 0
    if status >= 500:
        return EXIT_UNAVAILABLE
    return EXIT_USAGE if status in USAGE_STATUSES else EXIT_REFUSED


def connection_options(function):
    """Add the options ``--url`` and ``--token`` to a command."""
    url = click.option(
        "--url",
        envvar="MONSOONLINE_URL",
        required=True,
        show_envvar=True,
        help="Base URL of an entry's operations port, such as http://10.0.0.5:9901.",
    )
    token = click.option(
        "--token",
        envvar="MONSOONLINE_TOKEN",
        required=True,
        show_envvar=True,
        help="Token of your department; prefer the variable, since the process list "
        "shows options.",
    )
    return url(token(function))


class AdministrationClient:
    """Sends one request at a time.

    :param url: base URL of an entry's operations port
    :param token: token of the department
    """

    def __init__(self, *, url, token):
        self._netloc = urllib.parse.urlsplit(url).netloc
        self._token = token

    def call(self, method, target, *, document=None, headers=None):
        """Send a request.

        :returns: :class:`ApiAnswer`; status 504 and code ``connection-failed``
            stand for a request without a complete answer
        """
        headers = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        body = None if document is None else orjson.dumps(document)
        connection = http.client.HTTPConnection(self._netloc, timeout=TIMEOUT_SECONDS)
        try:
            connection.request(method, target, body=body, headers=headers)
            response = connection.getresponse()
            return ApiAnswer(
                status=response.status, document=orjson.loads(response.read())
            )
        except (OSError, http.client.HTTPException, ValueError) as error:
            message = f"no complete answer of {self._netloc}: {error}"
            document = {"code": "connection-failed", "message": message}
            return ApiAnswer(status=504, document=document)
        finally:
            connection.close()
