"""Reads complete upstream responses with ``http.client`` and strict framing."""

import dataclasses
import http.client
import io
import re

from monsoonline.adapters.http_headers import remove_hop_by_hop
from monsoonline.types import Answer

__all__ = [
    "MAX_RESPONSE_BYTES",
    "FramedResponse",
    "ResponseStream",
    "StrictResponse",
    "read_framed_response",
    "read_response",
]

MAX_RESPONSE_BYTES = 8 << 20
MAX_HEADER_BYTES = 64 << 10
MAX_INTERIM_RESPONSES = 8
# Each chunk costs time to parse, however small it is.
MAX_CHUNKS = 1 << 17
MAX_CHUNK_LINE_BYTES = 1024
READ_SIZE_BYTES = 64 << 10
NO_BODY_STATUSES = frozenset((204, 304))
SWITCHING_PROTOCOLS = 101
# Longer reason phrases have no use.
MAX_STATUS_LINE_BYTES = 8 << 10
STATUS_LINE = re.compile(
    rb"(HTTP/1\.[01]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r\n"
)
HEADER_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t\x20-\x7e\x80-\xff]*)\r\n"
)
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
LENGTH = re.compile(r"[0-9]{1,15}")
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*([0-9]{1,6})")


class FramingError(http.client.HTTPException):
    """The framing of a response is invalid, so its end is not reliable."""


class ResponseStream(io.BufferedReader):
    """Buffered bytes of one exchange, readable after the end of the response.

    ``http.client`` closes the stream at the end of the response. Any bytes after it
    must still be detected, since the connection must then not be reused.
    """

    def makefile(self, mode):
        """Return the stream itself; ``http.client`` calls this as on a socket."""
        return self

    def close(self):
        """Keep the buffer and the socket, which belongs to the connection."""


class StrictResponse(http.client.HTTPResponse):
    """A response whose headers and framing are validated before the body is read.

    ``begin`` replaces the email parser of ``http.client``, which took most of the
    time of an exchange and accepts folded and malformed header lines.

    :param stream: the :class:`ResponseStream` of the exchange
    :param method: method of the request
    :param allow_close_delimited: whether the end of the connection may mark the end of
        a response without a length; a reset is always an error
    """

    def __init__(self, stream, *, method, allow_close_delimited=False):
        super().__init__(stream, method=method)
        self.header_pairs = ()
        self._allow_close_delimited = allow_close_delimited

    def begin(self):
        """Read the status line and headers of the final response."""
        for _ in range(MAX_INTERIM_RESPONSES):
            version, status, reason = self._read_status()
            header_pairs = self._read_header_pairs()
            if status >= 200 or status == SWITCHING_PROTOCOLS:
                break
        if status < 200:
            raise FramingError(f"no final response: status {status}")
        self.version = 11 if version == b"HTTP/1.1" else 10
        self.code = self.status = status
        self.reason = (reason or b"").decode("latin-1").strip()
        self.header_pairs = header_pairs
        self._read_framing()

    @property
    def close_delimited(self):
        """Whether the response has no length and ends with its connection."""
        return self.length is None and not self.chunked and not self.isclosed()

    def header_values(self, lower_name):
        """Return all values of a header, given its name in lower case."""
        return [
            value for name, value in self.header_pairs if name.lower() == lower_name
        ]

    def _read_status(self):
        """Return version, status and reason phrase.

        Replaces the method of ``http.client``, which reads the status with ``int`` and
        so accepts signs, underscores, further zeros and other white space.
        """
        line = self.fp.readline(MAX_STATUS_LINE_BYTES + 1)
        if not line:
            raise http.client.RemoteDisconnected("closed without a response")
        return parse_status_line(line)

    def _read_header_pairs(self):
        header_pairs = []
        remaining = MAX_HEADER_BYTES
        while True:
            line = self.fp.readline(remaining + 1)
            remaining -= len(line)
            if remaining < 0:
                raise FramingError(f"headers exceed {MAX_HEADER_BYTES} bytes")
            if line == b"\r\n":
                return header_pairs
            match = HEADER_LINE.fullmatch(line)
            if match is None:
                raise FramingError(f"invalid header line {line[:80]!r}")
            name, value = match.groups()
            header_pairs.append(
                (name.decode("ascii"), value.strip(b" \t").decode("latin-1"))
            )

    def _read_framing(self):
        connection = ",".join(self.header_values("connection")).lower()
        tokens = {token.strip() for token in connection.split(",")}
        self.will_close = "close" in tokens or (
            self.version == 10 and "keep-alive" not in tokens
        )
        codings = self.header_values("transfer-encoding")
        lengths = self.header_values("content-length")
        if len(lengths) > 1 or (lengths and codings):
            raise FramingError("the length of the response is given more than once")
        if lengths and not LENGTH.fullmatch(lengths[0]):
            raise FramingError(
                f"Content-Length {lengths[0]!r}, expected 1 to 15 digits"
            )
        if codings and (self.version == 10 or codings[0].lower() != "chunked"):
            raise FramingError(f"Transfer-Encoding {codings[0]!r}, expected 'chunked'")
        if len(codings) > 1:
            raise FramingError("Transfer-Encoding is repeated")
        self.chunked = False
        self.chunk_left = None
        if self._method == "HEAD" or self.status in NO_BODY_STATUSES:
            self.length = 0
        elif codings:
            self.chunked = True
            self.length = None
        elif lengths:
            self.length = int(lengths[0])
        elif self._allow_close_delimited:
            self.length = None
            self.will_close = True
        else:
            # Without a length, a lost connection looks like the end of the body.
            raise FramingError("the response has no Content-Length and is not chunked")

    def _get_chunk_left(self):
        """Return the bytes left in the chunk, or ``None`` after the last chunk.

        Replaces the method of ``http.client``, which accepts signs and underscores in
        chunk sizes and any two bytes as the end of a chunk.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left == 0 and self.fp.read(2) != b"\r\n":
            raise FramingError("a chunk does not end with CRLF")
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        match = CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise FramingError(f"invalid chunk size line {line[:80]!r}")
        self.chunk_left = int(match[1], 16)
        if self.chunk_left == 0:
            self._read_header_pairs()
            self._close_conn()
            self.chunk_left = None
        return self.chunk_left


def parse_status_line(line):
    """Return version, status and reason phrase of a status line.

    :param line: the line with its end
    :raises FramingError: when it is not valid
    """
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise FramingError(f"invalid status line {line[:80]!r}")
    version, status, reason = match.groups()
    return version, int(status), reason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FramedResponse:
    """A complete response with the connection options that it states.

    :param response: the :class:`monsoonline.types.Answer`
    :param keep_alive: whether the peer keeps the connection open
    :param keep_alive_timeout_ms: time in ms for which the peer keeps an idle connection
        open, ``None`` if the response does not state it
    """

    response: Answer
    keep_alive: bool
    keep_alive_timeout_ms: float | None


def read_framed_response(
    stream, *, method, allow_close_delimited=False, max_bytes=MAX_RESPONSE_BYTES
):
    """Read one complete response.

    :param stream: the :class:`ResponseStream` of the exchange
    :param method: method of the request
    :param allow_close_delimited: whether the end of the connection may mark the end of
        a response without a length
    :param max_bytes: largest body to accept
    :returns: a :class:`FramedResponse`
    :raises http.client.HTTPException: when the framing is invalid, or the response is
        truncated or has more than ``max_bytes``
    """
    parser = StrictResponse(
        stream, method=method, allow_close_delimited=allow_close_delimited
    )
    parser.begin()
    length = parser.length
    if (length or 0) > max_bytes:
        raise too_large(max_bytes)
    if parser.chunked:
        body = read_chunked_body(parser, max_bytes)
    else:
        body = parser.read(max_bytes + 1)
    if len(body) > max_bytes:
        raise too_large(max_bytes)
    if parser.close_delimited:
        # Only another read distinguishes the end of the connection from a pause.
        body += parser.read(1)
    # The parser takes the end of the connection before the first byte of a body for the
    # end of the response.
    if not parser.isclosed() or (length is not None and len(body) != length):
        raise http.client.IncompleteRead(body, (length or len(body)) - len(body))
    return frame_response(parser, body, method=method)


def frame_response(parser, body, *, method):
    """Return the :class:`FramedResponse` of a parsed head and its whole body.

    :param parser: the :class:`StrictResponse` that has parsed the head
    :param body: the body
    :param method: method of the request
    """
    headers = remove_hop_by_hop(parser.header_pairs)
    if method == "HEAD" or parser.status == 304:
        lengths = parser.header_values("content-length")
        headers += tuple(("Content-Length", length) for length in lengths)
    response = Answer(
        status=parser.status, reason=parser.reason, headers=headers, body=body
    )
    timeout = KEEP_ALIVE_TIMEOUT.search(",".join(parser.header_values("keep-alive")))
    return FramedResponse(
        response=response,
        keep_alive=not parser.will_close,
        keep_alive_timeout_ms=float(timeout[1]) * 1e3 if timeout else None,
    )


def read_chunked_body(parser, max_bytes):
    """Return the body of a chunked response, slightly more than ``max_bytes`` at most.

    ``HTTPResponse.read`` keeps an object for each chunk, many times the size of the
    body if the chunks are small.
    """
    body = bytearray()
    for _ in range(MAX_CHUNKS):
        part = parser.read1(READ_SIZE_BYTES)
        body += part
        if not part or len(body) > max_bytes:
            return bytes(body)
    raise FramingError(f"the response has more than {MAX_CHUNKS} chunks")


def too_large(max_bytes):
    """Return the error of a response with too large a body."""
    return FramingError(f"the response is larger than {max_bytes} bytes")


def read_response(stream, *, method):
    """Read one complete response, which must state its length.

    :returns: the :class:`Answer` and whether the peer keeps the connection open
    :raises http.client.HTTPException: as :func:`read_framed_response`
    """
    framed = read_framed_response(stream, method=method)
    return framed.response, framed.keep_alive
