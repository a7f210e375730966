"""Stand-ins of a small deployment: store, targets, proxies, clients, entries.

They follow the users' pages. Only the standard library is used.
"""

import base64
import http.client
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESET = struct.pack("ii", 1, 0)
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w") if path else sys.stdout
        self._lock = threading.Lock()
        self.started = now()
        trouble = os.environ.get("TROUBLE", "1") != "0"
        self.write(f"TROUBLE={int(trouble)}, machine {os.uname().machine}")

    def write(self, text):
        with self._lock:
            self._file.write(f"{now() - self.started:8.3f} {text}\n")
            self._file.flush()


def free_port(host="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Wire:
    """Reads HTTP messages from one connection."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def _more(self):
        data = self.connection.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, size):
        while len(self.buffer) < size:
            self._more()
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return body

    def request(self):
        line, headers = self.head()
        method, target, _ = line.split(" ")
        return method, target, headers

    def response(self):
        line, headers = self.head()
        status = int(line.split(" ")[1])
        body = self.exactly(int(headers.get("content-length", 0)))
        return status, headers, body


def encode(status, headers=(), body=b"", length=True):
    reason = http.client.responses.get(status, "")
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{n}: {v}" for n, v in headers)]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A threaded TCP server."""

    def __init__(self, host="127.0.0.1", port=0):
        self.host, self.port = host, port
        self.connections = set()
        self._listener = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def listen(self):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(512)
        self.port = listener.getsockname()[1]
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return self

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        try:
            self.serve(connection)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def close(self, reset=True):
        if self._listener is not None:
            try:
                self._listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            try:
                if reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(Server):
    """The platform's store: rows only, linearizable, 4 ms an answer."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.rows = {}
        self.ver = 0
        self.lock = threading.Lock()
        self.delay = 0.004
        self.calls = 0
        # Called with method, path and query before a call is performed.
        self.before = lambda method, path, query: None

    def write(self, table, key, document):
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        with self.lock:
            self.ver += 1
            self.rows[table, "", key] = (base64.b64encode(value).decode(), self.ver)
            return self.ver

    def remove(self, table, key):
        with self.lock:
            if self.rows.pop((table, "", key), None) is not None:
                self.ver += 1

    def serve(self, connection):
        wire = Wire(connection)
        while True:
            method, target, headers = wire.request()
            body = wire.exactly(int(headers.get("content-length", 0)))
            parsed = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
            self.calls += 1
            time.sleep(self.delay)
            status = self.before(method, parsed.path, query) or 200
            document = {}
            if status == 200:
                document = self._perform(parsed.path, query, body)
            connection.sendall(
                encode(
                    status,
                    [("Content-Type", "application/json")],
                    json.dumps(document).encode(),
                )
            )

    def _perform(self, path, query, body):
        with self.lock:
            if path == "/-/rows-get":
                table, part = query["table"], query.get("part", "")
                low, high = query.get("from", ""), query.get("to")
                limit = min(500, int(query.get("limit", 500)))
                keys = sorted(
                    (k[2] for k in self.rows if k[:2] == (table, part)),
                    key=lambda k: k.encode(),
                )
                keys = [k for k in keys if k >= low and (high is None or k < high)]
                rows = []
                for key in keys[:limit]:
                    value, ver = self.rows[table, part, key]
                    rows.append({"table": table, "part": part, "key": key,
                                 "value": value, "ver": ver})
                return {"rows": rows, "has_more": len(keys) > limit, "ver": self.ver,
                        "now": f"{now() * 1e3:.0f}ms"}
            if path == "/-/rows-tx":
                document = json.loads(body)
                self.ver += 1
                for row in document["put"]:
                    key = row["table"], row.get("part", ""), row["key"]
                    self.rows[key] = (row["value"], self.ver)
                for row in document.get("remove", []):
                    self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
                return {"ver": self.ver, "now": f"{now() * 1e3:.0f}ms"}
        return {}


class StoreDoor(Store):
    """The address of the store that one entry is told; closes idle connections.

    :param store: the :class:`Store` whose rows it serves
    :param idle_s: time after which an idle connection is closed, as its answers say
    """

    def __init__(self, store, *, idle_s):
        Server.__init__(self)
        self.store, self.idle_s = store, idle_s
        self.read_at = float("-inf")
        self.closed_idle = 0

    def serve(self, connection):
        wire = Wire(connection)
        connection.settimeout(self.idle_s)
        while True:
            try:
                method, target, headers = wire.request()
            except TimeoutError:
                self.closed_idle += 1
                return
            body = wire.exactly(int(headers.get("content-length", 0)))
            parsed = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
            time.sleep(self.store.delay)
            document = self.store._perform(parsed.path, query, body)
            connection.sendall(
                encode(
                    200,
                    [("Content-Type", "application/json"),
                     ("Keep-Alive", f"timeout={self.idle_s:.0f}")],
                    json.dumps(document).encode(),
                )
            )
            if query.get("table") == "servers":
                self.read_at = now()


class Target(Server):
    """A sound target that registers itself and serves one request a connection."""

    def __init__(self, store, record, name, service, *, zone="z1", slots=4,
                 work=0.1, health="/health", beat=1.5, **fields):
        super().__init__(**fields)
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work, self.health, self.beat = slots, work, health, beat
        self.state, self.sequence, self.born = "ready", 1, int(time.time() * 1e3)
        self.running = 0
        self.lock = threading.Lock()
        self.ran = []
        self.arrived = []
        self.registered = False
        self.probes = 0

    def start(self):
        self.listen()
        self.register()
        threading.Thread(target=self._beat, daemon=True).start()
        return self

    def row(self):
        return {
            "address": self.address,
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "cold_left": "0ms"},
        }

    def register(self):
        self.registered = True
        return self.store.write("servers", self.name, self.row())

    def _beat(self):
        while self._listener is not None:
            time.sleep(self.beat)
            if self.registered:
                self.sequence += 1
                self.store.write("servers", self.name, self.row())

    def load(self):
        return ("X-Server-Load", f"{self.running},0,{self.slots},100")

    def serve(self, connection):
        wire = Wire(connection)
        while True:
            method, target, headers = wire.request()
            expected = headers.get("x-intended-instance")
            request_id = headers.get("x-request-id", "")
            base = [("X-Request-Id", request_id), ("X-Instance-Id", self.name)]
            if method == "GET" and target == self.health:
                self.probes += 1
                if expected not in (None, self.name):
                    connection.sendall(encode(421, base))
                    continue
                status = 200 if self.state == "ready" else 503
                connection.sendall(encode(status, [*base, self.load()]))
                continue
            self.handle(connection, wire, method, target, headers, base)

    def handle(self, connection, wire, method, target, headers, base):
        body = wire.exactly(int(headers.get("content-length", 0)))
        request_id = headers.get("x-request-id", "")
        self.arrived.append((now(), request_id))
        if headers.get("x-intended-instance") not in (None, self.name):
            connection.sendall(encode(421, base))
            return
        with self.lock:
            full = self.running >= self.slots
            if not full:
                self.running += 1
        if full:
            connection.sendall(encode(503, [*base, ("X-Not-Executed", "1"), self.load()]))
            return
        try:
            self.ran.append((now(), request_id, method, target, len(body)))
            self.record.write(f"{self.name} runs {request_id} {method} {target} {len(body)}")
            self.answer(connection, request_id, base)
        finally:
            with self.lock:
                self.running -= 1

    def answer(self, connection, request_id, base):
        time.sleep(self.work)
        connection.sendall(encode(
            200, [*base, ("X-Response-Signature", SIGNATURE), self.load()],
            f"answer of {self.name} to {request_id}\n".encode()))


class Entry:
    """One entry process, started as the deploy file says."""

    def __init__(self, store_address, record, name, *, folder, host="127.0.0.1", zone="z1",
                 memory_mb=235, fds=3075, grace="6s"):
        self.record, self.name, self.host = record, name, host
        self.ports = {k: free_port(host) for k in ("front", "ready", "directory", "peers")}
        self.settings = {
            "name": name,
            "failure_domain": zone,
            "listen": {
                "callers": f"{host}:{self.ports['front']}",
                "readiness": f"{host}:{self.ports['ready']}",
                "discovery": f"{host}:{self.ports['directory']}",
                "peers": f"{host}:{self.ports['peers']}",
            },
            "store": store_address,
            "repeats": {"ratio": 0.2, "slack": 76, "window": "10s"},
            "probes_per_second": 60,
            "discovery_lifetime_limit": "5s",
            "stop_limit": grace,
            "machine": {"memory_mb": memory_mb, "descriptors": fds},
        }
        self.folder = pathlib.Path(folder)
        self.path = self.folder / f"{name}.json"
        self.process = None

    @property
    def front(self):
        return self.host, self.ports["front"]

    def write_settings(self):
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings))
        temporary.replace(self.path)

    def start(self):
        self.write_settings()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {
            "MONSOONLINE_NODE_FILE": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MALLOC_ARENA_MAX": "1",
        }
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "-X", "pycache_prefix=target/pycache", "deploy/entry.py"],
            cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record.write(f"{self.name} started, pid {self.process.pid}")
        return self

    def ready(self):
        try:
            connection = http.client.HTTPConnection(self.host, self.ports["ready"], timeout=0.5)
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, timeout=15):
        end = now() + timeout
        while now() < end:
            if self.ready():
                return True
            time.sleep(0.05)
        return False

    def signal(self, number):
        self.record.write(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.process.kill()
            self.process.wait()

    def status(self, name):
        for line in open(f"/proc/{self.process.pid}/status"):
            if line.startswith(name + ":"):
                return line.split()[1]
        return None

    def rss_mb(self):
        return int(self.status("VmRSS")) / 1024

    def peak_mb(self):
        return int(self.status("VmHWM")) / 1024

    def cpu_s(self):
        fields = open(f"/proc/{self.process.pid}/stat").read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Client:
    """One kept connection of a client."""

    def __init__(self, address):
        self.address = address
        self.connection = None

    def open(self):
        self.connection = socket.create_connection(self.address, timeout=5)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire = Wire(self.connection)

    def send(self, method, path, host, request_id, deadline_ms=2000, body=b"", headers=()):
        if self.connection is None:
            self.open()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
                 f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}",
                 *(f"{n}: {v}" for n, v in headers)]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.connection.settimeout(deadline_ms / 1e3 + 1)
        self.connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def receive(self):
        status, headers, body = self.wire.response()
        if "close" in headers.get("connection", ""):
            self.close()
        return status, headers, body

    def call(self, *args, **fields):
        try:
            self.send(*args, **fields)
            return self.receive()
        except (OSError, EOFError) as error:
            self.close()
            return None, {"error": repr(error)}, b""

    def close(self, reset=False):
        if self.connection is not None:
            if reset:
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.connection.close()
            self.connection = None


def route(name, prefix, service=None, *, kind="safe", timeout="1000ms", goal="400ms",
          priority=1, attempts=2, split=None, host="shop.example"):
    row = {"name": name, "hostname": host, "prefix": prefix, "kind": kind,
           "timeout": timeout, "latency_goal": goal, "priority": priority,
           "max_attempts": attempts}
    if split is None:
        return row | {"service": service}
    return row | {"traffic_split": [{"service": s, "weight": w} for s, w in split]}


def configuration(version, routes, services, *, base=0, idle="15000ms"):
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [{"name": s, "health_path": "/health", "max_connections": 318,
                      "protocol": "h1", "tls": False} for s in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout": "3000ms", "idle_timeout": idle},
        "base_version": f"{base:08x}",
    }
