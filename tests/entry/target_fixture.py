"""An upstream with a reported load and responses that a test defines."""

import threading
import time

from monsoonline.core.header_names import HeaderNames
from monsoonline.types import LoadReport
from tests.adapters.scripted_upstream import Reply, ScriptedUpstream, header_of

NAMES = HeaderNames()
HEALTH_PATH = "/health"


def parse_load(text):
    """Parse the load header of a target, ``running,waiting,slots,pace``."""
    running, waiting, slots, pace = text.split(",")
    return LoadReport(
        in_flight=int(running), queued=int(waiting), slots=int(slots), pace=float(pace)
    )


class Target:
    """A scripted upstream on loopback.

    :param instance: identifier of the instance
    :param names: names of the headers that it reads and writes
    :param replies: called with the number of the request and its raw bytes; returns a
        :class:`Reply`, ``None`` for no response, the arguments of :meth:`respond`, or
        the head of a response without its request id
    :param load: value of its load header
    :param health_path: path of its probes; it runs those with another path
    """

    def __init__(
        self,
        instance,
        *,
        replies=None,
        load="0,0,3,1.0",
        names=NAMES,
        health_path=HEALTH_PATH,
    ):
        self._names = names
        self._health_path = health_path
        self.instance = instance
        self.load = load
        # Value of its limit header, ``None`` to send none.
        self.limit = None
        # Whether all its responses say that it leaves.
        self.leaving = False
        # Raw bytes of the requests that were executed, and when they arrived, in s.
        self.executed = []
        self.executed_at = []
        self.probed_at = []
        # Whether requests and probes get a response; connections are always accepted.
        self.responsive = True
        # Time for which it works on each request, unless the reply names another one.
        self.work_ms = 0.0
        # Status of its probe responses, and their Retry-After, ``None`` to send none.
        self.probe_status = 200
        self.probe_retry_after = None
        # Number of the next probe responses that announce the close of the connection.
        self.closing_probes = 0
        # Requests on connections up to this number get no response.
        self.unresponsive_connections = 0
        self.replies = replies or (lambda number, request: {})
        self._serving = threading.local()
        self._upstream = ScriptedUpstream(script=self._serve)

    @property
    def address(self):
        return self._upstream.address

    @property
    def connection(self):
        """Number of the connection of the request that is being served."""
        return self._serving.connection

    def make_connections_unresponsive(self):
        """Stop responding on the connections that are open now."""
        self.unresponsive_connections = self._upstream.connections

    def close(self):
        self._upstream.close()

    def respond(self, request, *, status=200, body=b"done", headers=(), delay_ms=0.0):
        """Return a signed response to a request."""
        time.sleep(delay_ms / 1e3)
        lines = [
            f"HTTP/1.1 {status} X",
            f"{self._names.request_id}: {header_of(request, self._names.request_id)}",
            f"{self._names.signature}: s",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
            *self._notice_lines(),
        ]
        return Reply(content="\r\n".join([*lines, "\r\n"]).encode() + body)

    def refuse(self, *, status=503, retry_after=None):
        """Return the head of a certified refusal: the request did not run."""
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{self._names.not_run}: 1\r\n"
        )
        if retry_after is not None:
            head += f"Retry-After: {retry_after}\r\n"
        return head + "".join(f"{line}\r\n" for line in self._notice_lines())

    def _notice_lines(self):
        lines = [] if self.limit is None else [f"{self._names.limit}: {self.limit}"]
        return lines + ([f"{self._names.leaving}: 1"] if self.leaving else [])

    def _serve(self, connection, number):
        request = self._upstream.last_request()
        self._serving.connection = connection
        if connection <= self.unresponsive_connections or not self.responsive:
            return None
        if request.startswith(f"GET {self._health_path} ".encode()):
            self.probed_at.append(time.monotonic())
            return self._report(request)
        intended = header_of(request, self._names.intended_instance)
        if intended not in (None, self.instance):
            return self._identified(self.refuse(status=421), request)
        self.executed.append(request)
        self.executed_at.append(time.monotonic())
        reply = self.replies(len(self.executed), request)
        if isinstance(reply, dict):
            return self.respond(request, **({"delay_ms": self.work_ms} | reply))
        if isinstance(reply, str):
            return self._identified(reply, request)
        return reply

    def _identified(self, head, request):
        """Return the reply with a head, completed by the id of a request."""
        echo_id = header_of(request, self._names.request_id)
        return Reply(
            content=f"{head}{self._names.request_id}: {echo_id}\r\n\r\n".encode()
        )

    def _report(self, request):
        echo_id = header_of(request, self._names.request_id)
        close = self.closing_probes > 0
        self.closing_probes -= close
        return Reply(
            close=close,
            content=(
                f"HTTP/1.1 {self.probe_status} X\r\n"
                f"{self._names.request_id}: {echo_id}\r\n"
                + ("Connection: close\r\n" if close else "")
                + f"{self._names.instance}: {self.instance}\r\n"
                f"{self._names.load}: {self.load}\r\n"
                + (
                    f"Retry-After: {self.probe_retry_after}\r\n"
                    if self.probe_retry_after is not None
                    else ""
                )
                + "".join(f"{line}\r\n" for line in self._notice_lines())
                + "Content-Length: 0\r\n\r\n"
            ).encode(),
        )
