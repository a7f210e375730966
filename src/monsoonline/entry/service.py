"""Composition of one entry process."""

import logging
import threading

import orjson

from monsoonline.adapters.http_server import HttpServer
from monsoonline.adapters.http_upstream import HttpUpstreamTransport
from monsoonline.adapters.platform import PlatformClient
from monsoonline.clock import SystemClock
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.ledger import Ledger
from monsoonline.core.routing import RouteTable
from monsoonline.entry.discovery import Discovery
from monsoonline.entry.keys import KeyDirectory
from monsoonline.entry.lifecycle import (
    EntryState,
    Lifecycle,
    PauseDetector,
    StopTimes,
)
from monsoonline.entry.relay import Relay
from monsoonline.errors import StoreUnavailable
from monsoonline.metrics import Metrics
from monsoonline.ports import Member
from monsoonline.types import Answer

__all__ = ["EntryService"]

POLL_INTERVAL_MS = 1000.0
OPERATIONS_WORKERS = 4

logger = logging.getLogger(__name__)


class EntryService:
    """One entry: callers' port, operations port and the upkeep of its tables.

    :param settings: :class:`monsoonline.settings.EntrySettings`
    :param clock: source of time
    :param connect_peers: called with this entry's :class:`Member`, returns its
        :class:`monsoonline.ports.PeerNetwork`; ``None`` for a single entry
    """

    def __init__(self, *, settings, clock=None, connect_peers=None):
        self._settings = settings
        self._clock = clock or SystemClock()
        self._metrics = Metrics()
        self._peers = None
        self._detector = PauseDetector(
            clock=self._clock, on_pause=lambda gap_ms: self._publish_state()
        )
        self._callers = HttpServer(
            handler=self._handle_caller,
            host=settings.callers.host,
            port=settings.callers.port,
            workers=settings.workers,
        )
        self._lifecycle = Lifecycle(
            clock=self._clock,
            times=StopTimes(
                lifetime_ms=settings.discovery_lifetime_ms, **settings.stop.model_dump()
            ),
            server=self._callers,
            close_keys=lambda: self._ledger.close(),
            hand_over=lambda: self._keys.hand_over(),
            on_state=self._on_state,
            detector=self._detector,
        )
        self._ledger = Ledger(clock=self._clock, admission=self._lifecycle.admit)
        self._peers = connect_peers(self._own_member()) if connect_peers else None
        self._keys = KeyDirectory(
            ledger=self._ledger,
            peers=self._peers,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._dispatcher = Dispatcher(clock=self._clock)
        self._platform = PlatformClient(
            url=settings.platform.url, timeout_ms=settings.platform.timeout_ms
        )
        self._relay = Relay(
            clock=self._clock,
            dispatcher=self._dispatcher,
            ledger=self._keys,
            transport=HttpUpstreamTransport(clock=self._clock),
            metrics=self._metrics,
        )
        self._discovery = Discovery(
            members=self.members,
            ledger=self._ledger,
            lifetime_ms=settings.discovery_lifetime_ms,
        )
        self._tables = None
        self._stopping = threading.Event()
        self._operations = HttpServer(
            handler=self._handle_operations,
            host=settings.operations.host,
            port=settings.operations.port,
            workers=OPERATIONS_WORKERS,
        )

    @property
    def callers_address(self):
        """``host:port`` of the callers' port."""
        return self._callers.address

    @property
    def operations_address(self):
        """``host:port`` of the operations port."""
        return self._operations.address

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self._lifecycle.ready

    @property
    def incarnation(self):
        """Identity of this process."""
        return self._ledger.incarnation

    @property
    def state(self):
        """The :class:`monsoonline.entry.lifecycle.EntryState`."""
        return self._lifecycle.state

    @property
    def requests_in_flight(self):
        """Requests not yet answered completely."""
        return self._callers.requests_in_flight

    def members(self):
        """Return the members that this entry knows."""
        if self._peers is None:
            return (self._own_member(),)
        own = self._own_member()
        others = self._peers.members()
        return (own, *(m for m in others if m.incarnation != own.incarnation))

    def _own_member(self):
        leaving = self.state not in (EntryState.STARTING, EntryState.READY)
        return Member(
            name=self._settings.name,
            incarnation=self._ledger.incarnation,
            address=self.callers_address,
            peer_address="",
            failure_domain=self._settings.failure_domain,
            state="leaving" if leaving else "alive",
            ready=self.ready,
        )

    def _on_state(self, state):
        self._metrics.gauge("entry_ready", int(self.ready))
        self._publish_state()

    def _publish_state(self):
        if self._peers is not None:
            own = self._own_member()
            self._peers.update(state=own.state, ready=own.ready)

    def start(self):
        """Start serving."""
        self._refresh()
        self._callers.start()
        self._operations.start()
        threading.Thread(target=self._poll, name="tables", daemon=True).start()
        threading.Thread(
            target=self._detector.run, args=(self._stopping,), daemon=True
        ).start()

    def stop(self):
        """Stop gracefully, then close.

        :returns: :class:`monsoonline.entry.lifecycle.StopReport`
        """
        report = self._lifecycle.stop()
        self.close()
        return report

    def hurry(self):
        """Shorten a running :meth:`stop`; called on a second signal."""
        self._lifecycle.hurry()

    def close(self):
        """Stop serving at once."""
        self._stopping.set()
        self._callers.close()
        self._operations.close()

    def _poll(self):
        while not self._stopping.wait(POLL_INTERVAL_MS / 1e3):
            self._refresh()

    def _refresh(self):
        asked_at = self._clock.now()
        try:
            tables = self._platform.read_tables()
        except StoreUnavailable:
            self._metrics.count("store_failures_total")
            return
        self._detector.heard(asked_at=asked_at)
        if self._tables is None or tables.revision > self._tables.revision:
            self._dispatcher.update_tables(tables)
            self._relay.use_routes(RouteTable(routes=tables.routes.values()))
            self._tables = tables
            self._metrics.gauge("revision", tables.revision)
            logger.info("tables in effect", extra={"revision": tables.revision})
        self._lifecycle.set_ready()
        self._publish_state()

    def _handle_caller(self, request):
        return self._discovery.handle(request) or self._relay.handle(request)

    def _handle_operations(self, request):
        if request.path == "/metrics":
            content, headers = self._metrics.render()
            return Answer(status=200, headers=tuple(headers.items()), body=content)
        if request.path == "/healthz":
            return Answer(status=200, body=b"ok\n")
        if request.path == "/readyz":
            return Answer(status=200 if self.ready else 503)
        if request.path == "/status":
            status = {
                "name": self._settings.name,
                "ready": self.ready,
                "state": self.state.value,
                "requests_in_flight": self.requests_in_flight,
                "revision": self._tables.revision if self._tables else None,
            }
            return Answer(status=200, body=orjson.dumps(status))
        return Answer(status=404)
