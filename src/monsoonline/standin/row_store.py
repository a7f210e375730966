"""Stand-in for the platform's store of rows and objects, with fault injection.

It implements the published HTTP API of the store. Faults are set on
:attr:`RowStoreStandIn.faults` and apply from the next call.
"""

import base64
import dataclasses
import json
import threading
import time
import urllib.parse

from waitress.channel import ClientDisconnected

from monsoonline.adapters.http_server import HttpServer
from monsoonline.standin.call_rates import CallRateLimiter
from monsoonline.standin.row_table import (
    MAX_ROWS,
    Conflict,
    HistoryUnavailable,
    RowTables,
    StoredRow,
)
from monsoonline.types import Answer

__all__ = ["RowStoreFaults", "RowStoreStandIn"]

WORKER_THREADS = 64
MAX_WAIT_MS = 30_000.0
# Maximum number of object names or parts in a response.
MAX_NAMES = 1_000
READ_ONLY_TABLES = ("op", "servers")
ERA_HEADER = "Store-Era"


@dataclasses.dataclass(kw_only=True)
class RowStoreFaults:
    """Faults in effect.

    :param status: status to return for every call without processing it; ``None`` to
        process calls
    :param delay_ms: delay in ms before each call is processed
    :param lose_responses: process calls, but close the connection without a response
    :param write_delay_ms: close the connection of a write at once and process the
        write after this delay in ms, if its condition still holds by then
    :param should_refuse: predicate that selects requests to reject with
        ``refusal_status``
    :param refusal_status: status of rejected requests
    """

    status: int | None = None
    delay_ms: float = 0.0
    lose_responses: bool = False
    write_delay_ms: float = 0.0
    should_refuse: object = None
    refusal_status: int = 503


class RowStoreStandIn:
    """In-memory store of rows and objects, served over HTTP.

    :param host: IP address to listen on
    :param port: port to listen on; 0 selects a free one
    :param writes_per_s: maximum rate of writes over all callers; ``None`` for no limit
    :param reads_per_s: maximum rate of reads over all callers; ``None`` for no limit
    :param era: number sent in the header ``Store-Era`` of all responses, which
        :meth:`restore` increments; ``None`` to send none
    """

    def __init__(
        self,
        *,
        host="127.0.0.1",
        port=0,
        writes_per_s=None,
        reads_per_s=None,
        era=None,
    ):
        self.faults = RowStoreFaults()
        self._tables = RowTables(era=era)
        self._objects = {}
        self._calls = 0
        self._rate_limiters = {
            True: CallRateLimiter(limit=writes_per_s),
            False: CallRateLimiter(limit=reads_per_s),
        }
        self._server = HttpServer(
            handler=self._handle, host=host, port=port, workers=WORKER_THREADS
        )

    @property
    def address(self):
        """``host:port`` on which the store listens."""
        return self._server.address

    @property
    def calls(self):
        """Number of calls received, including rejected ones."""
        return self._calls

    def start(self):
        """Start serving."""
        self._server.start()

    def close(self):
        """Stop serving."""
        self._server.close()

    def write(self, table, key, document):
        """Write a row as the operator or an upstream server does.

        :param document: JSON value, or bytes to store as they are, such as a malformed
            row
        :returns: version of the row
        """
        content = document
        if not isinstance(document, bytes):
            content = json.dumps(document).encode()
        value = base64.b64encode(content).decode()
        return self._tables.commit(puts=[{"table": table, "key": key, "value": value}])

    def remove(self, table, key):
        """Remove a row, as the platform does for an unresponsive upstream server."""
        self._tables.commit(removes=[{"table": table, "key": key}])

    def discard_history(self):
        """Discard the change history, as the platform may at any time."""
        self._tables.discard_history()

    def take_copy(self):
        """Return a copy of the rows, for :meth:`restore`."""
        return self._tables.take_copy()

    def restore(self, copy):
        """Go back to a copy, as in a drill; objects stay.

        Versions after that of the copy are given out again.
        """
        self._tables.restore(copy)

    def rows(self, table):
        """Return a mapping from key to decoded value of all rows in a table."""
        return {
            row.key: base64.b64decode(row.value) for row in self._tables.rows(table)
        }

    def _handle(self, request):
        self._calls += 1
        faults = self.faults
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1e3)
        if faults.status is not None:
            return self._with_era(Answer(status=faults.status))
        if faults.should_refuse is not None and faults.should_refuse(request):
            return self._with_era(Answer(status=faults.refusal_status))
        is_write = request.method != "GET"
        if not self._rate_limiters[is_write].try_acquire():
            return self._with_era(Answer(status=429))
        if is_write and faults.write_delay_ms:
            timer = threading.Timer(
                faults.write_delay_ms / 1e3, self._serve, args=(request,)
            )
            timer.daemon = True
            timer.start()
            raise ClientDisconnected("write delayed by a fault")
        response = self._serve(request)
        if faults.lose_responses:
            raise ClientDisconnected("response dropped by a fault")
        return response

    def _serve(self, request):
        parsed = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        path, _, name = parsed.path.removeprefix("/-/").partition("/")
        handlers = {
            ("GET", "rows-get"): lambda: self._get(query),
            ("GET", "rows-parts"): lambda: self._parts(query),
            ("GET", "rows-feed"): lambda: self._feed(query),
            ("POST", "rows-tx"): lambda: self._transact(request),
            ("PUT", "blob-put"): lambda: self._put_object(request, name),
            ("GET", "blob-get"): lambda: self._get_object(name),
            ("DELETE", "blob-drop"): lambda: self._drop_object(name),
            ("GET", "blob-list"): lambda: self._list_objects(query),
        }
        handler = handlers.get((request.method, path))
        # Holding the lock keeps a restoration from separating rows and era.
        with self._tables.lock:
            return self._with_era(handler() if handler else Answer(status=404))

    def _with_era(self, response):
        era = self._tables.era
        if era is None:
            return response
        headers = (*response.headers, (ERA_HEADER, str(era)))
        return dataclasses.replace(response, headers=headers)

    def _get(self, query):
        rows, more, version = self._tables.select(
            query.get("table"),
            query.get("part", ""),
            low=query.get("from", ""),
            high=query.get("to"),
            limit=int(query.get("limit", MAX_ROWS)),
        )
        return self._json(
            {
                "rows": [dataclasses.asdict(row) for row in rows],
                "has_more": more,
                "ver": version,
                "now": f"{time.monotonic() * 1e3:.0f}ms",
            }
        )

    def _parts(self, query):
        parts = [
            part
            for part in self._tables.parts(query.get("table"))
            if part > query.get("after", "")
        ]
        return self._json(
            {"parts": parts[:MAX_NAMES], "has_more": len(parts) > MAX_NAMES}
        )

    def _feed(self, query):
        wait_ms = min(MAX_WAIT_MS, float(query.get("wait_ms", 0)))
        try:
            changes, version = self._tables.changes(
                query.get("table"),
                after=int(query.get("after", 0)),
                wait_s=wait_ms / 1e3,
            )
        except HistoryUnavailable:
            return Answer(status=410)
        rows = [
            dataclasses.asdict(change)
            if isinstance(change, StoredRow)
            else dict(zip(("table", "part", "key"), change, strict=True))
            | {"tombstone": True}
            for change in changes
        ]
        return self._json({"rows": rows, "ver": version})

    def _transact(self, request):
        document = json.loads(request.body)
        puts, removes = document.get("put", []), document.get("remove", [])
        if any(row["table"] in READ_ONLY_TABLES for row in (*puts, *removes)):
            return Answer(status=403)
        try:
            version = self._tables.commit(
                expected=document.get("expected_revision", []),
                puts=puts,
                removes=removes,
            )
        except Conflict as conflict:
            rows = [dataclasses.asdict(row) for row in conflict.rows]
            return self._json({"rows": rows, "ver": self._tables.version}, status=412)
        return self._json({"ver": version})

    def _put_object(self, request, name):
        if request.header("If-None-Match") == "*" and name in self._objects:
            return Answer(status=412)
        self._objects[name] = request.body
        return Answer(status=200)

    def _get_object(self, name):
        content = self._objects.get(name)
        return (
            Answer(status=404) if content is None else Answer(status=200, body=content)
        )

    def _drop_object(self, name):
        known = self._objects.pop(name, None) is not None
        return Answer(status=200 if known else 404)

    def _list_objects(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        names = sorted(n for n in self._objects if n.startswith(prefix) and n > after)
        return self._json(
            {"names": names[:MAX_NAMES], "has_more": len(names) > MAX_NAMES}
        )

    @staticmethod
    def _json(document, *, status=200):
        return Answer(
            status=status,
            headers=(("Content-Type", "application/json"),),
            body=json.dumps(document).encode(),
        )
