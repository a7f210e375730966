"""Builds and connects the parts of an entry that serve callers' requests."""

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
    :param admit_until: called with the deadline of each request before its first
        attempt; raises a :class:`monsoonline.errors.Refusal` if this entry may end
        before it
    """

    def __init__(
        self, *, clock, metrics, keys, machines, peers, service_levels, admit_until
    ):
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
            admit_until=admit_until,
        )
        self._tables_lock = threading.Lock()
        self._tables = Tables()
        self._entry_count = 1

    @property
    def leaving_upstreams(self):
        """Addresses of the upstreams that get no new work, sorted."""
        return sorted(self._dispatcher.leaving)

    @property
    def synchronized(self):
        """Whether the leaving upstreams known to other entries are known here."""
        return self._sharing.synchronized

    def handle(self, request):
        """Serve a caller's request and return its response."""
        return self._relay.handle(request)

    def use_tables(self, tables, *, entry_count):
        """Apply newly accepted tables.

        :param tables: :class:`monsoonline.core.model.Tables`
        :param entry_count: number of entries that share each pool's connection limit
        """
        self._dispatcher.update_tables(tables)
        with self._tables_lock:
            self._tables = tables
            self._limit_connections(entry_count)
        self._prober.use_tables(tables)
        self._relay.use_tables(tables)

    def use_entry_count(self, entry_count):
        """Set the number of entries that share each pool's connection limit."""
        with self._tables_lock:
            if entry_count != self._entry_count:
                self._limit_connections(entry_count)

    def read_machines(self):
        """Read the leaving upstreams from the VM list, and from peers after a start."""
        self._sharing.read_machines()

    def tick(self):
        """Publish new state to the peers and send the probes that are due."""
        self._sharing.tick()
        self._prober.send_due()

    def close(self):
        """Stop sending probes and close the idle connections."""
        self._prober.close()
        self._transport.close()

    def _limit_connections(self, entry_count):
        """Set the connection limits.

        Called with the lock held, so that older tables cannot replace newer ones.
        """
        self._entry_count = entry_count
        self._transport.update_tables(self._tables, entries=entry_count)
