"""Validated documents of table rows and their conversion to the model."""

import pydantic

from monsoonline.core.model import (
    MeasuringBudget,
    Pool,
    Route,
    RouteMatch,
    SuccessDefinition,
    Tolerance,
    Upstream,
)

__all__ = ["PoolDocument", "RouteDocument"]

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class Document(pydantic.BaseModel):
    """Base of all row documents; unknown keys are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class MatchDocument(Document):
    """Which requests a route matches."""

    host: str = ""
    path_prefix: str = pydantic.Field(default="/", pattern="^/")
    methods: tuple[str, ...] = ()
    headers: dict[str, str] = pydantic.Field(default_factory=dict)


class ToleranceDocument(Document):
    """What a route's callers put up with."""

    queue_ms: float = pydantic.Field(default=100.0, ge=0)
    retries: int = pydantic.Field(default=1, ge=0, le=5)
    hedges: int = pydantic.Field(default=0, ge=0, le=2)
    refusal_share: float = pydantic.Field(default=0.01, ge=0, le=1)


class SuccessDocument(Document):
    """A route's own definition of success."""

    objective: float = pydantic.Field(default=0.999, gt=0, lt=1)
    latency_ms: float = pydantic.Field(default=500.0, gt=0)
    statuses: tuple[int, ...] = (2, 3, 4)


class RouteDocument(Document):
    """A row of the table of routes."""

    department: str = pydantic.Field(pattern=NAME_PATTERN)
    pool: str = pydantic.Field(pattern=NAME_PATTERN)
    match: MatchDocument = MatchDocument()
    idempotent: bool
    deadline_ms: float = pydantic.Field(default=1000.0, gt=0, le=600_000)
    tolerance: ToleranceDocument = ToleranceDocument()
    success: SuccessDocument = SuccessDocument()

    def to_model(self, name):
        """Return the :class:`monsoonline.core.model.Route` of this row.

        :param name: name of the row
        """
        match = RouteMatch(
            host=self.match.host.lower(),
            path_prefix=self.match.path_prefix,
            methods=tuple(method.upper() for method in self.match.methods),
            headers=tuple(
                sorted(
                    (key.lower(), value) for key, value in self.match.headers.items()
                )
            ),
        )
        return Route(
            name=name,
            department=self.department,
            pool=self.pool,
            match=match,
            idempotent=self.idempotent,
            deadline_ms=self.deadline_ms,
            tolerance=Tolerance(**self.tolerance.model_dump()),
            success=SuccessDefinition(**self.success.model_dump()),
        )


class UpstreamDocument(Document):
    """One server of a pool."""

    address: str = pydantic.Field(pattern=r"^[0-9.]+:[0-9]+$|^\[[0-9a-f:]+\]:[0-9]+$")
    failure_domain: str = "default"
    slots: int = pydantic.Field(ge=1, le=1024)


class MeasuringDocument(Document):
    """Limit of the load of measuring one upstream."""

    probes_per_second: float = pydantic.Field(default=2.0, ge=0, le=1000)
    slot_share: float = pydantic.Field(default=0.02, ge=0, le=1)


class PoolDocument(Document):
    """A row of the table of pools."""

    department: str = pydantic.Field(pattern=NAME_PATTERN)
    upstreams: tuple[UpstreamDocument, ...]
    max_connections: int = pydantic.Field(default=280, ge=1)
    measuring: MeasuringDocument = MeasuringDocument()
    refusal_means: str = pydantic.Field(
        default="not-run", pattern="^(not-run|unknown)$"
    )
    policy: str = "adaptive"

    def to_model(self, name):
        """Return the :class:`monsoonline.core.model.Pool` of this row.

        :param name: name of the row
        """
        return Pool(
            name=name,
            department=self.department,
            upstreams=tuple(Upstream(**u.model_dump()) for u in self.upstreams),
            max_connections=self.max_connections,
            measuring=MeasuringBudget(**self.measuring.model_dump()),
            refusal_means=self.refusal_means,
            policy=self.policy,
        )
