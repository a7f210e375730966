"""Request parser that adds strict checks to waitress and keeps repeated headers."""

import re
import urllib.parse

from waitress.parser import (
    HTTPRequestParser,
    ParsingError,
    TransferEncodingNotImplemented,
)
from waitress.utilities import BadRequest, Error, RequestEntityTooLarge

from monsoonline.adapters.http_headers import remove_hop_by_hop
from monsoonline.core.memory_account import MemoryRefused
from monsoonline.types import Request

__all__ = ["METHODS", "BodiesTooLarge", "StrictRequestParser", "to_request"]

METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))
VERSIONS = frozenset(("1.0", "1.1"))
TARGET = re.compile(r"[\x21-\x7e]+")
# Memory of the parsed form of a header line.
HEADER_LINE_BYTES = 256
# Longest line before a chunk of a body, and longest trailers after it.
MAX_CHUNK_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 16 << 10
# Largest ratio of a chunked body to its data, checked after the first bytes.
MAX_CHUNKED_RATIO = 8
MIN_CHUNKED_BYTES = 64 << 10
HOST = re.compile(r"[A-Za-z0-9._\-]*(?::[0-9]*)?|\[[0-9A-Fa-f:.]+\](?::[0-9]*)?")


class BodiesTooLarge(Error):
    """The messages in progress leave no memory for another request."""

    code = 503
    reason = "Service Unavailable"


class StrictRequestParser(HTTPRequestParser):
    """Rejects requests that HTTP implementations could parse differently.

    waitress joins repeated headers and lets chunked coding override Content-Length.
    Request smuggling exploits that implementations differ in both.

    :param adj: adjustments of waitress with ``max_body_bytes``, the limit of a body
        without its framing
    :param memory: :class:`monsoonline.core.memory_account.MemoryHolder` of the
        connection, ``None`` for a request that is not counted
    """

    header_pairs = ()
    host = ""
    path = ""

    def __init__(self, adj, *, memory=None):
        super().__init__(adj)
        self._memory = memory
        self._head_bytes = 0

    def received(self, data):
        """Parse received bytes and count those that are kept; called by waitress."""
        try:
            consumed = super().received(data)
            if self.headers_finished:
                self.header_plus = b""
            if self.error is None:
                self._check_body()
                self._count_memory()
        except MemoryRefused as error:
            self.refuse(str(error))
        except ValueError:
            # Another thread has closed the buffer of a request that gave way.
            if self._memory is None or not self._memory.gave_way:
                raise
            self.refuse("the request gave way to others")
            consumed = len(data)
        return consumed

    def refuse(self, message):
        """Drop what was received; the request is refused for want of memory."""
        self.close()
        self._fail(BodiesTooLarge(message))

    def close(self):
        """Release the request; called by waitress after the response."""
        self.drop_body()
        if self._memory is not None:
            self._memory.release()

    def drop_body(self):
        """Free the memory of the body."""
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()

    def _check_body(self):
        """Refuse a body that is too large, or framing that is much larger than it."""
        receiver = self.body_rcv
        if receiver is None:
            return
        body_bytes = len(receiver) if self.chunked else self.content_length
        if body_bytes > self.adj.max_body_bytes:
            self._fail(
                RequestEntityTooLarge(f"exceeds {self.adj.max_body_bytes} bytes")
            )
        elif self.chunked and (
            len(receiver.control_line) > MAX_CHUNK_LINE_BYTES
            or len(receiver.trailer) > MAX_TRAILER_BYTES
            or self.body_bytes_received
            > MIN_CHUNKED_BYTES + MAX_CHUNKED_RATIO * body_bytes
        ):
            self._fail(BadRequest("the framing of the chunked body is too large"))

    def _fail(self, error):
        self.error = error
        self.expect_continue = False
        self.completed = True

    def _count_memory(self):
        if self._memory is not None:
            body_bytes = len(self.body_rcv) if self.body_rcv is not None else 0
            self._memory.resize(len(self.header_plus) + self._head_bytes + body_bytes)

    def parse_header(self, header_plus):
        """Parse and check the request line and the headers.

        :raises ParsingError: for an invalid request (status 400)
        :raises TransferEncodingNotImplemented: for an unsupported method or transfer
            coding (status 501)
        """
        self.header_pairs = self._split_headers(header_plus)
        self._head_bytes = len(header_plus) + HEADER_LINE_BYTES * len(self.header_pairs)
        super().parse_header(header_plus)
        if self.version not in VERSIONS:
            raise ParsingError(f"HTTP version {self.version!r}, expected 1.0 or 1.1")
        if self.command not in METHODS:
            raise TransferEncodingNotImplemented(
                f"method {self.command!r} is not supported"
            )
        self._check_framing()
        self._check_target()

    @staticmethod
    def _split_headers(header_plus):
        header_pairs = []
        for line in header_plus.split(b"\r\n")[1:]:
            if line[:1] in (b" ", b"\t"):
                raise ParsingError("a header line is folded")
            name, _, value = line.partition(b":")
            # waitress ignores names with an underscore, since CGI-like servers cannot
            # distinguish them from names with a hyphen. They are not forwarded either.
            if name and b"_" not in name:
                header_pairs.append(
                    (name.decode("latin-1"), value.strip(b" \t").decode("latin-1"))
                )
        return header_pairs

    def _header_values(self, lower_name):
        return [
            value for name, value in self.header_pairs if name.lower() == lower_name
        ]

    def _check_framing(self):
        codings = self._header_values("transfer-encoding")
        lengths = self._header_values("content-length")
        if len(lengths) > 1:
            raise ParsingError("Content-Length is repeated")
        if not codings:
            return
        if lengths:
            raise ParsingError("both Content-Length and Transfer-Encoding are given")
        if self.version != "1.1" or len(codings) > 1 or codings[0].lower() != "chunked":
            raise ParsingError("Transfer-Encoding is not exactly 'chunked'")

    def _check_target(self):
        hosts = self._header_values("host")
        if len(hosts) > 1 or (not hosts and self.version == "1.1"):
            raise ParsingError("exactly one Host header is required")
        host = hosts[0] if hosts else ""
        target = self.request_uri
        if not TARGET.fullmatch(target):
            raise ParsingError("the request target has characters that are not valid")
        if not target.startswith("/") and target != "*":
            parts = urllib.parse.urlsplit(target)
            if parts.scheme not in ("http", "https") or not parts.netloc:
                raise ParsingError("the request target is not a path")
            host = parts.netloc
            query = f"?{parts.query}" if parts.query else ""
            target = (parts.path or "/") + query
            self.header_pairs = [p for p in self.header_pairs if p[0].lower() != "host"]
            self.header_pairs.append(("Host", host))
        if not HOST.fullmatch(host):
            raise ParsingError("the Host is not valid")
        self.host = host
        self.request_uri = target.partition("#")[0]


def host_name(host):
    """Return the lower-case host of ``host:port``, with brackets if it is IPv6."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def to_request(parsed, *, cancellation=None, memory=None):
    """Convert a completed parser to a request.

    :param parsed: a completed :class:`StrictRequestParser`
    :param cancellation: the :class:`monsoonline.adapters.cancellation.Cancellation` of
        the request, ``None`` for a request that is never cancelled
    :param memory: :class:`monsoonline.core.memory_account.MemoryHolder` of the request
    :returns: :class:`monsoonline.types.Request` with the whole body
    """
    body_receiver = parsed.body_rcv
    return Request(
        method=parsed.command,
        host=host_name(parsed.host),
        target=parsed.request_uri,
        headers=remove_hop_by_hop(parsed.header_pairs),
        # The value of the file is not copied, unlike what is read from it.
        body=body_receiver.getfile().getvalue() if body_receiver is not None else b"",
        cancellation=cancellation,
        memory=memory,
    )
