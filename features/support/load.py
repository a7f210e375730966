"""Background callers and a record of each of their requests."""

import concurrent.futures
import dataclasses
import random
import threading
import time
import uuid

from monsoonline.caller import Caller, CallResult, NoEntryAvailable
from support.deployment import BOOKINGS, LOOKUPS
from support.polling import now_ms

__all__ = ["IDENTITY_HEADER", "Call", "Load"]

IDENTITY_HEADER = "Monsoonline-Request-Id"
PAUSE_MS = 25.0
BOOKING_SHARE = 0.4
RESEND_SHARE = 0.2
HASTY_SHARE = 0.1
# Shorter than most service times, so that resends meet requests that still run.
HASTY_TIMEOUT_MS = 5.0
TIMEOUT_MS = 4000.0
ATTEMPT_TIMEOUT_MS = 1700.0
JOIN_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call and what its caller was told.

    :param identity: number of the request, the same for a resend
    :param booking: whether it must run at most once
    :param target: its target
    :param result: :class:`monsoonline.caller.CallResult`, ``None`` when no entry
        could be found
    :param started: instant in ms
    :param ended: instant in ms
    """

    identity: str
    booking: bool
    target: str
    result: CallResult | None
    started: float
    ended: float


class Load:
    """Callers in threads; each sends lookups, bookings and resends of bookings.

    :param seeds: addresses of some entries
    :param callers: number of callers
    :param seed: seed of their choices
    :param resend_elsewhere: whether each booking is also resent through an entry
        drawn at random, as by a caller that lost its connection
    """

    def __init__(self, *, seeds, callers, seed, resend_elsewhere=False):
        self._seeds = tuple(seeds)
        self._seed = seed
        self._resend_share = 1.0 if resend_elsewhere else RESEND_SHARE
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._calls = []
        self._executor = concurrent.futures.ThreadPoolExecutor(callers)
        self._tasks = [
            self._executor.submit(self._run, number) for number in range(callers)
        ]

    @property
    def calls(self):
        """All :class:`Call` so far."""
        with self._lock:
            return tuple(self._calls)

    def stop(self):
        """Stop the callers and wait for their last calls.

        :returns: all :class:`Call`
        """
        self._stopping.set()
        for task in self._tasks:
            task.result(JOIN_SECONDS)
        self._executor.shutdown()
        return self.calls

    def _run(self, number):
        generator = random.Random(f"{self._seed}/{number}")
        options = {"seeds": self._seeds, "timeout_ms": TIMEOUT_MS}
        patient = Caller(**options, seed=number, attempt_timeout_ms=ATTEMPT_TIMEOUT_MS)
        hasty = Caller(**options, seed=number, attempt_timeout_ms=HASTY_TIMEOUT_MS)
        while not self._stopping.is_set():
            if generator.random() < BOOKING_SHARE:
                self._book(generator, patient, hasty)
            else:
                target = f"{LOOKUPS}/{generator.randrange(100)}"
                self._call(generator, patient.lookup, "GET", target)
            time.sleep(PAUSE_MS / 1e3)
        patient.close()
        hasty.close()

    def _book(self, generator, patient, hasty):
        caller = hasty if generator.random() < HASTY_SHARE else patient
        call = self._call(generator, caller.book, "POST", BOOKINGS, body=b"{}")
        if generator.random() >= self._resend_share or not keys_of(call):
            return
        self._call(
            generator,
            patient.resend,
            generator.choice(self._seeds),
            keys_of(call)[-1],
            "POST",
            BOOKINGS,
            body=b"{}",
            identity=call.identity,
        )

    def _call(self, generator, send, *arguments, identity=None, **options):
        identity = identity or uuid.UUID(int=generator.getrandbits(128)).hex
        started = now_ms()
        try:
            result = send(*arguments, headers=((IDENTITY_HEADER, identity),), **options)
        except NoEntryAvailable:
            result = None
        call = Call(
            identity=identity,
            booking="body" in options,
            target=arguments[-1],
            result=result,
            started=started,
            ended=now_ms(),
        )
        with self._lock:
            self._calls.append(call)
        return call


def keys_of(call):
    """Return the keys that a booking was sent under."""
    return call.result.keys if call.result else ()
