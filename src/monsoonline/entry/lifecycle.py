"""States of an entry and its graceful stop."""

import dataclasses
import enum
import logging
import threading

from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = [
    "EntryState",
    "Lifecycle",
    "StopReport",
    "StopTimes",
]

STEP_MS = 20.0

logger = logging.getLogger(__name__)


class EntryState(enum.Enum):
    """Phases of an entry's life, in order."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTimes:
    """Durations of a graceful stop.

    :param lifetime_ms: how long callers may keep a discovery answer
    :param propagation_ms: time in which all entries learn that this one leaves
    :param idle_ms: how long kept-alive connections may wait for one more request
        after the entry has stopped accepting
    :param reserve_ms: part of ``limit_ms`` kept for finishing requests; the wait for
        expiry ends this long before the limit
    :param limit_ms: time from the first signal after which the process ends
    """

    lifetime_ms: float = 5000.0
    propagation_ms: float = 3000.0
    idle_ms: float = 500.0
    reserve_ms: float = 5000.0
    limit_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopReport:
    """How a stop ended.

    :param cut: requests in flight that were interrupted
    :param shortened: whether a second signal or the limit cut the wait for the
        expiry of discovery answers
    :param duration_ms: time from the first signal
    """

    cut: int
    shortened: bool
    duration_ms: float

    @property
    def exit_code(self):
        """0 after a graceful stop, 1 where the wait was shortened or requests cut."""
        return 1 if self.cut or self.shortened else 0


class Lifecycle:
    """Moves one entry through its states.

    :param clock: source of time
    :param times: :class:`StopTimes`
    :param server: callers' server with ``stop_accepting()``,
        ``close_after_response()``, ``close_idle()``, ``requests_in_flight`` and
        ``open_connections``
    :param close_keys: called before the handover; nothing starts afterwards
    :param hand_over: called once with no request in flight or at the limit
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
        self._hurry = threading.Event()
        self._lock = threading.Lock()

    @property
    def state(self):
        """The current :class:`EntryState`."""
        return self._state

    @property
    def ready(self):
        """Whether discovery may hand this entry out."""
        return self._state is EntryState.READY and not self._detector.paused

    def use_times(self, times):
        """Use changed :class:`StopTimes` for a stop that begins later."""
        self._times = times

    def set_ready(self):
        """Leave the state ``starting``; has no effect later."""
        with self._lock:
            if self._state is not EntryState.STARTING:
                return
        self._enter(EntryState.READY)

    def admit(self):
        """Allow a non-idempotent request to start, or refuse it.

        :raises Refusal: ``NOT_RUN`` after a pause until something was heard
        """
        self._detector.tick()
        if self._detector.paused:
            raise Refusal(
                "this entry was paused and has not heard the store or a peer since",
                code="entry-paused",
                outcome=Outcome.NOT_RUN,
                status=503,
                retry_after_ms=1000.0,
            )

    def hurry(self):
        """Shorten the wait for the expiry of discovery answers; a second signal."""
        self._hurry.set()

    def stop(self):
        """Stop gracefully; returns when the process may exit.

        :returns: :class:`StopReport`
        """
        started = self._clock.now()
        limit = started + self._times.limit_ms
        self._enter(EntryState.LEAVING)
        expiry = started + self._times.lifetime_ms + self._times.propagation_ms
        shortened = not self._wait(
            lambda: self._clock.now() >= expiry,
            limit - self._times.reserve_ms,
            self._hurry,
        )
        self._enter(EntryState.DRAINING)
        self._drain(limit)
        # Keys close only here, so that the last requests of kept-alive connections
        # run. A key that started later would be missing in the handover.
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
        # Repeated, since an answer that was on its way when last answers began to be
        # marked leaves its connection open.
        self._server.close_idle()
        return not (self._server.open_connections or self._server.requests_in_flight)

    def _enter(self, state):
        self._state = state
        logger.info("entry state", extra={"state": state.value})
        self._on_state(state)

    def _wait(self, condition, limit, interrupt=None):
        """Wait for a condition; return whether it came true before the limit."""
        while not condition():
            if self._clock.now() >= limit or (interrupt and interrupt.is_set()):
                return False
            self._clock.sleep(STEP_MS)
        return True
