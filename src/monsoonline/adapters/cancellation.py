"""Cancellation of an exchange with an upstream, by its caller or by a hedge."""

import contextlib
import select
import socket
import threading

__all__ = ["Cancellation", "ExchangeCancelled"]


class ExchangeCancelled(Exception):
    """Nobody waits for the answer any more."""


class Cancellation:
    """Ends the wait for an upstream when the answer is no longer of use.

    :param caller: socket of the caller, whose hang-up cancels; ``None`` for none
    """

    __slots__ = ("_attached", "_caller", "_cancelled", "_lock")

    def __init__(self, *, caller=None):
        self._caller = caller
        self._cancelled = False
        self._attached = None
        self._lock = threading.Lock()

    @property
    def caller(self):
        """The caller's socket, or ``None``."""
        return self._caller

    @property
    def cancelled(self):
        """Whether :meth:`cancel` was called or the caller has hung up."""
        if not self._cancelled and self._caller is not None:
            poller = select.poll()
            poller.register(self._caller, select.POLLRDHUP)
            self._cancelled = bool(poller.poll(0))
        return self._cancelled

    def attach(self, upstream):
        """Name the upstream socket that :meth:`cancel` shuts down.

        :raises ExchangeCancelled: when cancelled before
        """
        with self._lock:
            if self._cancelled:
                raise ExchangeCancelled("cancelled before sending")
            self._attached = upstream

    def detach(self):
        """Protect the socket from a later :meth:`cancel`, before it is reused."""
        with self._lock:
            self._attached = None

    def cancel(self):
        """Shut down the attached socket, which wakes the thread that reads it."""
        with self._lock:
            self._cancelled = True
            if self._attached is not None:
                with contextlib.suppress(OSError):
                    self._attached.shutdown(socket.SHUT_RDWR)

    def wait_readable(self, upstream, timeout_ms):
        """Wait for bytes from an upstream.

        :param upstream: socket to wait for
        :param timeout_ms: longest wait
        :returns: whether the socket is readable
        :raises ExchangeCancelled: when the caller hung up or :meth:`cancel` ran
        """
        poller = select.poll()
        poller.register(upstream, select.POLLIN)
        if self._caller is not None:
            poller.register(self._caller, select.POLLRDHUP)
        ready = {descriptor for descriptor, _ in poller.poll(timeout_ms)}
        if self._cancelled or (ready and upstream.fileno() not in ready):
            self._cancelled = True
            raise ExchangeCancelled("the answer is no longer wanted")
        return bool(ready)
