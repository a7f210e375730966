"""The description of an experiment, a JSON file validated at the border."""

import importlib.resources
import pathlib
from typing import Literal

import pydantic

from monsoonline.settings import StrictModel, parse_document

__all__ = ["DEPLOYMENTS", "RunDocument", "load_deployment", "load_run"]

DEPLOYMENTS = ("traufbrett", "cooperative")
Share = pydantic.Field(ge=0.0, le=1.0)


class PoolDocument(StrictModel):
    """One pool of equal upstreams, spread evenly over the failure domains."""

    name: str = pydantic.Field(min_length=1)
    targets: int = pydantic.Field(ge=1, le=10_000)
    slots: int = pydantic.Field(ge=1, le=1_000)
    queue_limit: int = pydantic.Field(default=30, ge=0)
    probes_per_second: float = pydantic.Field(default=2.0, ge=0.0)
    slot_share: float = pydantic.Field(default=0.02, ge=0.0, le=1.0)


class RouteDocument(StrictModel):
    """One route and its share of its pool's work."""

    name: str = pydantic.Field(min_length=1)
    pool: str
    idempotent: bool
    share: float = Share
    service_ms: float = pydantic.Field(gt=0.0)
    deadline_ms: float = pydantic.Field(default=1_000.0, gt=0.0)
    queue_ms: float = pydantic.Field(default=300.0, ge=0.0)
    retries: int = pydantic.Field(default=1, ge=0)
    hedges: int = pydantic.Field(default=0, ge=0)


class SlowSpells(StrictModel):
    """A share of each pool is slower; which targets changes after each spell."""

    share: float = Share
    factor: float = pydantic.Field(default=5.0, ge=1.0)
    min_ms: float = pydantic.Field(default=100.0, gt=0.0)
    max_ms: float = pydantic.Field(default=1_000.0, gt=0.0)


class FaultDocument(StrictModel):
    """Something that happens to upstreams.

    ``stop`` closes connections and refuses new ones; ``silence`` lets connections
    hang; ``drain`` marks answers, then stops after ``duration_ms``; ``fail-fast``
    answers each request with an error; ``slow`` multiplies service times by
    ``factor``; ``cold-start`` stops for half of the duration and is slow for the
    other half.
    """

    kind: Literal["stop", "silence", "drain", "fail-fast", "slow", "cold-start"]
    at_ms: float = pydantic.Field(ge=0.0)
    duration_ms: float | None = pydantic.Field(default=None, gt=0.0)
    factor: float = pydantic.Field(default=5.0, ge=1.0)
    pool: str
    target: int | None = pydantic.Field(default=None, ge=0)
    failure_domain: str | None = None


class CrashDocument(StrictModel):
    """One request that crashes each upstream that runs it, resent by its caller.

    The caller resends through the next entry as soon as it has an answer.
    """

    at_ms: float = pydantic.Field(ge=0.0)
    pool: str
    route: str
    resends: int = pydantic.Field(default=40, ge=0)
    restart_ms: float = pydantic.Field(default=3_000.0, gt=0.0)


class RunDocument(StrictModel):
    """One experiment."""

    name: str = pydantic.Field(min_length=1)
    seed: int = pydantic.Field(default=1, ge=0)
    policy: str = "adaptive"
    entries: int = pydantic.Field(default=20, ge=1, le=400)
    failure_domains: tuple[str, ...] = pydantic.Field(min_length=1)
    near_ms: float = pydantic.Field(default=0.25, ge=0.0)
    far_ms: float = pydantic.Field(default=1.0, ge=0.0)
    duration_ms: float = pydantic.Field(default=3_000.0, gt=0.0)
    warm_up_ms: float = pydantic.Field(default=500.0, ge=0.0)
    load: float = pydantic.Field(default=0.7, gt=0.0, le=10.0)
    service_sigma: float = pydantic.Field(default=0.5, ge=0.0, le=2.0)
    gossip_ms: float = pydantic.Field(default=500.0, gt=0.0)
    probes: bool = True
    pools: tuple[PoolDocument, ...] = pydantic.Field(min_length=1)
    routes: tuple[RouteDocument, ...] = pydantic.Field(min_length=1)
    slow_spells: SlowSpells | None = None
    faults: tuple[FaultDocument, ...] = ()
    crash: CrashDocument | None = None

    @pydantic.model_validator(mode="after")
    def _references(self):
        pools = [pool.name for pool in self.pools]
        for item in (*self.routes, *self.faults, *((self.crash,) * bool(self.crash))):
            if item.pool not in pools:
                raise ValueError(f"pool {item.pool!r} is not one of {pools!r}")
        return self


def load_run(path):
    """Read an experiment from a file.

    :raises FindingsError: with all findings
    """
    return parse_document(RunDocument, pathlib.Path(path).read_bytes(), place=str(path))


def load_deployment(name):
    """Read the shipped experiment of a deployment.

    :param name: one of :data:`DEPLOYMENTS`
    """
    files = importlib.resources.files("monsoonline.bench") / "examples"
    return parse_document(
        RunDocument, (files / f"{name}.json").read_bytes(), place=f"{name}.json"
    )
