"""Assembles responses from the bytes that arrive, without waiting for them."""

import http.client
import io
import re
import threading

from monsoonline.adapters.http_response import (
    CHUNK_SIZE,
    HEADER_LINE,
    MAX_CHUNK_LINE_BYTES,
    MAX_CHUNKS,
    MAX_HEADER_BYTES,
    MAX_INTERIM_RESPONSES,
    SWITCHING_PROTOCOLS,
    FramingError,
    StrictResponse,
    frame_response,
    parse_status_line,
    too_large,
)

__all__ = ["ResponseAssembler"]

# Largest ratio of a chunked body to its data.
CHUNKED_OVERHEAD = 2

COPYING = threading.Lock()
INTERIM_STATUS = re.compile(rb"HTTP/1\.[01] 1")


class ResponseBytes(io.BytesIO):
    """Bytes of a response with the interface that ``http.client`` needs of a socket."""

    def makefile(self, mode):
        """Return the stream itself; ``http.client`` calls this as on a socket."""
        return self

    def close(self):
        """Keep the bytes; ``http.client`` closes the stream at the end of a body."""


class HeadScanner:
    """Finds the end of the head of a final response, and checks each complete line."""

    def __init__(self):
        self._line_start = 0
        self._head_start = 0
        self._status = None
        self._interim_responses = 0

    def find_end(self, content):
        """Return the length of the heads up to the final one, ``None`` if incomplete.

        :param content: all bytes of the response so far
        :raises FramingError: when a line is not valid, or there are too many
        """
        if self._line_start == 0 and not INTERIM_STATUS.match(content):
            # The usual case: all lines have arrived, and the parser checks them.
            head_length = content.find(b"\r\n\r\n", 0, MAX_HEADER_BYTES) + 4
            if head_length >= 4:
                return head_length
        while True:
            line_end = content.find(b"\n", self._line_start) + 1
            received = line_end or len(content)
            if received - self._head_start > MAX_HEADER_BYTES:
                raise FramingError(f"headers exceed {MAX_HEADER_BYTES} bytes")
            if not line_end:
                return None
            line = bytes(content[self._line_start : line_end])
            self._line_start = line_end
            if self._status is None:
                self._read_status(line)
            elif line == b"\r\n":
                if self._status >= 200 or self._status == SWITCHING_PROTOCOLS:
                    return line_end
                self._begin_next_head(line_end)
            elif HEADER_LINE.fullmatch(line) is None:
                raise FramingError(f"invalid header line {line[:80]!r}")

    def _read_status(self, line):
        _, self._status, _ = parse_status_line(line)

    def _begin_next_head(self, start):
        self._interim_responses += 1
        if self._interim_responses >= MAX_INTERIM_RESPONSES:
            raise FramingError(f"{MAX_INTERIM_RESPONSES} interim responses")
        self._status = None
        self._head_start = start


class ChunkScanner:
    """Finds the end of a chunked body.

    :param start: offset of the body
    :param max_bytes: largest body to accept
    """

    def __init__(self, *, start, max_bytes):
        self._position = start
        self._max_bytes = max_bytes
        self._body_bytes = 0
        self._trailers_start = None
        self._chunks = 0

    def find_end(self, content):
        """Return the offset of the end of the body, ``None`` if it is incomplete.

        :param content: all bytes of the response so far
        :raises FramingError: when a chunk line is not valid, or there are too many
        """
        if self._trailers_start is None and not self._find_trailers(content):
            return None
        return self._find_end_of_trailers(content)

    def _find_trailers(self, content):
        """Return whether the last chunk has arrived.

        Attributes are kept in local variables, since chunks may be as small as a byte.
        """
        position, chunks, body_bytes = self._position, self._chunks, self._body_bytes
        max_bytes, match_line = self._max_bytes, CHUNK_SIZE.match
        size = None
        while size != 0:
            line = match_line(content, position, position + MAX_CHUNK_LINE_BYTES)
            if line is None:
                break
            chunks += 1
            size = int(line[1], 16)
            body_bytes += size
            if chunks > MAX_CHUNKS or body_bytes > max_bytes:
                break
            position = line.end()
            if size:
                position += size + len(b"\r\n")
        self._position, self._chunks, self._body_bytes = position, chunks, body_bytes
        if chunks > MAX_CHUNKS:
            raise FramingError(f"the response has more than {MAX_CHUNKS} chunks")
        if body_bytes > max_bytes:
            raise too_large(max_bytes)
        if size != 0:
            self._check_incomplete_line(content)
            return False
        self._trailers_start = position
        return True

    def _check_incomplete_line(self, content):
        """Check what has arrived of a chunk line.

        :raises FramingError: when the line is complete, and so not valid, or too long
        """
        if self._position < len(content):
            line = self._next_line(content, MAX_CHUNK_LINE_BYTES)
            if line is not None:
                raise FramingError(f"invalid chunk size line {line[:80]!r}")

    def _find_end_of_trailers(self, content):
        while True:
            remaining = MAX_HEADER_BYTES - (self._position - self._trailers_start)
            line = self._next_line(content, remaining)
            if line is None:
                return None
            self._position += len(line)
            if line == b"\r\n":
                return self._position

    def _next_line(self, content, max_bytes):
        end = content.find(b"\n", self._position) + 1
        length = (end or len(content)) - self._position
        if length > max_bytes:
            raise FramingError(f"a line of a chunked body exceeds {max_bytes} bytes")
        return bytes(content[self._position : end]) if end else None


class ResponseAssembler:
    """Collects bytes of one connection and returns the complete responses in them.

    :param memory: :class:`monsoonline.core.memory_account.MemoryHolder` of the
        connection
    """

    def __init__(self, *, memory):
        self._memory = memory
        self._content = bytearray()
        self._ended = False
        self._begin_response()

    @property
    def empty(self):
        """Whether no byte has arrived that belongs to no returned response."""
        return not self._content

    def feed(self, content):
        """Add bytes that have arrived."""
        self._content += content
        self._memory.force(len(self._content))

    def feed_end(self):
        """Record that the peer has closed the connection."""
        self._ended = True

    def take(self, *, method, max_bytes):
        """Return the next response, ``None`` while it is incomplete.

        :param method: method of the request
        :param max_bytes: largest body to accept
        :returns: :class:`monsoonline.adapters.http_response.FramedResponse`
        :raises http.client.HTTPException: when the response is invalid, too large, or
            cut off by the end of the connection
        """
        end = self._find_end(method, max_bytes)
        if end is None:
            if self._ended:
                raise http.client.IncompleteRead(bytes(self._content[:80]))
            return None
        parser = self._parser
        # One copy at a time, since a copy is not counted.
        with COPYING:
            body = self._take_body(end)
        self._begin_response()
        return frame_response(parser, body, method=method)

    def _take_body(self, end):
        """Remove a response from the received bytes and return its body."""
        body_end = end
        if self._parser.chunked:
            body_end = join_chunks(self._content, self._head_end)
        with memoryview(self._content) as view:
            body = bytes(view[self._head_end : body_end])
        del self._content[:end]
        return body

    def _begin_response(self):
        self._memory.release()
        self._memory.force(len(self._content))
        self._head_scanner = HeadScanner()
        self._head_end = None
        self._parser = None
        self._chunk_scanner = None

    def _find_end(self, method, max_bytes):
        """Return the length of the next response, ``None`` while it is incomplete."""
        if self._head_end is None:
            self._head_end = self._head_scanner.find_end(self._content)
            if self._head_end is None:
                return None
            head = bytes(self._content[: self._head_end])
            self._parser = parse_head(head, method=method)
            self._chunk_scanner = ChunkScanner(
                start=self._head_end, max_bytes=max_bytes
            )
        length = self._parser.length
        arrived = len(self._content) - self._head_end
        if length is not None:
            if length > max_bytes:
                raise too_large(max_bytes)
            return self._head_end + length if arrived >= length else None
        if self._parser.chunked:
            if arrived > CHUNKED_OVERHEAD * max_bytes + MAX_HEADER_BYTES:
                raise too_large(max_bytes)
            return self._chunk_scanner.find_end(self._content)
        if arrived > max_bytes:
            raise too_large(max_bytes)
        return len(self._content) if self._ended else None


def join_chunks(content, start):
    """Move the data of a complete chunked body together, in place.

    :param content: bytearray with the body
    :param start: offset of the body
    :returns: offset of the end of the data
    :raises FramingError: when the body is not valid
    """
    position = data_end = start
    while True:
        line_end = content.index(b"\n", position) + 1
        size = int(CHUNK_SIZE.fullmatch(content[position:line_end])[1], 16)
        position = line_end
        if not size:
            check_trailers(content, position)
            return data_end
        with memoryview(content) as view:
            view[data_end : data_end + size] = view[position : position + size]
        data_end += size
        position += size
        if content[position : position + 2] != b"\r\n":
            raise FramingError("a chunk does not end with CRLF")
        position += 2


def check_trailers(content, position):
    """Check the trailers of a complete chunked body.

    :raises FramingError: when a line is not valid
    """
    while content[position : position + 2] != b"\r\n":
        line_end = content.index(b"\n", position) + 1
        line = bytes(content[position:line_end])
        if HEADER_LINE.fullmatch(line) is None:
            raise FramingError(f"invalid header line {line[:80]!r}")
        position = line_end


def parse_head(content, *, method):
    """Return the parser of a response after its head.

    :param content: bytes that begin with the complete head
    """
    parser = StrictResponse(
        ResponseBytes(content), method=method, allow_close_delimited=True
    )
    parser.begin()
    return parser
