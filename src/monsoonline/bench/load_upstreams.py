"""Fake upstreams that share their machine with others and slow down when full."""

import dataclasses

from monsoonline.bench.upstreams import FakeUpstream
from monsoonline.types import AttemptKind

__all__ = ["SharedUpstream"]


class SharedUpstream(FakeUpstream):
    """An upstream whose pace changes with its neighbours and its own load.

    How long a request takes is settled when its work starts.

    :param full_share: share of the slots up to which it keeps its pace
    :param full_factor: slowdown of requests that start beyond that share
    :param generator: :class:`random.Random` of its refusals
    """

    def __init__(self, *, full_share, full_factor, generator, **fields):
        super().__init__(**fields)
        self._full_share = full_share
        self._full_factor = full_factor
        self._generator = generator
        # How much slower than usual it works because of its neighbours.
        self.pace = 1.0
        # Share of the requests that it refuses whatever its load.
        self.shed_share = 0.0

    def report(self):
        """Return the load report of this instant."""
        return dataclasses.replace(super().report(), pace=self.pace)

    def submit(self, job):
        """Take a request that arrives now, or refuse it."""
        if self.shed_share and self._generator.random() < self.shed_share:
            self.arrivals.append(self._timeline.now())
            job.reply(AttemptKind.SHED, self.report(), self.draining)
            return
        super().submit(job)

    def _start(self, job):
        job.work_ms *= self.pace
        if len(self._running) + 1 > self._full_share * self._slots:
            job.work_ms *= self._full_factor
        super()._start(job)
