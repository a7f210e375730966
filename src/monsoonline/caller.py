"""A small caller library based on ``http.client``.

The library discovers the entries, caches the discovery response for its lifetime, and
sends lookups and bookings according to the protocol in ``docs/callers.md``.
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

__all__ = ["Caller", "CallResult", "CallStatus", "NoEntryAvailable"]

KEY_HEADER = "Monsoonline-Key"
OUTCOME_HEADER = "Monsoonline-Outcome"
TOKEN_HEADER = "Monsoonline-Token"
RETRY_AFTER_MS_HEADER = "Monsoonline-Retry-After-Ms"
DISCOVERY_TIMEOUT_MS = 1000.0
MIN_RETRY_DELAY_MS = 50.0
MAX_IDLE_CONNECTIONS_PER_ENTRY = 8
# Limits the retries of a booking that is refused repeatedly.
MAX_KEYS_PER_BOOKING = 8
# Refusals with a status below 500 report an invalid request. These codes are the
# exception: they reject only the idempotency key, so a new key may succeed.
REJECTED_KEY_CODES = frozenset(("key-of-another-entry", "key-fenced"))
# The entry refuses all bookings for some time, so the next key is requested from
# another entry.
UNAVAILABLE_ENTRY_CODES = frozenset(("entry-paused", "entry-stopping", "isolated"))
# Resending the key may settle these outcomes. Other unknown outcomes are recorded by
# the entry, so a resend returns the same response.
PENDING_OUTCOME_CODES = frozenset(
    ("key-running", "key-owner-unreachable", "records-full")
)


class NoEntryAvailable(MonsoonlineError):
    """No seed address and no known entry responded."""

    default_code = "no-entry"


class CallStatus(enum.Enum):
    """How a call ended."""

    OK = "ok"
    REFUSED_NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Result of a lookup or booking.

    :param call_status: whether the call succeeded and, if not, whether the request
        may have run
    :param status: HTTP status of the response, 0 without a response
    :param code: refusal code, ``""`` for a response that is not a refusal
    :param body: response body
    :param headers: response headers as name-value pairs
    :param keys: all idempotency keys sent for a booking, in order; only the last one
        is in effect
    :param attempts: number of HTTP exchanges
    """

    call_status: CallStatus
    status: int = 0
    code: str = ""
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    keys: tuple[str, ...] = ()
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name, default=None):
        """Return the first value of a header, ignoring the case of its name."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def code(self):
        """Refusal code, ``""`` for a response that is not a refusal."""
        if self.header(OUTCOME_HEADER) is None:
            return ""
        try:
            return orjson.loads(self.body).get("code", "")
        except (orjson.JSONDecodeError, AttributeError):
            return ""

    @property
    def retry_after_ms(self):
        """Requested delay before a retry in milliseconds, 0 without such a header.

        ``Monsoonline-Retry-After-Ms`` takes precedence, because ``Retry-After`` is
        rounded up to whole seconds.
        """
        exact_ms = self.header(RETRY_AFTER_MS_HEADER, "")
        if exact_ms.isdigit():
            return float(exact_ms)
        seconds = self.header("Retry-After", "")
        return float(seconds) * 1e3 if seconds.isdigit() else 0.0


class ExchangeError(Exception):
    """The exchange ended without a complete response.

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
class BookingState:
    """State of a booking between attempts.

    :param key: current idempotency key
    :param owner: ``host:port`` of the entry that may start the request of this key
    :param keys: all keys used so far, in order
    :param attempts: number of HTTP exchanges so far
    :param exchange_lost: whether an exchange with this key failed after the request
        was sent
    :param last_response: last response received for this key
    :param previous_refusal: refusal of the previous key
    """

    key: str
    owner: str
    keys: list[str]
    attempts: int = 0
    exchange_lost: bool = False
    last_response: Response | None = None
    previous_refusal: Response | None = None

    @property
    def sent(self):
        """Whether an entry may have received the current key."""
        return self.exchange_lost or self.last_response is not None


class Caller:
    """Sends requests through the entries.

    :param seeds: ``host:port`` of entries used for the first discovery
    :param failure_domain: failure domain of the caller; entries in it are preferred
    :param host: ``Host`` header of all requests. It must be the same for all entries,
        because entries compare it when a booking is resent.
    :param clock: source of time, :class:`monsoonline.clock.SystemClock` by default
    :param timeout_ms: time limit of a call including all resends, in milliseconds
    :param attempt_timeout_ms: time limit of one exchange, in milliseconds
    :param seed: random seed for the order of entries
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
        self._entries_expire_at = float("-inf")
        self._idle_connections = {}
        self._lock = threading.Lock()

    def close(self):
        """Close all idle connections."""
        with self._lock:
            idle, self._idle_connections = self._idle_connections, {}
        for connections in idle.values():
            for connection in connections:
                connection.close()

    def entries(self):
        """Return the entry addresses, those in the caller's failure domain first.

        The cached addresses are refreshed when their lifetime has expired.

        :raises NoEntryAvailable: if discovery fails and no addresses are cached
        """
        if self._clock.now() >= self._entries_expire_at:
            self._discover()
        with self._lock:
            entries = list(self._entries)
            self._random.shuffle(entries)
        entries.sort(key=lambda entry: entry[1] != self._failure_domain)
        return [address for address, _ in entries]

    def lookup(self, method, target, *, headers=(), body=b""):
        """Send an idempotent request and retry it at other entries on failure.

        :returns: :class:`CallResult`
        """
        deadline = self._clock.now() + self._timeout_ms
        response = None
        attempts = 0
        sent = False
        while self._clock.now() < deadline:
            for address in self.entries():
                if self._clock.now() >= deadline:
                    break
                attempts += 1
                try:
                    response = self._exchange(
                        address, method, target, headers, body, deadline
                    )
                except ExchangeError as error:
                    sent = sent or error.sent
                    continue
                if response.header(OUTCOME_HEADER) is None or response.status < 500:
                    return to_call_result(response, attempts=attempts)
            self._wait_before_retry(
                response.retry_after_ms if response else 0.0, deadline
            )
        if response is not None:
            return to_call_result(response, attempts=attempts)
        status = CallStatus.UNKNOWN if sent else CallStatus.REFUSED_NOT_RUN
        return CallResult(call_status=status, code="no-answer", attempts=attempts)

    def book(self, method, target, *, headers=(), body=b""):
        """Send a request that must run at most once.

        A resend carries the same key, first to the same entry, then to others. A
        not-run refusal is final for its key, so the next attempt uses a new key.

        :returns: :class:`CallResult`
        """
        deadline = self._clock.now() + self._timeout_ms
        booking = self._request_new_key(deadline)
        while self._clock.now() < deadline:
            address = self._send_round(booking, method, target, headers, body, deadline)
            response = booking.last_response
            if address is not None and not self._may_use_new_key(booking, deadline):
                break
            self._wait_before_retry(self._retry_delay_ms(response), deadline)
            try:
                booking = self._next_round(booking, address, deadline)
            except NoEntryAvailable:
                break
        return booking_result(booking)

    def _next_round(self, booking, address, deadline):
        """Return the state for the next round, with a new key where that is safe."""
        if address is not None:
            return self._next_key(booking, address, deadline)
        if not booking.sent:
            # No entry can have received the key, so a new key is safe. It avoids
            # depending on the owner of the old key, which may no longer exist.
            return self._request_new_key(deadline, booking)
        return booking

    def _send_round(self, booking, method, target, headers, body, deadline):
        """Send the request to the key's owner, then to others, until one settles it.

        :returns: address of the entry that settled the outcome, or ``None``
        """
        for address in self._addresses_for(booking):
            if self._clock.now() >= deadline:
                break
            request_headers = (*headers, (KEY_HEADER, booking.key))
            booking.attempts += 1
            try:
                response = self._exchange(
                    address, method, target, request_headers, body, deadline
                )
            except ExchangeError as error:
                booking.exchange_lost = booking.exchange_lost or error.sent
                continue
            booking.last_response = response
            if response.code not in PENDING_OUTCOME_CODES:
                return address
        return None

    def _may_use_new_key(self, booking, deadline):
        """Return whether to retry with a new key after a settled response.

        A retry requires a not-run refusal that a new key may resolve, fewer than
        ``MAX_KEYS_PER_BOOKING`` keys so far, and time left before the deadline.
        """
        response = booking.last_response
        if response.header(OUTCOME_HEADER) != "not-run":
            return False
        if response.status < 500 and response.code not in REJECTED_KEY_CODES:
            return False
        in_time = self._clock.now() + self._retry_delay_ms(response) < deadline
        return in_time and len(booking.keys) < MAX_KEYS_PER_BOOKING

    def _retry_delay_ms(self, response):
        if response is None:
            return 0.0
        # Retry-After applies only to the entry that refused the request.
        other_entry_available = (
            response.code in UNAVAILABLE_ENTRY_CODES and len(self._entries) > 1
        )
        return 0.0 if other_entry_available else response.retry_after_ms

    def _next_key(self, booking, address, deadline):
        """Return the booking state with the key that follows a refused key.

        The key is created from the token in the refusal, unless the refusing entry
        is unavailable for bookings.

        :param address: ``host:port`` of the entry that refused the key
        """
        response = booking.last_response
        if response.code in UNAVAILABLE_ENTRY_CODES:
            return self._request_new_key(deadline, booking, avoided_address=address)
        token = response.header(TOKEN_HEADER)
        if token is None:
            return self._request_new_key(deadline, booking)
        return self._with_new_key(token, address, booking)

    def resend(self, address, key, method, target, *, headers=(), body=b""):
        """Resend a booking with its key through one entry to query its outcome.

        :param address: ``host:port`` of the entry
        :param key: idempotency key of the booking
        :returns: :class:`CallResult`
        """
        booking = BookingState(key=key, owner=address, keys=[key], attempts=1)
        deadline = self._clock.now() + self._timeout_ms
        request_headers = (*headers, (KEY_HEADER, key))
        try:
            booking.last_response = self._exchange(
                address, method, target, request_headers, body, deadline
            )
        except ExchangeError:
            # The booking was already sent with this key, so the outcome stays unknown
            # even if the resend did not reach the entry.
            booking.exchange_lost = True
        return booking_result(booking)

    def _addresses_for(self, booking):
        others = [a for a in self.entries() if a != booking.owner]
        return [booking.owner, *others]

    def _request_new_key(self, deadline, booking=None, *, avoided_address=None):
        """Request a token from an entry and create a key with it.

        :param booking: state of the booking, ``None`` for a new booking
        :param avoided_address: ``host:port`` of the entry to try last
        :returns: :class:`BookingState` with the new key
        :raises NoEntryAvailable: if no entry returns a token before the deadline
        """
        while True:
            for address in sorted(self.entries(), key=lambda a: a == avoided_address):
                try:
                    response = self._exchange(address, "GET", TOKEN_PATH, (), b"", None)
                    token = orjson.loads(response.body)["token"]
                except (ExchangeError, orjson.JSONDecodeError, KeyError):
                    continue
                return self._with_new_key(token, address, booking)
            self._entries_expire_at = float("-inf")
            if self._clock.now() >= deadline:
                raise NoEntryAvailable("no entry returned a token before the deadline")
            self._clock.sleep(MIN_RETRY_DELAY_MS)

    @staticmethod
    def _with_new_key(token, address, booking):
        key = f"{token}.{secrets.token_hex(8)}"
        if booking is None:
            return BookingState(key=key, owner=address, keys=[key])
        return BookingState(
            key=key,
            owner=address,
            keys=[*booking.keys, key],
            attempts=booking.attempts,
            previous_refusal=booking.last_response or booking.previous_refusal,
        )

    def _wait_before_retry(self, delay_ms, deadline):
        """Wait before the next round, but not beyond the deadline.

        :param delay_ms: minimum delay that the last refusal requested, in milliseconds
        """
        requested_ms = max(MIN_RETRY_DELAY_MS, delay_ms)
        self._clock.sleep(max(0.0, min(requested_ms, deadline - self._clock.now())))

    def _discover(self):
        known = [address for address, _ in self._entries]
        for address in dict.fromkeys((*known, *self._seeds)):
            requested_at = self._clock.now()
            try:
                response = self._exchange(address, "GET", ENTRIES_PATH, (), b"", None)
                document = orjson.loads(response.body)
                entries = tuple(
                    (entry["address"], entry["failure_domain"])
                    for entry in document["entries"]
                )
                lifetime_ms = float(document["lifetime_ms"])
            except (ExchangeError, orjson.JSONDecodeError, KeyError, TypeError):
                continue
            if entries:
                # The entry counts the lifetime from its response. Counting it from the
                # request, which is earlier, never keeps the addresses for too long.
                self._store_entries(entries, requested_at + lifetime_ms)
                return
        if not self._entries:
            raise NoEntryAvailable(
                f"no seed address responded: {', '.join(self._seeds)}"
            )

    def _store_entries(self, entries, expires_at):
        with self._lock:
            self._entries = entries
            self._entries_expire_at = expires_at
            listed = {address for address, _ in entries}
            unlisted_connections = [
                self._idle_connections.pop(a)
                for a in list(self._idle_connections)
                if a not in listed
            ]
        for connections in unlisted_connections:
            for connection in connections:
                connection.close()

    def _exchange(self, address, method, target, headers, body, deadline):
        """Send one request and return the complete response.

        :param deadline: time limit of the call; ``None`` applies
            ``DISCOVERY_TIMEOUT_MS`` instead
        :raises ExchangeError: if no complete response arrives
        """
        timeout_ms = DISCOVERY_TIMEOUT_MS
        if deadline is not None:
            remaining_ms = deadline - self._clock.now()
            timeout_ms = max(1.0, min(self._attempt_timeout_ms, remaining_ms))
        connection = self._acquire_connection(address)
        sent = False
        try:
            connection.timeout = timeout_ms / 1e3
            if connection.sock is None:
                connection.connect()
            connection.sock.settimeout(timeout_ms / 1e3)
            sent = True
            # Disables the automatic reconnect of http.client, which would resend the
            # request and hide that it was already sent once.
            connection.auto_open = 0
            request_headers = {"Host": self._host, **dict(headers)}
            connection.request(
                method, target, body=body or None, headers=request_headers
            )
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise ExchangeError(f"{address}: {error!r}", sent=sent) from error
        if response.will_close:
            connection.close()
        else:
            self._release_connection(address, connection)
        return Response(
            status=response.status, headers=tuple(response.getheaders()), body=content
        )

    def _acquire_connection(self, address):
        with self._lock:
            idle = self._idle_connections.get(address)
            if idle:
                return idle.pop()
        host, _, port = address.rpartition(":")
        return http.client.HTTPConnection(host, int(port))

    def _release_connection(self, address, connection):
        with self._lock:
            idle = self._idle_connections.setdefault(address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_ENTRY:
                idle.append(connection)
                return
        connection.close()


def to_call_result(response, *, attempts, keys=()):
    """Return the :class:`CallResult` for a response."""
    outcome = response.header(OUTCOME_HEADER)
    call_status = {
        None: CallStatus.OK,
        "not-run": CallStatus.REFUSED_NOT_RUN,
    }.get(outcome, CallStatus.UNKNOWN)
    return CallResult(
        call_status=call_status,
        status=response.status,
        code=response.code,
        body=response.body,
        headers=response.headers,
        keys=tuple(keys),
        attempts=attempts,
    )


def booking_result(booking):
    """Return the :class:`CallResult` for a booking.

    A not-run refusal is final for its key, even if another exchange with the key was
    lost.
    """
    response = booking.last_response
    if response is None and not booking.exchange_lost:
        response = booking.previous_refusal
    if response is not None:
        return to_call_result(response, attempts=booking.attempts, keys=booking.keys)
    status = CallStatus.UNKNOWN if booking.exchange_lost else CallStatus.REFUSED_NOT_RUN
    return CallResult(
        call_status=status,
        code="no-answer",
        keys=tuple(booking.keys),
        attempts=booking.attempts,
    )
