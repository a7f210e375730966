"""Composition of one entry process."""

import logging
import threading

from monsoonline.adapters.configuration_codec import ConfigurationCodec
from monsoonline.adapters.http_server import HttpServer
from monsoonline.adapters.object_store import HttpObjectStore
from monsoonline.adapters.peer_network import SocketPeerNetwork
from monsoonline.adapters.platform import PlatformClient
from monsoonline.adapters.table_store import HttpTableStore
from monsoonline.adapters.vm_list import HttpVirtualMachineList
from monsoonline.background import start_task
from monsoonline.clock import SystemClock
from monsoonline.core.configuration import Configuration
from monsoonline.core.contact import PauseDetector
from monsoonline.core.ledger import Ledger
from monsoonline.core.service_levels import ServiceLevels
from monsoonline.entry.administration import Administration, resolve_tokens
from monsoonline.entry.discovery import Discovery
from monsoonline.entry.keys import KeyDirectory
from monsoonline.entry.lifecycle import EntryState, Lifecycle, StopTimes
from monsoonline.entry.operations import Operations
from monsoonline.entry.request_path import RequestPath
from monsoonline.entry.sharing import LOAD_KIND
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.ports import Member
from monsoonline.types import Outcome

__all__ = ["EntryService"]

STATE_UPDATE_INTERVAL_MS = 100.0
VM_LIST_INTERVAL_MS = 2000.0
STARTUP_VM_LIST_INTERVAL_MS = 250.0
OPERATIONS_WORKERS = 64
ISOLATED_RETRY_MS = 1000.0

logger = logging.getLogger(__name__)


class EntryService:
    """One entry process with its ports for callers, operations and peers.

    :param settings: :class:`monsoonline.settings.EntrySettings`
    :param clock: source of time
    :param connect_peers: called with this entry's :class:`Member`, returns its
        :class:`monsoonline.ports.PeerNetwork`; by default a network over sockets if
        the settings have peer keys, otherwise none
    """

    def __init__(self, *, settings, clock=None, connect_peers=None):
        self._settings = settings
        self._clock = clock or SystemClock()
        self._metrics = Metrics()
        self._stopping = threading.Event()
        self._detector = PauseDetector(
            clock=self._clock, on_pause=lambda gap_ms: self._publish_state()
        )
        self._service_levels = ServiceLevels(clock=self._clock)
        self._peers = None
        self._callers = HttpServer(
            handler=self._handle_caller,
            host=settings.callers.host,
            port=settings.callers.port,
            workers=settings.workers,
        )
        self._lifecycle = self._make_lifecycle()
        self._ledger = Ledger(clock=self._clock, admission=self._admit)
        self._platform = PlatformClient(
            url=settings.platform.url,
            clock=self._clock,
            timeout_ms=settings.platform.timeout_ms,
            metrics=self._metrics,
        )
        self._machines = HttpVirtualMachineList(client=self._platform)
        self._peers = (connect_peers or self._open_peers)(self._own_member())
        self._keys = KeyDirectory(
            ledger=self._ledger,
            peers=self._peers,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._store = HttpTableStore(client=self._platform)
        self._configuration = self._make_configuration()
        if self._peers is not None:
            self._peers.subscribe(LOAD_KIND, self._handle_load_item)
        self._path = RequestPath(
            clock=self._clock,
            metrics=self._metrics,
            keys=self._keys,
            machines=self._machines,
            peers=self._peers,
            service_levels=self._service_levels,
            admit_until=self._lifecycle.admit_until,
        )
        self._discovery = Discovery(
            members=self.members,
            ledger=self._ledger,
            lifetime_ms=settings.discovery_lifetime_ms,
        )
        self._operations = HttpServer(
            handler=self._make_operations().handle,
            host=settings.operations.host,
            port=settings.operations.port,
            workers=OPERATIONS_WORKERS,
        )
        self._configuration.subscribe(self._use_tables)

    @property
    def callers_address(self):
        """``host:port`` of the port for callers."""
        return self._callers.address

    @property
    def operations_address(self):
        """``host:port`` of the operations port."""
        return self._operations.address

    @property
    def peers_address(self):
        """``host:port`` of the peer port, ``None`` without a peer network."""
        return getattr(self._peers, "address", None)

    @property
    def ready(self):
        """Whether this entry accepts callers."""
        return self._lifecycle.ready and self._configuration.ready

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
        """Number of requests without a complete response."""
        return self._callers.requests_in_flight

    def members(self):
        """Return the known members, including this entry."""
        if self._peers is None:
            return (self._own_member(),)
        return self._peers.members()

    def start(self):
        """Start serving."""
        if self._peers is not None:
            self._peers.start()
        self._configuration.start()
        self._path.read_machines()
        self._callers.start()
        self._operations.start()
        self._update_state()
        for task in (self._run_state_updates, self._run_vm_list, self._run_detector):
            start_task(task, stopping=self._stopping, on_error=self._count_failure)

    def stop(self):
        """Stop gracefully, then close.

        :returns: :class:`monsoonline.entry.lifecycle.StopReport`
        """
        report = self._lifecycle.stop()
        self.close()
        return report

    def shorten_stop(self):
        """Skip the wait of a running :meth:`stop` for discovery expiry."""
        self._lifecycle.shorten_stop()

    def close(self):
        """Stop serving immediately."""
        self._stopping.set()
        if self._peers is not None:
            self._peers.close()
        self._configuration.close()
        self._callers.close()
        self._operations.close()
        self._path.close()

    def _make_lifecycle(self):
        settings = self._settings
        return Lifecycle(
            clock=self._clock,
            times=StopTimes(
                lifetime_ms=settings.discovery_lifetime_ms, **settings.stop.model_dump()
            ),
            server=self._callers,
            close_keys=lambda: self._ledger.close(),
            hand_over=lambda: self._keys.hand_over(),
            on_state=lambda state: self._publish_state(),
            detector=self._detector,
        )

    def _make_configuration(self):
        return Configuration(
            name=self._settings.name,
            clock=self._clock,
            store=self._store,
            objects=HttpObjectStore(client=self._platform),
            codec=ConfigurationCodec(),
            metrics=self._metrics,
            network=self._peers,
            detector=self._detector,
        )

    def _make_operations(self):
        administration = Administration(
            configuration=self._configuration,
            store=self._store,
            tokens=resolve_tokens(self._settings.tokens),
            clock=self._clock,
            metrics=self._metrics,
        )
        return Operations(
            metrics=self._metrics,
            peers=self._peers,
            configuration=self._configuration,
            service_levels=self._service_levels,
            ready=lambda: self.ready,
            status=self._status,
            administration=administration,
        )

    def _status(self):
        return {
            "name": self._settings.name,
            "incarnation": self.incarnation,
            "ready": self.ready,
            "state": self.state.value,
            "isolated": self._configuration.isolated,
            "revision": self._configuration.revision,
            "table_age_ms": round(self._configuration.age_ms),
            "requests_in_flight": self.requests_in_flight,
            "leaving_upstreams": self._path.leaving_upstreams,
            "members": [
                {"name": m.name, "state": m.state, "ready": m.ready}
                for m in self.members()
            ],
        }

    def _own_member(self):
        leaving = self.state not in (EntryState.STARTING, EntryState.READY)
        return Member(
            name=self._settings.name,
            incarnation=self._ledger.incarnation,
            address=self.callers_address,
            peer_address="",
            failure_domain=self._settings.failure_domain,
            state="leaving" if leaving else "alive",
            ready=self._lifecycle.ready and not leaving,
        )

    def _admit(self):
        """Check that a non-idempotent request may start.

        :raises Refusal: ``NOT_RUN`` after a pause, and while this entry is isolated
        """
        self._lifecycle.admit()
        if not self._configuration.serves_non_idempotent:
            raise Refusal(
                "this entry can reach neither the store nor another entry",
                code="isolated",
                outcome=Outcome.NOT_RUN,
                status=503,
                retry_after_ms=ISOLATED_RETRY_MS,
            )

    def _handle_load_item(self, item):
        # Peers share their load twice a second, so a lack of items shows that this
        # entry is isolated from them. An in-process network also delivers the entry's
        # own items, which are not contact.
        if item.owner not in (self.incarnation, self._settings.name):
            self._configuration.record_contact()

    def _count_connection_sharers(self):
        """Return the number of entries that share each pool's connection limit."""
        # Counts leaving entries, since they still serve requests over connections.
        others = self.members()[1:]
        return 1 + sum(m.ready or m.state == "leaving" for m in others)

    def _use_tables(self, tables):
        self._path.use_tables(tables, entry_count=self._count_connection_sharers())

    def _count_failure(self):
        self._metrics.count("task_failures_total")

    def _run_detector(self):
        self._detector.run(self._stopping)

    def _run_state_updates(self):
        while not self._stopping.wait(STATE_UPDATE_INTERVAL_MS / 1e3):
            self._update_state()

    def _run_vm_list(self):
        interval_ms = STARTUP_VM_LIST_INTERVAL_MS
        while not self._stopping.wait(interval_ms / 1e3):
            self._path.read_machines()
            if self._path.synchronized:
                interval_ms = VM_LIST_INTERVAL_MS

    def _update_state(self):
        """Update the readiness, and share changes with the peers."""
        if self._configuration.ready and self._path.synchronized:
            self._lifecycle.set_ready()
        try:
            self._path.use_entry_count(self._count_connection_sharers())
            self._path.tick()
        except Exception:
            self._metrics.count("sharing_failures_total")
            logger.exception("unexpected error while sharing state with peers")
        self._publish_state()

    def _publish_state(self):
        self._metrics.gauge("entry_ready", int(self.ready))
        if self._peers is not None:
            self._peers.set_own(
                leaving=self.state not in (EntryState.STARTING, EntryState.READY),
                ready=self.ready,
                revision=self._configuration.revision,
                checksum=self._configuration.checksum,
            )

    def _open_peers(self, own):
        """Return the peer network, or ``None`` if there are no peer keys."""
        settings = self._settings
        if not settings.peer_keys:
            return None
        return SocketPeerNetwork(
            host=settings.peers.host,
            port=settings.peers.port,
            keys={key.id: key.secret.encode() for key in settings.peer_keys},
            signing_key=settings.peer_keys[0].id,
            name=own.name,
            incarnation=own.incarnation,
            address=own.address,
            failure_domain=own.failure_domain,
            region=settings.region,
            clock=self._clock,
            metrics=self._metrics,
            virtual_machines=self._machines.read,
            # Messages arrive only after the start, when the configuration is set.
            on_newer_revision=lambda revision, _checksum, _member: (
                self._configuration.record_peer_revision(revision)
            ),
        )

    def _handle_caller(self, request):
        return self._discovery.handle(request) or self._path.handle(request)
