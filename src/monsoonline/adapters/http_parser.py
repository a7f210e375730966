"""Strict checks on top of waitress's request parser, and repeated headers kept."""

import re
import urllib.parse

from waitress.parser import (
    HTTPRequestParser,
    ParsingError,
    TransferEncodingNotImplemented,
)

from monsoonline.adapters.http_headers import end_to_end
from monsoonline.types import Request

__all__ = ["METHODS", "CheckedRequestParser", "request_of"]

METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))
VERSIONS = frozenset(("1.0", "1.1"))
TARGET = re.compile(r"[\x21-\x7e]+")
HOST = re.compile(r"[A-Za-z0-9._\-]*(?::[0-9]*)?|\[[0-9A-Fa-f:.]+\](?::[0-9]*)?")


class CheckedRequestParser(HTTPRequestParser):
    """Refuses requests that two HTTP parsers could read differently.

    waitress joins repeated headers and lets chunking override a length. Both
    differ between implementations, which is what request smuggling uses.
    """

    pairs = ()
    host = ""

    def parse_header(self, header_plus):
        """Parse and check the request line and the headers.

        :raises ParsingError: for a request that is not valid (400)
        :raises TransferEncodingNotImplemented: for an unknown method or coding (501)
        """
        self.pairs = self._split(header_plus)
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
    def _split(header_plus):
        pairs = []
        for line in header_plus.split(b"\r\n")[1:]:
            if line[:1] in (b" ", b"\t"):
                raise ParsingError("a header line is folded")
            name, _, value = line.partition(b":")
            # waitress ignores names with an underscore, because CGI-like servers
            # take them for names with a hyphen; they are not passed on either.
            if name and b"_" not in name:
                pairs.append(
                    (name.decode("latin-1"), value.strip(b" \t").decode("latin-1"))
                )
        return pairs

    def _values(self, wanted):
        return [value for name, value in self.pairs if name.lower() == wanted]

    def _check_framing(self):
        codings = self._values("transfer-encoding")
        lengths = self._values("content-length")
        if len(lengths) > 1:
            raise ParsingError("Content-Length is repeated")
        if not codings:
            return
        if lengths:
            raise ParsingError("both Content-Length and Transfer-Encoding are given")
        if self.version != "1.1" or len(codings) > 1 or codings[0].lower() != "chunked":
            raise ParsingError("Transfer-Encoding is not exactly 'chunked'")

    def _check_target(self):
        hosts = self._values("host")
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
            self.pairs = [p for p in self.pairs if p[0].lower() != "host"]
            self.pairs.append(("Host", host))
        if not HOST.fullmatch(host):
            raise ParsingError("the Host is not valid")
        self.host = host
        self.request_uri = target.partition("#")[0]


def host_name(host):
    """Return the lower-case host of ``host:port``, brackets of IPv6 kept."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def request_of(parsed, *, cancellation=None):
    """Build the request value from a completed parser.

    :param parsed: a completed :class:`CheckedRequestParser`
    :param cancellation: cancels the request when its caller is gone
    :returns: :class:`monsoonline.types.Request` with the whole body
    """
    receiver = parsed.body_rcv
    return Request(
        method=parsed.command,
        host=host_name(parsed.host),
        target=parsed.request_uri,
        headers=end_to_end(parsed.pairs),
        body=receiver.getfile().read() if receiver is not None else b"",
        cancellation=cancellation,
    )
