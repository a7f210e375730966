"""Composition of one entry process."""

import orjson

from monsoonline.adapters.configuration_codec import ConfigurationCodec
from monsoonline.adapters.http_server import HttpServer
from monsoonline.adapters.http_upstream import HttpUpstreamTransport
from monsoonline.adapters.object_store import HttpObjectStore
from monsoonline.adapters.platform import PlatformClient
from monsoonline.adapters.table_store import HttpTableStore
from monsoonline.clock import SystemClock
from monsoonline.core.configuration import Configuration
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.ledger import Ledger
from monsoonline.core.routing import RouteTable
from monsoonline.entry.administration import Administration, resolve_tokens
from monsoonline.entry.discovery import Discovery
from monsoonline.entry.relay import Relay
from monsoonline.metrics import Metrics
from monsoonline.ports import Member
from monsoonline.types import Answer

__all__ = ["EntryService"]

OPERATIONS_WORKERS = 4


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
            url=settings.platform.url,
            clock=self._clock,
            timeout_ms=settings.platform.timeout_ms,
            metrics=self._metrics,
        )
        self._store = HttpTableStore(client=self._platform)
        self._configuration = Configuration(
            name=settings.name,
            clock=self._clock,
            store=self._store,
            objects=HttpObjectStore(client=self._platform),
            codec=ConfigurationCodec(),
            metrics=self._metrics,
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
        self._configuration.subscribe(self._use_tables)
        self._administration = Administration(
            configuration=self._configuration,
            store=self._store,
            tokens=resolve_tokens(settings.tokens),
            clock=self._clock,
            metrics=self._metrics,
        )
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
        return self._configuration.ready

    def members(self):
        """Return the members that this entry knows."""
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
        self._configuration.start()
        self._callers.start()
        self._operations.start()

    def close(self):
        """Stop serving."""
        self._configuration.close()
        self._callers.close()
        self._operations.close()

    def _use_tables(self, tables):
        self._dispatcher.update_tables(tables)
        self._relay.use_routes(RouteTable(routes=tables.routes.values()))

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
                "revision": self._configuration.revision,
            }
            return Answer(status=200, body=orjson.dumps(status))
        return self._administration.handle(request) or Answer(status=404)
