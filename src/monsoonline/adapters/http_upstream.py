"""Exchanges with upstreams over pooled ``http.client`` connections."""

import collections
import http.client
import socket
import threading

from monsoonline.types import Answer

__all__ = ["ExchangeFailed", "HttpUpstreamTransport"]

MAX_ANSWER_BYTES = 8 << 20
# A request that must not run twice starts only on a connection whose last clean
# exchange is not older than this; otherwise a new connection costs about 1 ms.
PROOF_AGE_MS = 1000.0
IDLE_LIMIT_MS = 30_000.0
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)


class ExchangeFailed(Exception):
    """An exchange gave no whole answer.

    :param message: text for people
    :param sent: whether any byte of the request may have been written
    :param timed_out: whether the deadline ended it
    """

    def __init__(self, message, *, sent, timed_out=False):
        super().__init__(message)
        self._sent = sent
        self._timed_out = timed_out

    @property
    def sent(self):
        """Whether any byte of the request may have been written."""
        return self._sent

    @property
    def timed_out(self):
        """Whether the deadline ended the exchange."""
        return self._timed_out


class HttpUpstreamTransport:
    """Sends requests to upstreams and reads whole answers.

    :param clock: source of time
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._idle = collections.defaultdict(collections.deque)
        self._lock = threading.Lock()

    def exchange(self, upstream, request, *, deadline, idempotent):
        """Send a request and read the whole answer.

        :param upstream: the :class:`monsoonline.core.model.Upstream`
        :param request: the :class:`monsoonline.types.Request`
        :param deadline: instant in ms
        :param idempotent: whether an unproved connection may be used
        :returns: :class:`monsoonline.types.Answer`
        :raises ExchangeFailed: when there is no whole answer
        """
        connection = self._checkout(upstream.address, idempotent=idempotent)
        sent = False
        try:
            connection.timeout = self._remaining_seconds(deadline)
            if connection.sock is None:
                connection.connect()
            connection.sock.settimeout(connection.timeout)
            sent = True
            self._send(connection, request)
            answer, reusable = self._receive(connection)
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise ExchangeFailed(
                f"{upstream.address}: {error!r}",
                sent=sent,
                timed_out=isinstance(error, TimeoutError),
            ) from error
        if reusable:
            self._check_in(upstream.address, connection)
        else:
            connection.close()
        return answer

    def _remaining_seconds(self, deadline):
        remaining = (deadline - self._clock.now()) / 1e3
        if remaining <= 0:
            raise TimeoutError("deadline passed")
        return remaining

    def _checkout(self, address, *, idempotent):
        limit = IDLE_LIMIT_MS if idempotent else PROOF_AGE_MS
        now = self._clock.now()
        with self._lock:
            idle = self._idle[address]
            while idle:
                connection, proved = idle.pop()
                if now - proved <= limit:
                    return connection
                connection.close()
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port))
        # A resend by the library would run a request twice.
        connection.auto_open = 0
        return connection

    def _check_in(self, address, connection):
        with self._lock:
            self._idle[address].append((connection, self._clock.now()))

    @staticmethod
    def _send(connection, request):
        connection.putrequest(
            request.method, request.target, skip_host=True, skip_accept_encoding=True
        )
        for name, value in request.headers:
            if name.lower() not in HOP_BY_HOP:
                connection.putheader(name, value)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            connection.putheader("Content-Length", str(len(request.body)))
        connection.endheaders(request.body or None)
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @staticmethod
    def _receive(connection):
        response = connection.getresponse()
        body = response.read(MAX_ANSWER_BYTES + 1)
        if len(body) > MAX_ANSWER_BYTES or not response.isclosed():
            raise ValueError(f"answer is larger than {MAX_ANSWER_BYTES} bytes")
        headers = tuple(
            (name, value)
            for name, value in response.getheaders()
            if name.lower() not in HOP_BY_HOP
        )
        answer = Answer(
            status=response.status, reason=response.reason, headers=headers, body=body
        )
        return answer, not response.will_close
