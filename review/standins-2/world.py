"""A small deployment for the scripts of the second review.

The platform's store, the targets and the clients are small stand-ins in this process;
the entries are the project's own processes, started with the command of
deploy/system.toml and with settings filled into its template. Everything listens on
loopback addresses and free ports, and runs on the real clock. Standard library only.
"""

import base64
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The file record.txt of a case, with the time since the start of the script."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self(f"TROUBLE={int(TROUBLE)}, machine {os.uname().machine}")

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:9.3f} s  {text}\n")


def free_ports(host, count):
    """Return ports that were free a moment ago."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((host, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Store:
    """The platform's store: rows, versions, and the calls that entries make."""

    def __init__(self, host="127.0.0.1", *, doors=1, idle_s=None):
        """Listen on `doors` addresses; close connections that are idle for `idle_s`.

        A script that gives each entry a door of its own sees which entry calls.
        """
        self._lock = threading.Lock()
        self._rows = {}
        self._ver = 0
        self._began = time.monotonic()
        # Called with the number of the door and the table after each answered read.
        self.on_read = lambda door, table: None
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = 1 << 16
            timeout = idle_s

            def log_message(self, *args):
                pass

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                if url.path != "/-/rows-get":
                    self._answer(404, {})
                    return
                query = dict(urllib.parse.parse_qsl(url.query))
                self._answer(200, store._get(query))
                self.wfile.flush()
                store.on_read(self.server.door, query["table"])

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.path != "/-/rows-tx":
                    self._answer(404, {})
                    return
                status, document = store._transact(json.loads(body))
                self._answer(status, document)

            def _answer(self, status, document):
                content = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

        self.addresses = []
        for door in range(doors):
            server = ThreadingServer((host, 0), Handler)
            server.door = door
            self.addresses.append(f"{host}:{server.server_address[1]}")
            threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = self.addresses[0]

    def _now(self):
        return f"{(time.monotonic() - self._began) * 1e3:.0f}ms"

    def _get(self, query):
        limit = min(500, int(query.get("limit", 500)))
        with self._lock:
            keys = sorted(
                key
                for (table, part, key) in self._rows
                if table == query["table"]
                and part == query.get("part", "")
                and key >= query.get("from", "")
                and ("to" not in query or key < query["to"])
            )
            part = query.get("part", "")
            rows = [
                self._row(query["table"], part, key) for key in keys[:limit]
            ]
            return {
                "rows": rows,
                "has_more": len(keys) > limit,
                "ver": self._ver,
                "now": self._now(),
            }

    def _row(self, table, part, key):
        value, ver = self._rows[table, part, key]
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    def _transact(self, document):
        with self._lock:
            for row in document.get("put", []) + document.get("remove", []):
                if row["table"] in ("op", "servers"):
                    return 403, {}
            for row in document.get("expected_revision", []):
                place = row["table"], row.get("part", ""), row["key"]
                if self._rows.get(place, (None, 0))[1] != row["ver"]:
                    return 412, {"ver": self._ver, "now": self._now(), "rows": []}
            self._ver += 1
            for row in document.get("put", []):
                place = row["table"], row.get("part", ""), row["key"]
                self._rows[place] = row["value"], self._ver
            for row in document.get("remove", []):
                self._rows.pop((row["table"], row.get("part", ""), row["key"]), None)
            return 200, {"ver": self._ver, "now": self._now()}

    def write(self, table, key, document):
        """Write a row as the operator or a target does."""
        content = base64.b64encode(json.dumps(document).encode()).decode()
        with self._lock:
            self._ver += 1
            self._rows[table, "", key] = content, self._ver
            return self._ver

    def remove(self, table, key):
        with self._lock:
            self._ver += 1
            self._rows.pop((table, "", key), None)


class ThreadingServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def server_bind(self):
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request, client_address):
        pass


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def _more(self):
        content = self.connection.recv(1 << 16)
        if not content:
            raise EOFError("the connection was closed")
        self.buffer += content

    def head(self):
        """Return the start line and the headers, names in lower case."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        start, *lines = head.decode("latin-1").split("\r\n")
        pairs = [line.split(":", 1) for line in lines]
        return start, {name.lower(): value.strip() for name, value in pairs}

    def body(self, length):
        """Return a body of this length."""
        parts, left = [], length
        while left:
            if not self.buffer:
                self._more()
            part, self.buffer = self.buffer[:left], self.buffer[left:]
            parts.append(part)
            left -= len(part)
        return b"".join(parts)


class Target:
    """A target of a service, which registers itself in the store.

    `run(target, connection, reader, start, headers)` handles a request whose head has
    been read, and which it accepts to run; it returns whether the connection stays
    open. Health checks, other instances' requests and requests without id are answered
    as the pages say.
    """

    def __init__(
        self, store, name, service, run, *, slots=8, zone="z-a", receive_bytes=None
    ):
        self.name, self.service, self.slots, self.zone = name, service, slots, zone
        self.runs = []
        self.running = 0
        self.lock = threading.Lock()
        self._run = run
        self._store = store
        self._born = int(time.time() * 1e3)
        self._sequence = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        if receive_bytes:
            # Links have small windows, so a peer that does not read blocks the writer.
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self.state = "ready"
        threading.Thread(target=self._accept, daemon=True).start()
        self.beat()
        threading.Thread(target=self._beats, daemon=True).start()

    def beat(self):
        self._store.write("servers", self.name, self.next_entry())

    def next_entry(self):
        """Return the entry in the store that the next heartbeat writes."""
        self._sequence += 1
        return {
            "address": self.address,
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "cold_left": "0ms",
            },
        }

    def _beats(self):
        while True:
            time.sleep(1.5)
            self.beat()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                # The target has ended.
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        reader = Reader(connection)
        try:
            while self._one(connection, reader):
                pass
        except (OSError, EOFError):
            pass
        finally:
            connection.close()

    def _one(self, connection, reader):
        start, headers = reader.head()
        method, path, _ = start.split(" ")
        request_id = headers.get("x-request-id")
        intended = headers.get("x-intended-instance", self.name)
        if path != "/health" and intended == self.name and request_id:
            with self.lock:
                self.running += 1
            try:
                return self._run(self, connection, reader, start, headers)
            finally:
                with self.lock:
                    self.running -= 1
        reader.body(int(headers.get("content-length", 0)))
        if intended != self.name:
            self.answer(connection, 421, request_id, signed=False)
        elif path == "/health":
            self.answer(connection, 200, request_id, signed=False)
        else:
            self.answer(connection, 400, None, signed=False, more="X-Not-Executed: 1\r\n")
        return True

    def load(self):
        return f"{self.running},0,{self.slots}"

    def head(self, status, request_id, *, signed=True, length=None, more=""):
        """Return the head of a response."""
        lines = [f"HTTP/1.1 {status} X", f"X-Instance-Id: {self.name}"]
        lines.append(f"X-Server-Load: {self.load()}")
        if request_id:
            lines.append(f"X-Request-Id: {request_id}")
        if signed:
            lines.append(f"X-Response-Signature: sig-{request_id}")
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode()

    def answer(self, connection, status, request_id, body=b"", *, signed=True, more=""):
        head = self.head(
            status, request_id, signed=signed, length=len(body), more=more
        )
        connection.sendall(head + body)

    def note_run(self, request_id):
        with self.lock:
            self.runs.append(request_id)


def configuration(routes, services, *, version=1, limits=None):
    """Return the operator's configuration as it lies in op/config."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 318,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        # The limits that `fleetbench wire` shows for the site.
        "limits": limits
        or {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }


def route(name, prefix, service, *, kind, timeout_ms, goal_ms, priority=0):
    return {
        "name": name,
        "hostname": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": f"{timeout_ms}ms",
        "latency_goal": f"{goal_ms}ms",
        "priority": priority,
        "service": service,
        "max_attempts": 2,
    }


def fill(template, values):
    """Fill the settings template; it has `{{a.b|json}}` and `{{a.b}}` only."""

    def value_of(match):
        value = values
        for part in match[1].split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value_of, template)


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(
        self,
        folder,
        store,
        name,
        *,
        zone="z-a",
        memory_mb=235,
        record=None,
        store_address=None,
    ):
        self.name, self.memory_mb, self.record = name, memory_mb, record
        host = "127.0.0.1"
        front, ready, directory, peers = free_ports(host, 4)
        self.front = (host, front)
        self.ready_address = (host, ready)
        self.directory = (host, directory)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = fill(
            (ROOT / role["template"]).read_text(),
            {
                "node_name": name,
                "zone": zone,
                "ip": host,
                "listen": {
                    "front": f"{host}:{front}",
                    "ready": f"{host}:{ready}",
                    "directory": f"{host}:{directory}",
                },
                "internal_ports": [peers, peers],
                "platform": {"address": store_address or store.address},
                "bounds": {
                    "retry_budget_ratio": 0.2,
                    "budget_slack": 75,
                    "budget_window": "10s",
                    "probes_per_s": 60,
                    "ttl_max": "5s",
                    "grace": "6s",
                },
                "limits": {"memory_mb": memory_mb, "max_fds": 3075},
            },
        )
        self._settings = pathlib.Path(folder) / f"{name}.json"
        self._settings.write_text(settings)
        self._log = pathlib.Path(folder) / f"{name}.log"
        self._command = role["run"].split()
        self._command[0] = sys.executable
        self.process = None
        self.starts = 0

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "MONSOONLINE_NODE_FILE": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            # DEPLOY.md: the platform sets this for the runtimes. The least that a
            # process can take for it is with one arena.
            "MALLOC_ARENA_MAX": "1",
        }
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        if self.record:
            self.record(f"{self.name}: started, process {self.process.pid}")

    def ready(self):
        try:
            with socket.create_connection(self.ready_address, 0.5) as connection:
                connection.settimeout(0.5)
                connection.sendall(
                    b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.ready():
                return True
            time.sleep(0.05)
        return False

    def memory(self):
        """Return the resident memory in MB, now and at its peak; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0, 0.0
        found = dict(re.findall(r"(VmRSS|VmHWM):\s+(\d+) kB", status))
        return int(found.get("VmRSS", 0)) / 1024, int(found.get("VmHWM", 0)) / 1024

    def spooled(self):
        """Return the MB of the files without a name that the process has in /tmp.

        DEPLOY.md: that directory "counts as memory".
        """
        total = 0
        try:
            for link in pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir():
                name = os.readlink(link)
                if name.startswith("/tmp/") and name.endswith(" (deleted)"):
                    total += link.stat().st_size
        except OSError:
            # The process has ended, or has closed the file meanwhile.
            pass
        return total / 2**20

    def log_lines(self):
        return self._log.read_text(errors="replace").splitlines()

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Client:
    """One client connection to an entry."""

    def __init__(self, address, timeout=5.0):
        self.connection = socket.create_connection(address, timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.connection)

    def send(self, method, path, request_id, *, deadline_ms, body=b""):
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        )
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.connection.sendall(head.encode() + b"\r\n")
        if body:
            self.connection.sendall(body)

    def receive(self, timeout):
        """Return status, headers and body; raise EOFError or OSError without them."""
        self.connection.settimeout(timeout)
        start, headers = self.reader.head()
        body = self.reader.body(int(headers.get("content-length", 0)))
        return int(start.split(" ")[1]), headers, body

    def close(self):
        self.connection.close()


def run_case(folder, case):
    """Run `case(temporary, record, entries)` and exit with its result.

    The case adds the entries that it starts to the list; they are ended in any case. The
    exit code is 2 after an unexpected error and after 110 s.
    """

    def give_up(number, frame):
        raise TimeoutError("the case takes too long")

    record = Record(folder)
    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(110)
    result = NOT_RUN
    entries = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = case(pathlib.Path(temporary), record, entries)
        except Exception as error:
            record(f"the case could not run: {error!r}")
        finally:
            for entry in entries:
                entry.kill()
    text = {HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "not run"}
    record(f"result: {text[result]}")
    print(text[result])
    sys.stdout.flush()
    os._exit(result)
