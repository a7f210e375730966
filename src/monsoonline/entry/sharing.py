"""Exchanges load, crashes and drains of upstreams with the peers of an entry."""

import concurrent.futures
import logging

import orjson

from monsoonline.core.peer_load import LoadSnapshot
from monsoonline.errors import PeerUnavailable, StoreUnavailable

__all__ = ["Sharing"]

LOAD_KIND = "load"
CRASH_KIND = "crash"
DRAIN_KIND = "drain"
# Request for the leaving upstreams and the requests suspected of crashes. A starting
# entry needs it because gossip brings it only the changes after its start.
FACTS_REQUEST = "decision-facts"
FACTS_TIMEOUT_MS = 1000.0
FACTS_PEERS = 3
# A report has at most 512 bytes; the limit keeps the reply below the 1 MiB of a peer
# message.
MAX_CRASH_REPORTS = 1024
# Listed entries that have not replied by then may all have failed.
JOIN_LIMIT_MS = 3000.0
ENTRY_ROLE = "entry"
PEER_SOURCE = "peer"
VM_LIST_SOURCE = "vm-list"
UPSTREAM_ROLE = "upstream"
LOAD_INTERVAL_MS = 500.0

logger = logging.getLogger(__name__)


class Sharing:
    """Connects the dispatcher with the peers and the VM list.

    :param clock: source of time
    :param dispatcher: :class:`monsoonline.core.dispatch.Dispatcher`
    :param machines: :class:`monsoonline.ports.VirtualMachineList`
    :param metrics: counters
    :param peers: :class:`monsoonline.ports.PeerNetwork`, ``None`` for a single entry
    """

    def __init__(self, *, clock, dispatcher, machines, metrics, peers=None):
        self._clock = clock
        self._dispatcher = dispatcher
        self._machines = machines
        self._metrics = metrics
        self._peers = peers
        self._published_drains = frozenset()
        self._leaving_on_vm_list = frozenset()
        self._entries_listed = 0
        self._started_at = clock.now()
        self._load_published_at = clock.now()
        self._synchronized = peers is None
        if peers is not None:
            peers.subscribe(LOAD_KIND, self._receive_load)
            peers.subscribe(CRASH_KIND, self._receive_crash)
            peers.subscribe(DRAIN_KIND, self._receive_drain)
            peers.serve(FACTS_REQUEST, self._reply_with_facts)

    @property
    def synchronized(self):
        """Whether the leaving upstreams and poison requests known to peers are known.

        Until then the entry could send new work to an upstream that left long ago, or
        a request that has crashed other upstreams.
        """
        return self._synchronized

    def tick(self):
        """Publish new state to the peers; called several times a second."""
        self._dispatcher.expire_leaving()
        if self._peers is None:
            return
        members = self._peers.members()
        self._dispatcher.observe_members(
            [m.incarnation for m in members if m.state == "alive"],
            left=[m.incarnation for m in members if m.state == "leaving"],
        )
        for report in self._dispatcher.take_crash_reports():
            self._peers.publish(CRASH_KIND, report.fingerprint, report.encode())
        self._publish_drains()
        now = self._clock.now()
        if now - self._load_published_at >= LOAD_INTERVAL_MS:
            self._load_published_at = now
            for pool, payload in self._dispatcher.snapshot().encode().items():
                self._peers.publish(LOAD_KIND, pool, payload)

    def read_machines(self):
        """Read the leaving upstreams from the VM list, and from peers after a start.

        Called until :attr:`synchronized` is true, and regularly after that.
        """
        vm_list_read = self._read_leaving_machines()
        if not self._synchronized:
            peer_replied = self._ask_peers()
            self._synchronized = peer_replied or (
                vm_list_read and not self._may_learn_from_peers()
            )

    def _read_leaving_machines(self):
        try:
            rows = self._machines.read()
        except StoreUnavailable:
            self._metrics.count("vm_list_failures_total")
            return False
        leaving = frozenset(
            row.address for row in rows if row.role == UPSTREAM_ROLE and row.leaving
        )
        for address in leaving:
            self._dispatcher.set_leaving(address, source=VM_LIST_SOURCE)
        for address in self._leaving_on_vm_list - leaving:
            self._dispatcher.set_leaving(address, source=VM_LIST_SOURCE, leaving=False)
        self._leaving_on_vm_list = leaving
        self._entries_listed = sum(
            row.role == ENTRY_ROLE and not row.leaving for row in rows
        )
        return True

    def _alive_peers(self):
        return [m for m in self._peers.members()[1:] if m.state == "alive"]

    def _may_learn_from_peers(self):
        """Return whether another entry may still reply with the state that it knows."""
        if self._clock.now() - self._started_at >= JOIN_LIMIT_MS:
            return False
        peers = self._alive_peers()
        return any(m.ready for m in peers) or self._entries_listed > len(peers) + 1

    def _ask_peers(self):
        """Query some ready peers for their state; return whether one replied."""
        ready_peers = [member for member in self._alive_peers() if member.ready]
        if not ready_peers:
            return False
        with concurrent.futures.ThreadPoolExecutor(FACTS_PEERS) as executor:
            return any(list(executor.map(self._ask_peer, ready_peers[:FACTS_PEERS])))

    def _ask_peer(self, member):
        try:
            payload = self._peers.request(
                member, FACTS_REQUEST, b"", timeout_ms=FACTS_TIMEOUT_MS
            )
        except PeerUnavailable:
            return False
        facts = orjson.loads(payload)
        for address in facts["leaving"]:
            self._dispatcher.set_leaving(address, source=PEER_SOURCE)
        for report in facts["crashes"]:
            self._dispatcher.observe_crash(report.encode())
        return True

    def _reply_with_facts(self, _name, _payload):
        reports = self._dispatcher.crashes.latest_reports(MAX_CRASH_REPORTS)
        return orjson.dumps(
            {
                "leaving": sorted(self._dispatcher.leaving),
                "crashes": [report.encode().decode() for report in reports],
            }
        )

    def _publish_drains(self):
        """Publish each drain once that this entry observed itself.

        A notice of a peer is not published again; two entries would otherwise renew it
        for each other indefinitely.
        """
        observed = frozenset(
            address
            for address, sources in self._dispatcher.leaving.items()
            if set(sources) - {PEER_SOURCE}
        )
        for address in observed - self._published_drains:
            logger.info("upstream is leaving", extra={"upstream": address})
            self._peers.publish(DRAIN_KIND, address, b"")
        self._published_drains = observed

    def _receive_drain(self, item):
        self._dispatcher.set_leaving(item.key, source=PEER_SOURCE)

    def _receive_crash(self, item):
        self._dispatcher.observe_crash(item.payload)

    def _receive_load(self, item):
        self._dispatcher.observe_peer(
            LoadSnapshot.decode(item.payload, pool=item.key, owner=item.owner)
        )
