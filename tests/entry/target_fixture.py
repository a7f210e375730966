"""An upstream that reports its load and answers requests as a test decides."""

import time

from monsoonline.core.header_names import HeaderNames
from monsoonline.types import LoadReport
from tests.adapters.scripted_upstream import Reply, ScriptedUpstream, header_of

NAMES = HeaderNames()
HEALTH_PATH = "/health"


def parse_load(text):
    """Return the report of ``running,waiting,slots,pace`` as the target writes it."""
    running, waiting, slots, pace = text.split(",")
    return LoadReport(
        in_flight=int(running), queued=int(waiting), slots=int(slots), pace=float(pace)
    )


class Target:
    """One target.

    :param instance: its id
    :param names: the headers that it speaks
    :param replies: called with the number of the request and its raw bytes; returns a
        :class:`Reply`, ``None`` to stay silent, or the arguments of :meth:`answer`
    :param load: the load that it reports
    """

    def __init__(self, instance, *, replies=None, load="0,0,3,1.0", names=NAMES):
        self._names = names
        self.instance = instance
        self.load = load
        self.ran = []
        # Whether requests get an answer; connections are accepted all the same.
        self.answers = True
        # Connections up to this number get no answer any more.
        self.silent_connections = 0
        self._replies = replies or (lambda number, request: {})
        self._upstream = ScriptedUpstream(script=self._serve)

    @property
    def address(self):
        return self._upstream.address

    def silence(self):
        """Give no more answers on the connections that are open."""
        self.silent_connections = self._upstream.connections

    def close(self):
        self._upstream.close()

    def answer(self, request, *, status=200, body=b"done", headers=(), delay_ms=0.0):
        """Return a signed answer to a request."""
        time.sleep(delay_ms / 1e3)
        lines = [
            f"HTTP/1.1 {status} X",
            f"{self._names.request_id}: {header_of(request, self._names.request_id)}",
            f"{self._names.signature}: s",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        return Reply(content="\r\n".join([*lines, "\r\n"]).encode() + body)

    def refuse(self, *, status=503):
        """Return the statement that a request did not run."""
        return (
            f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{self._names.not_run}: 1\r\n"
        )

    def _serve(self, connection, number):
        request = self._upstream.last_request()
        if connection <= self.silent_connections or not self.answers:
            return None
        if request.startswith(f"GET {HEALTH_PATH} ".encode()):
            return self._report(request)
        self.ran.append(request)
        reply = self._replies(len(self.ran), request)
        if isinstance(reply, dict):
            return self.answer(request, **reply)
        if isinstance(reply, str):
            own = header_of(request, self._names.request_id)
            return Reply(
                content=f"{reply}{self._names.request_id}: {own}\r\n\r\n".encode()
            )
        return reply

    def _report(self, request):
        own = header_of(request, self._names.request_id)
        return Reply(
            content=(
                f"HTTP/1.1 200 OK\r\n{self._names.request_id}: {own}\r\n"
                f"{self._names.instance}: {self.instance}\r\n"
                f"{self._names.load}: {self.load}\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        )
