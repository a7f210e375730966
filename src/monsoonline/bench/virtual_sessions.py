"""Sessions to fake upstreams, with the interface of ``adapters.upstream_sessions``."""

import itertools
import select

from monsoonline.adapters.upstream_sessions import SessionFailed, SessionPool
from monsoonline.bench.upstreams import Job, UpstreamMode
from monsoonline.core.header_names import HeaderNames
from monsoonline.types import Answer, AttemptKind, LoadReport

__all__ = ["NAMES", "VirtualNetwork", "VirtualSessionPool", "parse_load"]

NAMES = HeaderNames()
HEALTHY = 200
FAILED = 500
NOT_RUN = 503


def format_load(report):
    """Return a load report as the text of a header."""
    return f"{report.in_flight},{report.slots},{report.queued},{report.pace}"


def parse_load(text):
    """Return the :class:`monsoonline.types.LoadReport` of :func:`format_load`."""
    in_flight, slots, queued, pace = text.split(",")
    return LoadReport(
        in_flight=int(in_flight),
        slots=int(slots),
        queued=int(queued),
        pace=float(pace),
    )


class VirtualNetwork:
    """The ways from one entry to the upstreams.

    :param timeline: the :class:`monsoonline.bench.timeline.Timeline`
    :param sockets: mapping from descriptors to sessions, shared by all entries
    :param upstreams: the fake upstreams by address
    :param delay_ms: returns the one-way delay to an upstream
    """

    _descriptors = itertools.count(1)

    def __init__(self, *, timeline, sockets, upstreams, delay_ms):
        self._timeline = timeline
        self._sockets = sockets
        self._upstreams = upstreams
        self._delay_ms = delay_ms

    @property
    def now(self):
        """The virtual time in ms."""
        return self._timeline.now()

    def upstream(self, address):
        """Return the upstream at an address."""
        return self._upstreams[address]

    def add_socket(self, session):
        """Return a descriptor for a session."""
        descriptor = next(self._descriptors)
        self._sockets[descriptor] = session
        return descriptor

    def remove_socket(self, descriptor):
        """Forget the descriptor of a closed session."""
        self._sockets.pop(descriptor, None)

    def carry(self, upstream, action, *arguments):
        """Call something after the one-way delay."""
        self._timeline.after(self._delay_ms(upstream), action, *arguments)


class VirtualSession:
    """One connection to a fake upstream.

    :param address: ``host:port`` of the upstream
    :param network: the :class:`VirtualNetwork`
    """

    expired = False
    # Responses arrive whole.
    receiving_since = None
    paused_at = None

    def __init__(self, *, address, network):
        self._address = address
        self._network = network
        self._upstream = network.upstream(address)
        self._descriptor = None
        self._connect_error = None
        self._established = False
        self._probes = 0
        # Answers that have arrived: the kind of an attempt, or ``None`` for a probe,
        # and the load report.
        self._inbox = []
        self._job = None
        self.connected = False
        self.waiter = None

    @property
    def address(self):
        """``host:port`` of the upstream."""
        return self._address

    @property
    def connecting(self):
        """Whether the connection was begun and has not been finished."""
        return self._descriptor is not None and not self.connected

    @property
    def reusable(self):
        """Whether another request may be sent."""
        return self.connected and self._descriptor is not None

    def fileno(self):
        """Return the descriptor, for the poller."""
        return self._descriptor

    def ready(self, events):
        """Tell whether a poller has something to report."""
        if events & select.POLLOUT:
            return self._established or self._connect_error is not None
        return bool(self._inbox)

    def begin_connect(self):
        """Start to connect."""
        self._descriptor = self._network.add_socket(self)
        self._network.carry(self._upstream, self._arrive_connect)

    def end_connect(self):
        """Finish connecting.

        :raises SessionFailed: when the upstream refused
        """
        if self._connect_error:
            raise SessionFailed(f"{self._address}: {self._connect_error}", sent=False)
        self.connected = True

    def send_probe(self, probe, instance):
        """Send the question for the load."""
        del probe, instance
        self._probes += 1
        self._inbox.clear()
        self._network.carry(self._upstream, self._arrive_probe, self._probes)

    def read_probe(self):
        """Return the answer to the last question.

        :raises SessionFailed: when the connection was lost
        """
        kind, load = self._inbox.pop(0)
        if kind is not None:
            raise SessionFailed(f"{self._address}: {kind.value}", sent=True)
        return self._answer(HEALTHY, load)

    def send_request(self, request, *, headers, deadline):
        """Send a caller's request; its body states the work in ms."""
        del headers
        number, work_ms = request.body.decode().split()
        self._job = Job(
            number=int(number),
            work_ms=float(work_ms),
            deadline=deadline,
            reply=self._reply,
        )
        self._network.carry(self._upstream, self._upstream.submit, self._job)

    def read_request(self, request, request_id):
        """Return the answer to a request.

        :raises SessionFailed: when the connection was lost
        """
        del request, request_id
        kind, load = self._inbox.pop(0)
        self._job = None
        if kind is AttemptKind.SUCCEEDED:
            return self._answer(HEALTHY, load, (NAMES.signature, "1"))
        if kind is AttemptKind.SHED:
            return self._answer(NOT_RUN, load, (NAMES.not_run, "1"))
        if kind is AttemptKind.FAILED_RESPONSE:
            return self._answer(FAILED, load, (NAMES.signature, "1"))
        raise SessionFailed(f"{self._address}: {kind.value}", sent=True)

    def close(self):
        """Close the connection; the upstream drops its work."""
        if self._descriptor is None:
            return
        self._network.remove_socket(self._descriptor)
        self._descriptor = None
        self.connected = False
        if self._job is not None:
            self._network.carry(self._upstream, self._upstream.cancel, self._job)
            self._job = None

    def _answer(self, status, load, *headers):
        pairs = ((NAMES.instance, self._address), *headers)
        if load is not None:
            pairs += ((NAMES.load, format_load(load)),)
        return Answer(status=status, headers=pairs)

    def _arrive_connect(self):
        if self._upstream.mode is UpstreamMode.SILENT:
            return
        error = None
        if self._upstream.mode is UpstreamMode.STOPPED:
            error = "connection refused"
        self._network.carry(self._upstream, self._connect_answered, error)

    def _connect_answered(self, error):
        self._connect_error = error
        self._established = error is None
        self._wake()

    def _arrive_probe(self, number):
        if self._upstream.mode is UpstreamMode.STOPPED:
            self._network.carry(
                self._upstream, self._receive, AttemptKind.CONNECTION_LOST, None
            )
            return
        self._upstream.probe(
            lambda load: self._network.carry(
                self._upstream, self._receive_probe, number, load
            )
        )

    def _receive_probe(self, number, load):
        # The answer to an earlier question is skipped.
        if number == self._probes and self._job is None:
            self._receive(None, load)

    def _reply(self, kind, load, draining):
        del draining
        self._network.carry(self._upstream, self._receive, kind, load)

    def _receive(self, kind, load):
        if self._descriptor is not None:
            self._inbox.append((kind, load))
            self._wake()

    def _wake(self):
        if self.waiter is not None:
            self.waiter()


class VirtualSessionPool(SessionPool):
    """Idle sessions of one entry.

    :param network: the :class:`VirtualNetwork`
    :param clock: the timeline
    """

    def __init__(self, *, network, clock):
        super().__init__(clock=clock, names=NAMES)
        self._network = network

    def open_new(self, address):
        """Return a new session that is not connected."""
        return VirtualSession(address=address, network=self._network)
