"""Blocking code in virtual time: one thread for each task, one of them runs.

The request path of an entry waits in the middle of its functions. Here each request
runs unchanged on a thread of its own, and its waits let the virtual time go on.
"""

import concurrent.futures
import threading

__all__ = ["TaskStopped", "VirtualPoller", "VirtualTasks"]


class TaskStopped(BaseException):
    """Ends a task that still waits when the experiment is over.

    Not an ``Exception``, so that the code of a task does not handle it as a failure.
    """


class VirtualTask:
    """One task; each lock is held until the other side hands over."""

    __slots__ = ("paused", "resumed", "stopped")

    def __init__(self):
        self.paused = threading.Lock()
        self.resumed = threading.Lock()
        self.stopped = False
        self.paused.acquire()
        self.resumed.acquire()


class VirtualTasks:
    """Starts tasks and passes control between them and the timeline.

    :param limit: tasks at once
    """

    def __init__(self, *, limit):
        self._limit = limit
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=limit, thread_name_prefix="virtual"
        )
        self._current = threading.local()
        self._open = set()
        self._errors = []

    def start(self, function, *arguments):
        """Run a function as a task until it waits or ends.

        :raises RuntimeError: when the limit of tasks is reached
        """
        if len(self._open) >= self._limit:
            raise RuntimeError(
                f"more than {self._limit} tasks at once; the experiment's load is "
                "not served"
            )
        task = VirtualTask()
        self._open.add(task)
        self._executor.submit(self._run, task, function, arguments)
        self._await(task)

    def current(self):
        """Return the task that runs on the calling thread."""
        return self._current.task

    def pause(self):
        """Wait until :meth:`resume`; called by a task.

        :raises TaskStopped: when the experiment is over
        """
        task = self._current.task
        task.paused.release()
        task.resumed.acquire()
        if task.stopped:
            raise TaskStopped

    def resume(self, task):
        """Let a task go on until it waits again or ends; called by the timeline."""
        task.resumed.release()
        self._await(task)

    def close(self):
        """End all tasks that still wait."""
        for task in list(self._open):
            task.stopped = True
            while task in self._open:
                self.resume(task)
        self._executor.shutdown()

    def _run(self, task, function, arguments):
        self._current.task = task
        try:
            function(*arguments)
        except TaskStopped:
            pass
        except BaseException as error:  # Raised again on the timeline's thread.
            self._errors.append(error)
        finally:
            self._open.discard(task)
            task.paused.release()

    def _await(self, task):
        task.paused.acquire()
        if self._errors:
            raise self._errors.pop()


class VirtualPoller:
    """Waits for sessions in virtual time, with the methods of ``select.poll``.

    :param tasks: the :class:`VirtualTasks`
    :param timeline: the :class:`monsoonline.bench.timeline.Timeline`
    :param sockets: mapping from descriptors to objects with ``ready(events)`` and
        ``waiter``, which is called when they become ready
    """

    def __init__(self, *, tasks, timeline, sockets):
        self._tasks = tasks
        self._timeline = timeline
        self._sockets = sockets
        self._events = {}

    def register(self, descriptor, events):
        """Wait for a descriptor as well."""
        self._events[descriptor] = events

    def unregister(self, descriptor):
        """Wait for a descriptor no longer."""
        del self._events[descriptor]

    def poll(self, timeout_ms):
        """Return (descriptor, events) pairs, none after ``timeout_ms``."""
        ready = self._ready()
        if ready or timeout_ms <= 0:
            return ready
        task = self._tasks.current()
        waiting = [True]

        def wake():
            if waiting[0] and (self._timeline.now() >= until or self._ready()):
                waiting[0] = False
                self._tasks.resume(task)

        until = self._timeline.now() + timeout_ms
        self._timeline.after(timeout_ms, wake)
        for descriptor in self._events:
            self._sockets[descriptor].waiter = wake
        self._tasks.pause()
        return self._ready()

    def _ready(self):
        return [
            (descriptor, events)
            for descriptor, events in self._events.items()
            if self._sockets[descriptor].ready(events)
        ]
