"""Starts and ends the processes of the scenarios; prints each scenario's seed."""

import contextlib
import os
import signal
import sys
import zlib

from support.accounting import largest_probe_rate
from support.deployment import PROBES_PER_SECOND
from support.stock import DeploymentStock
from support.upstreams import PROBE_TARGET

SEED_VARIABLE = "MONSOONLINE_SEED"
# Entries wait 10 s before their first probe, so a run of all scenarios starts the
# deployment of the measuring budget ahead of the others.
MEASURED_SHAPE = (3, 2)
USUAL_SHAPES = ((3, 5), (3, 3))
BASE_SEED = int(os.environ.get(SEED_VARIABLE, "1"))


def before_all(context):
    # The default action would end the runner and leave its processes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    context.stock = DeploymentStock(seed=BASE_SEED)
    features = context.config.paths or ["features"]
    if features == ["features"]:
        context.stock.start_ahead(USUAL_SHAPES, once=[MEASURED_SHAPE])


def after_all(context):
    context.stock.close()


def before_scenario(context, scenario):
    context.seed = BASE_SEED * 10_000 + zlib.crc32(scenario.name.encode()) % 10_000
    print(f"\n{scenario.name}: seed {context.seed} ({SEED_VARIABLE}={BASE_SEED})")
    context.deployment = None
    context.load = None
    context.monitor = None
    context.calls = ()
    context.noticed = {}
    context.refused_changes = frozenset()


def after_scenario(context, scenario):
    with contextlib.ExitStack() as stack:
        if context.deployment is not None:
            stack.callback(return_deployment, context)
            stack.callback(check_measuring_budget, context.deployment)
        if context.monitor is not None:
            stack.callback(context.monitor.stop)
        if context.load is not None:
            stack.callback(context.load.stop)


def return_deployment(context):
    """Undo what the scenario switched and keep an undamaged deployment."""
    deployment = context.deployment
    # After a failed step its processes may be in any state.
    if context.failed:
        deployment.damaged = True
    if not deployment.damaged:
        deployment.reset_faults()
        deployment.reset_upstreams()
    context.stock.give_back(deployment)


def check_measuring_budget(deployment):
    """R1 holds in every scenario, whatever else it brings about."""
    for name, upstream in deployment.upstreams.items():
        probes = [run for run in upstream.runs() if run.target == PROBE_TARGET]
        rate = largest_probe_rate(probes)
        instants = [round(probe.started) for probe in probes]
        assert rate <= PROBES_PER_SECOND, f"{rate} in a second at {name}: {instants}"
