"""Stand-in for an upstream server with slots, faults and a record of what it ran.

It uses ``http.server`` from the standard library rather than ``waitress``, because
its faults (truncated bodies, unresponsive or closed connections) need access to the
socket of a request.
"""

import collections
import contextlib
import dataclasses
import http.server
import io
import logging
import select
import socket
import threading
import time

import numpy
import orjson
import pydantic

from monsoonline.adapters.http_upstream import EXCHANGE_HEADER
from monsoonline.clock import SystemClock

__all__ = ["RunRecord", "UpstreamFaults", "UpstreamStandIn"]

CONTROL_PREFIX = "/.standin/"
HEALTH_PATH = "/.standin/health"
MAX_BODY_BYTES = 8 << 20

logger = logging.getLogger(__name__)


class UpstreamFaults(pydantic.BaseModel):
    """Behavior that can be changed at run time through the control path.

    :param service_ms: median service time in ms
    :param service_sigma: sigma of the log-normal service time; 0 for a constant one
    :param slow_factor: factor applied to every service time
    :param draining: send the ``Monsoonline-Draining`` header in responses and report
        draining at the health endpoint
    :param cold_start_ms: time in ms after the start during which requests are slower
    :param cold_factor: factor applied to service times during the cold start
    :param queue_limit: maximum number of requests that wait for a slot; further ones
        are shed
    :param bare_refusals: omit the ``Monsoonline-Not-Run`` certificate from refusals
    :param run_before_refusal: send a bare refusal after the request has run, although
        a refusal suggests that it has not
    :param fail_fast: respond with status 500 at once without running the request
    :param load_lag_ms: age in ms of the load report in responses
    :param load_override: load report to send instead of the actual one
    :param truncate: share of responses of which only a part of the body is sent
    :param repeat: share of responses that are sent twice on the same connection, so
        that the second copy is already received when the next request is sent
    :param healthy: whether the health endpoint reports a healthy server
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    service_ms: float = pydantic.Field(default=1.0, ge=0)
    service_sigma: float = pydantic.Field(default=0.0, ge=0, le=3)
    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    draining: bool = False
    cold_start_ms: float = pydantic.Field(default=0.0, ge=0)
    cold_factor: float = pydantic.Field(default=5.0, ge=1)
    queue_limit: int = pydantic.Field(default=1024, ge=0)
    bare_refusals: bool = False
    run_before_refusal: bool = False
    fail_fast: bool = False
    load_lag_ms: float = pydantic.Field(default=0.0, ge=0)
    load_override: str | None = None
    truncate: float = pydantic.Field(default=0.0, ge=0, le=1)
    repeat: float = pydantic.Field(default=0.0, ge=0, le=1)
    healthy: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class RunRecord:
    """One request that got a slot.

    :param key: its ``Monsoonline-Key`` header, or ``None``
    :param target: its request target
    :param identity: its ``Monsoonline-Request-Id`` header, by which tests match it
    :param started: time in ms at which it acquired a slot
    :param ended: time in ms at which it released the slot
    :param completed: whether it ran to completion without being cancelled
    """

    key: str | None
    target: str
    identity: str | None
    started: float
    ended: float | None = None
    completed: bool = False


class _Handler(http.server.BaseHTTPRequestHandler):
    """Reads requests from one connection and passes them to the stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Buffered, so that headers and body are sent in one segment.
    wbufsize = -1

    def log_message(self, *_arguments):
        """Disable the log line per request."""

    def __getattr__(self, name):
        if name.startswith("do_"):
            return self._serve
        raise AttributeError(name)

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        if length > MAX_BODY_BYTES:
            self.close_connection = True
            return
        body = self.rfile.read(length) if length else b""
        self.server.standin.serve(self, body)

    def wait_for_disconnect(self, wait_ms):
        """Wait until the peer closes the connection; return whether it did in time."""
        end = time.monotonic() + wait_ms / 1e3
        while True:
            remaining = max(0.0, end - time.monotonic())
            if not select.select([self.connection], [], [], remaining)[0]:
                return False
            try:
                if not self.connection.recv(1, socket.MSG_PEEK):
                    return True
            except OSError:
                return True
            # The peer has already sent the next request, which is read later.
            time.sleep(max(0.0, end - time.monotonic()))
            return False

    def send_json(self, status, document, headers=(), *, sent_share=1.0):
        """Send a JSON response, or only a share of its body and then close."""
        body = orjson.dumps(document)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        exchange_id = self.headers.get(EXCHANGE_HEADER)
        if exchange_id is not None:
            self.send_header(EXCHANGE_HEADER, exchange_id)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body[: int(len(body) * sent_share)])
        self.wfile.flush()
        if sent_share < 1.0:
            self.close_connection = True


class _Server(http.server.ThreadingHTTPServer):
    """Tracks open connections, so that faults can be applied to them."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 512

    def __init__(self, address, standin):
        self.standin = standin
        self.open_connections = set()
        super().__init__(address, _Handler)

    def process_request(self, request, client_address):
        self.open_connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        logger.debug("connection ended", exc_info=True)


class UpstreamStandIn:
    """Serves a limited number of concurrent requests, with fault injection.

    :param host: IP address to listen on
    :param port: port to listen on; 0 selects a free one
    :param slots: maximum number of requests processed concurrently
    :param service_ms: median service time in ms
    :param seed: seed of the service times, truncated and repeated responses
    :param faults: initial :class:`UpstreamFaults`; replaces ``service_ms``
    :param records_file: file to which a JSON line is appended when a request starts
        and when it ends, so that records survive a kill of the process; ``None`` to
        keep them in memory only
    """

    def __init__(
        self,
        *,
        host="127.0.0.1",
        port=0,
        slots=3,
        service_ms=1.0,
        seed=0,
        faults=None,
        records_file=None,
    ):
        self._clock = SystemClock()
        self._records_file = io.FileIO(records_file, "a") if records_file else None
        self._slots = slots
        self._faults = faults or UpstreamFaults(service_ms=service_ms)
        self._generator = numpy.random.default_rng(seed)
        self._changed = threading.Condition()
        self._in_flight = 0
        self._queued = 0
        self._records = []
        self._counts = collections.Counter()
        self._loads = collections.deque([(float("-inf"), 0, 0)])
        self._unresponsive = set()
        self._started = self._clock.now()
        self._thread = None
        self._server = _Server((host, port), self)

    @property
    def address(self):
        """``host:port`` on which the server listens."""
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    @property
    def runs(self):
        """Idempotency keys of the requests run, in order; ``None`` for no key."""
        return tuple(record.key for record in self.records)

    @property
    def records(self):
        """All :class:`RunRecord`, ordered by start."""
        with self._changed:
            return tuple(self._records)

    @property
    def counts(self):
        """Number of requests by outcome, such as ``shed`` and ``cancelled``."""
        with self._changed:
            return dict(self._counts)

    def start(self):
        """Start serving."""
        self._started = self._clock.now()
        self._thread = threading.Thread(
            target=self._server.serve_forever,
            kwargs={"poll_interval": 0.05},
            name=f"upstream-{self.address}",
            daemon=True,
        )
        self._thread.start()

    def close(self):
        """Stop serving and close the open connections."""
        if self._thread is not None:
            self._server.shutdown()
        self._close_listener()
        self.close_connections()
        if self._records_file is not None:
            self._records_file.close()

    def crash(self):
        """Stop like a killed process: close the listener and all connections."""
        with self._changed:
            self._counts["crashed"] += 1
        threading.Thread(target=self._server.shutdown, daemon=True).start()
        self._close_listener()
        self.close_connections()

    def _close_listener(self):
        # Without a shutdown, close() takes effect only once the server thread's poll
        # returns.
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)
        self._server.socket.close()

    def close_connections(self):
        """Shut down all open connections."""
        for connection in tuple(self._server.open_connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                self._server.open_connections.discard(connection)

    def make_connections_unresponsive(self):
        """Send no more responses on currently open connections; new ones work."""
        with self._changed:
            self._unresponsive.update(self._server.open_connections)

    def configure(self, **changes):
        """Update fields of the :class:`UpstreamFaults`.

        :raises pydantic.ValidationError: for unknown or invalid fields
        """
        with self._changed:
            fields = self._faults.model_dump() | changes
            self._faults = UpstreamFaults.model_validate(fields)

    def serve(self, handler, body):
        """Handle one request, in the thread of its connection."""
        if handler.path.startswith(CONTROL_PREFIX):
            self._control(handler, body)
            return
        if handler.connection in self._unresponsive:
            self._withhold_response(handler)
            return
        if handler.headers.get("Monsoonline-Standin-Crash") == "true":
            self.crash()
            handler.close_connection = True
            return
        faults = self._faults
        if faults.fail_fast:
            self._count("failed")
            handler.send_json(500, {"code": "fail-fast"}, self._response_headers())
            return
        if faults.bare_refusals and faults.run_before_refusal:
            self._run(handler)
            handler.send_json(503, {"code": "misleading"}, self._response_headers())
            return
        self._serve_in_slot(handler)

    def _serve_in_slot(self, handler):
        deadline = self._deadline(handler)
        refusal = self._acquire_slot(deadline)
        if refusal is not None:
            self._refuse(handler, refusal)
            return
        try:
            if handler.wait_for_disconnect(0.0):
                self._count("abandoned")
                handler.close_connection = True
                return
            completed = self._run(handler)
        finally:
            self._release_slot()
        if handler.connection in self._unresponsive:
            self._withhold_response(handler)
        elif completed:
            document = {
                "path": handler.path.partition("?")[0],
                "key": handler.headers.get("Monsoonline-Key"),
                "identity": handler.headers.get("Monsoonline-Request-Id"),
            }
            with self._changed:
                is_truncated = self._generator.random() < self._faults.truncate
                is_repeated = self._generator.random() < self._faults.repeat
            share = 0.5 if is_truncated else 1.0
            for _ in range(2 if is_repeated else 1):
                handler.send_json(
                    200, document, self._response_headers(), sent_share=share
                )

    def _deadline(self, handler):
        text = handler.headers.get("Monsoonline-Deadline-Ms")
        try:
            return self._clock.now() + float(text) if text else float("inf")
        except ValueError:
            return float("inf")

    def _acquire_slot(self, deadline):
        """Wait for a slot; return ``None``, or the code of the refusal."""
        with self._changed:
            if self._in_flight >= self._slots:
                if self._queued >= self._faults.queue_limit:
                    return "shed"
                self._queued += 1
                self._record_load()
                while self._in_flight >= self._slots:
                    remaining_ms = deadline - self._clock.now()
                    if remaining_ms <= 0:
                        break
                    self._changed.wait(min(remaining_ms, 1000.0) / 1e3)
                self._queued -= 1
            if self._clock.now() >= deadline:
                self._changed.notify()
                return "deadline"
            self._in_flight += 1
            self._record_load()
            return None

    def _release_slot(self):
        with self._changed:
            self._in_flight -= 1
            self._record_load()
            self._changed.notify()

    def _run(self, handler):
        """Process a request for its service time; return whether it completed."""
        record = RunRecord(
            key=handler.headers.get("Monsoonline-Key"),
            target=handler.path,
            identity=handler.headers.get("Monsoonline-Request-Id"),
            started=self._clock.now(),
        )
        with self._changed:
            number = len(self._records)
            self._records.append(record)
            service_ms = self._service_ms(record.started)
            self._write_record(number, record)
        cancelled = handler.wait_for_disconnect(service_ms)
        record.ended = self._clock.now()
        record.completed = not cancelled
        self._write_record(number, record)
        self._count("cancelled" if cancelled else "completed")
        if cancelled:
            handler.close_connection = True
        return record.completed

    def _write_record(self, number, record):
        if self._records_file is not None:
            line = {"number": number, **dataclasses.asdict(record)}
            # A single unbuffered write in append mode keeps concurrent lines intact.
            self._records_file.write(orjson.dumps(line) + b"\n")

    def _service_ms(self, now):
        faults = self._faults
        factor = faults.slow_factor
        if now - self._started < faults.cold_start_ms:
            factor *= faults.cold_factor
        if faults.service_sigma:
            factor *= self._generator.lognormal(0.0, faults.service_sigma)
        return faults.service_ms * factor

    def _refuse(self, handler, reason):
        self._count(reason)
        headers = self._response_headers()
        if not self._faults.bare_refusals:
            headers.append(("Monsoonline-Not-Run", "true"))
        handler.send_json(503, {"code": reason}, headers)

    def _withhold_response(self, handler):
        self._count("silent")
        while not handler.wait_for_disconnect(1000.0):
            pass
        handler.close_connection = True

    def _response_headers(self):
        faults = self._faults
        with self._changed:
            limit = self._clock.now() - faults.load_lag_ms
            _, in_flight, queued = next(
                load for load in reversed(self._loads) if load[0] <= limit
            )
        load = f"in-flight={in_flight}; slots={self._slots}; queued={queued}"
        headers = [("Monsoonline-Load", faults.load_override or load)]
        if faults.draining:
            headers.append(("Monsoonline-Draining", "true"))
        return headers

    def _record_load(self):
        now = self._clock.now()
        self._loads.append((now, self._in_flight, self._queued))
        # Keep one load older than the lag, so that a report always finds one.
        while self._loads[1][0] < now - max(self._faults.load_lag_ms, 1.0):
            self._loads.popleft()

    def _count(self, kind):
        with self._changed:
            self._counts[kind] += 1

    def _control(self, handler, body):
        name = handler.path.removeprefix(CONTROL_PREFIX)
        if handler.path == HEALTH_PATH:
            faults = self._faults
            document = {"healthy": faults.healthy, "draining": faults.draining}
            handler.send_json(
                200 if faults.healthy else 503, document, self._response_headers()
            )
        elif name == "records":
            records = [dataclasses.asdict(record) for record in self.records]
            handler.send_json(200, {"records": records, "counts": self.counts})
        elif name == "faults":
            self._control_faults(handler, body)
        elif name in ("silence", "crash", "cut") and handler.command == "POST":
            handler.send_json(200, {"done": name})
            action = {
                "silence": self.make_connections_unresponsive,
                "crash": self.crash,
            }
            action.get(name, self.close_connections)()
        else:
            handler.send_json(404, {"code": "not-found"})

    def _control_faults(self, handler, body):
        try:
            if handler.command in ("POST", "PUT", "PATCH"):
                self.configure(**orjson.loads(body))
        except (pydantic.ValidationError, orjson.JSONDecodeError, TypeError) as error:
            handler.send_json(422, {"code": "invalid", "message": str(error)})
            return
        handler.send_json(200, self._faults.model_dump())
