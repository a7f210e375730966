"""Stand-in for the peer network: messages between entries of one process."""

from monsoonline.errors import PeerUnavailable
from monsoonline.ports import Member

__all__ = ["MESSAGE_LIMIT_BYTES", "PeerNetworkStandIn"]

MESSAGE_LIMIT_BYTES = 1 << 20


class PeerNetworkStandIn:
    """Connects the configurations of several entries by function calls.

    Members' revisions and readiness are read from the attached configurations, as
    gossip would report them.
    """

    def __init__(self):
        self._configurations = {}
        self._handlers = {}
        self._cut = frozenset()
        self._gossip = True
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

        A restarted entry takes a new port under the same name.
        """
        self._handlers[name] = {}
        return PeerPort(network=self, name=name)

    def attach(self, name, configuration):
        """Report the state of a configuration as that of member ``name``."""
        self._configurations[name] = configuration

    def cut(self, *names):
        """Cut off these entries and reconnect all others."""
        self._cut = frozenset(names)

    def set_gossip(self, enabled):
        """Set whether members' revisions are reported; otherwise they are 0."""
        self._gossip = enabled

    def handler(self, name, kind):
        """Return the handler that an entry serves for a kind of request."""
        return self._handlers[name][kind]

    def serve(self, name, kind, handler):
        """Answer requests of a kind to an entry with ``handler``."""
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
                revision=configuration.revision if self._gossip else 0,
            )
            for name, configuration in self._configurations.items()
        )

    def request(self, sender, name, kind, payload):
        """Deliver a request and return the reply.

        :raises PeerUnavailable: when one of the two is cut off
        :raises ValueError: when a message is larger than 1 MiB
        """
        if {sender, name} & self._cut:
            raise PeerUnavailable(f"{name!r} does not reply")
        self._check_size(payload)
        reply = self._handlers[name][kind](sender, payload)
        self._check_size(reply)
        return reply

    def _check_size(self, content):
        self._message_sizes.append(len(content))
        if len(content) > MESSAGE_LIMIT_BYTES:
            raise ValueError(
                f"message of {len(content)} bytes, valid: up to {MESSAGE_LIMIT_BYTES}"
            )


class PeerPort:
    """The side of one entry; requests and membership only.

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

        :raises PeerUnavailable: when no reply came
        """
        return self._network.request(self._name, member.name, kind, payload)

    def serve(self, kind, handler):
        """Answer requests of a kind with ``handler(member_name, payload)``."""
        self._network.serve(self._name, kind, handler)
