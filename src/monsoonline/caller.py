"""A small caller library on ``http.client``.

It asks entries which addresses to use, keeps the answer for its lifetime, and sends
lookups and bookings by the protocol of ``docs/callers.md``.
"""

import dataclasses
import enum
import http.client
import random
import secrets
import threading

import orjson

from monsoonline.clock import SystemClock
from monsoonline.entry.discovery import ENTRIES_PATH, TOKEN_PATH
from monsoonline.errors import MonsoonlineError

__all__ = ["Caller", "CallResult", "CallStatus", "NoEntry"]

KEY_HEADER = "Monsoonline-Key"
OUTCOME_HEADER = "Monsoonline-Outcome"
TOKEN_HEADER = "Monsoonline-Token"
RETRY_AFTER_MS_HEADER = "Monsoonline-Retry-After-Ms"
CONTROL_TIMEOUT_MS = 1000.0
RESEND_PAUSE_MS = 50.0
MAX_IDLE_CONNECTIONS = 8
# Bounds the new attempts of one booking that is refused again and again.
MAX_KEYS = 8
# Refusals below 500 are faults of the request, except these, which are about its key.
FENCED_CODES = frozenset(("key-of-another-entry", "key-fenced"))
# The entry refuses all bookings for a while, so the new key is made for another one.
AVOIDED_CODES = frozenset(("entry-paused", "entry-stopping", "isolated"))
# A resend may change the outcome of these; other unknown outcomes are recorded.
PENDING_CODES = frozenset(("key-running", "key-owner-unreachable", "records-full"))


class NoEntry(MonsoonlineError):
    """No seed and no known entry answered."""

    default_code = "no-entry"


class CallStatus(enum.Enum):
    """How a call ended."""

    OK = "ok"
    REFUSED_NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Result of a lookup or booking.

    :param call_status: whether there is an answer, or whether the request ran
    :param status: HTTP status of the answer, 0 when none came
    :param code: code of the refusal, ``""`` for an answer
    :param body: body of the answer
    :param headers: header pairs of the answer
    :param keys: all keys under which a booking was sent, the last one counts
    :param attempts: exchanges made
    """

    call_status: CallStatus
    status: int = 0
    code: str = ""
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    keys: tuple[str, ...] = ()
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """One complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name, default=None):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def code(self):
        """Code of a refusal, ``""`` for other answers."""
        if self.header(OUTCOME_HEADER) is None:
            return ""
        try:
            return orjson.loads(self.body).get("code", "")
        except (orjson.JSONDecodeError, AttributeError):
            return ""

    @property
    def retry_after_ms(self):
        """Milliseconds after which to try again, 0 when the response does not say.

        ``Retry-After`` is rounded up to whole seconds, so the exact time counts.
        """
        exact = self.header(RETRY_AFTER_MS_HEADER, "")
        if exact.isdigit():
            return float(exact)
        text = self.header("Retry-After", "")
        return float(text) * 1e3 if text.isdigit() else 0.0


class ExchangeLost(Exception):
    """No complete response came.

    :param sent: whether the entry may have received the request
    """

    def __init__(self, message, *, sent):
        super().__init__(message)
        self._sent = sent

    @property
    def sent(self):
        """Whether the entry may have received the request."""
        return self._sent


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """State of one booking between its attempts.

    :param key: the key in use
    :param owner: address of the entry that may start the key
    :param keys: all keys so far
    :param attempts: exchanges so far
    :param lost: whether an exchange of this key was lost after it was sent
    :param last: the last response with this key
    :param refused: the refusal of the key before this one
    """

    key: str
    owner: str
    keys: list[str]
    attempts: int = 0
    lost: bool = False
    last: Reply | None = None
    refused: Reply | None = None

    @property
    def sent(self):
        """Whether any entry may have received the key."""
        return self.lost or self.last is not None


class Caller:
    """Sends requests through the entries.

    :param seeds: ``host:port`` of some entries
    :param failure_domain: of the caller; entries there are preferred
    :param host: ``Host`` header of all requests; it must not depend on the entry,
        because entries compare it when a booking is resent
    :param clock: source of time
    :param timeout_ms: time limit of a whole call with its resends
    :param attempt_timeout_ms: time limit of one exchange
    :param seed: seed of the choice among entries
    """

    def __init__(
        self,
        *,
        seeds,
        failure_domain="",
        host="monsoonline",
        clock=None,
        timeout_ms=5000.0,
        attempt_timeout_ms=1500.0,
        seed=None,
    ):
        self._seeds = tuple(seeds)
        self._failure_domain = failure_domain
        self._host = host
        self._clock = clock or SystemClock()
        self._timeout_ms = timeout_ms
        self._attempt_timeout_ms = attempt_timeout_ms
        self._random = random.Random(seed)
        self._entries = ()
        self._expires = float("-inf")
        self._idle = {}
        self._lock = threading.Lock()

    def close(self):
        """Close the kept connections."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                connection.close()

    def entries(self):
        """Return the addresses to use now, the preferred ones first.

        :raises NoEntry: when no entry answers and no earlier answer exists
        """
        if self._clock.now() >= self._expires:
            self._discover()
        with self._lock:
            entries = list(self._entries)
            self._random.shuffle(entries)
        entries.sort(key=lambda entry: entry[1] != self._failure_domain)
        return [address for address, _ in entries]

    def lookup(self, method, target, *, headers=(), body=b""):
        """Send an idempotent request; other entries are tried on failure.

        :returns: :class:`CallResult`
        """
        deadline = self._clock.now() + self._timeout_ms
        reply = None
        attempts = 0
        sent = False
        while self._clock.now() < deadline:
            for address in self.entries():
                if self._clock.now() >= deadline:
                    break
                attempts += 1
                try:
                    reply = self._exchange(
                        address, method, target, headers, body, deadline
                    )
                except ExchangeLost as error:
                    sent = sent or error.sent
                    continue
                if reply.header(OUTCOME_HEADER) is None or reply.status < 500:
                    return result_of(reply, attempts=attempts)
            self._pause(reply.retry_after_ms if reply else 0.0, deadline)
        if reply is not None:
            return result_of(reply, attempts=attempts)
        status = CallStatus.UNKNOWN if sent else CallStatus.REFUSED_NOT_RUN
        return CallResult(call_status=status, code="no-answer", attempts=attempts)

    def book(self, method, target, *, headers=(), body=b""):
        """Send a request that must run at most once.

        Resends carry the same key, to the same entry first, then to others. A
        not-run refusal is final for its key, so the booking goes on with a new key.

        :returns: :class:`CallResult`
        """
        deadline = self._clock.now() + self._timeout_ms
        progress = self._mint(deadline)
        while self._clock.now() < deadline:
            address = self._send_round(
                progress, method, target, headers, body, deadline
            )
            reply = progress.last
            if address is not None and not self._may_go_on(progress, deadline):
                break
            self._pause(self._retry_wait_ms(reply), deadline)
            try:
                progress = self._next_progress(progress, address, deadline)
            except NoEntry:
                break
        return booking_result(progress)

    def _next_progress(self, progress, address, deadline):
        """Return the booking with the key of the next round."""
        if address is not None:
            return self._renew(progress, address, deadline)
        if not progress.sent:
            # No entry can have received the key, so a new one is safe; the old one's
            # owner may be gone.
            return self._mint(deadline, progress)
        return progress

    def _send_round(self, progress, method, target, headers, body, deadline):
        """Send a key to its owner, then to others, until its outcome is settled.

        :returns: address of the entry that settled it, ``None`` when none did
        """
        for address in self._booking_order(progress):
            if self._clock.now() >= deadline:
                break
            pairs = (*headers, (KEY_HEADER, progress.key))
            progress.attempts += 1
            try:
                reply = self._exchange(address, method, target, pairs, body, deadline)
            except ExchangeLost as error:
                progress.lost = progress.lost or error.sent
                continue
            progress.last = reply
            if reply.code not in PENDING_CODES:
                return address
        return None

    def _may_go_on(self, progress, deadline):
        """Tell whether a settled key may be followed by a new one in time."""
        reply = progress.last
        if reply.header(OUTCOME_HEADER) != "not-run":
            return False
        if reply.status < 500 and reply.code not in FENCED_CODES:
            return False
        in_time = self._clock.now() + self._retry_wait_ms(reply) < deadline
        return in_time and len(progress.keys) < MAX_KEYS

    def _retry_wait_ms(self, reply):
        if reply is None:
            return 0.0
        # Retry-After is about the entry that refused, not about the next one.
        elsewhere = reply.code in AVOIDED_CODES and len(self._entries) > 1
        return 0.0 if elsewhere else reply.retry_after_ms

    def _renew(self, progress, address, deadline):
        """Make the next key, from the token in the refusal where that entry may serve.

        :param address: the entry that refused
        """
        reply = progress.last
        if reply.code in AVOIDED_CODES:
            return self._mint(deadline, progress, avoided=address)
        token = reply.header(TOKEN_HEADER)
        if token is None:
            return self._mint(deadline, progress)
        return self._progress_of(token, address, progress)

    def resend(self, address, key, method, target, *, headers=(), body=b""):
        """Send a booking's key once more through one entry, to learn its outcome.

        :param address: ``host:port`` of the entry
        :param key: the key that the booking was sent with
        :returns: :class:`CallResult`
        """
        progress = Progress(key=key, owner=address, keys=[key], attempts=1)
        deadline = self._clock.now() + self._timeout_ms
        pairs = (*headers, (KEY_HEADER, key))
        try:
            progress.last = self._exchange(
                address, method, target, pairs, body, deadline
            )
        except ExchangeLost:
            # The booking was sent before with this key, so a resend that did not
            # reach an entry tells nothing about whether it ran.
            progress.lost = True
        return booking_result(progress)

    def _booking_order(self, progress):
        others = [a for a in self.entries() if a != progress.owner]
        return [progress.owner, *others]

    def _mint(self, deadline, progress=None, *, avoided=None):
        """Make a key from the token of a preferred entry.

        :param progress: the booking so far, ``None`` for a new one
        :param avoided: address that is asked last
        :raises NoEntry: when no entry gives a token
        """
        while True:
            for address in sorted(self.entries(), key=lambda a: a == avoided):
                try:
                    reply = self._exchange(address, "GET", TOKEN_PATH, (), b"", None)
                    token = orjson.loads(reply.body)["token"]
                except (ExchangeLost, orjson.JSONDecodeError, KeyError):
                    continue
                return self._progress_of(token, address, progress)
            self._expires = float("-inf")
            if self._clock.now() >= deadline:
                raise NoEntry("no entry gave a token")
            self._clock.sleep(RESEND_PAUSE_MS)

    @staticmethod
    def _progress_of(token, address, progress):
        key = f"{token}.{secrets.token_hex(8)}"
        if progress is None:
            return Progress(key=key, owner=address, keys=[key])
        return Progress(
            key=key,
            owner=address,
            keys=[*progress.keys, key],
            attempts=progress.attempts,
            refused=progress.last or progress.refused,
        )

    def _pause(self, wait_ms, deadline):
        """Wait before the next round, at least as long as ``Retry-After`` asks."""
        wanted = max(RESEND_PAUSE_MS, wait_ms)
        self._clock.sleep(max(0.0, min(wanted, deadline - self._clock.now())))

    def _discover(self):
        known = [address for address, _ in self._entries]
        for address in dict.fromkeys((*known, *self._seeds)):
            asked = self._clock.now()
            try:
                reply = self._exchange(address, "GET", ENTRIES_PATH, (), b"", None)
                document = orjson.loads(reply.body)
                entries = tuple(
                    (entry["address"], entry["failure_domain"])
                    for entry in document["entries"]
                )
                lifetime_ms = float(document["lifetime_ms"])
            except (ExchangeLost, orjson.JSONDecodeError, KeyError, TypeError):
                continue
            if entries:
                # The lifetime counts from the question, because the entry counts it
                # from its answer, which is later.
                self._keep(entries, asked + lifetime_ms)
                return
        if not self._entries:
            raise NoEntry(f"none of the seeds answered: {', '.join(self._seeds)}")

    def _keep(self, entries, expires):
        with self._lock:
            self._entries = entries
            self._expires = expires
            used = {address for address, _ in entries}
            unused = [self._idle.pop(a) for a in list(self._idle) if a not in used]
        for connections in unused:
            for connection in connections:
                connection.close()

    def _exchange(self, address, method, target, headers, body, deadline):
        limit_ms = CONTROL_TIMEOUT_MS
        if deadline is not None:
            remaining_ms = deadline - self._clock.now()
            limit_ms = max(1.0, min(self._attempt_timeout_ms, remaining_ms))
        connection = self._checkout(address)
        sent = False
        try:
            connection.timeout = limit_ms / 1e3
            if connection.sock is None:
                connection.connect()
            connection.sock.settimeout(limit_ms / 1e3)
            sent = True
            # A resend by the library on a new connection would hide the first send.
            connection.auto_open = 0
            pairs = {"Host": self._host, **dict(headers)}
            connection.request(method, target, body=body or None, headers=pairs)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise ExchangeLost(f"{address}: {error!r}", sent=sent) from error
        if response.will_close:
            connection.close()
        else:
            self._check_in(address, connection)
        return Reply(
            status=response.status, headers=tuple(response.getheaders()), body=content
        )

    def _checkout(self, address):
        with self._lock:
            idle = self._idle.get(address)
            if idle:
                return idle.pop()
        host, _, port = address.rpartition(":")
        return http.client.HTTPConnection(host, int(port))

    def _check_in(self, address, connection):
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()


def result_of(reply, *, attempts, keys=()):
    """Return the :class:`CallResult` of a response."""
    outcome = reply.header(OUTCOME_HEADER)
    call_status = {
        None: CallStatus.OK,
        "not-run": CallStatus.REFUSED_NOT_RUN,
    }.get(outcome, CallStatus.UNKNOWN)
    return CallResult(
        call_status=call_status,
        status=reply.status,
        code=reply.code,
        body=reply.body,
        headers=reply.headers,
        keys=tuple(keys),
        attempts=attempts,
    )


def booking_result(progress):
    """Return the :class:`CallResult` of a booking.

    A not-run refusal settles its key, also where an exchange of the key was lost.
    """
    reply = progress.last
    if reply is None and not progress.lost:
        reply = progress.refused
    if reply is not None:
        return result_of(reply, attempts=progress.attempts, keys=progress.keys)
    status = CallStatus.UNKNOWN if progress.lost else CallStatus.REFUSED_NOT_RUN
    return CallResult(
        call_status=status,
        code="no-answer",
        keys=tuple(progress.keys),
        attempts=progress.attempts,
    )
