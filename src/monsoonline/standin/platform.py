"""Stand-in for the platform: table service, object store and VM list over HTTP."""

import threading

import orjson

from monsoonline.adapters.http_server import HttpServer
from monsoonline.types import Answer

__all__ = ["PlatformStandIn"]


def json_answer(status, document):
    """Return an answer with a JSON body."""
    return Answer(
        status=status,
        headers=(("Content-Type", "application/json"),),
        body=orjson.dumps(document),
    )


class PlatformStandIn:
    """Transactional tables and a VM list in memory.

    :param host: IP number to listen on
    :param port: port, 0 for any free one
    """

    def __init__(self, *, host="127.0.0.1", port=0):
        self._lock = threading.Lock()
        self._revision = 0
        self._rows = {"routes": {}, "pools": {}}
        self._machines = []
        self._server = HttpServer(
            handler=self._handle, host=host, port=port, workers=16
        )

    @property
    def url(self):
        """Base URL of the services."""
        return f"http://{self._server.address}"

    def start(self):
        """Start serving."""
        self._server.start()

    def close(self):
        """Stop serving."""
        self._server.close()

    def put_row(self, table, name, document):
        """Write a row without conditions, as a fixture."""
        with self._lock:
            self._revision += 1
            self._rows[table][name] = document

    def put_machines(self, machines):
        """Replace the VM list by rows given as JSON objects."""
        with self._lock:
            self._machines = list(machines)

    def _handle(self, request):
        if request.path == "/v1/tables":
            with self._lock:
                return json_answer(200, {"revision": self._revision, **self._rows})
        if request.path == "/v1/vms":
            with self._lock:
                return json_answer(200, {"vms": self._machines})
        return json_answer(404, {"code": "not-found"})
