"""Records of one entry incarnation that make requests run at most once.

An idempotency key is ``<incarnation>-<window>.<random>``. Only the incarnation named
in a key may start its request, so two entries never both run it. Windows are counted
on the incarnation's own monotonic clock; clocks of different machines are never
compared.
"""

import dataclasses
import enum
import re
import secrets
import threading

from monsoonline.errors import Refusal
from monsoonline.types import Answer, Outcome

__all__ = [
    "AdoptedRecords",
    "FinalRefusal",
    "Key",
    "KeyState",
    "KeyStatus",
    "Ledger",
    "LedgerExport",
    "LedgerLimits",
    "Record",
    "parse_key",
]

INCARNATION_BITS = 64
WINDOW_MS = 60_000.0
RETENTION_WINDOWS = 10
# The limit on the random part bounds the memory that a caller can occupy per key.
KEY_PATTERN = re.compile(r"([0-9a-f]{16})-([0-9]{1,12})\.([A-Za-z0-9_-]{1,64})")
KEY_FORMAT = "<token>.<random> with 1 to 64 letters, digits, '-' or '_'"
# Fingerprint of tombstones. Those of requests are hexadecimal, so none is equal to it.
TOMBSTONE = "tombstone"
EXPIRED_CODE = "key-expired"
# Few distinct refusals occur, so records share equal ones. Beyond this number of
# distinct ones each record keeps its own.
MAX_INTERNED_REFUSALS = 256
MAX_REFUSAL_MESSAGE_CHARACTERS = 200


class KeyState(enum.Enum):
    """State of an idempotency key."""

    FINISHED = "finished"
    RUNNING = "running"
    REFUSED = "refused"
    NEVER_STARTED = "never-started"
    EXPIRED = "expired"
    MISMATCH = "mismatch"
    UNDECIDED = "undecided"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FinalRefusal:
    """The ``NOT_RUN`` refusal recorded for a key, which never starts afterwards.

    :param code: stable identifier of the cause
    :param message: human-readable description
    :param status: HTTP status code
    :param retry_after_ms: delay in ms before a retry with a new key, or ``None``
    """

    code: str
    message: str
    status: int
    retry_after_ms: float | None = None

    @classmethod
    def from_refusal(cls, refusal):
        """Create the record of a :class:`monsoonline.errors.Refusal`.

        :raises ValueError: when its outcome is not ``NOT_RUN``
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            raise ValueError(f"outcome is {refusal.outcome!r}, expected NOT_RUN")
        return cls(
            code=refusal.code,
            message=refusal.message[:MAX_REFUSAL_MESSAGE_CHARACTERS],
            status=refusal.status,
            retry_after_ms=refusal.retry_after_ms,
        )

    def to_refusal(self):
        """Return a new :class:`monsoonline.errors.Refusal` to raise."""
        return Refusal(
            self.message,
            code=self.code,
            outcome=Outcome.NOT_RUN,
            status=self.status,
            retry_after_ms=self.retry_after_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyStatus:
    """Reply to a query about a key.

    :param state: :class:`KeyState`; only ``NEVER_STARTED`` and ``REFUSED`` guarantee
        that the key never starts
    :param answer: the recorded response of a finished key
    :param refusal: the recorded :class:`FinalRefusal` of a refused key
    """

    state: KeyState
    answer: Answer | None = None
    refusal: FinalRefusal | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A parsed idempotency key.

    :param incarnation: the only process that may start the key
    :param window: number of the window in which its token was issued
    """

    incarnation: str
    window: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerLimits:
    """Limits of the memory used by records.

    :param records: number of running, finished and refused keys
    :param tombstones: number of tombstones; limited separately, so that queries for
        keys that were never sent cannot use up the records of real requests
    :param answer_bytes: size in bytes of the largest recorded response
    :param total_answer_bytes: total size in bytes of all recorded responses
    """

    records: int = 50_000
    tombstones: int = 5_000
    answer_bytes: int = 64 << 10
    total_answer_bytes: int = 16 << 20


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """State of one key that was started or refused.

    :param fingerprint: digest of the request sent with the key
    :param result: the recorded :class:`monsoonline.types.Answer` or
        :class:`FinalRefusal`, ``None`` while the request runs
    :param settled: event set once there is a result; created only when a resend
        waits, since an event per record would triple the memory
    """

    fingerprint: str
    result: Answer | FinalRefusal | None = None
    settled: threading.Event | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerExport:
    """Records of a closed incarnation.

    :param incarnation: the incarnation that the records belong to
    :param window: number of the window in which it was closed
    :param finished: fingerprint and response by key
    :param refused: fingerprint and :class:`FinalRefusal` by key
    :param running: keys whose outcome was unknown at the time of the export
    """

    incarnation: str
    window: int
    finished: dict[str, tuple[str, Answer]]
    refused: dict[str, tuple[str, FinalRefusal]] = dataclasses.field(
        default_factory=dict
    )
    running: tuple[str, ...] = ()

    @property
    def record_count(self):
        """Number of finished and refused keys."""
        return len(self.finished) + len(self.refused)

    def find(self, key):
        """Return the :class:`Record` of a finished or refused key, or ``None``."""
        found = self.finished.get(key) or self.refused.get(key)
        return found and Record(fingerprint=found[0], result=found[1])


def parse_key(key):
    """Split a key into its parts.

    :param key: the key as sent by a caller
    :returns: :class:`Key`
    :raises Refusal: ``NOT_RUN`` with status 400 when the key is malformed
    """
    match = KEY_PATTERN.fullmatch(key)
    if match is None:
        raise Refusal(
            f"key {key[:96]!r} is not valid, expected {KEY_FORMAT}",
            code="key-invalid",
            outcome=Outcome.NOT_RUN,
            status=400,
        )
    return Key(incarnation=match[1], window=int(match[2]))


def mismatch_refusal():
    """Return the refusal of a key that was already used for another request."""
    return Refusal(
        "the key was already used for another request",
        code="key-reused",
        outcome=Outcome.NOT_RUN,
        status=422,
    )


def expired_refusal():
    """Return the refusal of a key whose retention has expired."""
    return Refusal(
        "the records of this key have expired; the request may have run",
        code=EXPIRED_CODE,
        outcome=Outcome.UNKNOWN,
        status=409,
    )


def running_refusal():
    """Return the refusal of a resend whose first request is still running."""
    return Refusal(
        "the first request with this key has no response yet",
        code="key-running",
        outcome=Outcome.UNKNOWN,
        status=409,
        retry_after_ms=1000.0,
    )


def placeholder_answer(answer):
    """Return the short response recorded in place of one that is too large."""
    body = (
        b'{"outcome":"unknown","code":"answer-not-kept","message":"the request ran '
        b'and ended with status %d; its answer was too large to keep"}' % answer.status
    )
    headers = (
        ("Content-Type", "application/json"),
        ("Monsoonline-Outcome", Outcome.UNKNOWN.value),
    )
    return Answer(status=409, headers=headers, body=body)


def answer_size(answer):
    """Return the size in bytes that counts towards the limits of responses."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


class Ledger:
    """Records of the keys that this incarnation started or refused.

    A ``NOT_RUN`` refusal is final for its key. Its record is kept, so that a copy of
    the request still in a socket buffer cannot run after the caller was told that the
    request did not run.

    :param clock: source of time
    :param incarnation: 64 bits in hexadecimal, random by default
    :param limits: :class:`LedgerLimits`
    :param admission: function called before a key starts; raises a ``NOT_RUN``
        :class:`Refusal` while this entry must not start requests
    """

    def __init__(self, *, clock, incarnation=None, limits=None, admission=None):
        self._clock = clock
        self._incarnation = incarnation or secrets.token_hex(INCARNATION_BITS // 8)
        self._limits = limits or LedgerLimits()
        self._admission = admission
        self._started_at = clock.now()
        self._windows = {}
        self._oldest_window = 0
        self._record_count = 0
        self._tombstone_count = 0
        self._answer_bytes = 0
        self._interned_refusals = {}
        self._closed = False
        self._lock = threading.Lock()

    @property
    def incarnation(self):
        """Identifier of this process, never reused by a later one."""
        return self._incarnation

    @property
    def window(self):
        """Number of the current window on this incarnation's clock."""
        return int((self._clock.now() - self._started_at) // WINDOW_MS)

    @property
    def closed(self):
        """Whether this incarnation starts no more keys."""
        return self._closed

    @property
    def record_count(self):
        """Number of records kept, excluding tombstones."""
        return self._record_count

    @property
    def tombstone_count(self):
        """Number of tombstones kept."""
        return self._tombstone_count

    @property
    def answer_bytes(self):
        """Total size in bytes of the recorded responses."""
        return self._answer_bytes

    def token(self):
        """Return the token that callers use as prefix of their keys."""
        return f"{self._incarnation}-{self.window}"

    def begin(self, key, fingerprint, *, deadline):
        """Start a key, or wait for the result of a request that is already running.

        :param key: ``<incarnation>-<window>.<random>``
        :param fingerprint: digest of the request
        :param deadline: time in ms until which to wait for a running request
        :returns: ``None`` when the caller of this method must run the request,
            otherwise the recorded response
        :raises Refusal: when the key must not start here, was refused, was used for
            another request, or has no response by the deadline
        """
        parsed = parse_key(key)
        if parsed.incarnation != self._incarnation:
            raise Refusal(
                "the key belongs to another entry, which cannot be reached",
                code="key-owner-unreachable",
                outcome=Outcome.UNKNOWN,
                status=409,
            )
        while True:
            with self._lock:
                record = self._find(key, parsed)
                if record is None:
                    self._start(key, parsed, fingerprint)
                    return None
                self._check_fingerprint(record, fingerprint)
                if isinstance(record.result, FinalRefusal):
                    raise record.result.to_refusal()
                if record.result is not None:
                    return record.result
                if record.settled is None:
                    record.settled = threading.Event()
            remaining_ms = deadline - self._clock.now()
            if remaining_ms <= 0 or not record.settled.wait(remaining_ms / 1e3):
                raise running_refusal()

    def finish(self, key, answer):
        """Record the response of a started key, including one of unknown outcome."""
        with self._lock:
            record = self._windows.get(parse_key(key).window, {}).get(key)
            if record is None or record.result is not None:
                return
            size = answer_size(answer)
            total = self._answer_bytes + size
            if (
                size > self._limits.answer_bytes
                or total > self._limits.total_answer_bytes
            ):
                answer = placeholder_answer(answer)
                size = answer_size(answer)
            self._answer_bytes += size
            record.result = answer
            self._notify_waiters(record)

    def refuse(self, key, refusal):
        """Record that the request of a started key did not run and never will.

        :param key: a key that :meth:`begin` started
        :param refusal: ``NOT_RUN`` :class:`monsoonline.errors.Refusal`, also returned
            to resends
        :raises ValueError: when the outcome is not ``NOT_RUN``
        """
        final = FinalRefusal.from_refusal(refusal)
        with self._lock:
            # A key whose window has expired in the meantime has no record and cannot
            # start again.
            record = self._windows.get(parse_key(key).window, {}).get(key)
            if record is None or record.result is not None:
                return
            record.result = self._intern(final)
            self._notify_waiters(record)

    def query(self, key, fingerprint=None):
        """Return the status of a key for another entry.

        A key that has not started is fenced: a tombstone prevents it from starting.

        :param key: a key of this incarnation
        :param fingerprint: digest of the resent request, ``None`` to skip the check
        :returns: :class:`KeyStatus`; after ``NEVER_STARTED`` the key cannot start
        :raises Refusal: when the key is malformed
        """
        parsed = parse_key(key)
        if parsed.incarnation != self._incarnation:
            return KeyStatus(state=KeyState.UNDECIDED)
        with self._lock:
            try:
                record = self._find(key, parsed)
            except Refusal as refusal:
                expired = refusal.code == EXPIRED_CODE
                state = KeyState.EXPIRED if expired else KeyState.UNDECIDED
                return KeyStatus(state=state)
            if record is None:
                return KeyStatus(state=self._fence(key, parsed))
            return status_of(record, fingerprint)

    def close(self):
        """Permanently stop starting keys; recorded responses remain available."""
        with self._lock:
            self._closed = True

    def export(self):
        """Return the records for handover.

        :returns: :class:`LedgerExport`
        :raises RuntimeError: when the ledger is not closed, since a key started after
            the export would be reported as never started
        """
        with self._lock:
            if not self._closed:
                raise RuntimeError("the ledger is open; call close() before export()")
            finished = {}
            refused = {}
            running = []
            for records in self._windows.values():
                for key, record in records.items():
                    if isinstance(record.result, FinalRefusal):
                        refused[key] = (record.fingerprint, record.result)
                    elif record.result is not None:
                        finished[key] = (record.fingerprint, record.result)
                    elif record.fingerprint != TOMBSTONE:
                        running.append(key)
            return LedgerExport(
                incarnation=self._incarnation,
                window=self.window,
                finished=finished,
                refused=refused,
                running=tuple(running),
            )

    def _find(self, key, parsed):
        current = self.window
        self._expire(current)
        if parsed.window > current:
            # A NOT_RUN refusal must be recorded until the window expires, which may be
            # years from now. Without a record the key may still start later, so the
            # outcome is unknown.
            raise Refusal(
                f"window {parsed.window!r} has not started, expected at most {current}",
                code="key-future",
                outcome=Outcome.UNKNOWN,
                status=400,
            )
        if parsed.window < current - RETENTION_WINDOWS:
            raise expired_refusal()
        records = self._windows.get(parsed.window)
        return records.get(key) if records else None

    def _start(self, key, parsed, fingerprint):
        if self._closed:
            raise Refusal(
                "this entry is stopping and starts no more requests",
                code="entry-stopping",
                outcome=Outcome.NOT_RUN,
                status=503,
            )
        if self._record_count >= self._limits.records:
            # Refusing with NOT_RUN would require a record: without one a copy of the
            # request could start once there is space.
            raise Refusal(
                f"all {self._limits.records} records are in use",
                code="records-full",
                outcome=Outcome.UNKNOWN,
                status=503,
                retry_after_ms=WINDOW_MS,
            )
        refusal = self._admission_refusal()
        record = Record(fingerprint=fingerprint)
        if refusal is not None:
            record.result = self._intern(FinalRefusal.from_refusal(refusal))
        self._windows.setdefault(parsed.window, {})[key] = record
        self._record_count += 1
        if refusal is not None:
            raise refusal

    def _admission_refusal(self):
        try:
            if self._admission is not None:
                self._admission()
        except Refusal as refusal:
            return refusal
        return None

    def _fence(self, key, parsed):
        if self._closed:
            return KeyState.NEVER_STARTED
        if self._tombstone_count >= self._limits.tombstones:
            return KeyState.UNDECIDED
        records = self._windows.setdefault(parsed.window, {})
        records[key] = Record(fingerprint=TOMBSTONE)
        self._tombstone_count += 1
        return KeyState.NEVER_STARTED

    def _expire(self, current):
        if self._oldest_window >= current - RETENTION_WINDOWS:
            return
        self._oldest_window = current - RETENTION_WINDOWS
        for window in [w for w in self._windows if w < self._oldest_window]:
            for record in self._windows.pop(window).values():
                if record.fingerprint == TOMBSTONE:
                    self._tombstone_count -= 1
                    continue
                self._record_count -= 1
                if isinstance(record.result, Answer):
                    self._answer_bytes -= answer_size(record.result)

    def _intern(self, final):
        if len(self._interned_refusals) < MAX_INTERNED_REFUSALS:
            return self._interned_refusals.setdefault(final, final)
        return self._interned_refusals.get(final, final)

    @staticmethod
    def _check_fingerprint(record, fingerprint):
        if record.fingerprint == TOMBSTONE:
            raise Refusal(
                "another entry has already reported this key as not run",
                code="key-fenced",
                outcome=Outcome.NOT_RUN,
                status=409,
            )
        if record.fingerprint != fingerprint:
            raise mismatch_refusal()

    @staticmethod
    def _notify_waiters(record):
        if record.settled is not None:
            record.settled.set()


def status_of(record, fingerprint):
    """Return the :class:`KeyStatus` of a record."""
    if record.fingerprint == TOMBSTONE:
        return KeyStatus(state=KeyState.NEVER_STARTED)
    if fingerprint is not None and record.fingerprint != fingerprint:
        return KeyStatus(state=KeyState.MISMATCH)
    if record.result is None:
        return KeyStatus(state=KeyState.RUNNING)
    if isinstance(record.result, FinalRefusal):
        return KeyStatus(state=KeyState.REFUSED, refusal=record.result)
    return KeyStatus(state=KeyState.FINISHED, answer=record.result)


@dataclasses.dataclass(slots=True, kw_only=True)
class Adoption:
    """Received parts of one handover of an incarnation's records.

    :param export: the records received so far
    :param adopted_at: local time in ms at which the first part arrived
    :param missing: numbers of the parts that have not arrived
    """

    export: LedgerExport
    adopted_at: float
    missing: set[int]


class AdoptedRecords:
    """Records of stopped incarnations, for which this entry replies to queries.

    Only a complete handover shows which keys never started; until its last part has
    arrived, a key without a record is undecided.

    :param clock: source of time
    :param limits: :class:`LedgerLimits` that apply to all adopted records in total
    """

    def __init__(self, *, clock, limits=None):
        self._clock = clock
        self._limits = limits or LedgerLimits()
        self._adoptions = {}
        self._record_count = 0
        self._answer_bytes = 0
        self._lock = threading.Lock()

    @property
    def record_count(self):
        """Number of finished and refused records kept."""
        return self._record_count

    def add_part(self, part, *, transfer, index, count):
        """Store one part of a handover; a duplicate has no effect.

        :param part: :class:`LedgerExport` with a part of the records
        :param transfer: number of the handover; two handovers of the same records may
            be split differently, so their parts are never combined
        :param index: number of the part, from 0
        :param count: number of parts
        :returns: whether the part is stored; ``False`` when it would exceed the limits
        """
        with self._lock:
            self._expire()
            if any(not a.missing for a in self._adoptions_of(part.incarnation)):
                return True
            adoption = self._adoptions.get((part.incarnation, transfer))
            if adoption is not None and index not in adoption.missing:
                return True
            size = sum(answer_size(answer) for _, answer in part.finished.values())
            if (
                self._record_count + part.record_count > self._limits.records
                or self._answer_bytes + size > self._limits.total_answer_bytes
            ):
                return False
            if adoption is None:
                adoption = Adoption(
                    export=dataclasses.replace(
                        part, finished={}, refused={}, running=()
                    ),
                    adopted_at=self._clock.now(),
                    missing=set(range(count)),
                )
                self._adoptions[(part.incarnation, transfer)] = adoption
            adoption.export = dataclasses.replace(
                adoption.export,
                finished=adoption.export.finished | part.finished,
                refused=adoption.export.refused | part.refused,
                running=adoption.export.running + part.running,
            )
            adoption.missing.discard(index)
            self._record_count += part.record_count
            self._answer_bytes += size
            return True

    def query(self, key, fingerprint=None):
        """Return the status of a key of a stopped incarnation.

        :param key: a key of that incarnation
        :param fingerprint: digest of the resent request, ``None`` to skip the check
        :returns: :class:`KeyStatus`, or ``None`` without records of the incarnation
        """
        parsed = parse_key(key)
        with self._lock:
            self._expire()
            adoptions = self._adoptions_of(parsed.incarnation)
            if not adoptions:
                return None
            oldest = max(map(self._window, adoptions)) - RETENTION_WINDOWS
            if parsed.window < oldest:
                return KeyStatus(state=KeyState.EXPIRED)
            for adoption in adoptions:
                record = adoption.export.find(key)
                if record is not None:
                    return status_of(record, fingerprint)
            running = any(key in a.export.running for a in adoptions)
            undecided = running or all(a.missing for a in adoptions)
            state = KeyState.UNDECIDED if undecided else KeyState.NEVER_STARTED
            return KeyStatus(state=state)

    def exports(self):
        """Return the records of complete handovers, to be handed over at a stop."""
        with self._lock:
            self._expire()
            return tuple(
                dataclasses.replace(adoption.export, window=self._window(adoption))
                for adoption in self._adoptions.values()
                if not adoption.missing
            )

    def _adoptions_of(self, incarnation):
        return [a for (i, _), a in self._adoptions.items() if i == incarnation]

    def _window(self, adoption):
        elapsed_ms = self._clock.now() - adoption.adopted_at
        return adoption.export.window + int(elapsed_ms // WINDOW_MS)

    def _expire(self):
        kept_ms = (RETENTION_WINDOWS + 1) * WINDOW_MS
        now = self._clock.now()
        for identity, adoption in list(self._adoptions.items()):
            if now - adoption.adopted_at > kept_ms:
                export = self._adoptions.pop(identity).export
                self._record_count -= export.record_count
                self._answer_bytes -= sum(
                    answer_size(answer) for _, answer in export.finished.values()
                )
