"""In-process implementation of :class:`monsoonline.ports.PeerNetwork`.

The demonstration and tests run several entries in one process. Requests run on an
executor so that their timeouts apply as they do over a network.
"""

import concurrent.futures
import dataclasses
import threading

from monsoonline.errors import PeerUnavailable
from monsoonline.ports import SharedItem

__all__ = ["LocalPeerHub", "LocalPeerNetwork"]

MAX_REQUEST_THREADS = 16


class LocalPeerHub:
    """Connects the peer networks of all entries in one process."""

    def __init__(self):
        self._lock = threading.RLock()
        self._networks = {}
        self._unreachable = set()
        self._items = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_REQUEST_THREADS, thread_name_prefix="peer"
        )

    def join(self, member):
        """Add an entry.

        :param member: its :class:`monsoonline.ports.Member`
        :returns: its :class:`LocalPeerNetwork`
        """
        network = LocalPeerNetwork(hub=self, member=member)
        with self._lock:
            self._networks[member.incarnation] = network
        return network

    def leave(self, incarnation):
        """Remove an entry that has stopped."""
        with self._lock:
            self._networks.pop(incarnation, None)

    def set_reachable(self, incarnation, reachable):
        """Set whether requests to and from an entry succeed.

        :param incarnation: incarnation of the entry
        :param reachable: ``False`` simulates a paused or disconnected process
        """
        with self._lock:
            if reachable:
                self._unreachable.discard(incarnation)
            else:
                self._unreachable.add(incarnation)

    def close(self):
        """Shut down the request threads."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def members(self):
        """Return the own :class:`monsoonline.ports.Member` of each entry."""
        with self._lock:
            return tuple(network.member for network in self._networks.values())

    def request(self, sender, member, kind, payload, *, timeout_ms):
        """Run a member's handler; see :meth:`LocalPeerNetwork.request`."""
        with self._lock:
            network = self._networks.get(member.incarnation)
            unreachable = {member.incarnation, sender.incarnation} & self._unreachable
        handler = network.handler(kind) if network else None
        if handler is None or unreachable:
            raise PeerUnavailable(f"{member.name}: no reply to request {kind!r}")
        future = self._executor.submit(handler, sender.name, payload)
        try:
            return future.result(timeout_ms / 1e3)
        except concurrent.futures.TimeoutError:
            raise PeerUnavailable(
                f"{member.name}: request {kind!r} timed out after {timeout_ms} ms"
            ) from None

    def publish(self, owner, kind, key, payload):
        """Pass an item to all subscribers and store it for future subscribers."""
        with self._lock:
            previous = self._items.get((kind, key, owner))
            item = SharedItem(
                kind=kind,
                key=key,
                owner=owner,
                version=previous.version + 1 if previous else 1,
                age_ms=0.0,
                payload=payload,
            )
            self._items[(kind, key, owner)] = item
            networks = tuple(self._networks.values())
        for network in networks:
            network.deliver(item)

    def items(self, kind):
        """Return the items of a kind."""
        with self._lock:
            return tuple(item for item in self._items.values() if item.kind == kind)


class LocalPeerNetwork:
    """Peer network of one entry.

    :param hub: the :class:`LocalPeerHub`
    :param member: :class:`monsoonline.ports.Member` of this entry
    """

    def __init__(self, *, hub, member):
        self._hub = hub
        self._member = member
        self._handlers = {}
        self._subscribers = {}

    @property
    def member(self):
        """This entry's own :class:`monsoonline.ports.Member`."""
        return self._member

    @property
    def address(self):
        """Empty string, since in-process messages need no port."""
        return ""

    def start(self):
        """Do nothing: the entry receives messages as soon as it has joined the hub."""

    def close(self):
        """Leave the hub."""
        self._hub.leave(self._member.incarnation)

    def export_metrics(self):
        """Do nothing: there are no byte counters to export."""

    def set_own(self, *, leaving=None, checksum=None, **changes):
        """Change this entry's own :class:`Member`."""
        if leaving is not None:
            changes["state"] = "leaving" if leaving else "alive"
        self._member = dataclasses.replace(self._member, **changes)

    def members(self):
        """Return all known members, this entry first."""
        own = self._member
        others = (m for m in self._hub.members() if m.incarnation != own.incarnation)
        return (own, *others)

    def publish(self, kind, key, payload):
        """Distribute a shared item to all members."""
        self._hub.publish(self._member.name, kind, key, payload)

    def subscribe(self, kind, handler):
        """Call ``handler(item)`` for each newer item of a kind."""
        self._subscribers.setdefault(kind, []).append(handler)
        for item in self._hub.items(kind):
            handler(item)

    def request(self, member, kind, payload, *, timeout_ms):
        """Send a request to one member and return its reply.

        :raises PeerUnavailable: when no reply arrived in time
        """
        return self._hub.request(
            self._member, member, kind, payload, timeout_ms=timeout_ms
        )

    def serve(self, kind, handler):
        """Handle requests of a kind with ``handler(member_name, payload)``."""
        self._handlers[kind] = handler

    def handler(self, kind):
        """Return the handler of a kind, or ``None``."""
        return self._handlers.get(kind)

    def deliver(self, item):
        """Pass an item to the subscribers of its kind."""
        for handler in self._subscribers.get(item.kind, ()):
            handler(item)
