"""Registrations of a store that was restored from an older copy."""

import collections
import dataclasses

from monsoonline.core.registrations import EXPIRY_GRACE_MS

__all__ = ["REMOVAL_HOLD_MS", "Removal", "RestoredRegistrations"]

# Time after the start of an era in which the store removes the upstreams that have
# ended but are registered in the older copy: several of their heartbeats.
REMOVAL_HOLD_MS = 10_000.0
MAX_REMOVALS = 20_000
# Removals that are sent to an entry that has just started.
MAX_SENT_REMOVALS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Removal:
    """The removal of one start of an upstream.

    :param instance: id of the upstream
    :param born_ms: start time that it registered
    :param era: era of the store in which it was removed
    """

    instance: str
    born_ms: int
    era: int


class RestoredRegistrations:
    """Corrects what an older copy of the store says of upstreams.

    The copy lacks the upstreams that have registered since it was made, until they
    register again, and it contains those that have been removed since. Both
    corrections end with time.

    :param eras: :class:`monsoonline.core.store_revisions.EraWatch`
    """

    def __init__(self, *, eras):
        self._eras = eras
        # Eras of the removals by id and start time, the latest last.
        self._removals = collections.OrderedDict()
        # Registrations that the copy lacks, with the time since which they are missing.
        self._retained = {}
        self._hiding = False
        # Era whose registrations are believed, since the store had time to remove.
        self._believed_era = None

    @property
    def correcting(self):
        """Whether registrations are added or left out, which ends with time."""
        return self._hiding or bool(self._retained)

    def note(self, removal):
        """Record a :class:`Removal`."""
        key = (removal.instance, removal.born_ms)
        self._removals[key] = max(removal.era, self._removals.pop(key, 0))
        if len(self._removals) > MAX_REMOVALS:
            self._removals.popitem(last=False)

    def note_read(self, now):
        """Record that a new state of the store was read.

        What the store removes again in time may be missed by an entry that is cut off,
        so that only a read ends the time for which a removed upstream is not used.
        """
        if self._eras.ms_since_seen(now) > REMOVAL_HOLD_MS:
            self._believed_era = self._eras.era

    def note_changes(self, before, after, *, eras, now):
        """Record which starts of upstreams are no longer registered.

        :param before: :class:`monsoonline.core.registrations.Registration` by instance
        :param after: the same after the change
        :param eras: eras of the store before and after the change; a copy may lack
            what was not removed
        :param now: current time in ms
        """
        for instance, known in before.items():
            current = after.get(instance)
            if current is not None and current.born_ms == known.born_ms:
                continue
            if eras[0] == eras[1]:
                self._note_removed(known, eras[1])
            elif not known.leaving and self._is_lost(known, current):
                self._retained.setdefault(instance, (known, now))

    def apply(self, registrations, now):
        """Return the corrected registrations.

        :param registrations: the registrations of the store by instance
        :param now: current time in ms
        """
        applied = {}
        for instance, registration in registrations.items():
            if not self._is_removed(registration):
                applied[instance] = registration
                self._removals.pop((instance, registration.born_ms), None)
        self._hiding = len(applied) < len(registrations)
        for instance, (known, since) in list(self._retained.items()):
            current = registrations.get(instance)
            registered = current is not None and current.born_ms >= known.born_ms
            if registered or now - since > EXPIRY_GRACE_MS:
                del self._retained[instance]
            else:
                applied[instance] = known
        return applied

    def latest_removals(self):
        """Return the latest :class:`Removal` items, for an entry that has started."""
        latest = list(self._removals.items())[-MAX_SENT_REMOVALS:]
        return tuple(
            Removal(instance=instance, born_ms=born_ms, era=era)
            for (instance, born_ms), era in latest
        )

    def _note_removed(self, registration, era):
        instance, born_ms = registration.instance, registration.born_ms
        self.note(Removal(instance=instance, born_ms=born_ms, era=era))

    def _is_lost(self, known, current):
        """Return whether the copy may lack a start of an upstream."""
        older = current is None or current.born_ms < known.born_ms
        return older and not self._was_removed(known)

    def _is_removed(self, registration):
        """Return whether only the copy contains a start of an upstream."""
        held = self._believed_era != self._eras.era
        return held and self._was_removed(registration)

    def _was_removed(self, registration):
        """Return whether a start of an upstream was removed in an earlier era."""
        key = (registration.instance, registration.born_ms)
        era = self._eras.era
        return self._removals.get(key, era) < era
