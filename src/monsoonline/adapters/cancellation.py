"""Cancellation of an upstream exchange by the caller or by a winning hedge."""

import contextlib
import select
import socket
import threading

__all__ = ["Cancellation", "ExchangeCancelled"]


class ExchangeCancelled(Exception):
    """The exchange was cancelled because its response is no longer needed."""


class Cancellation:
    """Cancels the wait for an upstream's response.

    :param caller: socket of the caller, which cancels by closing its connection;
        ``None`` when only :meth:`cancel` cancels
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
        """Whether :meth:`cancel` was called or the caller closed the connection."""
        if not self._cancelled and self._caller is not None:
            poller = select.poll()
            poller.register(self._caller, select.POLLRDHUP)
            self._cancelled = bool(poller.poll(0))
        return self._cancelled

    def attach(self, upstream):
        """Set the upstream socket that :meth:`cancel` shuts down.

        :raises ExchangeCancelled: when already cancelled
        """
        with self._lock:
            if self._cancelled:
                raise ExchangeCancelled(
                    "the exchange was cancelled before the request was sent"
                )
            self._attached = upstream

    def detach(self):
        """Release the socket for reuse; a later :meth:`cancel` does not affect it."""
        with self._lock:
            self._attached = None

    def cancel(self):
        """Shut down the attached socket, which wakes up the thread reading from it."""
        with self._lock:
            self._cancelled = True
            if self._attached is not None:
                with contextlib.suppress(OSError):
                    self._attached.shutdown(socket.SHUT_RDWR)

    def wait_readable(self, upstream, timeout_ms):
        """Wait until data from an upstream can be read.

        :param upstream: socket to wait for
        :param timeout_ms: maximum wait in ms
        :returns: whether the socket is readable
        :raises ExchangeCancelled: when the caller closed the connection or
            :meth:`cancel` was called
        """
        poller = select.poll()
        poller.register(upstream, select.POLLIN)
        if self._caller is not None:
            poller.register(self._caller, select.POLLRDHUP)
        ready = {descriptor for descriptor, _ in poller.poll(timeout_ms)}
        if self._cancelled or (ready and upstream.fileno() not in ready):
            self._cancelled = True
            raise ExchangeCancelled(
                "the exchange was cancelled while waiting for the response"
            )
        return bool(ready)
