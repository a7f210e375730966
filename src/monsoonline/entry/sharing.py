"""What an entry's decisions share with its peers and learn from them."""

import concurrent.futures
import logging

import orjson

from monsoonline.core.peer_load import LoadSnapshot
from monsoonline.errors import PeerUnavailable, StoreUnavailable

__all__ = ["Sharing"]

LOAD_KIND = "load"
CRASH_KIND = "crash"
DRAIN_KIND = "drain"
# Request that returns the leaving upstreams, so that a starting entry does not wait
# for the items to come by gossip.
LEAVING_REQUEST = "leaving-upstreams"
LEAVING_TIMEOUT_MS = 1000.0
LEAVING_PEERS = 3
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
        self._listed = frozenset()
        self._load_shared_at = clock.now()
        self._informed = peers is None
        if peers is not None:
            peers.subscribe(LOAD_KIND, self._take_load)
            peers.subscribe(CRASH_KIND, self._take_crash)
            peers.subscribe(DRAIN_KIND, self._take_drain)
            peers.serve(LEAVING_REQUEST, self._answer_leaving)

    @property
    def informed(self):
        """Whether the upstreams that peers or the VM list know as leaving are known.

        Until then the entry could send new work to an upstream that left long ago.
        """
        return self._informed

    def tick(self):
        """Publish what is new; called several times a second."""
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
        self._share_drains()
        now = self._clock.now()
        if now - self._load_shared_at >= LOAD_INTERVAL_MS:
            self._load_shared_at = now
            for pool, payload in self._dispatcher.snapshot().encode().items():
                self._peers.publish(LOAD_KIND, pool, payload)

    def read_machines(self):
        """Take the leaving upstreams from the VM list, and from peers at the start."""
        listed = self._read_leaving_machines()
        if not self._informed:
            told = self._ask_peers()
            self._informed = listed or told

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
        for address in self._listed - leaving:
            self._dispatcher.set_leaving(address, source=VM_LIST_SOURCE, leaving=False)
        self._listed = leaving
        return True

    def _ask_peers(self):
        """Ask some live peers for the leaving upstreams; return whether one replied."""
        others = [
            m for m in self._peers.members()[1:] if m.state == "alive" and m.ready
        ]
        if not others:
            return False
        with concurrent.futures.ThreadPoolExecutor(LEAVING_PEERS) as executor:
            return any(list(executor.map(self._ask_peer, others[:LEAVING_PEERS])))

    def _ask_peer(self, member):
        try:
            payload = self._peers.request(
                member, LEAVING_REQUEST, b"", timeout_ms=LEAVING_TIMEOUT_MS
            )
        except PeerUnavailable:
            return False
        for address in orjson.loads(payload):
            self._dispatcher.set_leaving(address, source=PEER_SOURCE)
        return True

    def _answer_leaving(self, _name, _payload):
        return orjson.dumps(sorted(self._dispatcher.leaving))

    def _share_drains(self):
        """Publish the drains that this entry saw itself, once each.

        What a peer told is not published again, or two entries would keep a notice
        alive between them.
        """
        seen = frozenset(
            address
            for address, sources in self._dispatcher.leaving.items()
            if set(sources) - {PEER_SOURCE}
        )
        for address in seen - self._published_drains:
            logger.info("upstream is leaving", extra={"upstream": address})
            self._peers.publish(DRAIN_KIND, address, b"")
        self._published_drains = seen

    def _take_drain(self, item):
        self._dispatcher.set_leaving(item.key, source=PEER_SOURCE)

    def _take_crash(self, item):
        self._dispatcher.observe_crash(item.payload)

    def _take_load(self, item):
        self._dispatcher.observe_peer(
            LoadSnapshot.decode(item.payload, pool=item.key, owner=item.owner)
        )
