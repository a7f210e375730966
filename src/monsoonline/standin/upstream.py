"""Stand-in for an upstream server with slots and a record of what it ran."""

import threading

import orjson

from monsoonline.adapters.http_server import HttpServer
from monsoonline.clock import SystemClock
from monsoonline.types import Answer

__all__ = ["UpstreamStandIn"]

WORKERS = 64


class UpstreamStandIn:
    """Serves every request in a fixed time, a few at once.

    :param host: IP number to listen on
    :param port: port, 0 for any free one
    :param slots: requests processed at once
    :param service_ms: time that one request takes
    """

    def __init__(self, *, host="127.0.0.1", port=0, slots=3, service_ms=1.0):
        self._clock = SystemClock()
        self._slots = slots
        self._service_ms = service_ms
        self._free = threading.Semaphore(slots)
        self._lock = threading.Lock()
        self._in_flight = 0
        self._runs = []
        self._server = HttpServer(
            handler=self._handle, host=host, port=port, workers=WORKERS
        )

    @property
    def address(self):
        """``host:port`` on which it listens."""
        return self._server.address

    @property
    def runs(self):
        """Keys of the requests it ran, in order; ``None`` for those without."""
        with self._lock:
            return tuple(self._runs)

    def start(self):
        """Start serving."""
        self._server.start()

    def close(self):
        """Stop serving."""
        self._server.close()

    def _handle(self, request):
        key = request.header("Monsoonline-Key")
        with self._lock:
            self._in_flight += 1
            self._runs.append(key)
        with self._free:
            self._clock.sleep(self._service_ms)
        with self._lock:
            self._in_flight -= 1
            in_flight = self._in_flight
        body = orjson.dumps({"path": request.path, "key": key})
        load = f"in-flight={in_flight}; slots={self._slots}; queued=0"
        return Answer(status=200, headers=(("Monsoonline-Load", load),), body=body)
