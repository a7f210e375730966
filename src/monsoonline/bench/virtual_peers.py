"""Many gossiping entries in virtual time over an in-memory network.

The entries run the real core code; only the clock and the datagrams are replaced.
"""

import heapq
import itertools

import numpy

from monsoonline.clock import ManualClock
from monsoonline.core.gossip import (
    BASE_BYTES,
    ROUND_MS,
    DatagramPort,
    Gossip,
    item_bytes,
    record_bytes,
)
from monsoonline.core.membership import MemberRecord
from monsoonline.metrics import Metrics
from monsoonline.ports import VirtualMachine

__all__ = ["VirtualNode", "VirtualPeers"]

LOCAL_DELAY_MS = 1.0
REGION_DELAY_MS = 40.0


def estimated_bytes(message):
    """Return the size bound that the core uses for a message."""
    size = BASE_BYTES + record_bytes(message.sender)
    size += sum(record_bytes(record) for record in message.members)
    return size + sum(item_bytes(item) for item in message.items)


class VirtualNode(DatagramPort):
    """One entry in virtual time.

    :param peers: the :class:`VirtualPeers` it belongs to
    :param own: its member record
    :param codec: codec whose bytes are sent, ``None`` to pass messages as objects
    """

    def __init__(self, *, peers, own, codec=None):
        self._peers = peers
        self._codec = codec
        self.address = own.peer_address
        self.running = True
        self.paused_until = 0.0
        self.metrics = Metrics()
        self.notices = []
        self.gossip = Gossip(
            clock=peers.clock,
            own=own,
            port=self,
            random=peers.random.spawn(1)[0],
            metrics=self.metrics,
            virtual_machines=peers.machines,
            on_newer_revision=self._take_revision,
        )
        self.gossip.read_machines()

    @property
    def own(self):
        """Member of this node in its own view."""
        return self.gossip.members()[0]

    def send(self, address, message, *, admit):
        """Send a datagram through the in-memory network."""
        content = message if self._codec is None else self._codec.encode_gossip(message)
        if admit(self._size(content)):
            self._peers.transmit(self, address, content)

    def receive(self, content, source):
        """Process a datagram from the in-memory network."""
        if not self.gossip.admit(self._size(content)):
            return
        if self._codec is not None:
            content = self._codec.decode_gossip(self._codec.open(content))
        self.gossip.receive(content, source)

    def states(self):
        """Return the states of the other members by incarnation."""
        return {m.incarnation: m.state for m in self.gossip.members()[1:]}

    def _size(self, content):
        return estimated_bytes(content) if self._codec is None else len(content)

    def _take_revision(self, revision, checksum, member):
        """Apply a newer revision at once, as after a fetch from that member."""
        self.notices.append((self._peers.clock.now(), revision, member.name))
        self.gossip.set_own(revision=revision, checksum=checksum)


class VirtualPeers:
    """Entries, their network and its faults.

    :param members: number of entries
    :param seed: seed of all random choices
    :param regions: number of regions, entries are dealt out in turn
    :param loss: share of datagrams lost
    :param warm: whether all entries know each other at the start
    :param codec_for: function from an incarnation to a codec, optional
    """

    def __init__(
        self, *, members, seed, regions=1, loss=0.0, warm=False, codec_for=None
    ):
        self.clock = ManualClock()
        self.random = numpy.random.default_rng(seed)
        self.loss = loss
        self.listed = []
        self.vm_list_available = True
        self.blocked = lambda source, target: False
        self._regions = regions
        self._codec_for = codec_for or (lambda incarnation: None)
        self._events = []
        self._numbers = itertools.count()
        self._by_address = {}
        self.nodes = []
        for index in range(members):
            self.listed.append(self._machine(index))
        for index in range(members):
            self.nodes.append(self.start(index))
        if warm:
            records = [node.gossip.records()[0] for node in self.nodes]
            for node in self.nodes:
                node.gossip.add_records(records)

    def machines(self):
        """Return the VM list."""
        if not self.vm_list_available:
            raise OSError("the VM list is not available")
        return tuple(self.listed)

    def start(self, index, *, name=None, address=None):
        """Start an entry, or replace the one that runs at the same address."""
        address = address or self._machine(index).peer_address
        incarnation = f"{int(self.random.integers(1, 2**63)):016x}"
        own = MemberRecord(
            incarnation=incarnation,
            name=name or f"entry-{index}",
            address=address.replace(":7000", ":8000"),
            peer_address=address,
            failure_domain=f"domain-{index % (2 * self._regions)}",
            region=f"region-{index % self._regions}",
            ready=True,
        )
        earlier = self._by_address.get(address)
        if earlier is not None:
            earlier.running = False
        node = VirtualNode(peers=self, own=own, codec=self._codec_for(incarnation))
        self._by_address[address] = node
        first = self.clock.now() + float(self.random.uniform(0, ROUND_MS))
        self._schedule(first, self._run_round, node)
        return node

    def stop(self, node):
        """End an entry without notice."""
        node.running = False
        self._by_address.pop(node.address, None)

    def transmit(self, sender, address, content):
        """Deliver a datagram after the network's delay, unless it is lost."""
        target = self._by_address.get(address)
        if target is None or self.random.random() < self.loss:
            return
        if self.blocked(sender, target):
            return
        same = sender.gossip.region == target.gossip.region
        delay = LOCAL_DELAY_MS if same else REGION_DELAY_MS
        self._schedule(
            self.clock.now() + delay, self._deliver, target, content, sender.address
        )

    def run(self, duration_ms, *, until=None):
        """Advance virtual time.

        :param duration_ms: at most this long
        :param until: condition checked every 100 ms, optional
        :returns: elapsed ms
        """
        start = self.clock.now()
        end = start + duration_ms
        check = start
        while self._events and self._events[0][0] <= end:
            moment, _, action, arguments = heapq.heappop(self._events)
            if until is not None and moment >= check:
                check = moment + 100.0
                if until():
                    heapq.heappush(
                        self._events, (moment, next(self._numbers), action, arguments)
                    )
                    return self.clock.now() - start
            self.clock.advance(max(0.0, moment - self.clock.now()))
            action(*arguments)
        self.clock.advance(max(0.0, end - self.clock.now()))
        return duration_ms

    def running(self):
        """Return the entries that run and are not paused."""
        now = self.clock.now()
        nodes = self._by_address.values()
        return [node for node in nodes if node.running and now >= node.paused_until]

    def all_see(self, states, *, of=None):
        """Return whether all running entries see the nodes in one of the states."""
        running = self.running()
        watched = {n.own.incarnation for n in (running if of is None else of)}
        for node in running:
            seen = node.states()
            seen[node.own.incarnation] = "alive"
            if any(seen.get(i, "unknown") not in states for i in watched):
                return False
        return True

    def _machine(self, index):
        return VirtualMachine(
            name=f"entry-{index}",
            role="entry",
            address=f"10.0.{index // 250}.{index % 250}:8000",
            failure_domain=f"domain-{index % (2 * self._regions)}",
            peer_address=f"10.0.{index // 250}.{index % 250}:7000",
        )

    def _schedule(self, moment, action, *arguments):
        heapq.heappush(self._events, (moment, next(self._numbers), action, arguments))

    def _run_round(self, node):
        if not node.running:
            return
        if self.clock.now() < node.paused_until:
            self._schedule(node.paused_until, self._run_round, node)
            return
        node.gossip.round()
        self._schedule(self.clock.now() + ROUND_MS, self._run_round, node)

    def _deliver(self, node, content, source):
        if node.running and self.clock.now() >= node.paused_until:
            node.receive(content, source)
