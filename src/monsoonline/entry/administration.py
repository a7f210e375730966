"""HTTP administration API, which reads and edits routes and pools."""

import datetime
import hmac
import http
import logging
import os
import re
import secrets
import threading
import urllib.parse

import orjson

from monsoonline.core.documents import NAME_PATTERN, row_findings
from monsoonline.errors import (
    CommitUnknown,
    EditConflict,
    EditRefused,
    Finding,
    FindingsError,
    MonsoonlineError,
    StoreUnavailable,
)
from monsoonline.ports import ProposedChange
from monsoonline.types import Answer

__all__ = ["Administration", "ApiError", "resolve_tokens"]

TABLES = ("routes", "pools")
CHANGE_ID_HEADER = "Monsoonline-Change-Id"
AUTHOR_HEADER = "Monsoonline-Author"
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
ETAG_PATTERN = re.compile(r'"([0-9]{1,18})"')
MAX_AUTHOR_LENGTH = 100
KNOWN_METHODS = frozenset(method.value for method in http.HTTPMethod)
RETRY_AFTER_SECONDS = "2"
# A request may wait seconds for a slow store. The operations port has 4 workers, one of
# which must stay free for health checks and metrics.
MAX_CONCURRENT_REQUESTS = 3
ENVIRONMENT_PREFIX = "env:"
REFUSAL_STATUSES = {
    "other-department": 403,
    "missing-row": 404,
    "missing-pool": 409,
    "pool-in-use": 409,
    "change-id-reused": 422,
}

logger = logging.getLogger(__name__)


class ApiError(MonsoonlineError):
    """Raised for a request that the API rejects.

    :param message: description for users
    :param code: stable error code
    :param status: HTTP status code
    :param headers: additional response headers
    """

    def __init__(self, message, *, code, status, headers=()):
        super().__init__(message, code=code)
        self._status = status
        self._headers = tuple(headers)

    @property
    def status(self):
        """HTTP status code of the response."""
        return self._status

    @property
    def headers(self):
        """Additional response headers."""
        return self._headers


def resolve_tokens(tokens, *, environment=os.environ):
    """Return the departments' tokens with each ``env:NAME`` resolved.

    :param tokens: mapping of departments to tokens
    :param environment: environment variables
    :returns: mapping of departments to token bytes
    :raises FindingsError: if a variable is not set, or a token is empty or used by
        more than one department; the findings never quote a token
    """
    resolved = {}
    findings = []
    for department, token in tokens.items():
        if token.startswith(ENVIRONMENT_PREFIX):
            variable = token.removeprefix(ENVIRONMENT_PREFIX)
            token = environment.get(variable, "")
        expected = None
        if not token:
            expected = "a token, or env:NAME with the name of a variable that is set"
        elif token.encode() in resolved.values():
            expected = "a token that no other department uses"
        if expected is None:
            resolved[department] = token.encode()
        else:
            path = f"tokens.{department}"
            findings.append(
                Finding(place="settings", path=path, value=None, expected=expected)
            )
    if findings:
        raise FindingsError(findings)
    return resolved


def json_response(status, document, *headers):
    """Return a response with a JSON body."""
    return Answer(
        status=status,
        headers=(("Content-Type", "application/json"), *headers),
        body=orjson.dumps(document, default=str),
    )


def etag(version):
    """Return the ``ETag`` header for a row version."""
    return ("ETag", f'"{version}"')


def format_time(wall_ms):
    """Return a wall-clock time in ms as an ISO 8601 timestamp in UTC."""
    moment = datetime.datetime.fromtimestamp(wall_ms / 1e3, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def row_document(row):
    """Return the JSON object of a :class:`monsoonline.ports.Row`."""
    return {"name": row.name, "version": row.version, "row": row.document}


def change_document(change):
    """Return the JSON object of a :class:`monsoonline.ports.Change`."""
    proposal = change.proposal
    return {
        "change_id": proposal.change_id,
        "revision": change.revision,
        "table": proposal.table,
        "name": proposal.name,
        "department": proposal.department,
        "author": proposal.author,
        "time": format_time(proposal.wall_ms),
        "version_before": change.before,
        "version_after": change.version,
        "row": proposal.document,
    }


class Administration:
    """Handles requests to the paths below ``/v1/``.

    :param configuration: :class:`monsoonline.core.configuration.Configuration`
    :param store: port :class:`monsoonline.ports.TableStore`
    :param tokens: mapping of departments to token bytes
    :param clock: source of time
    :param metrics: counters
    """

    def __init__(self, *, configuration, store, tokens, clock, metrics):
        self._configuration = configuration
        self._store = store
        self._tokens = dict(tokens)
        self._clock = clock
        self._metrics = metrics
        self._slots = threading.BoundedSemaphore(MAX_CONCURRENT_REQUESTS)

    def handle(self, request):
        """Return the response, or ``None`` if the path does not belong to the API."""
        if not request.path.startswith("/v1/"):
            return None
        try:
            response = self._serve_with_slot(request)
        except MonsoonlineError as error:
            response = self._error_response(error)
        self._metrics.count(
            "administration_requests_total",
            method=request.method if request.method in KNOWN_METHODS else "other",
            status=str(response.status),
        )
        return response

    def _serve_with_slot(self, request):
        if not self._slots.acquire(blocking=False):
            raise ApiError(
                f"all {MAX_CONCURRENT_REQUESTS} slots for administration requests are "
                "in use",
                code="busy",
                status=503,
                headers=[("Retry-After", RETRY_AFTER_SECONDS)],
            )
        try:
            return self._serve(request)
        finally:
            self._slots.release()

    def _serve(self, request):
        department = self._authenticate(request)
        parts = request.path.removeprefix("/v1/").split("/")
        if parts[0] == "changes" and len(parts) == 2:
            self._check_method(request, "GET")
            return self._get_change(parts[1])
        if parts[0] not in TABLES or len(parts) > 3:
            raise self._not_found(f"path {request.path!r} does not exist")
        if len(parts) == 1:
            self._check_method(request, "GET")
            return self._list_rows(parts[0])
        table, name = parts[:2]
        if len(parts) == 3:
            self._check_method(request, "GET")
            return self._list_history(table, name, parts[2])
        self._check_method(request, "GET", "PUT", "DELETE")
        if request.method == "GET":
            return self._get_row(table, name)
        return self._edit(request, department, table, name)

    def _authenticate(self, request):
        """Return the department whose token the request carries."""
        scheme, _, given = (request.header("Authorization") or "").partition(" ")
        found = None
        # Compares every token, so that the duration does not reveal a partial match.
        for department, token in self._tokens.items():
            if hmac.compare_digest(token, given.encode()):
                found = department
        if scheme.lower() != "bearer" or found is None:
            raise ApiError(
                "expected the header 'Authorization: Bearer <token>' with the token "
                "of a department",
                code="unauthorized",
                status=401,
                headers=[("WWW-Authenticate", "Bearer")],
            )
        return found

    @staticmethod
    def _check_method(request, *valid):
        if request.method not in valid:
            raise ApiError(
                f"method {request.method!r} is not supported by this path; expected "
                f"{', '.join(valid)}",
                code="method-not-allowed",
                status=405,
                headers=[("Allow", ", ".join(valid))],
            )

    @staticmethod
    def _not_found(message):
        return ApiError(message, code="not-found", status=404)

    def _list_rows(self, table):
        try:
            content = self._store.read_rows()
            rows = [row for row in content.rows if row.table == table]
            revision, source = content.revision, "store"
        except StoreUnavailable:
            revision = self._configuration.revision
            rows, source = self._configuration.rows(table), "in-effect"
        rows = [row_document(r) for r in sorted(rows, key=lambda row: row.name)]
        document = {"revision": revision, "source": source, "rows": rows}
        return json_response(200, document)

    def _get_row(self, table, name):
        self._check_name(table, name)
        try:
            row, source = self._store.read_row(table, name), "store"
        except StoreUnavailable:
            row, source = self._configuration.row(table, name), "in-effect"
        if row is None:
            raise self._not_found(f"{table} has no row {name!r}")
        document = {**row_document(row), "source": source}
        return json_response(200, document, etag(row.version))

    def _list_history(self, table, name, segment):
        self._check_name(table, name)
        if segment != "history":
            raise self._not_found(
                f"path segment {segment!r} is not valid; expected 'history'"
            )
        changes = self._store.read_history(table, name)
        document = {"changes": [change_document(change) for change in changes]}
        return json_response(200, document)

    def _get_change(self, change_id):
        self._check_change_id(change_id)
        change = self._store.find_change(change_id)
        if change is None:
            raise self._not_found(f"no change with id {change_id!r} was found")
        document = change_document(change)
        document["in_effect_here"] = self._configuration.revision >= change.revision
        return json_response(200, document)

    def _check_name(self, table, name):
        if not re.match(NAME_PATTERN, name):
            raise self._not_found(f"{table} has no row {name!r}")

    @staticmethod
    def _check_change_id(change_id):
        if not CHANGE_ID_PATTERN.fullmatch(change_id):
            raise ApiError(
                f"change id {change_id!r} is not valid; expected 1 to 64 letters, "
                "digits, '.', '_' or '-'",
                code="change-id-invalid",
                status=400,
            )

    def _edit(self, request, department, table, name):
        document = self._parse_body(request, table, name)
        change_id = request.header(CHANGE_ID_HEADER) or secrets.token_hex(16)
        self._check_change_id(change_id)
        proposal = ProposedChange(
            change_id=change_id,
            table=table,
            name=name,
            department=department,
            expected_version=self._parse_expected_version(request),
            document=document,
            author=self._parse_author(request),
            wall_ms=self._clock.wall(),
        )
        result = self._configuration.commit(proposal)
        return self._edit_response(result)

    @staticmethod
    def _parse_author(request):
        """Return the author of an edit, decoded from the percent-encoded header."""
        text = urllib.parse.unquote(request.header(AUTHOR_HEADER) or "")
        return text[:MAX_AUTHOR_LENGTH]

    def _parse_body(self, request, table, name):
        if request.method == "DELETE":
            self._check_name(table, name)
            return None
        try:
            document = orjson.loads(request.body)
        except orjson.JSONDecodeError as error:
            raise ApiError(
                f"the request body is not valid JSON: {error}",
                code="body-invalid",
                status=400,
            ) from None
        findings = row_findings(table, name, document, place="request")
        if findings:
            raise FindingsError(findings)
        return document

    @staticmethod
    def _parse_expected_version(request):
        """Return the row version that the request's condition requires.

        :returns: the version, 0 if the row must not exist yet
        :raises ApiError: if the condition is missing or not valid
        """
        if_match = request.header("If-Match")
        if_none_match = request.header("If-None-Match")
        if if_match is None and if_none_match is None:
            raise ApiError(
                "an edit requires 'If-Match: \"<version>\"', or 'If-None-Match: *' for "
                "a new row",
                code="condition-required",
                status=428,
            )
        found = ETAG_PATTERN.fullmatch(if_match or "")
        if if_match is None and if_none_match == "*" and request.method == "PUT":
            return 0
        if found is None or if_none_match is not None or int(found[1]) == 0:
            raise ApiError(
                f"condition If-Match {if_match!r}, If-None-Match {if_none_match!r} is "
                "not valid; expected If-Match with the ETag of a GET, or "
                "If-None-Match: * for a PUT of a new row",
                code="condition-invalid",
                status=400,
            )
        return int(found[1])

    def _edit_response(self, result):
        change = result.change
        code = "accepted" if result.accepted else "propagating"
        document = {
            "code": code,
            **change_document(change),
            "acknowledgements": result.acknowledgements,
        }
        headers = [(CHANGE_ID_HEADER, change.proposal.change_id)]
        if change.version:
            headers.append(etag(change.version))
        return json_response(200 if result.accepted else 202, document, *headers)

    def _error_response(self, error):
        document = {"code": error.code, "message": error.message}
        headers = []
        status = 500
        if isinstance(error, ApiError):
            status, headers = error.status, error.headers
        elif isinstance(error, FindingsError):
            status = 422
            document["findings"] = [
                {"path": f.path, "value": f.value, "expected": f.expected}
                for f in error.findings
            ]
        elif isinstance(error, EditConflict):
            status = 412
            current = error.current
            document["current"] = row_document(current) if current else None
            headers = [etag(current.version)] if current else []
        elif isinstance(error, EditRefused):
            status = REFUSAL_STATUSES[error.code]
        elif isinstance(error, CommitUnknown):
            status = 504
            document.update(outcome="unknown", change_id=error.change_id)
        elif isinstance(error, StoreUnavailable):
            status = 503
            headers = [("Retry-After", RETRY_AFTER_SECONDS)]
        return json_response(status, document, *headers)
