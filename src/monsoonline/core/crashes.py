"""Detection of poison requests, which crash upstreams.

When a connection is lost, every request of this entry in flight at that upstream is
suspected. Entries share the incidents of a fingerprint as a grow-only set, so
merging is idempotent and independent of order. A completed request clears the
suspicion, so a common request that was only in flight during crashes is not
blocked.
"""

import collections
import hashlib
import json
import threading

from monsoonline.core.checked_fields import is_number
from monsoonline.core.strict_json import parse_strict_json

__all__ = [
    "MAX_RECORDED_INCIDENTS",
    "MAX_RECORDED_REPORTS",
    "CrashReport",
    "CrashTracker",
    "includes_reports",
    "merge_reports",
]

CRASHES_TO_BLOCK = 2
# A caller may resend as soon as it has the error response. The delay covers the time
# in which a report reaches all entries, so the entry that receives the resend knows
# of the crash.
RESPONSE_DELAY_MS = 1_500.0
SUSPECT_LIFETIME_MS = 600_000.0
# Time after the newest crash at which a blocked request is tried once more, and the
# same after a trial that has crashed an upstream, too.
FIRST_TRIAL_DELAY_MS = 5_000.0
LATER_TRIAL_DELAY_MS = 180_000.0
MAX_FINGERPRINTS = 4_096
MAX_INCIDENTS = 4
# Limits of what is kept in the store, 20 KB at most.
MAX_RECORDED_REPORTS = 32
MAX_RECORDED_INCIDENTS = 16
# A request that completed within this time before a crash is not suspected of it.
COMPLETION_LIFETIME_MS = 60_000.0
# Connections of one upstream lost within this time count as one crash.
INCIDENT_WINDOW_MS = 500.0


class CrashReport:
    """Crashes during which one request was in flight, a shared item of kind ``crash``.

    Both sets only grow, so merging is idempotent and independent of order.

    :param fingerprint: digest of the request
    :param incidents: ids of crashes during which the request was in flight
    :param cleared: ids of crashes that the request is no longer suspected of, because
        it completed later
    :param age_ms: time since the newest crash or completion that it contains
    """

    __slots__ = ("_age_ms", "_cleared", "_fingerprint", "_incidents")

    def __init__(self, *, fingerprint, incidents, cleared=(), age_ms=0.0):
        self._age_ms = age_ms
        self._fingerprint = fingerprint
        self._incidents = frozenset(incidents)
        self._cleared = frozenset(cleared)

    @property
    def fingerprint(self):
        """Digest of the request."""
        return self._fingerprint

    @property
    def incidents(self):
        """Ids of crashes during which the request was in flight."""
        return self._incidents

    @property
    def cleared(self):
        """Ids of crashes of which a later completion cleared the request."""
        return self._cleared

    @property
    def age_ms(self):
        """Time since the newest crash or completion that it contains, in ms."""
        return self._age_ms

    @property
    def blocks(self):
        """Whether a request with these crashes is refused."""
        return len(self._incidents - self._cleared) >= CRASHES_TO_BLOCK

    def merged_with(self, other):
        """Return the report with the crashes and clearings of both."""
        return CrashReport(
            fingerprint=self._fingerprint,
            incidents=self._incidents | other.incidents,
            cleared=self._cleared | other.cleared,
            age_ms=min(self._age_ms, other.age_ms),
        )

    def encode(self):
        """Return the payload of the shared item, at most 512 bytes."""
        document = {
            "fingerprint": self._fingerprint,
            "incidents": sorted(self._incidents - self._cleared)[:MAX_INCIDENTS],
            "cleared": sorted(self._cleared)[:MAX_INCIDENTS],
            "age_ms": round(self._age_ms),
        }
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, payload):
        """Parse the payload of a shared item.

        :raises ValueError: when the payload is malformed
        """
        try:
            content = payload.encode() if isinstance(payload, str) else payload
            document = parse_strict_json(content)
            fingerprint = document["fingerprint"]
            incidents, cleared = document["incidents"], document["cleared"]
            # Entries of earlier versions do not send the age.
            age_ms = document.get("age_ms", 0)
        except (AttributeError, KeyError, TypeError, ValueError):
            raise ValueError(
                f"invalid crash report {payload[:40]!r}: expected a JSON object with "
                "fingerprint, incidents and cleared"
            ) from None
        lists = isinstance(incidents, list) and isinstance(cleared, list)
        if not isinstance(fingerprint, str) or not lists or not is_duration(age_ms):
            raise ValueError(
                f"invalid crash report {payload[:40]!r}: expected fingerprint to be a "
                "string, incidents and cleared to be lists, and age_ms a duration"
            )
        return cls(
            fingerprint=fingerprint,
            incidents=map(str, incidents),
            cleared=map(str, cleared),
            age_ms=age_ms,
        )


def merge_reports(stored, changed):
    """Return the reports to keep of those in the store and those that have changed.

    Reports that block come first, then the newest, up to a limit. Those that block no
    more are kept as well, since another entry may still hold the crashes.

    :param stored: :class:`CrashReport` items in the store
    :param changed: :class:`CrashReport` items to add
    """
    merged = {r.fingerprint: r for r in stored if r.age_ms <= SUSPECT_LIFETIME_MS}
    for report in changed:
        known = merged.get(report.fingerprint)
        merged[report.fingerprint] = (
            report if known is None else known.merged_with(report)
        )
    ordered = sorted(merged.values(), key=lambda r: (not r.blocks, r.age_ms))
    return tuple(ordered[:MAX_RECORDED_REPORTS])


def includes_reports(kept, reports):
    """Return whether reports contain the crashes and completions of others.

    :param kept: :class:`CrashReport` items
    :param reports: the others
    """
    known = {report.fingerprint: report for report in kept}
    return all(
        report.fingerprint in known
        and report.incidents <= known[report.fingerprint].incidents
        and report.cleared <= known[report.fingerprint].cleared
        for report in reports
    )


def is_duration(value):
    """Return whether a JSON value is a time in ms for which a report is kept."""
    return is_number(value) and 0 <= value <= SUSPECT_LIFETIME_MS


class SuspectedRequest:
    """Crashes during which a request was in flight."""

    __slots__ = ("cleared", "incidents", "observed", "tried_at", "updated_at")

    def __init__(self):
        self.incidents = set()
        self.cleared = set()
        # Whether one of the crashes was observed by this entry.
        self.observed = False
        self.updated_at = float("-inf")
        self.tried_at = float("-inf")

    @property
    def uncleared_count(self):
        """Number of crashes of which the request has not been cleared."""
        return len(self.incidents - self.cleared)


class CrashTracker:
    """Counts, per fingerprint, the crashes during which a request was in flight.

    :param clock: time source
    :param owner: id of the incarnation of this entry
    :param on_change: called after a change that others have to know, in the thread of
        the request that caused it and before the request goes on
    """

    def __init__(self, *, clock, owner, on_change=lambda: None):
        self._on_change = on_change
        self._clock = clock
        self._owner = owner
        self._lock = threading.Lock()
        self._suspects = collections.OrderedDict()
        self._completed = collections.OrderedDict()
        self._running = {}
        self._incidents = {}
        self._incident_count = 0
        self._unshared = []
        # Fingerprints of blocked requests to write to the store, in order.
        self._unrecorded = {}

    def started(self, address, fingerprint):
        """Record that a request was sent to an upstream."""
        with self._lock:
            running = self._running.setdefault(address, collections.Counter())
            running[fingerprint] += 1

    def finished(self, address, fingerprint, *, completed):
        """Record the end of an attempt without a crash.

        :param address: address of the upstream
        :param fingerprint: fingerprint of the request
        :param completed: whether the upstream processed it and responded
        """
        with self._lock:
            self._remove_running(address, fingerprint)
            if not completed:
                return
            self._completed[fingerprint] = self._clock.now()
            self._completed.move_to_end(fingerprint)
            if len(self._completed) > MAX_FINGERPRINTS:
                self._completed.popitem(last=False)
            suspect = self._suspects.get(fingerprint)
            if suspect is not None and suspect.uncleared_count:
                if suspect.uncleared_count >= CRASHES_TO_BLOCK:
                    self._unrecorded[fingerprint] = None
                suspect.cleared |= suspect.incidents
                suspect.updated_at = self._clock.now()
                self._unshared.append(fingerprint)
            else:
                return
        self._on_change()

    def connection_lost(self, address, fingerprint):
        """Record a lost connection and suspect all requests at the upstream.

        :param address: address of the upstream
        :param fingerprint: fingerprint of the request on the connection
        """
        now = self._clock.now()
        changed = False
        with self._lock:
            incident = self._incident_id(address, now)
            running = set(self._running.get(address, ())) | {fingerprint}
            self._remove_running(address, fingerprint)
            for suspect in running:
                # A request that completed recently is not the cause.
                completed_at = self._completed.get(suspect, -COMPLETION_LIFETIME_MS)
                if now - completed_at < COMPLETION_LIFETIME_MS:
                    continue
                if self._merge(suspect, {incident}, set(), now, observed=True):
                    self._unshared.append(suspect)
                    changed = True
        if changed:
            self._on_change()

    def blocked(self, fingerprint):
        """Return whether a request must be refused as a poison request."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                return False
            if self._clock.now() - suspect.updated_at > SUSPECT_LIFETIME_MS:
                del self._suspects[fingerprint]
                return False
            return suspect.uncleared_count >= CRASHES_TO_BLOCK

    def take_trial(self, fingerprint, *, is_owner):
        """Return whether a blocked request is sent once more, and count it as sent.

        A harmless request that was in flight at unrelated crashes clears itself by
        completing. One entry decides for all, so that a request that does crash
        upstreams crashes one more.

        :param fingerprint: fingerprint of the request
        :param is_owner: returns whether this entry decides on the fingerprint
        """
        now = self._clock.now()
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                return True
            first = suspect.uncleared_count <= CRASHES_TO_BLOCK
            delay_ms = FIRST_TRIAL_DELAY_MS if first else LATER_TRIAL_DELAY_MS
            due = now - max(suspect.updated_at, suspect.tried_at) >= delay_ms
            if not due or not is_owner(fingerprint):
                return False
            suspect.tried_at = now
            return True

    def suspected(self, fingerprint):
        """Return whether a request was in flight at a crash and not completed since."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return suspect is not None and suspect.uncleared_count > 0

    def take_reports(self):
        """Return the reports that changed since the last call, to be shared."""
        with self._lock:
            fingerprints, self._unshared = dict.fromkeys(self._unshared), []
            return self._reports(
                fingerprint
                for fingerprint in fingerprints
                if fingerprint in self._suspects
            )

    def take_unrecorded(self):
        """Return the reports of blocked requests that the store lacks.

        Only what this entry has observed itself: a crash while the request was running,
        or a completion after it.
        """
        with self._lock:
            fingerprints, self._unrecorded = self._unrecorded, {}
            return self._reports(f for f in fingerprints if f in self._suspects)

    def record_again(self):
        """Record all blocked requests that this entry knows of.

        The store may have lost what it kept of them, and the entries that have observed
        the crashes may have ended.
        """
        with self._lock:
            self._unrecorded |= {
                fingerprint: None
                for fingerprint, suspect in self._suspects.items()
                if suspect.uncleared_count >= CRASHES_TO_BLOCK
            }
            unrecorded = bool(self._unrecorded)
        if unrecorded:
            self._on_change()

    def restore_unrecorded(self, reports):
        """Return the reports with the next call again, as they are then."""
        with self._lock:
            known = {report.fingerprint: None for report in reports}
            self._unrecorded = known | self._unrecorded

    def latest_reports(self, count):
        """Return the reports of the most recently suspected requests.

        :param count: maximum number of reports
        """
        with self._lock:
            return self._reports(list(self._suspects)[-count:])

    def reports_to_repeat(self, count):
        """Return the reports that entries without them need most.

        Such entries have been started, cut off or paused since the first report.

        :param count: maximum number of reports
        """
        now = self._clock.now()
        with self._lock:
            valid = [
                (suspect.uncleared_count, suspect.updated_at, fingerprint)
                for fingerprint, suspect in self._suspects.items()
                if now - suspect.updated_at <= SUSPECT_LIFETIME_MS
            ]
            return self._reports(f for *_, f in sorted(valid, reverse=True)[:count])

    def observe(self, report):
        """Merge a :class:`CrashReport` of a peer."""
        with self._lock:
            self._merge(
                report.fingerprint,
                report.incidents,
                report.cleared,
                self._clock.now() - report.age_ms,
            )
            unrecorded = bool(self._unrecorded)
        if unrecorded:
            self._on_change()

    def _reports(self, fingerprints):
        now = self._clock.now()
        suspects = ((f, self._suspects[f]) for f in fingerprints)
        return tuple(
            CrashReport(
                fingerprint=fingerprint,
                incidents=suspect.incidents,
                cleared=suspect.cleared,
                age_ms=min(SUSPECT_LIFETIME_MS, max(0.0, now - suspect.updated_at)),
            )
            for fingerprint, suspect in suspects
        )

    def _incident_id(self, address, now):
        known = self._incidents.get(address)
        if known is not None and now - known[1] < INCIDENT_WINDOW_MS:
            return known[0]
        self._incident_count += 1
        text = f"{address}/{self._owner}/{self._incident_count}"
        incident = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        self._incidents[address] = (incident, now)
        return incident

    def _merge(self, fingerprint, incidents, cleared, at, *, observed=False):
        """Add crashes and clearings, the newest of which happened at a time.

        What is known already does not prolong the suspicion, although entries repeat
        their reports.

        :param observed: whether this entry has observed the crashes
        :returns: whether anything was not known
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = SuspectedRequest()
            if len(self._suspects) > MAX_FINGERPRINTS:
                self._suspects.popitem(last=False)
        suspect.observed = suspect.observed or observed
        if incidents <= suspect.incidents and cleared <= suspect.cleared:
            return False
        suspect.updated_at = max(suspect.updated_at, at)
        suspect.incidents |= incidents
        suspect.cleared |= cleared
        if suspect.observed and suspect.uncleared_count >= CRASHES_TO_BLOCK:
            self._unrecorded[fingerprint] = None
        return True

    def _remove_running(self, address, fingerprint):
        running = self._running.get(address)
        if running is None:
            return
        running[fingerprint] -= 1
        if running[fingerprint] <= 0:
            del running[fingerprint]
        if not running:
            del self._running[address]
