"""Fake upstream whose raw responses are scripted by a test."""

import contextlib
import dataclasses
import re
import socket
import threading
import time

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def header_of(request, name):
    """Return the value of a header in raw request bytes."""
    match = re.search(rf"^{name}: (.*)\r$", request.decode("latin-1"), re.M | re.I)
    return match[1] if match else None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Raw bytes to send, those to send later, and whether to close the connection.

    :param later: bytes to send again after ``delay_s``, while the connection serves on
    :param endless: bytes to send again and again, until the peer closes the connection
    :param interval_s: pause between these sends
    """

    content: bytes = OK
    close: bool = False
    later: bytes = b""
    delay_s: float = 0.0
    endless: bytes = b""
    interval_s: float = 0.0


class ScriptedUpstream:
    """Accepts connections and sends the replies that a function returns.

    :param script: called with the number of the connection and the number of the
        request on it, both from 1; returns a :class:`Reply`, bytes, or ``None`` to send
        nothing
    """

    def __init__(self, *, script):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open = []
        self.requests = []
        self._serving = threading.local()
        self.ended = threading.Event()
        # Bytes of endless replies that the peer, or its buffers, took.
        self.endless_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def connections(self):
        return len(self._open)

    def last_request(self):
        """Return the request for which the calling script was called."""
        return self._serving.request

    def send_to_all(self, content):
        """Send bytes on all open connections, whether a request waits or not."""
        for connection in self._open:
            connection.sendall(content)

    def close(self):
        for opened in (self._listener, *self._open):
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
            opened.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._open.append(connection)
                number = len(self._open)
                threading.Thread(
                    target=self._serve, args=(connection, number), daemon=True
                ).start()

    def _serve(self, connection, number):
        count, rest = 0, b""
        with contextlib.suppress(OSError):
            while True:
                request, rest = self._read_request(connection, rest)
                if not request:
                    break
                self.requests.append(request)
                self._serving.request = request
                count += 1
                reply = self._script(number, count)
                if reply is None:
                    continue
                if isinstance(reply, bytes):
                    reply = Reply(content=reply)
                connection.sendall(reply.content)
                if reply.later:
                    threading.Timer(
                        reply.delay_s, self._send_late, (connection, reply.later)
                    ).start()
                if reply.endless:
                    self._send_endlessly(connection, reply)
                if reply.close:
                    connection.close()
                    return
        self.ended.set()

    def _send_endlessly(self, connection, reply):
        while True:
            connection.sendall(reply.endless)
            self.endless_bytes += len(reply.endless)
            time.sleep(reply.interval_s)

    @staticmethod
    def _send_late(connection, content):
        with contextlib.suppress(OSError):
            connection.sendall(content)

    @staticmethod
    def _read_request(connection, rest):
        """Return the next request and the bytes after it.

        The request is ``b""`` at the end of the connection.
        """
        while b"\r\n\r\n" not in rest:
            data = connection.recv(65536)
            if not data:
                return b"", b""
            rest += data
        end = rest.index(b"\r\n\r\n") + 4
        length = re.search(rb"^content-length: *(\d+)", rest[:end], re.I | re.M)
        end += int(length[1]) if length else 0
        while len(rest) < end:
            data = connection.recv(65536)
            if not data:
                return rest, b""
            rest += data
        return rest[:end], rest[end:]
