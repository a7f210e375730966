"""Upstreams that leave, which is final for each of their starts."""

import collections
import dataclasses

__all__ = ["Departures"]

# Far more than leave within the time for which a write can be late, at any size.
MAX_DEPARTURES = 20_000
# Departures that are sent to an entry that has just started.
MAX_SENT_DEPARTURES = 200


class Departures:
    """Remembers which starts of upstreams have been seen to leave.

    The store may perform a write late, and another entry may know an older state, so
    what says last that an upstream is ready need not be the newest. An upstream that
    has once been leaving stays so until it starts anew, which ``born_ms`` shows.
    """

    def __init__(self):
        # Pairs of id and start time, the latest last.
        self._left = collections.OrderedDict()

    def note(self, instance, born_ms):
        """Record that an upstream leaves.

        :param instance: id of the upstream
        :param born_ms: start time that it registered
        :returns: whether that was not known
        """
        key = (instance, born_ms)
        if key in self._left:
            return False
        self._left[key] = None
        if len(self._left) > MAX_DEPARTURES:
            self._left.popitem(last=False)
        return True

    def latest(self):
        """Return the latest pairs of id and start time, for a new entry."""
        return tuple(self._left)[-MAX_SENT_DEPARTURES:]

    def apply(self, registrations):
        """Return registrations in which all that have left are leaving.

        :param registrations: :class:`monsoonline.core.registrations.Registration` by
            instance; those that are leaving are noted
        """
        applied = {}
        for instance, registration in registrations.items():
            if registration.leaving:
                self.note(instance, registration.born_ms)
            elif (instance, registration.born_ms) in self._left:
                registration = dataclasses.replace(registration, leaving=True)
            applied[instance] = registration
        return applied
