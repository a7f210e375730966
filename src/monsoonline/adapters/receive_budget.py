"""Memory limits of the messages that a process holds.

Each response and each request has a size limit, but many of them at once would exceed
the memory of a small VM.
"""

import http.client
import threading

__all__ = ["MAX_RECEIVED_BYTES", "ReceiveBudget", "ReceiveBudgetExceeded"]

MAX_RECEIVED_BYTES = 32 << 20
# Bytes of each response that are not counted.
UNCOUNTED_BYTES = 64 << 10


class ReceiveBudgetExceeded(http.client.HTTPException):
    """The messages of one kind together need too much memory."""


class ReceiveBudget:
    """Counts the bytes of all messages of one kind that are held.

    :param max_bytes: limit of their sum
    """

    def __init__(self, *, max_bytes=MAX_RECEIVED_BYTES):
        self._max_bytes = max_bytes
        self._taken = 0
        self._lock = threading.Lock()

    @property
    def taken(self):
        """Bytes that are counted now."""
        return self._taken

    def open(self):
        """Return the :class:`ReceivedBytes` of one connection."""
        return ReceivedBytes(budget=self)

    def take(self, size):
        """Count bytes that were received.

        :raises ReceiveBudgetExceeded: when the limit is exceeded
        """
        with self._lock:
            if self._taken + size > self._max_bytes:
                raise ReceiveBudgetExceeded(
                    f"messages in progress exceed {self._max_bytes} bytes"
                )
            self._taken += size

    def give_back(self, size):
        """Stop counting bytes of a message that is complete or was given up."""
        with self._lock:
            self._taken -= size


class ReceivedBytes:
    """The bytes of the message that one connection is receiving.

    :param budget: the :class:`ReceiveBudget`
    """

    __slots__ = ("_budget", "_size", "_taken")

    def __init__(self, *, budget):
        self._budget = budget
        self._size = 0
        self._taken = 0

    def add(self, size):
        """Count bytes that were received.

        :raises ReceiveBudgetExceeded: when all messages together exceed the limit
        """
        self._size += size
        if self._size > UNCOUNTED_BYTES:
            self._budget.take(size)
            self._taken += size

    def reset(self):
        """End the message."""
        if self._taken:
            self._budget.give_back(self._taken)
        self._size = self._taken = 0
