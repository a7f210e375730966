"""Stand-in for the peer network: exchanges messages between entries in one process."""

from monsoonline.errors import PeerUnavailable
from monsoonline.ports import Member

__all__ = ["MAX_MESSAGE_BYTES", "PeerNetworkStandIn"]

MAX_MESSAGE_BYTES = 1 << 20


class PeerNetworkStandIn:
    """Connects the configurations of several entries by function calls.

    The revision and readiness of members are read from the attached configurations,
    in place of gossip.
    """

    def __init__(self):
        self._configurations = {}
        self._handlers = {}
        self._isolated = frozenset()
        self._gossip_enabled = True
        self._message_sizes = []

    @property
    def configurations(self):
        """The attached configurations by entry name."""
        return self._configurations

    @property
    def message_sizes(self):
        """Sizes in bytes of the messages exchanged, in order."""
        return tuple(self._message_sizes)

    def port(self, name):
        """Return the :class:`monsoonline.ports.PeerNetwork` of an entry.

        A restarted entry requests a new port under the same name.
        """
        self._handlers[name] = {}
        return PeerPort(network=self, name=name)

    def attach(self, name, configuration):
        """Use a configuration as the state reported for member ``name``."""
        self._configurations[name] = configuration

    def isolate(self, *names):
        """Disconnect exactly these entries and reconnect all others."""
        self._isolated = frozenset(names)

    def set_gossip(self, enabled):
        """Set whether members' revisions are reported; when disabled, they are 0."""
        self._gossip_enabled = enabled

    def handler(self, name, kind):
        """Return the handler registered by an entry for a kind of request."""
        return self._handlers[name][kind]

    def serve(self, name, kind, handler):
        """Register ``handler`` for requests of a kind to an entry."""
        self._handlers[name][kind] = handler

    def members(self):
        """Return all attached entries."""
        return tuple(
            Member(
                name=name,
                incarnation=name,
                address="",
                peer_address="",
                failure_domain="",
                ready=configuration.ready,
                revision=configuration.revision if self._gossip_enabled else 0,
            )
            for name, configuration in self._configurations.items()
        )

    def request(self, sender, name, kind, payload):
        """Deliver a request and return the reply.

        :raises PeerUnavailable: when the sender or the recipient is isolated
        :raises ValueError: when a message is larger than 1 MiB
        """
        if {sender, name} & self._isolated:
            raise PeerUnavailable(f"{name!r} does not reply")
        self._check_size(payload)
        reply = self._handlers[name][kind](sender, payload)
        self._check_size(reply)
        return reply

    def _check_size(self, content):
        self._message_sizes.append(len(content))
        if len(content) > MAX_MESSAGE_BYTES:
            raise ValueError(
                f"message of {len(content)} bytes, maximum {MAX_MESSAGE_BYTES}"
            )


class PeerPort:
    """The peer network as seen by one entry; only requests and membership.

    :param network: the :class:`PeerNetworkStandIn`
    :param name: name of the entry
    """

    def __init__(self, *, network, name):
        self._network = network
        self._name = name

    def members(self):
        """Return all members, this entry included."""
        return self._network.members()

    def request(self, member, kind, payload, *, timeout_ms):
        """Send a request to a member and return its reply.

        :raises PeerUnavailable: when no reply is received
        """
        return self._network.request(self._name, member.name, kind, payload)

    def serve(self, kind, handler):
        """Register ``handler(member_name, payload)`` for requests of a kind."""
        self._network.serve(self._name, kind, handler)
