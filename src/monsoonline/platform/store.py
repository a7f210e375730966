"""Client of the platform's store."""

import base64
import binascii
import dataclasses
import http.client
import itertools
import json
import logging
import socket
import threading
import urllib.parse

from monsoonline.adapters.bounded_connection import BoundedConnection
from monsoonline.core.checked_fields import parse_time_ms
from monsoonline.core.crashes import includes_reports, merge_reports
from monsoonline.core.registrations import Listing
from monsoonline.core.store_revisions import StoreRevision
from monsoonline.errors import FindingsError, StoreUnavailable
from monsoonline.platform.documents import (
    decode_crashes,
    decode_member,
    decode_registration,
    encode_crashes,
    encode_member,
)
from monsoonline.platform.headers import STORE_ERA, parse_store_era
from monsoonline.ports import JoinedFleet, StoredState

__all__ = ["PlatformStore", "StoreConnection"]

# The store responds within a few ms. All entries must learn of a leaving upstream
# within 2 s, which leaves time for two calls that time out.
CALL_TIMEOUT_MS = 700.0
# A page of 1 MB takes less time over the slowest links.
RESPONSE_TIMEOUT_MS = 5_000.0
# A page holds at most 1 MB of rows, whose values are encoded.
MAX_RESPONSE_BYTES = 4 << 20
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"
ENTRIES_TABLE = "monsoonline-entries"
# Row of that table with the requests that crash upstreams, so that a starting entry
# reads both with one call. No name of an entry begins like it.
CRASHES_KEY = "#requests"
HTTP_OK = 200
PAGE_ROWS = 500
MAX_LOGGED_ROWS = 5
MAX_LOGGED_FINDINGS = 300

logger = logging.getLogger(__name__)


class KnownEra:
    """The newest era of the store that a whole read has shown.

    A response without a valid era counts as one of the newest.
    """

    def __init__(self):
        self._era = 0
        self._lock = threading.Lock()

    def check(self, text):
        """Return the era that a response states.

        :param text: value of its header, ``None`` without one
        :raises StoreUnavailable: for an earlier era than the newest
        """
        era = parse_store_era(text)
        if era is None:
            return self._era
        if era < self._era:
            raise StoreUnavailable(
                f"response of era {era}, expected era {self._era} or a later one"
            )
        return era

    def confirm(self, era):
        """Record the era that all responses of a read have stated."""
        with self._lock:
            self._era = max(self._era, era)


class StoreConnection:
    """A persistent connection for one call at a time.

    A call without a response closes the connection; the next one opens a new one.

    :param address: ``host:port``
    :param timeout_ms: timeout of each socket operation, in ms
    :param known_era: the :class:`KnownEra` of the store
    """

    def __init__(self, *, address, timeout_ms=CALL_TIMEOUT_MS, known_era=None):
        self._known_era = known_era or KnownEra()
        # Era of the store in the last response.
        self._era = 0
        self._address = address
        self._timeout_ms = timeout_ms
        self._connection = None
        self._lock = threading.Lock()

    @property
    def era(self):
        """Era of the store in the last response."""
        return self._era

    def call(self, method, path, *, query=None, document=None):
        """Make one call and return the decoded JSON response.

        :param method: HTTP method
        :param path: path of the call
        :param query: mapping of query parameters
        :param document: JSON value sent as the body
        :raises StoreUnavailable: if there was no JSON response with status 200
        """
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        body = None if document is None else json.dumps(document).encode()
        headers = {} if body is None else {"Content-Type": "application/json"}
        with self._lock:
            # A kept connection may have been closed, or gone silent, while idle. That
            # says nothing about the store, so a read is repeated on a new connection.
            repeatable = self._connection is not None and method == "GET"
            try:
                try:
                    framed = self._exchange(method, target, body, headers)
                except (OSError, http.client.HTTPException):
                    if not repeatable:
                        raise
                    framed = self._exchange(method, target, body, headers)
            except (OSError, http.client.HTTPException) as error:
                raise StoreUnavailable(f"{method} {path}: {error!r}") from error
        response = framed.response
        self._era = self._known_era.check(response.header(STORE_ERA))
        if response.status != HTTP_OK:
            raise StoreUnavailable(
                f"{method} {path}: status {response.status}, expected {HTTP_OK}"
            )
        try:
            return json.loads(response.body)
        except ValueError as error:
            raise StoreUnavailable(
                f"{method} {path}: response is not JSON: {error}"
            ) from error

    def close(self):
        """Close the connection."""
        with self._lock:
            self._disconnect()

    def _exchange(self, method, target, body, headers):
        """Make one call; the connection is closed after an error."""
        try:
            framed = self._connect().exchange(
                method, target, body=body, headers=headers
            )
        except (OSError, http.client.HTTPException):
            self._disconnect()
            raise
        if not framed.keep_alive:
            self._disconnect()
        return framed

    def _connect(self):
        if self._connection is None:
            connection = BoundedConnection(
                address=self._address,
                timeout_ms=self._timeout_ms,
                response_timeout_ms=RESPONSE_TIMEOUT_MS,
                max_bytes=MAX_RESPONSE_BYTES,
            )
            connection.connect()
            connection.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(self._timeout_ms)
            )
            self._connection = connection
        return self._connection

    def _disconnect(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """Rows of a table as the store returned them.

    :param rows: the rows as JSON objects
    :param era: era of the store
    :param revision: :class:`monsoonline.core.store_revisions.StoreRevision`
    :param now_ms: time on the clock of the store, 0 if it does not tell
    """

    rows: list
    era: int
    revision: StoreRevision
    now_ms: float


class PlatformStore:
    """Implementation of :class:`monsoonline.ports.SharedStore` on the platform.

    :param address: ``host:port`` of the store
    :param timeout_ms: timeout of each socket operation, in ms
    """

    def __init__(self, *, address, timeout_ms=CALL_TIMEOUT_MS):
        self._known_era = KnownEra()
        self._read_connection, self._join_connection, self._crash_connection = (
            StoreConnection(
                address=address, timeout_ms=timeout_ms, known_era=self._known_era
            )
            for _ in range(3)
        )
        # Invalid rows of the last read by table.
        self._skipped = {}

    def close(self):
        """Close the connections."""
        self._read_connection.close()
        self._join_connection.close()
        self._crash_connection.close()

    def join(self, member):
        """Register this entry and return what the entries keep.

        :param member: :class:`monsoonline.core.fleet.FleetMember` of this entry
        :returns: :class:`monsoonline.ports.JoinedFleet`
        :raises StoreUnavailable: if a call failed
        """
        row = {
            "table": ENTRIES_TABLE,
            "part": "",
            "key": member.name,
            "value": base64.b64encode(encode_member(member)).decode(),
        }
        # The write has no condition, so a call whose response was lost can be repeated.
        document = {"expected_revision": [], "put": [row], "remove": []}
        self._join_connection.call("POST", "/-/rows-tx", document=document)
        era = self._join_connection.era
        page = self._read_rows(self._join_connection, ENTRIES_TABLE)
        self._join_connection.close()
        if page.era != era:
            raise StoreUnavailable(f"era {page.era} follows era {era} within one call")
        rows = [row for row in page.rows if row["key"] != CRASHES_KEY]
        return JoinedFleet(
            members=self._decode_rows(ENTRIES_TABLE, rows, decode_member),
            crashes=self._decode_crashes(page),
            era=page.era,
        )

    def record_crashes(self, reports):
        """Merge reports into what is kept of requests that crash upstreams.

        Nothing is written if the store has them already.

        :param reports: :class:`monsoonline.core.crashes.CrashReport` items
        :raises StoreUnavailable: if a call failed, or another entry has written
            meanwhile; the call can be repeated
        """
        connection = self._crash_connection
        page = self._read_rows(connection, ENTRIES_TABLE, key=CRASHES_KEY)
        kept = self._decode_crashes(page)
        merged = merge_reports(kept, reports)
        if includes_reports(kept, merged):
            connection.close()
            return
        content = encode_crashes(merged, page.now_ms)
        row = {"table": ENTRIES_TABLE, "part": "", "key": CRASHES_KEY}
        version = page.rows[0]["ver"] if page.rows else 0
        document = {
            "expected_revision": [row | {"ver": version}],
            "put": [row | {"value": base64.b64encode(content).decode()}],
            "remove": [],
        }
        connection.call("POST", "/-/rows-tx", document=document)
        connection.close()

    def _decode_crashes(self, page):
        """Return the :class:`monsoonline.core.crashes.CrashReport` items of a page."""
        rows = [row for row in page.rows if row["key"] == CRASHES_KEY]
        decoded = self._decode_rows(
            CRASHES_KEY, rows, lambda _, content: decode_crashes(content, page.now_ms)
        )
        return decoded[0] if decoded else ()

    def read(self, tables_revision):
        """Return the configuration, if it is newer, and all targets.

        :param tables_revision: revision of the configuration that is known already
        :returns: :class:`monsoonline.ports.StoredState`
        :raises StoreUnavailable: if a call failed
        """
        page = self._read_rows(
            self._read_connection, OPERATOR_TABLE, key=CONFIGURATION_KEY
        )
        era, revision, tables = page.era, 0, None
        for row in page.rows:
            if row["key"] == CONFIGURATION_KEY:
                revision = make_revision(era, row["ver"])
                if revision > tables_revision:
                    tables = decode_value(row)
        page = self._read_rows(self._read_connection, TARGETS_TABLE)
        if page.era != era:
            raise StoreUnavailable(f"era {page.era} follows era {era} within one read")
        self._known_era.confirm(era)
        registrations = self._decode_rows(TARGETS_TABLE, page.rows, decode_registration)
        return StoredState(
            tables_revision=revision,
            tables=tables,
            listing=Listing(revision=page.revision, registrations=registrations),
        )

    def _read_rows(self, connection, table, *, key=""):
        """Return the :class:`Rows` of a table.

        :param key: key of the only row to read, all rows if empty
        """
        rows = []
        query = {"table": table, "part": "", "limit": PAGE_ROWS}
        if key:
            query |= {"from": key, "to": key + "\0"}
        revision = None
        while True:
            page = connection.call("GET", "/-/rows-get", query=query)
            # Pages are read at different times. The revision of the first page is used
            # because all pages are at least as recent.
            if revision is None:
                revision = make_revision(connection.era, page["ver"])
            if connection.era != revision.era:
                raise StoreUnavailable(
                    f"era {connection.era} follows era {revision.era} within one read"
                )
            rows += page["rows"]
            if not page.get("has_more") or not page["rows"]:
                now_ms = parse_time_ms(str(page.get("now"))) or 0.0
                return Rows(
                    rows=rows, era=revision.era, revision=revision, now_ms=now_ms
                )
            query["from"] = page["rows"][-1]["key"] + "\0"

    def _decode_rows(self, table, rows, decode):
        """Return the decoded rows without invalid ones, such as those of others."""
        decoded, skipped = [], {}
        for row in rows:
            try:
                decoded.append(decode(row["key"], decode_value(row)))
            except FindingsError as error:
                skipped[row["key"], row.get("ver")] = str(error)
            except Exception as error:
                # One row must not hide the others, whatever its decoder overlooks.
                skipped[row.get("key"), row.get("ver")] = repr(error)
        self._log_skipped(table, skipped)
        return tuple(decoded)

    def _log_skipped(self, table, skipped):
        """Log the invalid rows of a table if they differ from those of the last read.

        :param skipped: the findings by key and version of the row
        """
        if skipped.keys() != self._skipped.get(table, {}).keys():
            first = itertools.islice(skipped.items(), MAX_LOGGED_ROWS)
            logger.warning(
                "invalid rows skipped",
                extra={
                    "table": table,
                    "rows": len(skipped),
                    "first": {
                        key: findings[:MAX_LOGGED_FINDINGS]
                        for (key, _), findings in first
                    },
                },
            )
        self._skipped[table] = skipped


def make_revision(era, version):
    """Return the :class:`StoreRevision` of a version that a response states.

    :raises StoreUnavailable: if it is not a version
    """
    try:
        return StoreRevision.of(era=era, version=version)
    except (TypeError, ValueError) as error:
        raise StoreUnavailable(f"invalid revision: {error}") from error


def decode_value(row):
    """Return the bytes of a row's value, empty if they cannot be decoded."""
    try:
        return base64.b64decode(row["value"], validate=True)
    except (KeyError, TypeError, binascii.Error) as error:
        logger.debug("value of a row cannot be decoded", extra={"error": repr(error)})
        return b""
