"""Registrations of upstreams and the newest known list of them."""

import dataclasses
import hashlib
import re

__all__ = [
    "EXPIRY_GRACE_MS",
    "MAX_SLOTS",
    "Listing",
    "Registration",
    "RegistrationDelta",
    "RegistrationList",
    "is_instance",
]

MAX_SLOTS = 100_000
# Ids are sent in headers.
INSTANCE = re.compile(r"[!-~]{1,200}")

# A registration that expired during a store failure is renewed within two seconds of
# the store's recovery; the remaining 0.5 s cover the interval between two reads.
EXPIRY_GRACE_MS = 2_500.0
DIGEST_BYTES = 6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """Registration that an upstream makes for itself.

    :param instance: id of the upstream, usually new after a restart
    :param pool: name of the pool it belongs to
    :param address: ``host:port`` with an IP address
    :param failure_domain: failure domain in which it runs
    :param slots: requests that it processes concurrently
    :param leaving: whether it accepts no new requests
    :param born_ms: start time in ms since 1970, which distinguishes two starts with the
        same id; never compared with a clock
    :param cold: whether it is still slow after a cold start
    """

    instance: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    born_ms: int = 0
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """All registrations at one revision of the store.

    :param revision: the store's revision
    :param registrations: the registrations
    """

    revision: int
    registrations: tuple[Registration, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegistrationDelta:
    """Difference between two states of a registration list.

    :param revision: revision of the later state
    :param base: digest of the earlier state
    :param digest: digest of the later state
    :param changed: new and changed registrations
    :param removed: ids of removed registrations
    """

    revision: int
    base: str
    digest: str
    changed: tuple[Registration, ...] = ()
    removed: tuple[str, ...] = ()


def is_instance(text):
    """Return whether a text can be the id of an upstream."""
    return INSTANCE.fullmatch(text) is not None


def digest_of(registrations):
    """Return a short digest of a dict of registrations, whatever its order."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for instance in sorted(registrations):
        digest.update(repr(dataclasses.astuple(registrations[instance])).encode())
    return digest.hexdigest()


class RegistrationList:
    """The newest registrations known to an entry.

    Every state was read from the store by some entry; a higher revision replaces a
    lower one, no matter which entry read it.
    """

    def __init__(self):
        self._revision = 0
        self._registrations = {}
        self._missing_since = {}
        self._digest = digest_of({})

    @property
    def revision(self):
        """Revision of the store for this state, 0 before the first read."""
        return self._revision

    @property
    def digest(self):
        """Digest of the state; equal states have equal digests."""
        return self._digest

    @property
    def registrations(self):
        """The registrations by id; callers must not modify them."""
        return self._registrations

    def apply_listing(self, listing, *, now, ms_since_store_failure=None):
        """Apply a listing that this entry read from the store.

        :param listing: the :class:`Listing`
        :param now: the time in ms
        :param ms_since_store_failure: time in ms since the last failure of the
            store, ``None`` if there was none; soon after one, a missing registration is
            kept for :data:`EXPIRY_GRACE_MS`, since it may be renewed
        :returns: the :class:`RegistrationDelta`, ``None`` for an older listing
        """
        if listing.revision <= self._revision:
            return None
        listed = {r.instance: r for r in listing.registrations}
        store_is_stable = (
            ms_since_store_failure is None or ms_since_store_failure > EXPIRY_GRACE_MS
        )
        kept = {}
        for instance, known in self._registrations.items():
            if instance in listed or store_is_stable or known.leaving:
                continue
            since = self._missing_since.get(instance, now)
            if now - since <= EXPIRY_GRACE_MS:
                kept[instance] = known
                self._missing_since[instance] = since
        self._missing_since = {i: self._missing_since[i] for i in kept}
        return self._replace(listing.revision, listed | kept)

    def apply_delta(self, delta):
        """Apply the changes that another entry read from the store.

        :param delta: the :class:`RegistrationDelta`
        :returns: whether this list now has the delta's state or a newer one; otherwise
            the complete state has to be fetched
        """
        if delta.revision <= self._revision:
            return True
        if delta.digest == self._digest:
            self._replace(delta.revision, self._registrations)
            return True
        if delta.base != self._digest:
            return False
        registrations = dict(self._registrations)
        for instance in delta.removed:
            registrations.pop(instance, None)
        registrations.update((r.instance, r) for r in delta.changed)
        if digest_of(registrations) != delta.digest:
            return False
        self._replace(delta.revision, registrations)
        return True

    def apply_full_state(self, revision, registrations):
        """Apply the complete state of another entry; return whether it was newer."""
        if revision <= self._revision:
            return False
        self._replace(revision, {r.instance: r for r in registrations})
        return True

    def _replace(self, revision, registrations):
        before = self._registrations
        base = self._digest
        changed = tuple(
            r for instance, r in registrations.items() if before.get(instance) != r
        )
        removed = tuple(i for i in before if i not in registrations)
        self._revision = revision
        if changed or removed:
            self._registrations = registrations
            self._digest = digest_of(registrations)
        return RegistrationDelta(
            revision=revision,
            base=base,
            digest=self._digest,
            changed=changed,
            removed=removed,
        )
