"""Reloads the settings file of a running entry when it changes."""

import contextlib
import logging
import pathlib
import queue
import threading

from monsoonline.background import start_task
from monsoonline.errors import FindingsError

__all__ = ["SettingsWatch"]

# Maximum delay before a change without a signal is noticed.
CHECK_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class SettingsWatch:
    """Reloads a settings file when its content changes.

    The file is checked at regular intervals and on request.

    :param path: path of the settings file
    :param parse: called with the file's bytes and ``place``, returns the settings or
        raises :class:`monsoonline.errors.FindingsError`
    :param on_change: called with changed settings that are valid
    """

    def __init__(self, *, path, parse, on_change):
        self._path = pathlib.Path(path)
        self._parse = parse
        self._on_change = on_change
        self._content = self._path.read_bytes()
        # put() of SimpleQueue is reentrant and thus safe in a signal handler.
        self._check_requests = queue.SimpleQueue()
        self._stopping = threading.Event()

    def start(self):
        """Start watching in a thread."""
        start_task(self._run, stopping=self._stopping, name="settings")

    def check_soon(self):
        """Trigger a check immediately; safe to call from a signal handler."""
        self._check_requests.put(None)

    def close(self):
        """Stop watching."""
        self._stopping.set()
        self._check_requests.put(None)

    def check(self):
        """Reload the file if it has changed; invalid settings are logged and ignored.

        :returns: whether new settings were applied
        """
        try:
            content = self._path.read_bytes()
        except OSError as error:
            logger.warning("settings not readable", extra={"error": repr(error)})
            return False
        if content == self._content:
            return False
        # Remembers invalid content too, so that its findings are logged only once.
        self._content = content
        try:
            settings = self._parse(content, place=str(self._path))
        except FindingsError as error:
            logger.error(
                "changed settings are not valid; the previous settings stay in effect",
                extra={"findings": str(error)},
            )
            return False
        self._on_change(settings)
        return True

    def _run(self):
        while not self._stopping.is_set():
            with contextlib.suppress(queue.Empty):
                self._check_requests.get(timeout=CHECK_INTERVAL_S)
            if not self._stopping.is_set():
                self.check()
