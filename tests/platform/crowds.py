"""Crowds of callers, and an entry process with an upstream for them."""

import asyncio
import contextlib
import http.client
import http.server
import pathlib
import socket
import socketserver
import tempfile
import threading
import time
import uuid

from tools.fleet.processes import find_free_ports
from tools.soak.fleet import EntryProcess

from monsoonline.standin.row_store import RowStoreStandIn

__all__ = ["Crowd", "Site", "Watch", "call"]

HOST = "shop.example"
SERVICE = "desk"
HEALTH_PATH = "/desk/health"
SLOTS = 64
PORTS_PER_ENTRY = 5
GRACE_S = 6.0
# Exceeds each wait of a test, so that no caller is closed for its time.
HEADER_TIMEOUT_S = 60
ROUTE_TIMEOUT_S = 10
PIECE_BYTES = 64 << 10
# Receive buffer of a caller that reads slowly.
SMALL_WINDOW_BYTES = 4 << 10
# Connections of a caller in turn, and the time before each further one.
CONNECTS = 6
RECONNECT_S = 0.2
# Time between the first connections of two readers, so that their answers are not
# received at once.
READER_STAGGER_S = 0.03
SAMPLE_S = 0.05
# A crowd is quiet when nothing has changed for this time.
QUIET_S = 1.0
QUIET_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 10.0


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers ``GET /bulk/SIZE`` with so many bytes, and bodies with two."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Write nothing."""

    def do_GET(self):  # noqa: N802
        """Answer a probe, or send as many bytes as the path says."""
        size = 2 if self.path == HEALTH_PATH else int(self.path.rpartition("/")[2])
        self._respond(size)

    def do_POST(self):  # noqa: N802
        """Read a body in pieces and answer."""
        if self.headers.get("Transfer-Encoding"):
            while size := int(self.rfile.readline().split(b";")[0], 16):
                self._skip(size)
                self.rfile.readline()
            while self.rfile.readline().strip():
                pass
        else:
            self._skip(int(self.headers.get("Content-Length", 0)))
        self._respond(2)

    def _skip(self, size):
        while size:
            piece = len(self.rfile.read(min(PIECE_BYTES, size)))
            if not piece:
                raise ConnectionResetError("the body is not complete")
            size -= piece

    def _respond(self, size):
        request_id = self.headers.get("X-Request-Id")
        self.send_response_only(200)
        if request_id:
            self.send_header("X-Request-Id", request_id)
            self.send_header("X-Response-Signature", f"i-0.{request_id}")
        self.send_header("X-Instance-Id", "i-0")
        self.send_header("X-Server-Load", f"0,0,{SLOTS},100")
        self.send_header("Content-Length", str(size))
        self.end_headers()
        self.wfile.write(bytes(size))


class Upstream(socketserver.ThreadingTCPServer):
    """Upstream on loopback with answers of any size."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 512

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        threading.Thread(
            target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True
        ).start()

    def handle_error(self, request, client_address):
        """Ignore connections that the other side has reset."""

    def close(self):
        """Stop serving."""
        self.shutdown()
        self.server_close()


class Site:
    """One entry process with a store and an upstream; a context manager.

    :param memory_mb: memory of the entry's machine in MB
    :param max_descriptors: limit of open file descriptors of the entry
    :param max_body_bytes: maximum size of a caller's body
    :param max_header_bytes: maximum size of a caller's head
    """

    def __init__(self, *, memory_mb, max_descriptors, max_body_bytes, max_header_bytes):
        self._memory_mb = memory_mb
        self._max_descriptors = max_descriptors
        self._limits = {
            "max_header_bytes": max_header_bytes,
            "max_body_bytes": max_body_bytes,
            "header_timeout": f"{HEADER_TIMEOUT_S}s",
            "idle_timeout": f"{HEADER_TIMEOUT_S}s",
        }
        self._resources = contextlib.ExitStack()
        self.entry = None

    @property
    def address(self):
        """Host and port on which the entry serves callers."""
        host, _, port = self.entry.callers_address.rpartition(":")
        return host, int(port)

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self._resources.close()
            raise
        return self

    def __exit__(self, *details):
        self._resources.close()

    def _start(self):
        folder = self._resources.enter_context(tempfile.TemporaryDirectory())
        store = RowStoreStandIn()
        store.start()
        self._resources.callback(store.close)
        upstream = Upstream()
        self._resources.callback(upstream.close)
        host, port = upstream.server_address
        store.write("op", "config", self._configuration())
        store.write("servers", "i-0", registration(f"{host}:{port}"))
        self.entry = EntryProcess(
            name="edge-0",
            zone="z1",
            ports=find_free_ports(PORTS_PER_ENTRY),
            store=store.address,
            folder=pathlib.Path(folder),
            grace_s=GRACE_S,
            memory_mb=self._memory_mb,
            max_descriptors=self._max_descriptors,
        )
        self._resources.callback(self.entry.kill)
        self.entry.start()
        self.entry.wait_ready()

    def _configuration(self):
        route = {
            "name": "bulk",
            "hostname": HOST,
            "prefix": "/bulk/",
            "kind": "safe",
            "timeout": f"{ROUTE_TIMEOUT_S}s",
            "latency_goal": "600ms",
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
        service = {
            "name": SERVICE,
            "health_path": HEALTH_PATH,
            "max_connections": 318,
        }
        return {
            "version": "00000001",
            "routes": [route],
            "services": [service],
            "limits": self._limits,
        }


def registration(address):
    """Return the row of the upstream."""
    return {
        "address": address,
        "born": 1_700_000_000_000,
        "info": {"service": SERVICE, "version": "v1", "zone": "z1", "slots": SLOTS},
        "status": {"state": "ready", "sequence": 1, "cold_left": "0ms"},
    }


def request_headers():
    """Return the headers of a caller's request, with an id of its own."""
    return {
        "Host": HOST,
        "X-Request-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": str(1000 * ROUTE_TIMEOUT_S),
    }


def encode_head(method, path, **headers):
    """Return the encoded head of a request."""
    fields = request_headers() | headers
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def split_body(size):
    """Yield a body in pieces."""
    for start in range(0, size, PIECE_BYTES):
        yield bytes(min(PIECE_BYTES, size - start))


def encode_upload(size, *, chunked):
    """Yield the bytes of a request with a body, in pieces."""
    framing = {"Transfer-Encoding": "chunked"} if chunked else {"Content-Length": size}
    yield encode_head("POST", "/bulk/2", **framing)
    for piece in split_body(size):
        yield b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece
    if chunked:
        yield b"0\r\n\r\n"


def encode_long_line(start, size):
    """Yield the bytes of a request in chunks with a long line, in pieces."""
    yield encode_head("POST", "/bulk/2", **{"Transfer-Encoding": "chunked"}) + start
    for piece in split_body(size):
        yield b"x" * len(piece)


def call(address, method="GET", *, size=2, chunked=False):
    """Send one request as an ordinary caller.

    :param size: size of the answer to a GET, and of the body otherwise
    :param chunked: whether to send the body in chunks
    :returns: status, or the exception without a complete answer
    """
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    path, body, headers = "/bulk/2", None, request_headers()
    if method == "GET":
        path = f"/bulk/{size}"
    else:
        body = bytes(size)
        if chunked:
            body = split_body(size)
            headers["Transfer-Encoding"] = "chunked"
    with contextlib.closing(connection):
        try:
            connection.request(
                method, path, body=body, headers=headers, encode_chunked=chunked
            )
            response = connection.getresponse()
            length = len(response.read())
        except (OSError, http.client.HTTPException) as error:
            return error
        expected = size if method == "GET" else 2
        if response.status == 200 and length != expected:
            return http.client.IncompleteRead(b"", expected - length)
        return response.status


class Crowd:
    """Callers on kept connections that all run at once, in a thread; a context manager.

    A caller that has sent what it sends stays, and connects again when it is closed.

    :param address: host and port of the entry
    """

    def __init__(self, *, address):
        self._address = address
        self._loop = asyncio.new_event_loop()
        self._tasks = []
        self._sockets = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        # Grows with each piece that a caller sends, and with each answer.
        self.progress = 0
        # Status of each complete answer to an honest upload.
        self.statuses = []

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self.close()

    def close(self):
        """Close all connections at once."""
        if self._thread.is_alive():
            asyncio.run_coroutine_threadsafe(self._close(), self._loop).result()
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    async def _close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._sockets:
            connection.close()

    def _add(self, count, behaviour, *, stagger_s=0.0, **connection):
        async def run(number):
            await asyncio.sleep(number * stagger_s)
            for _ in range(CONNECTS):
                with contextlib.suppress(OSError):
                    await behaviour(await self._connect(**connection))
                await asyncio.sleep(RECONNECT_S)

        def start():
            self._tasks += [
                self._loop.create_task(run(number)) for number in range(count)
            ]

        self._loop.call_soon_threadsafe(start)

    async def _connect(self, *, receive_buffer_bytes=None):
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setblocking(False)
        if receive_buffer_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        await self._loop.sock_connect(connection, self._address)
        self.progress += 1
        return connection

    async def _send(self, connection, content):
        await self._loop.sock_sendall(connection, content)
        self.progress += 1

    async def _read_until_closed(self, connection):
        while await self._loop.sock_recv(connection, PIECE_BYTES):
            self.progress += 1

    def add_silent(self, count):
        """Add callers that send nothing."""
        self._add(count, self._read_until_closed)

    def add_unfinished_heads(self, count, *, size):
        """Add callers that stop before the last byte of a head.

        :param size: size of the head in bytes
        """

        async def behave(connection):
            padding = size - len(encode_head("GET", "/bulk/2", Padding=""))
            head = encode_head("GET", "/bulk/2", Padding="x" * padding)
            await self._send(connection, head[:-1])
            await self._read_until_closed(connection)

        self._add(count, behave)

    def add_unfinished_uploads(self, count, *, size, chunked):
        """Add callers that stop before the last byte of a request.

        :param size: size of the body in bytes
        :param chunked: whether it is sent in chunks
        """
        self._add_unfinished(count, lambda: encode_upload(size, chunked=chunked))

    def add_unfinished_chunk_lines(self, count, *, size):
        """Add callers that stop within the line before a chunk.

        :param size: size of the line in bytes
        """
        self._add_unfinished(count, lambda: encode_long_line(b"1;x=", size))

    def add_unfinished_trailers(self, count, *, size):
        """Add callers that stop within the fields after the last chunk.

        :param size: size of the fields in bytes
        """
        self._add_unfinished(count, lambda: encode_long_line(b"0\r\nX: ", size))

    def _add_unfinished(self, count, encode):
        async def behave(connection):
            previous = b""
            for piece in encode():
                if previous:
                    await self._send(connection, previous)
                previous = piece
            await self._send(connection, previous[:-1])
            await self._read_until_closed(connection)

        self._add(count, behave)

    def add_honest_uploads(self, count, *, size, chunked, interval_s):
        """Add callers that send a whole request at a steady rate and read its answer.

        :param size: size of the body in bytes
        :param chunked: whether it is sent in chunks
        :param interval_s: time between two pieces in s
        """

        async def behave(connection):
            for piece in encode_upload(size, chunked=chunked):
                await self._send(connection, piece)
                await asyncio.sleep(interval_s)
            answer = b""
            while b"\r\n" not in answer:
                received = await self._loop.sock_recv(connection, PIECE_BYTES)
                if not received:
                    return
                answer += received
            self.statuses.append(int(answer.split(b" ", 2)[1]))
            self.progress += 1
            await self._read_until_closed(connection)

        self._add(count, behave)

    def add_readers(self, count, *, size, requests=1, piece_bytes=0, interval_s=0.0):
        """Add callers that read large answers slowly.

        :param size: size of an answer in bytes
        :param requests: requests that each caller sends at once
        :param piece_bytes: bytes that it reads at a time, 0 to read nothing
        :param interval_s: time between two reads in s
        """

        async def behave(connection):
            for _ in range(requests):
                await self._send(connection, encode_head("GET", f"/bulk/{size}"))
            if not piece_bytes:
                await asyncio.Event().wait()
            while await self._loop.sock_recv(connection, piece_bytes):
                await asyncio.sleep(interval_s)

        self._add(
            count,
            behave,
            stagger_s=READER_STAGGER_S,
            receive_buffer_bytes=SMALL_WINDOW_BYTES,
        )


class Watch:
    """Samples the memory and descriptors of an entry in a thread; a context manager.

    :param entry: the :class:`tools.soak.fleet.EntryProcess`
    """

    def __init__(self, *, entry):
        self._entry = entry
        self._port = int(entry.callers_address.rpartition(":")[2])
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        # Largest resident memory together with the input that is not yet read.
        self.most_bytes = 0
        self.most_descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *details):
        self._stopping.set()
        self._thread.join()

    def wait_quiet(self, crowd):
        """Wait until a crowd and the entry's memory stay as they are, for some time."""
        end = time.monotonic() + QUIET_TIMEOUT_S
        seen, since = None, time.monotonic()
        while time.monotonic() < min(end, since + QUIET_S):
            state = crowd.progress, self._peak_bytes()
            if state != seen:
                seen, since = state, time.monotonic()
            time.sleep(SAMPLE_S)

    def _peak_bytes(self):
        return self._entry.peak_bytes() if self._entry.running else 0

    def _run(self):
        while not self._stopping.wait(SAMPLE_S):
            with contextlib.suppress(OSError, TypeError):
                self._sample()

    def _sample(self):
        # In this order, so that no byte counts twice.
        memory = self._entry.resident_bytes() + unread_bytes(self._port)
        self.most_bytes = max(self.most_bytes, memory)
        descriptors = self._entry.open_descriptors()
        self.most_descriptors = max(self.most_descriptors, descriptors)


def unread_bytes(port):
    """Return the bytes in the receive queues of the connections to a port."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The queue of a listening socket counts connections.
        if int(fields[1].rpartition(":")[2], 16) == port and fields[3] != "0A":
            total += int(fields[4].partition(":")[2], 16)
    return total
