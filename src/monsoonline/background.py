"""Tasks that run in threads until their owner is closed."""

import logging
import threading

__all__ = ["RESTART_DELAY_MS", "start_task"]

RESTART_DELAY_MS = 400.0

logger = logging.getLogger(__name__)


def start_task(task, *, stopping, name=None, on_error=None):
    """Start a thread that runs a task, and runs it again after an unexpected error.

    An error in one round of an endless loop must not end it.

    :param task: function without arguments; the thread ends when it returns
    :param stopping: :class:`threading.Event` that is set when the owner closes
    :param name: name of the thread and in the log, by default that of the function
    :param on_error: called after each unexpected error, for example to count it
    :returns: the started thread
    """
    name = name or task.__name__.lstrip("_")
    thread = threading.Thread(
        target=_run, args=(task, stopping, name, on_error), name=name, daemon=True
    )
    thread.start()
    return thread


def _run(task, stopping, name, on_error):
    while not stopping.is_set():
        try:
            task()
            return
        except Exception:
            logger.exception("task ended by an unexpected error", extra={"task": name})
            if on_error is not None:
                on_error()
        stopping.wait(RESTART_DELAY_MS / 1e3)
