"""Stand-in for the platform: table service, object store and VM list over HTTP.

``PUT /control/faults`` sets the faults of ``tables``, ``objects`` and
``machines`` from a JSON object; ``GET /control/counters`` returns the reads and writes
of each service and ``POST /control/counters`` resets them.
"""

import dataclasses
import hashlib
import threading
import urllib.parse

import orjson
import pydantic
from waitress.channel import ClientDisconnected

from monsoonline.adapters.http_server import HttpServer
from monsoonline.clock import SystemClock
from monsoonline.standin.counters import RateCounter
from monsoonline.standin.faults import FaultDocument, FaultSwitch
from monsoonline.standin.tables import (
    ConditionFailed,
    DuplicateTransaction,
    TableService,
)
from monsoonline.types import Answer

__all__ = ["PlatformStandIn"]

SERVICES = ("tables", "objects", "machines")
WORKER_THREADS = 64
MAX_MACHINE_LISTS = 16
ENTITY_TAG_BYTES = 8


def json_response(status, document):
    """Return a response with a JSON body."""
    return Answer(
        status=status,
        headers=(("Content-Type", "application/json"),),
        body=orjson.dumps(document),
    )


class PlatformStandIn:
    """In-memory table service, object store and VM list.

    :param host: IP address to listen on
    :param port: port to listen on; 0 selects a free one
    :param clock: source of time
    """

    def __init__(self, *, host="127.0.0.1", port=0, clock=None):
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._tables = TableService()
        self._objects = {}
        self._machine_lists = [[]]
        self._faults = {name: FaultSwitch() for name in SERVICES}
        self._reads = RateCounter(clock=self._clock)
        self._writes = RateCounter(clock=self._clock)
        self._server = HttpServer(
            handler=self.handle, host=host, port=port, workers=WORKER_THREADS
        )

    @property
    def url(self):
        """Base URL of the services."""
        return f"http://{self._server.address}"

    @property
    def tables(self):
        """The :class:`TableService`, for assertions on committed rows."""
        return self._tables

    def start(self):
        """Start serving."""
        self._server.start()

    def close(self):
        """Stop serving."""
        self._server.close()

    def put_row(self, table, name, document):
        """Write a row without conditions to set up a test."""
        write = {"table": table, "key": name, "value": document}
        transaction_id = f"fixture-{self._tables.revision() + 1}"
        note = {
            "table": table,
            "name": name,
            "department": document["department"],
            "expected_version": None,
            "wall_ms": self._clock.wall(),
        }
        transaction = {
            "id": transaction_id,
            "note": note,
            "conditions": [],
            "writes": [write],
        }
        self._tables.commit(transaction)

    def put_machines(self, machines):
        """Replace the VM list with rows given as JSON objects."""
        with self._lock:
            recent = self._machine_lists[1 - MAX_MACHINE_LISTS :]
            self._machine_lists = [*recent, list(machines)]

    def set_faults(self, service, **faults):
        """Replace the faults of a service; without arguments, clear them.

        :param service: ``tables``, ``objects`` or ``machines``
        :param faults: fields of :class:`FaultDocument`
        """
        self._faults[service].set(FaultDocument(**faults))

    def counters(self):
        """Return the counts of reads and writes."""
        return {"reads": self._reads.snapshot(), "writes": self._writes.snapshot()}

    def reset_counters(self):
        """Set the counts of reads and writes to zero."""
        self._reads.reset()
        self._writes.reset()

    def handle(self, request):
        """Handle one request; tests also call this without a socket.

        :param request: :class:`monsoonline.types.Request`
        :returns: :class:`monsoonline.types.Answer`
        :raises ClientDisconnected: when the response is to be lost
        """
        parts = request.path.strip("/").split("/")
        if parts[0] == "control":
            return self._control(request, parts[1:])
        if parts[0] != "v1" or len(parts) < 2 or parts[1] not in SERVICES:
            return json_response(404, {"code": "not-found"})
        return self._serve(parts[1], request, parts[2:])

    def _serve(self, service, request, parts):
        write = request.method != "GET"
        (self._writes if write else self._reads).record()
        switch = self._faults[service]
        self._clock.sleep(switch.faults.slow_ms)
        if switch.faults.outage:
            return json_response(503, {"code": "unavailable"})
        response = getattr(self, f"_serve_{service}")(request, parts, switch.faults)
        if write and response.status == 200:
            switch.record_write()
        if write and switch.take_lost_response():
            # waitress then closes the connection without a response.
            raise ClientDisconnected
        return response

    def _serve_tables(self, request, parts, faults):
        if request.method == "POST" and parts == ["transactions"]:
            return self._commit(orjson.loads(request.body))
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        lag = faults.stale
        if parts == ["revision"]:
            return json_response(200, {"revision": self._tables.revision(lag=lag)})
        if parts[0] == "rows":
            return self._rows(parts[1:], query, lag)
        if parts[0] == "changes":
            return self._changes(parts[1:], query, lag)
        return json_response(404, {"code": "not-found"})

    def _rows(self, parts, query, lag):
        if parts:
            revision, row = self._tables.read_row(*parts, lag=lag)
            return json_response(200, {"revision": revision, "row": row})
        tables = query["tables"][0].split(",")
        revision, rows = self._tables.read_rows(tables, lag=lag)
        return json_response(200, {"revision": revision, "rows": rows})

    def _changes(self, parts, query, lag):
        if parts:
            revision, record = self._tables.find_change(parts[0], lag=lag)
            return json_response(200, {"revision": revision, "change": record})
        row = (query["table"][0], query["key"][0]) if "table" in query else None
        revision, records = self._tables.read_changes(
            since=int(query.get("since", ["0"])[0]),
            limit=int(query["limit"][0]) if "limit" in query else None,
            row=row,
            lag=lag,
        )
        return json_response(200, {"revision": revision, "changes": records})

    def _commit(self, transaction):
        try:
            return json_response(200, self._tables.commit(transaction))
        except ConditionFailed as error:
            document = {"code": "condition-failed", "failed": error.failures}
            return json_response(409, document)
        except DuplicateTransaction as error:
            return json_response(409, {"code": "duplicate", "change": error.record})

    def _serve_objects(self, request, parts, faults):
        name = "/".join(parts)
        if request.method == "PUT":
            with self._lock:
                self._objects[name] = request.body
            return json_response(200, {})
        with self._lock:
            content = self._objects.get(name)
        if content is None:
            return json_response(404, {"code": "not-found"})
        return Answer(status=200, body=content)

    def _serve_machines(self, request, parts, faults):
        with self._lock:
            lists = self._machine_lists
            machines = lists[max(0, len(lists) - 1 - faults.stale)]
        response = json_response(200, {"vms": machines})
        digest = hashlib.blake2b(response.body, digest_size=ENTITY_TAG_BYTES)
        tag = ("ETag", f'"{digest.hexdigest()}"')
        if request.header("If-None-Match") == tag[1]:
            return Answer(status=304, headers=(tag,))
        return dataclasses.replace(response, headers=(*response.headers, tag))

    def _control(self, request, parts):
        if parts == ["counters"]:
            if request.method == "POST":
                self.reset_counters()
            return json_response(200, self.counters())
        if parts == ["faults"] and request.method == "PUT":
            return self._set_all_faults(orjson.loads(request.body))
        if parts == ["machines"] and request.method == "PUT":
            self.put_machines(orjson.loads(request.body)["vms"])
            return json_response(200, {})
        return json_response(404, {"code": "not-found"})

    def _set_all_faults(self, document):
        try:
            faults = {
                name: FaultDocument.model_validate(value)
                for name, value in document.items()
                if name in SERVICES
            }
        except pydantic.ValidationError as error:
            return json_response(422, {"code": "invalid", "message": str(error)})
        unknown = sorted(set(document) - set(SERVICES))
        if unknown:
            message = f"unknown services {unknown!r}, valid: {', '.join(SERVICES)}"
            return json_response(422, {"code": "invalid", "message": message})
        for name, value in faults.items():
            self._faults[name].set(value)
        return json_response(200, {})
