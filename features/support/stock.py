"""Deployments that are reused while undamaged and started ahead of their use."""

import concurrent.futures

from support.deployment import Deployment

__all__ = ["DeploymentStock", "damage"]

USUAL_SHAPE = (3, 3)


class DeploymentStock:
    """Keeps an undamaged deployment of each shape.

    Starting one takes seconds, so the next of the usual shape starts while a
    scenario that damages its own runs.

    :param seed: base seed of the upstreams
    """

    def __init__(self, *, seed):
        self._seed = seed
        self._executor = concurrent.futures.ThreadPoolExecutor(1)
        self._kept = {}
        self._spare = None
        self._early = {}

    def take(self, entries, upstreams):
        """Return a deployment that runs and has no faults."""
        shape = (entries, upstreams)
        kept = self._kept.pop(shape, None)
        if kept is not None:
            return kept
        if shape in self._early:
            return self._early.pop(shape).result()
        if shape != USUAL_SHAPE:
            return self._start(shape)
        spare, self._spare = self._spare, None
        return spare.result() if spare else self._start(shape)

    def prepare(self):
        """Start a deployment of the usual shape in the background."""
        if self._spare is None and USUAL_SHAPE not in self._kept:
            self._spare = self._executor.submit(self._start, USUAL_SHAPE)

    def start_early(self, shape):
        """Start a deployment that must have run for some time when it is used."""
        self._early[shape] = self._executor.submit(self._start, shape)

    def give_back(self, deployment):
        """Keep a deployment where it is undamaged, otherwise end it."""
        if deployment.damaged or deployment.shape in self._kept:
            deployment.close()
        else:
            self._kept[deployment.shape] = deployment

    def close(self):
        """End all deployments."""
        if self._spare is not None:
            self._spare.result().close()
        for started in self._early.values():
            started.result().close()
        for deployment in self._kept.values():
            deployment.close()
        self._executor.shutdown()

    def _start(self, shape):
        deployment = Deployment(seed=self._seed, entries=shape[0], upstreams=shape[1])
        deployment.start()
        return deployment


def damage(context):
    """Mark the scenario's deployment as unfit for another one; start the next."""
    context.deployment.damaged = True
    context.stock.prepare()
