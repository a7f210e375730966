"""Composition of one entry process."""

import logging
import threading

import orjson

from monsoonline.adapters.http_server import HttpServer
from monsoonline.adapters.http_upstream import HttpUpstreamTransport
from monsoonline.adapters.peer_network import SocketPeerNetwork
from monsoonline.adapters.platform import PlatformClient
from monsoonline.clock import SystemClock
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.ledger import Ledger
from monsoonline.core.routing import RouteTable
from monsoonline.entry.discovery import Discovery
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
    """

    def __init__(self, *, settings, clock=None):
        self._settings = settings
        self._clock = clock or SystemClock()
        self._metrics = Metrics()
        self._ledger = Ledger(clock=self._clock)
        self._dispatcher = Dispatcher(clock=self._clock)
        self._platform = PlatformClient(
            url=settings.platform.url, timeout_ms=settings.platform.timeout_ms
        )
        self._relay = Relay(
            clock=self._clock,
            dispatcher=self._dispatcher,
            ledger=self._ledger,
            transport=HttpUpstreamTransport(clock=self._clock),
            metrics=self._metrics,
        )
        self._discovery = Discovery(
            members=self.members,
            ledger=self._ledger,
            lifetime_ms=settings.discovery_lifetime_ms,
        )
        self._tables = None
        self._peers = None
        self._stopping = threading.Event()
        self._callers = HttpServer(
            handler=self._handle_caller,
            host=settings.callers.host,
            port=settings.callers.port,
            workers=settings.workers,
        )
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
        return self._tables is not None

    def members(self):
        """Return the members that this entry knows, itself first."""
        if self._peers is not None:
            return self._peers.members()
        own = Member(
            name=self._settings.name,
            incarnation=self._ledger.incarnation,
            address=self.callers_address,
            peer_address="",
            failure_domain=self._settings.failure_domain,
            ready=self.ready,
        )
        return (own,)

    def start(self):
        """Start serving."""
        self._peers = self._open_peers()
        self._refresh()
        self._callers.start()
        self._operations.start()
        if self._peers is not None:
            self._peers.start()
        threading.Thread(target=self._poll, name="tables", daemon=True).start()

    def close(self):
        """Stop serving."""
        self._stopping.set()
        if self._peers is not None:
            self._peers.close()
        self._callers.close()
        self._operations.close()

    def _open_peers(self):
        """Return the peer network, or ``None`` without keys: the entry runs alone."""
        settings = self._settings
        if not settings.peer_keys:
            return None
        return SocketPeerNetwork(
            host=settings.peers.host,
            port=settings.peers.port,
            keys={key.id: key.secret.encode() for key in settings.peer_keys},
            signing_key=settings.peer_keys[0].id,
            name=settings.name,
            incarnation=self._ledger.incarnation,
            address=self.callers_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            clock=self._clock,
            metrics=self._metrics,
            virtual_machines=self._platform.read,
        )

    def _poll(self):
        while not self._stopping.wait(POLL_INTERVAL_MS / 1e3):
            self._refresh()

    def _refresh(self):
        try:
            tables = self._platform.read_tables()
        except StoreUnavailable:
            self._metrics.count("store_failures_total")
            return
        if self._tables is None or tables.revision > self._tables.revision:
            self._dispatcher.update_tables(tables)
            self._relay.use_routes(RouteTable(routes=tables.routes.values()))
            self._tables = tables
            if self._peers is not None:
                self._peers.set_own(
                    ready=self.ready,
                    revision=tables.revision,
                    checksum=tables.checksum,
                )
            self._metrics.gauge("revision", tables.revision)
            logger.info("tables in effect", extra={"revision": tables.revision})

    def _handle_caller(self, request):
        return self._discovery.handle(request) or self._relay.handle(request)

    def _handle_operations(self, request):
        if request.path == "/metrics":
            if self._peers is not None:
                self._peers.export()
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
                "revision": self._tables.revision if self._tables else None,
            }
            return Answer(status=200, body=orjson.dumps(status))
        return Answer(status=404)
