"""Stand-in for an upstream server with slots, faults and a record of what it ran.

It uses the standard library's ``http.server`` and not ``waitress``, because its
faults (truncated bodies, silent or cut connections) need the socket of a request.
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

from monsoonline.clock import SystemClock

__all__ = ["RunRecord", "UpstreamFaults", "UpstreamStandIn"]

CONTROL_PREFIX = "/.standin/"
HEALTH_PATH = "/.standin/health"
MAX_BODY_BYTES = 8 << 20

logger = logging.getLogger(__name__)


class UpstreamFaults(pydantic.BaseModel):
    """Behaviour that can be switched at run time through the control path.

    :param service_ms: median service time
    :param service_sigma: spread of the log-normal service time, 0 for a fixed one
    :param slow_factor: multiplies every service time
    :param draining: marks answers with ``Monsoonline-Draining`` and is shown as
        leaving by the health endpoint
    :param cold_start_ms: time after the start in which requests are slower
    :param cold_factor: how much slower
    :param queue_limit: requests that may wait for a slot; more are shed
    :param bare_refusals: sheds without the certificate
    :param run_before_refusal: a bare refusal is sent after the request has run,
        which makes it misleading
    :param fail_fast: answers 500 at once without running anything
    :param load_lag_ms: age of the load report on answers
    :param load_override: load report to send instead of the true one
    :param truncate: share of answers of which only a part of the body is sent
    :param repeat: share of answers that are sent twice on their connection, so that
        the second copy is there when the next request is sent
    :param healthy: what the health endpoint says
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

    :param key: its ``Monsoonline-Key``, ``None`` for one without
    :param target: its target
    :param identity: its ``Monsoonline-Request-Id``, by which tests account for it
    :param started: instant in ms at which it got a slot
    :param ended: instant in ms at which it left the slot
    :param completed: whether it ran to its end and was not cancelled
    """

    key: str | None
    target: str
    identity: str | None
    started: float
    ended: float | None = None
    completed: bool = False


class _Handler(http.server.BaseHTTPRequestHandler):
    """Reads requests of one connection and passes them to the stand-in."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Buffered, so that headers and body leave in one segment.
    wbufsize = -1

    def log_message(self, *_arguments):
        """Write nothing per request."""

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

    def disconnected(self, wait_ms):
        """Wait, and tell early when the peer has closed the connection."""
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
            # The peer has sent the next request early; it is read later.
            time.sleep(max(0.0, end - time.monotonic()))
            return False

    def answer(self, status, document, headers=(), *, sent_share=1.0):
        """Send an answer, or only a part of its body and then close."""
        body = orjson.dumps(document)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body[: int(len(body) * sent_share)])
        self.wfile.flush()
        if sent_share < 1.0:
            self.close_connection = True


class _Server(http.server.ThreadingHTTPServer):
    """Keeps the open connections, so that they can be cut or silenced."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 512

    def __init__(self, address, standin):
        self.standin = standin
        self.open = set()
        super().__init__(address, _Handler)

    def process_request(self, request, client_address):
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        logger.debug("connection ended", exc_info=True)


class UpstreamStandIn:
    """Serves requests a few at once, with faults that can be switched.

    :param host: IP number to listen on
    :param port: port, 0 for any free one
    :param slots: requests processed at once
    :param service_ms: median service time
    :param seed: seed of the service times and of truncation
    :param faults: :class:`UpstreamFaults` at the start
    :param records_file: file to which each record is appended as a JSON line when it
        starts and when it ends, so that it outlives a kill; ``None`` for none
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
        self._silent = set()
        self._started = self._clock.now()
        self._thread = None
        self._server = _Server((host, port), self)

    @property
    def address(self):
        """``host:port`` on which it listens."""
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    @property
    def runs(self):
        """Keys of the requests it ran, in order; ``None`` for those without."""
        return tuple(record.key for record in self.records)

    @property
    def records(self):
        """All :class:`RunRecord` in order of their start."""
        with self._changed:
            return tuple(self._records)

    @property
    def counts(self):
        """Counts of answers by kind, such as ``shed`` and ``cancelled``."""
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
        """Stop serving and cut the open connections."""
        if self._thread is not None:
            self._server.shutdown()
        self._close_listener()
        self.cut_connections()
        if self._records_file is not None:
            self._records_file.close()

    def crash(self):
        """End as a killed process does: no listening socket, connections reset."""
        with self._changed:
            self._counts["crashed"] += 1
        threading.Thread(target=self._server.shutdown, daemon=True).start()
        self._close_listener()
        self.cut_connections()

    def _close_listener(self):
        # A close alone takes effect only when the serving thread's poll returns.
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)
        self._server.socket.close()

    def cut_connections(self):
        """Reset all open connections."""
        for connection in tuple(self._server.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                self._server.open.discard(connection)

    def silence(self):
        """Never answer again on the connections open now; new ones work."""
        with self._changed:
            self._silent.update(self._server.open)

    def configure(self, **changes):
        """Change fields of the :class:`UpstreamFaults`.

        :raises pydantic.ValidationError: for unknown or invalid fields
        """
        with self._changed:
            fields = self._faults.model_dump() | changes
            self._faults = UpstreamFaults.model_validate(fields)

    def serve(self, handler, body):
        """Answer one request; called in the thread of its connection."""
        if handler.path.startswith(CONTROL_PREFIX):
            self._control(handler, body)
            return
        if handler.connection in self._silent:
            self._stay_silent(handler)
            return
        if handler.headers.get("Monsoonline-Standin-Crash") == "true":
            self.crash()
            handler.close_connection = True
            return
        faults = self._faults
        if faults.fail_fast:
            self._count("failed")
            handler.answer(500, {"code": "fail-fast"}, self._marks())
            return
        if faults.bare_refusals and faults.run_before_refusal:
            self._run(handler)
            handler.answer(503, {"code": "misleading"}, self._marks())
            return
        self._serve_in_slot(handler)

    def _serve_in_slot(self, handler):
        deadline = self._deadline(handler)
        refusal = self._take_slot(deadline)
        if refusal is not None:
            self._refuse(handler, refusal)
            return
        try:
            if handler.disconnected(0.0):
                self._count("abandoned")
                handler.close_connection = True
                return
            completed = self._run(handler)
        finally:
            self._free_slot()
        if handler.connection in self._silent:
            self._stay_silent(handler)
        elif completed:
            document = {
                "path": handler.path.partition("?")[0],
                "key": handler.headers.get("Monsoonline-Key"),
                "identity": handler.headers.get("Monsoonline-Request-Id"),
            }
            with self._changed:
                cut = self._generator.random() < self._faults.truncate
                repeated = self._generator.random() < self._faults.repeat
            share = 0.5 if cut else 1.0
            for _ in range(2 if repeated else 1):
                handler.answer(200, document, self._marks(), sent_share=share)

    def _deadline(self, handler):
        text = handler.headers.get("Monsoonline-Deadline-Ms")
        try:
            return self._clock.now() + float(text) if text else float("inf")
        except ValueError:
            return float("inf")

    def _take_slot(self, deadline):
        """Wait for a slot; return ``None``, or why the request is refused."""
        with self._changed:
            if self._in_flight >= self._slots:
                if self._queued >= self._faults.queue_limit:
                    return "shed"
                self._queued += 1
                self._note_load()
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
            self._note_load()
            return None

    def _free_slot(self):
        with self._changed:
            self._in_flight -= 1
            self._note_load()
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
        cancelled = handler.disconnected(service_ms)
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
            # One unbuffered write in append mode, so lines do not mix.
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
        marks = self._marks()
        if not self._faults.bare_refusals:
            marks.append(("Monsoonline-Not-Run", "true"))
        handler.answer(503, {"code": reason}, marks)

    def _stay_silent(self, handler):
        self._count("silent")
        while not handler.disconnected(1000.0):
            pass
        handler.close_connection = True

    def _marks(self):
        faults = self._faults
        with self._changed:
            limit = self._clock.now() - faults.load_lag_ms
            _, in_flight, queued = next(
                load for load in reversed(self._loads) if load[0] <= limit
            )
        load = f"in-flight={in_flight}; slots={self._slots}; queued={queued}"
        marks = [("Monsoonline-Load", faults.load_override or load)]
        if faults.draining:
            marks.append(("Monsoonline-Draining", "true"))
        return marks

    def _note_load(self):
        now = self._clock.now()
        self._loads.append((now, self._in_flight, self._queued))
        # Keeps one load older than the longest lag, so that every report has one.
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
            handler.answer(200 if faults.healthy else 503, document, self._marks())
        elif name == "records":
            records = [dataclasses.asdict(record) for record in self.records]
            handler.answer(200, {"records": records, "counts": self.counts})
        elif name == "faults":
            self._control_faults(handler, body)
        elif name in ("silence", "crash", "cut") and handler.command == "POST":
            handler.answer(200, {"done": name})
            action = {"silence": self.silence, "crash": self.crash}
            action.get(name, self.cut_connections)()
        else:
            handler.answer(404, {"code": "not-found"})

    def _control_faults(self, handler, body):
        try:
            if handler.command in ("POST", "PUT", "PATCH"):
                self.configure(**orjson.loads(body))
        except (pydantic.ValidationError, orjson.JSONDecodeError, TypeError) as error:
            handler.answer(422, {"code": "invalid", "message": str(error)})
            return
        handler.answer(200, self._faults.model_dump())
