"""Stand-ins of the platform, its targets and clients, for the scripts of the review.

Everything runs on loopback addresses with the standard library only. The store, the
targets and the clients are threads of the script's process; the entries are separate
processes, started with the command and the template of ``deploy/system.toml``.
"""

import base64
import contextlib
import http.server
import json
import os
import pathlib
import random
import re
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
# Heartbeat intervals of silence after which the store removes an entry.
EXPIRY_INTERVALS = 3
# Bounds of the deployments (SYSTEM.md of the kit).
BOUNDS = {
    "stable_window": "3000ms",
    "drain": "2000ms",
    "grace": "6s",
    "config_apply": "2000ms",
    "retry_budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 75,
    "ttl_max": "5s",
    "probes_per_s": 60,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


HOST = "shop.example"


class CannotRun(Exception):
    """The case could not be set up; it shows nothing."""


class Record:
    """The lines of ``record.txt``, with the time since the start of the script."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started

    def line(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now():9.3f} {text}\n")
            self._file.flush()


def free_ports(hosts, count):
    """Return ports that are free for TCP and UDP on all hosts."""
    generator = random.Random()
    for _ in range(200):
        first = generator.randrange(21000, 31000)
        ports = range(first, first + count)
        held = []
        try:
            for host in hosts:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        held.append(probe)
                        probe.bind((host, port))
            return list(ports)
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise CannotRun("no free ports")


class QuietServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """HTTP server with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def server_bind(self):
        """Bind without the look-up of a host name, which may need a network."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request, client_address):
        """Ignore connections that the other side has reset."""


class QuietHandler(http.server.BaseHTTPRequestHandler):
    """Request handler that keeps connections open and writes no log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 65536

    def log_message(self, *args):
        """Write nothing."""

    def answer(self, status, headers, body):
        """Send one complete response."""
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def route(name, prefix, service, *, timeout="1200ms"):
    """Return a route of unsafe requests as the operator writes it."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "kind": "unsafe",
        "timeout": timeout,
        "latency_goal": "500ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def configuration(version, routes, health_paths):
    """Return the bytes of the operator's configuration.

    :param version: number of the version
    :param routes: the routes, see :func:`route`
    :param health_paths: health path of each service by name
    """
    services = [
        {"name": name, "health_path": path, "max_connections": 318}
        for name, path in health_paths.items()
    ]
    document = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": services,
        "limits": LIMITS,
    }
    return json.dumps(document).encode()


class Store:
    """The platform's store: rows in tables, as PROTOCOL.md describes them."""

    def __init__(self, host, port):
        self._rows = {}
        self._ver = 0
        self._lock = threading.Lock()
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query))
                if parts.path != "/-/rows-get":
                    self.answer(404, (), b"{}")
                    return
                self.answer(*store.rows_get(query))

            def do_POST(self):
                size = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(size))
                if self.path != "/-/rows-tx":
                    self.answer(404, (), b"{}")
                    return
                self.answer(*store.rows_tx(body))

        self.address = f"{host}:{port}"
        self._server = QuietServer((host, port), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        """Write a row as the operator, a target or another writer; return its ver."""
        with self._lock:
            self._ver += 1
            self._rows[table, key] = (base64.b64encode(value).decode(), self._ver)
            return self._ver

    def remove(self, table, key):
        """Remove a row."""
        with self._lock:
            self._ver += 1
            self._rows.pop((table, key), None)

    def rows_get(self, query):
        """Return status, headers and body of a read."""
        start, end = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", 500)))
        with self._lock:
            keys = sorted(
                (key for table, key in self._rows if table == query.get("table")),
                key=str.encode,
            )
            keys = [k for k in keys if k >= start and (end is None or k < end)]
            rows = []
            for key in keys[:limit]:
                value, ver = self._rows[query["table"], key]
                rows.append(
                    {
                        "table": query["table"],
                        "part": "",
                        "key": key,
                        "value": value,
                        "ver": ver,
                    }
                )
            page = {"rows": rows, "has_more": len(keys) > limit, "ver": self._ver}
        return self._json(200, page)

    def rows_tx(self, body):
        """Apply a transaction; return status, headers and body."""
        with self._lock:
            for row in body.get("expected_revision", []):
                known = self._rows.get((row["table"], row["key"]), ("", 0))
                if known[1] != row["ver"]:
                    return self._json(412, {"rows": [], "ver": self._ver})
            self._ver += 1
            for row in body.get("put", []):
                if row["table"] in ("op", "servers"):
                    return self._json(403, {})
                self._rows[row["table"], row["key"]] = (row["value"], self._ver)
            for row in body.get("remove", []):
                self._rows.pop((row["table"], row["key"]), None)
            return self._json(200, {"ver": self._ver})

    @staticmethod
    def _json(status, document):
        document["now"] = f"{int(time.monotonic() * 1e3)}ms"
        return (
            status,
            (("Content-Type", "application/json"),),
            json.dumps(document).encode(),
        )


class Target:
    """One target: it runs requests, answers health checks and registers itself.

    :param work_s: called with the handler, returns the seconds a request works
    :param health_path: path of its health checks
    :param poison_path: path of requests that crash the target
    """

    def __init__(
        self,
        *,
        store,
        record,
        host,
        port,
        instance,
        service,
        zone,
        slots,
        work_s,
        health_path="/health",
        poison_path=None,
    ):
        self.instance = instance
        self.service = service
        self.address = f"{host}:{port}"
        self.state = "ready"
        self.runs = []
        # Ids of the requests at work.
        self.working = set()
        self._store, self._record, self._zone = store, record, zone
        self._slots, self._work_s = slots, work_s
        self._health_path = health_path
        self._poison_path = poison_path
        self._connections = set()
        self._silent = threading.Event()
        self._late_s = None
        self._beat_lost = threading.Event()
        self._running = 0
        self._sequence = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        target = self

        class Handler(QuietHandler):
            def setup(self):
                target._connections.add(self.request)
                super().setup()

            def finish(self):
                target._connections.discard(self.request)
                super().finish()

            def handle_any(self):
                target.serve(self)

            do_GET = do_POST = do_PUT = handle_any

        self._server = QuietServer((host, port), Handler)
        self._born = int(time.time() * 1e3)
        self.register()
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def register(self):
        """Write the entry ``servers/ID``."""
        self._store.put("servers", self.instance, self.next_entry())
        self._beat_at = time.monotonic()

    def next_entry(self):
        """Return the bytes of the entry that is to be written next."""
        self._sequence += 1
        document = {
            "address": self.address,
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self._zone,
                "slots": self._slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_left": "0ms",
            },
        }
        return json.dumps(document).encode()

    def lose_next_beat(self, late_s):
        """Have the store perform the next heartbeat only ``late_s`` later.

        The call gets no response. Blocks until it has been made.
        """
        self._late_s = late_s
        self._beat_lost.clear()
        self._beat_lost.wait(2 * HEARTBEAT_S)

    def drain(self):
        """Report ``draining``; the store has accepted it when this returns."""
        self.state = "draining"
        self.register()

    def wait_for_beat(self):
        """Block until the next heartbeat has been written."""
        beat_at = self._beat_at
        wait_until(lambda: self._beat_at != beat_at, 2 * HEARTBEAT_S, "a heartbeat")

    def crash(self):
        """End at once: connections are reset, and the entry stays until it expires."""
        self.fall_silent()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                connection.shutdown(socket.SHUT_RDWR)
        self._server.shutdown()
        self._server.server_close()

    def fall_silent(self):
        """Answer nothing more; the entry stays until it expires.

        The store removes it after three heartbeat intervals of silence.
        """
        if self._silent.is_set():
            return
        with self._lock:
            self._stopped.set()
        self._silent.set()
        expires_at = self._beat_at + EXPIRY_INTERVALS * HEARTBEAT_S
        timer = threading.Timer(expires_at - time.monotonic(), self.expire)
        timer.daemon = True
        timer.start()

    @staticmethod
    def _stay_silent(handler):
        """Answer nothing until the address is used again and the connection reset."""
        handler.close_connection = True
        with contextlib.suppress(OSError):
            while handler.connection.recv(65536):
                pass

    def expire(self):
        """Let the store remove the entry."""
        self._store.remove("servers", self.instance)
        self._record.line(f"the store removes the entry of {self.instance}")

    def withdraw(self):
        """Remove the entry, as for a target that never reports ``draining``.

        The target goes on serving. The store has accepted it when this returns.
        """
        with self._lock:
            self._stopped.set()
            self._store.remove("servers", self.instance)

    def _beat(self):
        while not self._stopped.wait(HEARTBEAT_S):
            with self._lock:
                if self._stopped.is_set():
                    return
                late_s, self._late_s = self._late_s, None
                if late_s is None:
                    self.register()
                    continue
                content = self.next_entry()
                self._record.line(
                    f"store: no response to heartbeat {self._sequence} "
                    f"({self.state}) of {self.instance}"
                )
                threading.Timer(
                    late_s, self._perform, (content, self._sequence)
                ).start()
                self._beat_lost.set()

    def _perform(self, content, sequence):
        self._store.put("servers", self.instance, content)
        self._record.line(
            f"store: heartbeat {sequence} of {self.instance} is performed"
        )

    def load(self):
        """Return the load header."""
        return f"{self._running},0,{self._slots},100"

    def serve(self, handler):
        """Answer one request."""
        if self._silent.is_set():
            self._stay_silent(handler)
            return
        size = int(handler.headers.get("Content-Length", 0))
        while size > 0:
            part = handler.rfile.read(min(size, 1 << 20))
            if not part:
                handler.close_connection = True
                return
            size -= len(part)
        request_id = handler.headers.get("X-Request-Id", "")
        common = [("X-Request-Id", request_id)]
        named = [*common, ("X-Instance-Id", self.instance)]
        if handler.path == self._health_path:
            status = 200 if self.state == "ready" else 503
            handler.answer(status, [*named, ("X-Server-Load", self.load())], b"")
            return
        if handler.headers.get("X-Intended-Instance", self.instance) != self.instance:
            handler.answer(421, named, b"")
            return
        if not request_id:
            handler.answer(400, [*common, ("X-Not-Executed", "1")], b"")
            return
        self._run(handler, request_id, common)

    def _run(self, handler, request_id, common):
        """Run a request in a slot, or refuse it if there is none."""
        with self._lock:
            full = self._running >= self._slots
            if not full:
                self._running += 1
        if full:
            headers = [*common, ("X-Not-Executed", "1")]
            handler.answer(503, [*headers, ("X-Server-Load", self.load())], b"")
            return
        begun = self._record.now()
        self.runs.append((begun, request_id, handler.path))
        self._record.line(
            f"target {self.instance} runs {request_id} {handler.command} {handler.path}"
        )
        if handler.path == self._poison_path:
            self._record.line(f"target {self.instance} crashes")
            self.crash()
            return
        self.working.add(request_id)
        try:
            time.sleep(self._work_s(handler))
        finally:
            self.working.discard(request_id)
            with self._lock:
                self._running -= 1
        if self._silent.is_set():
            self._stay_silent(handler)
            return
        self._record.line(f"target {self.instance} ends {request_id}")
        handler.answer(
            200,
            [
                *common,
                ("X-Response-Signature", f"{self.instance}.{request_id}"),
                ("X-Server-Load", self.load()),
            ],
            f"whole body of {request_id}".encode(),
        )


class Entry:
    """One entry process, started as the deploy file says."""

    def __init__(self, *, fields, folder):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        self.name = fields["node_name"]
        self._path = pathlib.Path(folder) / f"{self.name}.json"
        self._path.write_text(render(template, fields))
        self._log_path = pathlib.Path(folder) / f"{self.name}.log"
        self._command = role["run"].split()
        self._environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self._environment |= {
            "MONSOONLINE_NODE_FILE": str(self._path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "TMPDIR": str(folder),
        }
        self.front = fields["listen"]["front"]
        self.ready = fields["listen"]["ready"]
        self.process = None

    def start(self):
        """Start the process."""
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def is_ready(self):
        """Return whether the readiness check answers 200."""
        return status_of(self.ready, "/-/ready") == 200

    def kill(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def start_entries(entries, *, hosts, ports, store, folder):
    """Start one entry on each host and wait until all are ready.

    :param entries: list to which the entries are added as they start
    """
    for number, host in enumerate(hosts):
        fields = entry_fields(
            name=f"edge-{number}",
            zone="z1",
            host=host,
            ports=ports[:6],
            store=store.address,
        )
        entries.append(Entry(fields=fields, folder=folder))
        entries[-1].start()
    wait_for_all(entries)


def wait_for_all(entries, timeout_s=20.0):
    """Wait until all entries are ready."""
    wait_until(
        lambda: all(entry.is_ready() for entry in entries), timeout_s, "ready entries"
    )


def render(template, fields):
    """Fill in the placeholders ``{{a.b}}`` and ``{{a.b|json}}`` of the template."""

    def value_of(match):
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([a-z_0-9.]+)(\|json)?\}\}", value_of, template)


def entry_fields(*, name, zone, host, ports, store, memory_mb=235):
    """Return the settings fields of one machine."""
    front, ready, directory, control, inner, last = ports
    return {
        "node_name": name,
        "zone": zone,
        "region": "loopback",
        "ip": host,
        "limits": {"memory_mb": memory_mb, "max_fds": 3075},
        "listen": {
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "directory": f"{host}:{directory}",
            "control": f"{host}:{control}",
        },
        "internal_ports": [inner, last],
        "platform": {"address": store},
        "address": store,
        "bounds": BOUNDS,
    }


def status_of(address, target):
    """Return the status of a GET request, ``None`` without a response."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 1.0) as connection:
            connection.sendall(
                f"GET {target} HTTP/1.1\r\nHost: x\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            connection.settimeout(1.0)
            return int(connection.recv(64).split()[1])
    except (OSError, IndexError, ValueError):
        return None


class Reply:
    """What a client got: a status, or ``None`` where the connection just ended."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Client:
    """One client connection that is kept open for several requests."""

    def __init__(self, address):
        self._address = address
        self._socket = None
        self._reader = None

    def connect(self):
        """Open the connection."""
        host, _, port = self._address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), 1.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = self._socket.makefile("rb")

    def close(self):
        """Close the connection."""
        if self._socket is not None:
            self._reader.close()
            self._socket.close()
            self._socket = None

    def send(self, method, path, request_id, deadline_ms, body=b""):
        """Send one request."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self._socket.settimeout(deadline_ms / 1e3)
        self._socket.sendall((head + "\r\n").encode())
        if body:
            self._socket.sendall(body)

    def receive(self, timeout_s):
        """Return the :class:`Reply`; its status is ``None`` if there is none."""
        self._socket.settimeout(timeout_s)
        try:
            line = self._reader.readline()
            if not line.startswith(b"HTTP/1."):
                return Reply(None, {}, b"")
            headers = {}
            while (header := self._reader.readline()) not in (b"\r\n", b""):
                name, _, value = header.decode("latin-1").partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", 0))
            body = self._reader.read(size)
            if len(body) < size:
                return Reply(None, {}, b"")
            return Reply(int(line.split()[1]), headers, body)
        except TimeoutError:
            return Reply("timeout", {}, b"")
        except OSError:
            return Reply(None, {}, b"")


def post(entry, path, number, record):
    """Send one unsafe request on a new connection; return its status or the error."""
    connection = Client(entry.front)
    try:
        connection.connect()
        connection.send("POST", path, number, 2500, b"order")
        status = connection.receive(3.0).status
    except OSError as error:
        status = repr(error)
    record.line(f"client {entry.name} {number} {path} -> {status}")
    connection.close()
    return status


def request_id():
    """Return a new request id."""
    return f"{random.getrandbits(64):016x}"


def wait_until(condition, timeout_s, what):
    """Wait for a condition.

    :raises CannotRun: when it stays false
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"waited {timeout_s} s for {what}")
        time.sleep(0.05)


def run_case(folder, case):
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run).

    :param case: called with the record, a temporary folder and a list to which it adds
        the entries it starts; returns whether the rule held
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    entries = []
    code = 2
    # The entries are ended below also when the script is stopped.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop_script)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = 0 if case(record, temporary, entries) else 1
        except CannotRun as error:
            record.line(f"could not run: {error}")
        except Exception as error:
            record.line(f"could not run: {error!r}")
        finally:
            for entry in entries:
                entry.kill()
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code]
    record.line(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)


def stop_script(number, frame):
    """End the case because of a signal.

    :raises CannotRun: always
    """
    raise CannotRun(f"stopped by signal {number}")


def with_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"
