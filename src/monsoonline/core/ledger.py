"""At-most-once records of one entry incarnation."""

import dataclasses
import secrets
import threading

from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = ["Ledger", "Record"]

INCARNATION_BITS = 64
WINDOW_MS = 60_000.0
RETENTION_WINDOWS = 10


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """State of one started key.

    :param fingerprint: digest of the request that started it
    :param answer: the recorded answer, ``None`` while it runs
    """

    fingerprint: str
    answer: object = None
    done: threading.Event = dataclasses.field(default_factory=threading.Event)


class Ledger:
    """Records of the keys that this incarnation started.

    :param clock: source of time
    :param incarnation: 64 random bits in hexadecimal, drawn when not given
    """

    def __init__(self, *, clock, incarnation=None):
        self._clock = clock
        self._incarnation = incarnation or secrets.token_hex(INCARNATION_BITS // 8)
        self._origin = clock.now()
        self._records = {}
        self._lock = threading.Lock()

    @property
    def incarnation(self):
        """Identity of this process, never reused by a later one."""
        return self._incarnation

    @property
    def window(self):
        """Number of the current window on this incarnation's own clock."""
        return int((self._clock.now() - self._origin) // WINDOW_MS)

    def token(self):
        """Return the token from which callers make their keys."""
        return f"{self._incarnation}-{self.window}"

    def begin(self, key, fingerprint, *, deadline):
        """Open the record of a key, or wait for the one that runs.

        :param key: ``<incarnation>-<window>.<random>``
        :param fingerprint: digest of the request
        :param deadline: instant in ms until which a running record is awaited
        :returns: ``None`` when the caller of this method shall run the request,
            otherwise the recorded answer
        :raises Refusal: when the key is not this incarnation's or too old
        """
        self._check_key(key)
        with self._lock:
            record = self._records.get(key)
            if record is None:
                self._records[key] = Record(fingerprint=fingerprint)
                return None
        if record.fingerprint != fingerprint:
            raise Refusal(
                "the key was used for another request",
                code="key-reused",
                outcome=Outcome.NOT_RUN,
                status=422,
            )
        record.done.wait(max(0.0, deadline - self._clock.now()) / 1e3)
        if record.answer is None:
            raise Refusal(
                "the first request with this key has no answer yet",
                code="key-running",
                outcome=Outcome.UNKNOWN,
                status=409,
            )
        return record.answer

    def finish(self, key, answer):
        """Record the answer of a key that ran."""
        record = self._records[key]
        record.answer = answer
        record.done.set()

    def release_not_run(self, key):
        """Forget a key whose request certainly did not run."""
        with self._lock:
            record = self._records.pop(key)
        record.done.set()

    def _check_key(self, key):
        token, _, nonce = key.partition(".")
        incarnation, _, window = token.partition("-")
        if not nonce or not window.isdigit():
            raise Refusal(
                f"key {key!r} is not valid, expected <token>.<random>",
                code="key-invalid",
                outcome=Outcome.NOT_RUN,
                status=400,
            )
        expired = int(window) < self.window - RETENTION_WINDOWS
        if incarnation != self._incarnation or expired:
            raise Refusal(
                "the entry that may run this key cannot be asked, or the key is old",
                code="key-expired",
                outcome=Outcome.UNKNOWN,
                status=409,
            )
