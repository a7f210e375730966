"""Revisions of the shared store over all copies that it has been restored from."""

__all__ = ["MAX_ERA", "EraWatch", "StoreRevision"]

VERSION_BITS = 48
MAX_VERSION = (1 << VERSION_BITS) - 1
# Revisions are sent as integers of 63 bits.
MAX_ERA = (1 << 15) - 1


class StoreRevision(int):
    """A version of the store in one of its eras; orders by era, then by version.

    A store that is restored from an older copy begins a new era and issues versions
    again that it has issued before. Without eras, the revision is the version.
    """

    __slots__ = ()

    @classmethod
    def of(cls, *, era, version):
        """Return the revision of a version.

        :param era: number of times that the store has been restored
        :param version: version that the store states
        :raises ValueError: when one of them is out of range
        """
        if not 0 <= era <= MAX_ERA:
            raise ValueError(f"era {era!r}, expected an integer from 0 to {MAX_ERA}")
        if not 0 <= version <= MAX_VERSION:
            raise ValueError(
                f"version {version!r}, expected an integer from 0 to {MAX_VERSION}"
            )
        return cls(era << VERSION_BITS | version)

    @property
    def era(self):
        """Number of times that the store has been restored."""
        return int(self) >> VERSION_BITS

    @property
    def version(self):
        """Version that the store stated."""
        return int(self) & MAX_VERSION

    def log_fields(self):
        """Return the fields of a log line that names the revision."""
        return {"revision": self.version, "era": self.era}

    def describe(self):
        """Return a text for people, such as ``2.1403`` for a version of era 2."""
        return f"{self.era}.{self.version}" if self.era else str(self.version)


class EraWatch:
    """Time since the newest known era of the store was first heard of."""

    def __init__(self):
        self._era = None
        self._seen_at = None

    @property
    def era(self):
        """The newest known era, 0 before the first."""
        return self._era or 0

    def note(self, revision, now):
        """Record a revision that the store or another entry has stated.

        :param revision: a revision of the store, as an integer
        :param now: current time in ms
        :returns: whether it begins an era after another known one
        """
        era = StoreRevision(revision).era
        if self._era is not None and era <= self._era:
            return False
        first = self._era is None
        self._era, self._seen_at = era, now
        return not first

    def ms_since_seen(self, now):
        """Return the time in ms since the newest era was first heard of."""
        return 0.0 if self._seen_at is None else now - self._seen_at
