"""A fake upstream in virtual time: slots, a queue, spells and faults."""

import collections
import enum

from monsoonline.types import AttemptKind, LoadReport

__all__ = ["FakeUpstream", "Job", "UpstreamMode"]

FAIL_FAST_MS = 0.2
PROBE_MS = 0.5


class UpstreamMode(enum.Enum):
    """What an upstream does with requests."""

    SERVING = "serving"
    FAIL_FAST = "fail-fast"
    STOPPED = "stopped"
    SILENT = "silent"


class Job:
    """One attempt at an upstream.

    :param number: number of the caller's request
    :param work_ms: service time at normal speed
    :param deadline: instant in ms
    :param reply: called with the kind, a load report and the drain mark
    :param crashing: whether running it crashes the upstream
    """

    __slots__ = (
        "cancelled",
        "crashing",
        "deadline",
        "number",
        "reply",
        "since",
        "token",
        "work_ms",
    )

    def __init__(self, *, number, work_ms, deadline, reply, crashing=False):
        self.number = number
        self.work_ms = work_ms
        self.deadline = deadline
        self.reply = reply
        self.crashing = crashing
        self.cancelled = False
        self.since = 0.0
        self.token = 0


class FakeUpstream:
    """One upstream.

    :param timeline: virtual time
    :param address: ``host:port``
    :param failure_domain: where it runs
    :param slots: requests processed at once
    :param queue_limit: requests that wait before it sheds
    :param restart_ms: time from a crash to serving again
    """

    def __init__(
        self, *, timeline, address, failure_domain, slots, queue_limit, restart_ms
    ):
        self._timeline = timeline
        self.address = address
        self.failure_domain = failure_domain
        self._slots = slots
        self._queue_limit = queue_limit
        self._restart_ms = restart_ms
        self._running = []
        self._queue = collections.deque()
        self._factor = 1.0
        self.mode = UpstreamMode.SERVING
        self.draining = False
        self.runs = collections.Counter()
        self.arrivals = []
        self.probes = []
        self.crashes = 0

    @property
    def slots(self):
        """Requests processed at once."""
        return self._slots

    @property
    def factor(self):
        """Service time relative to normal speed."""
        return self._factor

    def report(self):
        """Return the load report of this instant."""
        return LoadReport(
            in_flight=len(self._running), slots=self._slots, queued=len(self._queue)
        )

    def wait_ms(self, coming_work_ms, coming):
        """Return the true time to a free slot, for the oracle.

        :param coming_work_ms: work of the requests on their way
        :param coming: number of requests on their way
        """
        busy = len(self._running) + len(self._queue) + coming
        if busy < self._slots:
            return 0.0
        now = self._timeline.now()
        work = coming_work_ms + sum(job.work_ms for job in self._queue)
        for job in self._running:
            work += max(0.0, job.work_ms - (now - job.since) / self._factor)
        return work * self._factor / self._slots

    def submit(self, job):
        """Take a request that arrives now."""
        if job.cancelled or self.mode is UpstreamMode.SILENT:
            return
        self.arrivals.append(self._timeline.now())
        if self.mode is UpstreamMode.STOPPED:
            job.reply(AttemptKind.CONNECT_FAILED, None, False)
        elif self.mode is UpstreamMode.FAIL_FAST:
            self._timeline.after(FAIL_FAST_MS, self._fail, job)
        elif len(self._running) < self._slots:
            self._start(job)
        elif len(self._queue) < self._queue_limit:
            self._queue.append(job)
        else:
            job.reply(AttemptKind.SHED, self.report(), self.draining)

    def probe(self, reply):
        """Take a probe that arrives now; return whether it will be answered."""
        self.probes.append(self._timeline.now())
        answers = self.mode in (UpstreamMode.SERVING, UpstreamMode.FAIL_FAST)
        if answers:
            self._timeline.after(PROBE_MS, lambda: reply(self.report()))
        return answers

    def cancel(self, job):
        """Drop a request whose sender no longer waits."""
        job.cancelled = True
        if job in self._running:
            self._running.remove(job)
            job.token += 1
            self._next()
        elif job in self._queue:
            self._queue.remove(job)

    def set_factor(self, factor):
        """Change the speed, also for the requests that run."""
        now = self._timeline.now()
        for job in self._running:
            job.work_ms = max(0.0, job.work_ms - (now - job.since) / self._factor)
        self._factor = factor
        for job in self._running:
            self._schedule(job)

    def stop(self):
        """Close all connections and refuse new ones."""
        self.mode = UpstreamMode.STOPPED
        self._lose()

    def silence(self):
        """Let all connections hang."""
        self.mode = UpstreamMode.SILENT
        for job in self._running:
            job.token += 1
        self._running.clear()
        self._queue.clear()

    def resume(self):
        """Serve again."""
        self.mode = UpstreamMode.SERVING

    def _fail(self, job):
        if not job.cancelled:
            job.reply(AttemptKind.FAILED_RESPONSE, self.report(), self.draining)

    def _start(self, job):
        self.runs[job.number] += 1
        if job.crashing:
            self.crashes += 1
            self._running.append(job)
            self.stop()
            self._timeline.after(self._restart_ms, self.resume)
            return
        self._running.append(job)
        self._schedule(job)

    def _schedule(self, job):
        job.since = self._timeline.now()
        job.token += 1
        delay = job.work_ms * self._factor
        self._timeline.after(delay, self._finish, job, job.token)

    def _finish(self, job, token):
        if token != job.token:
            return
        self._running.remove(job)
        self._next()
        job.reply(AttemptKind.SUCCEEDED, self.report(), self.draining)

    def _next(self):
        now = self._timeline.now()
        while self._queue and len(self._running) < self._slots:
            job = self._queue.popleft()
            if job.deadline > now:
                self._start(job)

    def _lose(self):
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for job in lost:
            job.token += 1
            job.reply(AttemptKind.CONNECTION_LOST, None, False)
