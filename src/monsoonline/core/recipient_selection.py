"""Selection of message recipients, so that traffic grows slowly with the fleet.

Traffic between failure domains is billed, and every entry sends messages. Each
message goes to a few other entries and lists a few members, which keeps the cost of
an entry constant at any fleet size. Members and failures still reach all entries that
use them.
"""

import random

__all__ = ["RecipientSelector"]

# Number of rounds between heartbeats to other failure domains; each of these goes to
# one random member of the domain.
REMOTE_HEARTBEAT_ROUNDS = 3
# Members of this entry's failure domain that get each heartbeat and load notice.
LOCAL_RECIPIENTS = 6
# Members listed in a heartbeat. Six heartbeats a round list each of 80 members once or
# twice.
LOCAL_MEMBERS_LISTED = 24
# Members listed in a heartbeat to another failure domain. Its entries only need a few
# addresses to send messages to, and keep each for FORGET_TIMEOUT_MS.
REMOTE_MEMBERS_LISTED = 8
# Members of each other failure domain that get a failure notice. Upstreams are used
# mostly by entries of their own domain, which all get it.
REMOTE_FAILURE_RECIPIENTS = 4


class RecipientSelector:
    """Chooses the recipients of messages and the members listed in them.

    :param fleet: :class:`monsoonline.core.fleet.Fleet`
    :param generator: :class:`random.Random`, a fresh one when omitted
    """

    def __init__(self, *, fleet, generator=None):
        self._fleet = fleet
        self._generator = generator or random.Random()
        self._round = 0

    def next_heartbeat(self):
        """Start a round; return the local and the remote heartbeat recipients."""
        self._round += 1
        local, remote_domains = self._by_domain(self._fleet.others())
        if self._round % REMOTE_HEARTBEAT_ROUNDS:
            remote_domains = ()
        remote = [self._generator.choice(members) for members in remote_domains]
        return self._sample(local, LOCAL_RECIPIENTS), remote

    def members_for(self, now, *, remote):
        """Return the :class:`monsoonline.core.fleet.MemberAge` items of a heartbeat.

        :param now: the time in ms
        :param remote: whether the heartbeat goes to another failure domain
        """
        ages = self._fleet.ages(now, failure_domain=self._fleet.own.failure_domain)
        return tuple(
            self._sample(
                ages, REMOTE_MEMBERS_LISTED if remote else LOCAL_MEMBERS_LISTED
            )
        )

    def load_recipients(self, now):
        """Return the recipients of a load notice."""
        local, _ = self._by_domain(self._fleet.alive(now))
        return self._sample(local, LOCAL_RECIPIENTS)

    def failure_recipients(self, now):
        """Return the recipients of a notice of upstream failures."""
        local, remote_domains = self._by_domain(self._fleet.alive(now))
        for members in remote_domains:
            local += self._sample(members, REMOTE_FAILURE_RECIPIENTS)
        return local

    def _by_domain(self, members):
        """Return the members of this failure domain, and a list for each other one."""
        by_domain = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        local = by_domain.pop(self._fleet.own.failure_domain, [])
        return local, tuple(by_domain.values())

    def _sample(self, items, count):
        return self._generator.sample(items, min(count, len(items)))
