"""Bounded waiting."""

import time

__all__ = ["now_ms", "wait_until"]

POLL_SECONDS = 0.05


def now_ms():
    """Return the monotonic time in ms, which all processes of one machine share."""
    return time.monotonic_ns() / 1e6


def wait_until(condition, *, seconds, what):
    """Poll a condition until it is true.

    :param condition: function without arguments
    :param seconds: bound of the wait
    :param what: named in the failure
    :returns: the true value of the condition
    :raises AssertionError: when the bound passed
    """
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            raise AssertionError(f"not within {seconds} s: {what}")
        time.sleep(POLL_SECONDS)
