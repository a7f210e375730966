"""Deployments that are reused while undamaged and started ahead of their use."""

import concurrent.futures

from support.deployment import Deployment

__all__ = ["DeploymentStock", "damage"]


class DeploymentStock:
    """Keeps an undamaged deployment of each shape, and one started ahead.

    Starting one takes seconds, so the next of a shape starts while a scenario uses
    its own.

    :param seed: base seed of the upstreams
    """

    def __init__(self, *, seed):
        self._seed = seed
        self._executor = concurrent.futures.ThreadPoolExecutor(1)
        self._kept = {}
        self._spares = {}
        self._ahead = frozenset()

    def start_ahead(self, shapes, *, once=()):
        """Start deployments before they are asked for.

        :param shapes: shapes of which one is always started ahead
        :param once: shapes of which only one is started
        """
        self._ahead = frozenset(shapes)
        for shape in (*shapes, *once):
            self.prepare(shape)

    def take(self, entries, upstreams):
        """Return a deployment that runs and has no faults."""
        shape = (entries, upstreams)
        kept = self._kept.pop(shape, None)
        if kept is not None:
            return kept
        spare = self._spares.pop(shape, None)
        taken = spare.result() if spare else self._start(shape)
        if shape in self._ahead:
            self.prepare(shape)
        return taken

    def prepare(self, shape):
        """Start a deployment in the background where none is at hand."""
        if shape not in self._spares and shape not in self._kept:
            self._spares[shape] = self._executor.submit(self._start, shape)

    def give_back(self, deployment):
        """Keep a deployment where it is undamaged, otherwise end it."""
        if deployment.damaged or deployment.shape in self._kept:
            deployment.close()
        else:
            self._kept[deployment.shape] = deployment

    def close(self):
        """End all deployments."""
        for spare in self._spares.values():
            spare.result().close()
        for deployment in self._kept.values():
            deployment.close()
        self._executor.shutdown()

    def _start(self, shape):
        deployment = Deployment(seed=self._seed, entries=shape[0], upstreams=shape[1])
        deployment.start()
        return deployment


def damage(context):
    """Mark the scenario's deployment as unfit for another one."""
    context.deployment.damaged = True
