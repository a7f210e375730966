"""Lifecycle states of an entry and its graceful stop."""

import dataclasses
import enum
import logging
import math
import threading

from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = [
    "EntryState",
    "Lifecycle",
    "StopReport",
    "StopTimes",
]

POLL_INTERVAL_MS = 20.0
# Time to send the last response after the deadline of its request.
RESPONSE_MS = 50.0

logger = logging.getLogger(__name__)


class EntryState(enum.Enum):
    """Lifecycle states of an entry, in order."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTimes:
    """Durations of a graceful stop, in ms.

    :param lifetime_ms: how long callers may cache a discovery response
    :param propagation_ms: time within which all entries learn that this one is leaving
    :param idle_ms: how long keep-alive connections may wait for one more request
        after the entry has stopped accepting connections
    :param reserve_ms: part of ``limit_ms`` reserved for finishing requests; the wait
        for the expiry of discovery responses ends this long before the limit
    :param limit_ms: time from the first signal until the process ends
    """

    lifetime_ms: float = 5000.0
    propagation_ms: float = 3000.0
    idle_ms: float = 500.0
    reserve_ms: float = 5000.0
    limit_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopReport:
    """Result of a stop.

    :param cut: number of requests in flight that were interrupted
    :param shortened: whether a second signal or the limit ended the wait for the
        expiry of discovery responses early
    :param duration_ms: time from the first signal until the end of the stop, in ms
    """

    cut: int
    shortened: bool
    duration_ms: float

    @property
    def exit_code(self):
        """0 after a graceful stop, 1 if it was shortened or interrupted requests."""
        return 1 if self.cut or self.shortened else 0


class Lifecycle:
    """State machine of one entry.

    :param clock: source of time
    :param times: :class:`StopTimes`
    :param server: callers' server with ``stop_accepting()``, ``close_after_answer()``,
        ``close_idle()``, ``requests_in_flight`` and ``open_connections``
    :param close_keys: called before the handover; no key starts afterwards
    :param hand_over: called once when no request is in flight, or at the limit
    :param on_state: called with each new :class:`EntryState`
    :param detector: :class:`monsoonline.core.contact.PauseDetector`
    """

    def __init__(
        self, *, clock, times, server, close_keys, hand_over, on_state, detector
    ):
        self._clock = clock
        self._times = times
        self._server = server
        self._close_keys = close_keys
        self._hand_over = hand_over
        self._on_state = on_state
        self._detector = detector
        self._state = EntryState.STARTING
        self._shorten_requested = threading.Event()
        # Clock time in ms at which a stop ends, infinite before it begins.
        self._ends_at = math.inf
        self._lock = threading.Lock()

    @property
    def state(self):
        """The current :class:`EntryState`."""
        return self._state

    @property
    def ready(self):
        """Whether discovery may list this entry."""
        return self._state is EntryState.READY and not self._detector.paused

    def use_times(self, times):
        """Use changed :class:`StopTimes` for a stop that has not begun yet."""
        self._times = times

    def set_ready(self):
        """Change the state from ``starting`` to ``ready``; ignored in other states."""
        with self._lock:
            if self._state is not EntryState.STARTING:
                return
        self._enter(EntryState.READY)

    def admit(self):
        """Check that a non-idempotent request may start.

        :raises Refusal: ``NOT_RUN`` after a pause of the process, until the store or a
            peer has replied
        """
        self._detector.tick()
        if self._detector.paused:
            raise Refusal(
                "this entry was paused and has had no contact with the store or a peer "
                "since",
                code="entry-paused",
                outcome=Outcome.NOT_RUN,
                status=503,
                retry_after_ms=1000.0,
            )

    def admit_until(self, deadline):
        """Check that a request can end before a stop of this entry does.

        After a refusal, every connection is closed with its next response, since its
        later requests would be refused too.

        :param deadline: clock time in ms at which the request ends at the latest
        :raises Refusal: ``NOT_RUN`` if the process may end before
        """
        late_ms = deadline + RESPONSE_MS - self._ends_at
        if late_ms <= 0:
            return
        self._server.close_after_response()
        raise Refusal(
            f"this entry stops up to {late_ms:.0f} ms before the request would end",
            code="entry-stopping",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after_ms=0.0,
        )

    def shorten_stop(self):
        """Skip the wait for the expiry of discovery responses, on a second signal."""
        self._shorten_requested.set()

    def stop(self):
        """Stop gracefully; return when the process may exit.

        :returns: :class:`StopReport`
        """
        started = self._clock.now()
        limit = self._ends_at = started + self._times.limit_ms
        self._enter(EntryState.LEAVING)
        expiry = started + self._times.lifetime_ms + self._times.propagation_ms
        shortened = not self._wait(
            lambda: self._clock.now() >= expiry,
            limit - self._times.reserve_ms,
            self._shorten_requested,
        )
        self._enter(EntryState.DRAINING)
        self._drain(limit)
        # Keys stay open until here, so that the last requests of keep-alive
        # connections run. A key that started later would be missing in the handover.
        self._close_keys()
        self._hand_over()
        cut = self._server.requests_in_flight
        self._enter(EntryState.STOPPED)
        report = StopReport(
            cut=cut, shortened=shortened, duration_ms=self._clock.now() - started
        )
        logger.info("stopped", extra=dataclasses.asdict(report))
        return report

    def _drain(self, limit):
        self._server.stop_accepting()
        self._server.close_after_response()
        idle_end = min(limit, self._clock.now() + self._times.idle_ms)
        self._wait(lambda: self._server.open_connections == 0, idle_end)
        self._wait(self._is_drained, limit)

    def _is_drained(self):
        # Closes idle connections repeatedly: a response that was already being sent
        # when the server began to mark last responses leaves its connection open.
        self._server.close_idle()
        return not (self._server.open_connections or self._server.requests_in_flight)

    def _enter(self, state):
        self._state = state
        logger.info("entry state", extra={"state": state.value})
        self._on_state(state)

    def _wait(self, condition, limit, interrupt=None):
        """Wait for a condition and return whether it became true before the limit."""
        while not condition():
            if self._clock.now() >= limit or (interrupt and interrupt.is_set()):
                return False
            self._clock.sleep(POLL_INTERVAL_MS)
        return True
