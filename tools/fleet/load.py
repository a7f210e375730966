"""Lookups and bookings sent through a fleet, and counts of their outcomes."""

import collections
import concurrent.futures
import contextlib
import threading
import time
import types
import uuid

import numpy

from monsoonline.bench.demonstration import (
    FAILURE_DOMAINS,
    IDENTITY_HEADER,
    SERVICES,
    ZERO_COUNTERS,
    Call,
    account,
)
from monsoonline.caller import Caller, CallStatus, NoEntryAvailable

__all__ = ["Load", "ZERO_COUNTERS"]

BOOKING_SHARE = 0.4
RESEND_SHARE = 0.25
CALLS_PER_SECOND = 20.0


class CallerTask:
    """One caller, which sends requests at a fixed rate until stopped.

    :param seeds: addresses at which the entries accept callers
    :param number: number of the caller
    :param seed: seed of the random choices
    :param stopping: event that stops the caller
    """

    def __init__(self, *, seeds, number, seed, stopping):
        self._random = numpy.random.default_rng([seed, number])
        self._stopping = stopping
        self._caller = Caller(
            seeds=seeds,
            failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            seed=seed + number,
        )
        self.calls = []
        self.resends = []
        self.without_entry = 0

    def run(self):
        """Send requests until the event is set."""
        period = 1.0 / CALLS_PER_SECOND
        next_send = time.monotonic() + self._random.random() * period
        while not self._stopping.wait(max(0.0, next_send - time.monotonic())):
            next_send = max(next_send + period, time.monotonic())
            try:
                self._send()
            except NoEntryAvailable:
                self.without_entry += 1
        self._caller.close()

    def _send(self):
        _, lookups, bookings = SERVICES[self._random.integers(len(SERVICES))]
        identity = uuid.UUID(bytes=self._random.bytes(16)).hex
        if self._random.random() >= BOOKING_SHARE:
            target = f"{lookups}/{self._random.integers(100)}"
            send = self._caller.lookup
            self.calls.append(self._call(identity, target, send, "GET", target))
            return
        arguments = ("POST", bookings)
        call = self._call(identity, bookings, self._caller.book, *arguments, body=b"{}")
        self.calls.append(call)
        if call.result.keys and self._random.random() < RESEND_SHARE:
            address = str(self._random.choice(self._caller.entries()))
            arguments = (address, call.result.keys[-1], *arguments)
            send = self._caller.resend
            self.resends.append(
                self._call(identity, bookings, send, *arguments, body=b"{}")
            )

    @staticmethod
    def _call(identity, target, send, *arguments, **options):
        started = time.monotonic()
        result = send(*arguments, headers=((IDENTITY_HEADER, identity),), **options)
        return Call(
            identity=identity,
            booking="body" in options,
            target=target,
            result=result,
            latency_ms=(time.monotonic() - started) * 1e3,
        )


class Load:
    """Load from several callers, each in a thread of its own.

    :param fleet: :class:`tools.fleet.deployment.Fleet`
    :param callers: number of callers
    :param seed: seed of the random choices
    """

    def __init__(self, *, fleet, callers, seed):
        self._fleet = fleet
        self._stopping = threading.Event()
        self._tasks = [
            CallerTask(
                seeds=fleet.seeds, number=number, seed=seed, stopping=self._stopping
            )
            for number in range(callers)
        ]

    @contextlib.contextmanager
    def running(self):
        """Send requests while the context is open."""
        with concurrent.futures.ThreadPoolExecutor(len(self._tasks)) as executor:
            futures = [executor.submit(task.run) for task in self._tasks]
            try:
                yield
            finally:
                self._stopping.set()
            for future in futures:
                future.result()

    def account(self):
        """Return the counts of calls and resends; call after the load has ended."""
        calls = [call for task in self._tasks for call in task.calls]
        resends = [call for task in self._tasks for call in task.resends]
        records = [
            types.SimpleNamespace(**record) for record in self._fleet.run_records()
        ]
        counts = account([*calls, *resends], records)
        return {
            **counts,
            "requests": len(calls),
            "resends": len(resends),
            "interrupted": sum(not is_successful(call) for call in calls),
            "interrupted_codes": count_failure_codes(calls),
            "resends_without_answer": sum(not is_successful(call) for call in resends),
            "resend_codes": count_failure_codes(resends),
            "without_entry": sum(task.without_entry for task in self._tasks),
        }


def is_successful(call):
    """Return whether a call got a successful response from an upstream."""
    result = call.result
    return result.call_status is CallStatus.OK and result.status == 200


def count_failure_codes(calls):
    """Count the unsuccessful calls by error code or HTTP status."""
    codes = (
        call.result.code or str(call.result.status)
        for call in calls
        if not is_successful(call)
    )
    return dict(collections.Counter(codes))
