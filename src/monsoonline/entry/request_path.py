"""The parts of an entry that serve callers' requests, built together."""

import threading

from monsoonline.adapters.http_upstream import HttpUpstreamTransport
from monsoonline.core.dispatch import Dispatcher
from monsoonline.core.model import Tables
from monsoonline.entry.probes import Prober
from monsoonline.entry.relay import Relay
from monsoonline.entry.sharing import Sharing

__all__ = ["RequestPath"]


class RequestPath:
    """Dispatcher, connections to upstreams, probes, sharing and relay.

    :param clock: source of time
    :param metrics: counters
    :param keys: :class:`monsoonline.entry.keys.KeyDirectory`
    :param machines: :class:`monsoonline.ports.VirtualMachineList`
    :param peers: :class:`monsoonline.ports.PeerNetwork`, ``None`` for a single entry
    :param service_levels: :class:`monsoonline.core.service_levels.ServiceLevels`
    """

    def __init__(self, *, clock, metrics, keys, machines, peers, service_levels):
        self._dispatcher = Dispatcher(clock=clock, owner=keys.incarnation)
        self._transport = HttpUpstreamTransport(
            clock=clock, count=metrics.connection_event
        )
        self._prober = Prober(
            clock=clock,
            dispatcher=self._dispatcher,
            transport=self._transport,
            metrics=metrics,
        )
        self._sharing = Sharing(
            clock=clock,
            dispatcher=self._dispatcher,
            machines=machines,
            metrics=metrics,
            peers=peers,
        )
        self._relay = Relay(
            clock=clock,
            dispatcher=self._dispatcher,
            ledger=keys,
            transport=self._transport,
            metrics=metrics,
            service_levels=service_levels,
        )
        self._tables_lock = threading.Lock()
        self._tables = Tables()
        self._share = 1

    @property
    def leaving_upstreams(self):
        """Addresses of the upstreams that get no new work, sorted."""
        return sorted(self._dispatcher.leaving)

    @property
    def informed(self):
        """Whether the upstreams that others know as leaving are known here."""
        return self._sharing.informed

    def handle(self, request):
        """Answer a caller's request."""
        return self._relay.handle(request)

    def use_tables(self, tables, *, share):
        """Use newly accepted tables.

        :param tables: :class:`monsoonline.core.model.Tables`
        :param share: number of entries that share each pool's connection limit
        """
        self._dispatcher.update_tables(tables)
        with self._tables_lock:
            self._tables = tables
            self._limit_connections(share)
        self._prober.use_tables(tables)
        self._relay.use_tables(tables)

    def use_share(self, share):
        """Follow the number of entries that share each pool's connection limit."""
        with self._tables_lock:
            if share != self._share:
                self._limit_connections(share)

    def read_machines(self):
        """Take the leaving upstreams from the VM list, and from peers at the start."""
        self._sharing.read_machines()

    def tick(self):
        """Share what is new with the peers and send the probes that are due."""
        self._sharing.tick()
        self._prober.send_due()

    def close(self):
        """Send no further probe and close the idle connections."""
        self._prober.close()
        self._transport.close()

    def _limit_connections(self, share):
        """Set the limits; called under the lock, so that newer tables come last."""
        self._share = share
        self._transport.update_tables(self._tables, entries=share)
