"""Process with upstreams of the platform that run requests and report them."""

import dataclasses
import http.server
import itertools
import socketserver
import threading
import time

from tools.soak.history import Run

__all__ = ["ENDLESS_RESPONSES", "serve_upstreams"]

REPORT_INTERVAL_S = 0.2
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndlessResponse:
    """Bytes that an upstream sends until the connection is closed.

    :param start: bytes to send first
    :param repeated: bytes to send again and again
    :param interval_s: pause between these sends, in s
    """

    start: bytes = HEAD
    repeated: bytes
    interval_s: float = 0.001


ENDLESS_RESPONSES = (
    EndlessResponse(start=b"", repeated=b"H" * 4096),
    EndlessResponse(start=HEAD + b"X: ", repeated=b"x" * 4096),
    EndlessResponse(repeated=b"X: y\r\n" * 512),
    EndlessResponse(start=b"", repeated=b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    EndlessResponse(start=HEAD + b"\r\n", repeated=b"x" * 65536),
    EndlessResponse(start=CHUNKED, repeated=b"1;" + b"x" * 900 + b"\r\nx\r\n"),
    EndlessResponse(start=CHUNKED + b"1;", repeated=b"x" * 4096),
    EndlessResponse(start=CHUNKED + b"0\r\n", repeated=b"X: y\r\n" * 512),
    EndlessResponse(start=HEAD + b"\r\n", repeated=b"x" * 65536, interval_s=0.02),
    EndlessResponse(start=HEAD + b"X: ", repeated=b"x", interval_s=0.1),
    EndlessResponse(start=HEAD + b"\r\n", repeated=b"x", interval_s=0.1),
)


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """HTTP server with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def server_bind(self):
        """Bind without looking up the name of the host."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request, client_address):
        """Ignore connections that the other side has reset."""


class Upstream:
    """One upstream.

    :param host: address to listen on
    :param port: port to listen on
    :param instance: its id
    :param service: name of its service
    :param slots: requests that it processes at a time
    :param health_path: path of its load probes
    :param report: called with each :class:`Run`
    :param fault: shared number of the :data:`ENDLESS_RESPONSES` that it sends instead
        of its own, from 1, negative to answer probes properly; 0 for none
    """

    def __init__(
        self,
        *,
        host,
        port,
        instance,
        service,
        slots,
        health_path,
        report,
        fault,
    ):
        self._fault = fault
        self._instance, self._service, self._slots = instance, service, slots
        self._health_path = health_path
        self._report = report
        self._running = 0
        self._lock = threading.Lock()
        upstream = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = 65536

            def log_message(self, *args):
                """Write nothing."""

            def handle_any(self):
                upstream.handle(self)

            do_GET = do_POST = handle_any  # noqa: N815

        self._server = Server((host, port), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def handle(self, handler):
        """Answer one request."""
        handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        request_id = handler.headers.get("X-Request-Id")
        intended = handler.headers.get("X-Intended-Instance", self._instance)
        fault = self._fault.value
        if fault > 0 or (fault < 0 and handler.path != self._health_path):
            self._send_endlessly(handler, request_id)
        elif handler.path == self._health_path:
            self._respond(handler, 200, request_id, ("X-Instance-Id", self._instance))
        elif intended != self._instance:
            self._respond(handler, 421, request_id)
        elif not request_id:
            self._respond(handler, 400, None, ("X-Not-Executed", "1"))
        else:
            self._run(handler, request_id)

    def _send_endlessly(self, handler, request_id):
        """Send an endless response until the fault ends or the peer closes."""
        handler.close_connection = True
        number = self._fault.value
        if handler.path != self._health_path:
            self._report_run(request_id)
        endless = ENDLESS_RESPONSES[abs(number) - 1]
        for content in itertools.chain(
            [endless.start], itertools.repeat(endless.repeated)
        ):
            if self._fault.value != number:
                return
            handler.connection.sendall(content)
            time.sleep(endless.interval_s)

    def _report_run(self, request_id):
        run = Run(
            request_id=request_id,
            service=self._service,
            instance=self._instance,
            started_at=time.monotonic(),
        )
        self._report(run)

    def _run(self, handler, request_id):
        with self._lock:
            full = self._running >= self._slots
            self._running += not full
        if full:
            self._respond(handler, 503, request_id, ("X-Not-Executed", "1"))
            return
        self._report_run(request_id)
        time.sleep(float(handler.headers.get("X-Work-S", 0.02)))
        with self._lock:
            self._running -= 1
        signature = ("X-Response-Signature", f"{self._instance}.{request_id}")
        self._respond(handler, 200, request_id, signature)

    def _respond(self, handler, status, request_id, *headers):
        handler.send_response_only(status)
        if request_id:
            handler.send_header("X-Request-Id", request_id)
        handler.send_header("X-Server-Load", f"{self._running},0,{self._slots},100")
        for name, value in headers:
            handler.send_header(name, value)
        handler.send_header("Content-Length", "2")
        handler.end_headers()
        handler.wfile.write(b"ok")
        handler.wfile.flush()


def serve_upstreams(specifications, faults, reports):
    """Serve upstreams until the process is ended.

    :param specifications: arguments of each :class:`Upstream`
    :param faults: shared numbers of the faults of all upstreams, by id
    :param reports: queue for lists of :class:`Run`
    """
    pending = []
    upstreams = [
        Upstream(**fields, report=pending.append, fault=faults[fields["instance"]])
        for fields in specifications
    ]
    while upstreams:
        time.sleep(REPORT_INTERVAL_S)
        batch = pending[:]
        del pending[: len(batch)]
        if batch:
            reports.put(batch)
