"""Administration API client used by the commands."""

import dataclasses
import http.client
import urllib.parse

import click
import orjson

__all__ = [
    "AdministrationClient",
    "ApiResponse",
    "connection_options",
    "exit_code_for_status",
]

TIMEOUT_SECONDS = 30.0
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_REFUSED = 4
USAGE_ERROR_STATUSES = frozenset((400, 401, 405))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApiResponse:
    """Status and JSON body of an HTTP response."""

    status: int
    document: dict


def exit_code_for_status(status):
    """Return the exit code for an HTTP status."""
    if status < 400:
        return 0
    if status >= 500:
        return EXIT_UNAVAILABLE
    return EXIT_USAGE if status in USAGE_ERROR_STATUSES else EXIT_REFUSED


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
        help="Token of your department. Prefer the environment variable: options are "
        "visible in the process list.",
    )
    return url(token(function))


class AdministrationClient:
    """Client that sends one request at a time, each on a new connection.

    :param url: base URL of an entry's operations port
    :param token: token of the department
    """

    def __init__(self, *, url, token):
        self._netloc = urllib.parse.urlsplit(url).netloc
        self._token = token

    def call(self, method, target, *, document=None, headers=None):
        """Send a request and wait for its response.

        :param method: HTTP method
        :param target: path of the request
        :param document: value sent as the JSON body, ``None`` for no body
        :param headers: additional request headers
        :returns: :class:`ApiResponse`; when no complete response was received, it has
            status 504 and code ``connection-failed``
        """
        headers = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        body = None if document is None else orjson.dumps(document)
        connection = http.client.HTTPConnection(self._netloc, timeout=TIMEOUT_SECONDS)
        try:
            connection.request(method, target, body=body, headers=headers)
            response = connection.getresponse()
            return ApiResponse(
                status=response.status, document=orjson.loads(response.read())
            )
        except (OSError, http.client.HTTPException, ValueError) as error:
            message = f"no complete response from {self._netloc}: {error}"
            document = {"code": "connection-failed", "message": message}
            return ApiResponse(status=504, document=document)
        finally:
            connection.close()
