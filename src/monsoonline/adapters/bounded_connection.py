"""HTTP client connections whose responses are bounded in time and size.

``http.client`` limits the time of each receive only, so a peer that sends a byte now
and then, or without end, would hold the calling thread and its memory.
"""

import http.client
import io

from monsoonline.adapters.http_response import (
    MAX_RESPONSE_BYTES,
    ResponseStream,
    read_framed_response,
)
from monsoonline.clock import SystemClock

__all__ = ["BoundedConnection"]


class BoundedReader(io.RawIOBase):
    """Reads from a socket until a deadline.

    :param connection: the connected socket
    :param clock: source of time
    :param deadline: clock time in ms
    :param idle_timeout_ms: longest wait for further bytes, in ms
    """

    def __init__(self, *, connection, clock, deadline, idle_timeout_ms):
        self._connection = connection
        self._clock = clock
        self._deadline = deadline
        self._idle_timeout_ms = idle_timeout_ms

    def readable(self):
        """Return true, as ``io`` requires."""
        return True

    def readinto(self, buffer):
        """Wait for bytes and read them; called by :class:`io.BufferedReader`."""
        remaining_ms = self._deadline - self._clock.now()
        if remaining_ms <= 0:
            raise TimeoutError("no complete response within the time limit")
        self._connection.settimeout(min(remaining_ms, self._idle_timeout_ms) / 1e3)
        return self._connection.recv_into(buffer)


class BoundedConnection(http.client.HTTPConnection):
    """A connection for one exchange at a time, which never reconnects by itself.

    :param address: ``host:port``
    :param timeout_ms: timeout of each socket operation, in ms
    :param response_timeout_ms: time limit of a whole response, in ms
    :param max_bytes: largest body of a response
    :param clock: source of time
    """

    auto_open = 0

    def __init__(
        self,
        *,
        address,
        timeout_ms,
        response_timeout_ms,
        max_bytes=MAX_RESPONSE_BYTES,
        clock=None,
    ):
        super().__init__(address, timeout=timeout_ms / 1e3)
        self._clock = clock or SystemClock()
        self._timeout_ms = timeout_ms
        self._response_timeout_ms = response_timeout_ms
        self._max_bytes = max_bytes

    def exchange(self, method, target, *, body=None, headers=None):
        """Send a request and read its complete response.

        The connection must be closed after an error.

        :param method: HTTP method
        :param target: path and query
        :param body: request body, ``None`` without one
        :param headers: further headers by name
        :returns: :class:`monsoonline.adapters.http_response.FramedResponse`
        :raises OSError: when the connection is lost or a time limit is exceeded
        :raises http.client.HTTPException: when the response is invalid or too large
        """
        self.sock.settimeout(self.timeout)
        self.send(self._encode(method, target, body, headers or {}))
        reader = BoundedReader(
            connection=self.sock,
            clock=self._clock,
            deadline=self._clock.now() + self._response_timeout_ms,
            idle_timeout_ms=self._timeout_ms,
        )
        return read_framed_response(
            ResponseStream(reader),
            method=method,
            allow_close_delimited=True,
            max_bytes=self._max_bytes,
        )

    def _encode(self, method, target, body, headers):
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self.host}:{self.port}",
            "Accept-Encoding: identity",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        lines.append("\r\n")
        return "\r\n".join(lines).encode("latin-1") + (body or b"")
