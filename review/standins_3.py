"""Stand-ins for the cases of the third review, and a starter of the entries.

One asyncio process plays the platform's store, the targets and the clients, as
PROTOCOL.md describes them. The entries are the project's own processes, started with
the command of deploy/system.toml and settings filled into its template.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONE = "zh-a"
# Bounds of the site traufbrett-ch, in seconds.
BOUNDS = {
    "config_apply": 2.0,
    "drain": 2.0,
    "stable_window": 3.0,
    "retry_budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 75,
    "probes_per_s": 60,
    "ttl_max": "5s",
    "grace": "6s",
}
LIMITS = {"memory_mb": 235, "max_fds": 3075}
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


def now():
    """Return the time in seconds since the start of the script."""
    return time.monotonic() - STARTED


def free_port(ip):
    """Return a TCP port that is free, also for UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ip, port))
            except OSError:
                continue
            return port


class Record:
    """The file record.txt beside a case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")

    def add(self, *words):
        """Write one line with the time."""
        self._file.write(f"{now():9.3f} " + " ".join(map(str, words)) + "\n")

    def close(self):
        """Write what is buffered."""
        self._file.close()


class Store:
    """The platform's store: rows-get and rows-tx on one table space."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 1
        self.address = None
        self.target_reads = []

    async def start(self):
        """Listen on a free port."""
        port = free_port("127.0.0.1")
        self.address = f"127.0.0.1:{port}"
        await asyncio.start_server(self._serve, "127.0.0.1", port)

    def put(self, table, key, value):
        """Write a row; the return is the acknowledgement."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[table, key] = (base64.b64encode(content).decode(), self.version)

    def remove(self, table, key):
        """Remove a row."""
        if self.rows.pop((table, key), None):
            self.version += 1

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split("\r\n")[0].split(" ")
                found = re.search(r"\r\ncontent-length: *([0-9]+)", head, re.I)
                body = await reader.readexactly(int(found[1]) if found else 0)
                await asyncio.sleep(STORE_ANSWER_S)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                document = {"ver": self.version, "now": f"{int(now() * 1000)}ms"}
                if url.path == "/-/rows-get":
                    document |= {"rows": self._read(query), "has_more": False}
                elif url.path == "/-/rows-tx":
                    for row in json.loads(body)["put"]:
                        content = base64.b64decode(row["value"])
                        self.put(row["table"], row["key"], content)
                    document["ver"] = self.version
                content = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(content) + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def _read(self, query):
        table, first = query["table"], query.get("from", "")
        last = query.get("to")
        if table == "servers":
            self.target_reads.append(now())
        return [
            {"table": table, "part": "", "key": key, "value": value, "ver": version}
            for (name, key), (value, version) in sorted(self.rows.items())
            if name == table and key >= first and (last is None or key < last)
        ]


class Target:
    """A target of a service, which registers itself in the store.

    ``on_run`` is called with the target, the request id and the path when a request
    begins to run; it returns the time in seconds that the request takes, or ``None``
    if the request crashes the target.
    """

    count = 0

    def __init__(self, store, record, service, *, on_run, address=None):
        Target.count += 1
        self.id = f"i-{Target.count:04d}"
        self.store, self.record, self.service = store, record, service
        self.on_run = on_run
        ip = f"127.0.2.{Target.count % 250 + 1}"
        self.address = address or f"{ip}:{free_port(ip)}"
        self.slots, self.running = 4, 0
        self.state, self.alive, self.silent = "ready", True, False
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.writers = set()
        self.on_crash = None

    async def start(self):
        """Listen and register."""
        ip, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, ip, int(port), reuse_address=True
        )
        self.beats = asyncio.create_task(self._beat())

    def register(self):
        """Write the row of this target."""
        self.sequence += 1
        self.store.put(
            "servers",
            self.id,
            {
                "address": self.address,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": ZONE,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "cold_left": "0ms",
                },
                "born": self.born,
            },
        )

    def drain(self):
        """Report that this target is leaving."""
        self.state = "draining"
        self.register()

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def end(self):
        """End the process: all connections are closed, the address refuses others."""
        self.alive = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                _, path, _ = lines[0].split(" ")
                headers = {
                    name.lower(): value
                    for name, _, value in (x.partition(": ") for x in lines[1:] if x)
                }
                await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self._answer(path, headers, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path, headers, writer):
        """Answer a request; return whether the connection stays open."""
        request_id = headers.get("x-request-id", "")
        load = f"X-Server-Load: {self.running},0,{self.slots},100\r\n"
        if self.silent:
            await asyncio.sleep(3600)
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Draining"
            text = f"X-Instance-Id: {self.id}\r\n{load}"
            return self._write(writer, status, request_id, text)
        if headers.get("x-intended-instance", self.id) != self.id:
            text = f"X-Instance-Id: {self.id}\r\n"
            return self._write(writer, "421 Misdirected", request_id, text)
        if self.running >= self.slots:
            text = f"X-Not-Executed: 1\r\n{load}"
            return self._write(writer, "503 Full", request_id, text)
        work_s = self.on_run(self, request_id, path)
        if work_s is None:
            await self.on_crash(self)
            return False
        self.running += 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self.running -= 1
        if not self.alive:
            return False
        text = f"X-Response-Signature: {self.id}.{self.service}.{request_id}\r\n{load}"
        return self._write(writer, "200 OK", request_id, text, self.service.encode())

    @staticmethod
    def _write(writer, status, request_id, text, body=b""):
        writer.write(
            f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n{text}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        return True


class Entry:
    """An entry process of the project."""

    def __init__(self, number, store, folder):
        self.name = f"edge-{ZONE}-{number}"
        self.ip = f"127.0.1.{number}"
        names = ("front", "ready", "directory")
        self.listen = {n: f"{self.ip}:{free_port(self.ip)}" for n in names}
        self._path = pathlib.Path(folder) / f"{self.name}.json"
        self._log = open(pathlib.Path(folder) / f"{self.name}.log", "ab")
        fields = {
            "node_name": self.name,
            "zone": ZONE,
            "ip": self.ip,
            "listen": self.listen,
            "internal_ports": [free_port(self.ip)],
            "platform": {"address": store.address},
            "bounds": BOUNDS,
            "limits": LIMITS,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._run = deploy["roles"]["entry"]["run"].split(" ")
        template = (ROOT / deploy["roles"]["entry"]["template"]).read_text()
        self._path.write_text(re.sub(r"\{\{(.*?)\}\}", self._filler(fields), template))
        self.process = None
        self.started_at = None

    @staticmethod
    def _filler(fields):
        def fill(match):
            place, _, form = match[1].partition("|")
            value = fields
            for part in place.split("."):
                value = value[int(part) if part.isdigit() else part]
            return json.dumps(value) if form == "json" else str(value)

        return fill

    def start(self):
        """Start the process."""
        self.process = subprocess.Popen(
            self._run,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                **{n: os.environ[n] for n in ("MALLOC_ARENA_MAX",) if n in os.environ},
                "PYTHONPATH": "target/deps",
                "MONSOONLINE_NODE_FILE": str(self._path),
            },
            stdout=self._log,
            stderr=self._log,
        )
        self.started_at = now()

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, limit_s=15.0):
        """Wait until /-/ready answers 200; return whether it did."""
        until = now() + limit_s
        while now() < until:
            response = await call(self.listen["ready"], "GET", "/-/ready", "ready")
            if response and response[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False


async def call(address, method, path, request_id, *, body=b"", deadline_ms=2000):
    """Send one request on a new connection.

    :returns: status, headers and body, ``None`` without a complete answer
    """
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: shop.example",
                f"X-Request-Id: {request_id}",
                f"X-Deadline-Ms: {deadline_ms}",
            ]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "\r\n"]).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            headers = {
                name.lower(): value
                for name, _, value in (x.partition(": ") for x in lines[1:] if x)
            }
            content = await reader.readexactly(int(headers.get("content-length", 0)))
            return int(lines[0].split(" ")[1]), headers, content
    except (asyncio.IncompleteReadError, OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def configuration(version, routes, services):
    """Return the document of ``op/config``."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 283,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }


def route(name, prefix, service, *, kind, attempts=2, timeout="1000ms"):
    """Return the document of one route."""
    return {
        "name": name,
        "hostname": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "latency_goal": "600ms",
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
    }


def main(folder, play):
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param folder: folder of the case, for record.txt
    :param play: coroutine function of the record, the store, the entries and a
        temporary folder; returns whether the rule was broken, ``None`` if the case
        could not run
    """
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    entries = []

    def finish(code):
        for entry in entries:
            entry.end()
        record.add("exit code", code)
        record.close()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
        sys.stdout.flush()
        # The open connections of the stand-ins need no orderly end.
        os._exit(code)

    async def run():
        store = Store(record)
        await store.start()
        try:
            broken = await play(record, store, entries, temporary)
        except Exception:
            traceback.print_exc()
            broken = None
        finish(2 if broken is None else int(broken))

    # The entries are ended also when the script is ended from outside.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: finish(2))
    asyncio.run(run())
