"""The description of a load experiment, a JSON file validated at the border."""

import importlib.resources
import pathlib
from typing import Annotated, Literal

import pydantic

from monsoonline.settings import StrictModel, parse_document

__all__ = ["LoadDocument", "load_experiment", "shipped_experiments"]

Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
Duration = Annotated[float, pydantic.Field(gt=0.0)]
EXAMPLES = "examples/load"


class NeighbourDocument(StrictModel):
    """A share of the upstreams is disturbed at any moment; which ones changes.

    A disturbed upstream is slow half of the time, in short turns.

    :param share: share of the time that an upstream is disturbed
    :param factor: how much slower it works in its slow turns
    :param mean_ms: mean length of a disturbed or an undisturbed time
    :param turn_ms: mean length of a turn
    """

    share: Share = 0.0
    factor: float = pydantic.Field(default=5.0, ge=1.0)
    mean_ms: Duration = 500.0
    turn_ms: Duration = 30.0


class LoadPoolDocument(StrictModel):
    """One pool of upstreams, spread evenly over the failure domains.

    :param queue_limit: requests that wait at an upstream before it refuses
    :param full_share: share of its slots up to which an upstream keeps its pace
    :param full_factor: slowdown beyond that share
    :param probes_per_second: probes that an upstream may get from all entries
    """

    name: str = pydantic.Field(min_length=1)
    targets: int = pydantic.Field(ge=1, le=10_000)
    slots: int = pydantic.Field(ge=1, le=1_000)
    queue_limit: int = pydantic.Field(default=8, ge=0)
    full_share: Share = 1.0
    full_factor: float = pydantic.Field(default=1.0, ge=1.0)
    probes_per_second: float = pydantic.Field(default=60.0, gt=0.0)
    neighbours: NeighbourDocument = NeighbourDocument()


class LoadRouteDocument(StrictModel):
    """One kind of request.

    :param requests_per_second: from all callers, before patterns
    :param work_ms: mean time at an idle upstream, lognormal with ``sigma``
    :param goal_ms: time in which an answer is worth ``worth``, ``late_worth`` after it
    :param deadline_ms: time that a caller waits in all
    :param retries: attempts at upstreams after the first
    """

    name: str = pydantic.Field(min_length=1)
    pool: str
    idempotent: bool
    priority: int = pydantic.Field(default=0, ge=0)
    requests_per_second: float = pydantic.Field(gt=0.0)
    work_ms: Duration
    sigma: float = pydantic.Field(default=0.3, ge=0.0, le=2.0)
    goal_ms: Duration
    deadline_ms: Duration
    worth: float = pydantic.Field(default=1.0, gt=0.0)
    late_worth: float = pydantic.Field(default=0.1, ge=0.0)
    retries: int = pydantic.Field(default=1, ge=0)


class CallersDocument(StrictModel):
    """What callers do when they are refused.

    :param returns: times that a caller tries again
    :param pressing_share: share that returns after ``pressing_ms`` whatever it is told
    :param reconnect_ms: time until a caller tries another entry when one is gone
    :param domain_weights: callers near each failure domain, relative to each other;
        equal when empty
    """

    returns: int = pydantic.Field(default=1, ge=0)
    pressing_share: Share = 0.0
    pressing_returns: int = pydantic.Field(default=10, ge=0)
    pressing_ms: Duration = 50.0
    reconnect_ms: Duration = 100.0
    domain_weights: dict[str, float] = {}


class RepeatDocument(StrictModel):
    """The budget of repeated attempts of one pool, for all entries together."""

    ratio: float = pydantic.Field(default=0.2, ge=0.0)
    slack: float = pydantic.Field(default=100.0, ge=0.0)
    window_ms: Duration = 10_000.0


class Pattern(StrictModel):
    """Something that happens for a while."""

    at_ms: float = pydantic.Field(ge=0.0)
    duration_ms: Duration


class BurstPattern(Pattern):
    """Callers send ``factor`` times as many requests, of all routes or one."""

    kind: Literal["burst"]
    factor: float = pydantic.Field(gt=0.0)
    route: str | None = None


class EntriesLostPattern(Pattern):
    """A share of the entries is gone; they return with nothing known.

    With a share of 1.0 callers wait, and return together with the entries.
    """

    kind: Literal["entries-lost"]
    share: Share


class EntriesCutPattern(Pattern):
    """Callers cannot reach a share of the entries, which go on as members."""

    kind: Literal["entries-cut"]
    share: Share


class SheddingPattern(Pattern):
    """All upstreams of a pool refuse a share of the requests at random."""

    kind: Literal["shedding"]
    share: Share
    pool: str


class UpstreamsLostPattern(Pattern):
    """A share of a pool's upstreams refuses connections, or does not answer."""

    kind: Literal["upstreams-lost", "upstreams-silent"]
    share: Share
    pool: str


AnyPattern = Annotated[
    BurstPattern
    | EntriesLostPattern
    | EntriesCutPattern
    | SheddingPattern
    | UpstreamsLostPattern,
    pydantic.Field(discriminator="kind"),
]


class LoadDocument(StrictModel):
    """One load experiment.

    :param near_ms: one-way delay within a failure domain
    :param far_ms: one-way delay between failure domains
    :param caller_ms: one-way delay between callers and entries
    """

    name: str = pydantic.Field(min_length=1)
    seed: int = pydantic.Field(default=1, ge=0)
    entries: int = pydantic.Field(default=20, ge=1, le=400)
    failure_domains: tuple[str, ...] = pydantic.Field(min_length=1)
    near_ms: float = pydantic.Field(default=0.25, ge=0.0)
    far_ms: float = pydantic.Field(default=1.0, ge=0.0)
    caller_ms: float = pydantic.Field(default=1.0, ge=0.0)
    duration_ms: Duration = 10_000.0
    pools: tuple[LoadPoolDocument, ...] = pydantic.Field(min_length=1)
    routes: tuple[LoadRouteDocument, ...] = pydantic.Field(min_length=1)
    callers: CallersDocument = CallersDocument()
    repeats: RepeatDocument = RepeatDocument()
    patterns: tuple[AnyPattern, ...] = ()

    @pydantic.model_validator(mode="after")
    def _references(self):
        pools = [pool.name for pool in self.pools]
        routes = [route.name for route in self.routes]
        for item in (*self.routes, *self.patterns):
            pool = getattr(item, "pool", None)
            if pool is not None and pool not in pools:
                raise ValueError(f"pool {pool!r} is not one of {pools!r}")
            route = getattr(item, "route", None)
            if route is not None and route not in routes:
                raise ValueError(f"route {route!r} is not one of {routes!r}")
        return self


def examples_directory():
    """Return the directory of the shipped experiments."""
    return importlib.resources.files("monsoonline.bench") / EXAMPLES


def shipped_experiments():
    """Return the names of the shipped experiments, sorted."""
    names = (pathlib.PurePath(f.name) for f in examples_directory().iterdir())
    return tuple(sorted(name.stem for name in names if name.suffix == ".json"))


def load_experiment(name):
    """Read an experiment.

    :param name: one of :func:`shipped_experiments`, or the path of a JSON file
    :raises FindingsError: with all findings
    """
    if name in shipped_experiments():
        content = (examples_directory() / f"{name}.json").read_bytes()
        return parse_document(LoadDocument, content, place=f"{name}.json")
    content = pathlib.Path(name).read_bytes()
    return parse_document(LoadDocument, content, place=str(name))
