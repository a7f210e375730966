"""Validation of table rows and their conversion to the model."""

import re
import typing

import pydantic

from monsoonline.core.model import (
    Pool,
    ProbeBudget,
    Route,
    RouteMatch,
    SuccessDefinition,
    Tolerance,
    Upstream,
)
from monsoonline.errors import Finding, FindingsError

__all__ = [
    "DOCUMENTS",
    "PoolDocument",
    "RouteDocument",
    "format_path",
    "parse_row",
    "reference_findings",
    "row_findings",
    "tables_findings",
]

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class Document(pydantic.BaseModel):
    """Base class of row documents; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class MatchDocument(Document):
    """Conditions on the requests that a route matches."""

    host: str = ""
    path_prefix: str = pydantic.Field(default="/", pattern="^/")
    methods: tuple[str, ...] = ()
    headers: dict[str, str] = pydantic.Field(default_factory=dict)


class ToleranceDocument(Document):
    """Delays, retries and refusals that a route's callers accept."""

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


class ProbeBudgetDocument(Document):
    """Limits of the probes sent to one upstream."""

    probes_per_second: float = pydantic.Field(default=2.0, ge=0, le=1000)
    slot_share: float = pydantic.Field(default=0.02, ge=0, le=1)
    path: str = pydantic.Field(default="/health", pattern="^/")


class PoolDocument(Document):
    """A row of the table of pools."""

    department: str = pydantic.Field(pattern=NAME_PATTERN)
    upstreams: tuple[UpstreamDocument, ...]
    max_connections: int = pydantic.Field(default=280, ge=1)
    measuring: ProbeBudgetDocument = ProbeBudgetDocument()
    refusal_means: str = pydantic.Field(
        default="not-run", pattern="^(not-run|unknown)$"
    )
    policy: str = "adaptive"

    @pydantic.field_validator("upstreams")
    @classmethod
    def _check_addresses(cls, upstreams):
        seen = set()
        for upstream in upstreams:
            if upstream.address in seen:
                raise ValueError(f"each address once; {upstream.address!r} repeats")
            seen.add(upstream.address)
        return upstreams

    def to_model(self, name):
        """Return the :class:`monsoonline.core.model.Pool` of this row.

        :param name: name of the row
        """
        return Pool(
            name=name,
            department=self.department,
            upstreams=tuple(Upstream(**u.model_dump()) for u in self.upstreams),
            max_connections=self.max_connections,
            measuring=ProbeBudget(**self.measuring.model_dump()),
            refusal_means=self.refusal_means,
            policy=self.policy,
        )


DOCUMENTS = {"routes": RouteDocument, "pools": PoolDocument}


def format_path(parts):
    """Return a path such as ``pools.quotes.upstreams[0].slots``."""
    text = ""
    for part in parts:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else str(part)
    return text or "."


def row_findings(table, name, document, *, place):
    """Return the findings of validating one row.

    :param table: ``routes`` or ``pools``
    :param name: name of the row
    :param document: the decoded JSON value of the row
    :param place: file or request named in the findings
    :returns: list of :class:`monsoonline.errors.Finding`, empty if the row is valid
    """
    if not isinstance(document, dict):
        path = format_path((table, name))
        expected = "an object with the fields of a row"
        return [Finding(place=place, path=path, value=document, expected=expected)]
    findings = []
    if not re.match(NAME_PATTERN, name):
        expected = f"a name that matches {NAME_PATTERN}"
        path = format_path((table, name))
        findings.append(Finding(place=place, path=path, value=name, expected=expected))
    try:
        DOCUMENTS[table].model_validate(document)
    except pydantic.ValidationError as error:
        findings.extend(
            Finding(
                place=place,
                path=format_path((table, name, *item["loc"])),
                value=None if item["type"] == "missing" else item["input"],
                expected=expected_value(item, DOCUMENTS[table]),
            )
            for item in error.errors(include_url=False)
        )
    return findings


def expected_value(item, model):
    """Return a description of the valid values for one pydantic error.

    :param item: an element of :meth:`pydantic.ValidationError.errors`
    :param model: the validated subclass of :class:`Document`
    """
    if item["type"] == "missing":
        return "a value; the field is required"
    if item["type"] == "extra_forbidden":
        return (
            "a known field; valid: "
            f"{', '.join(field_names_at(model, item['loc'][:-1]))}"
        )
    message = item["msg"]
    for prefix in ("Value error, ", "Input should be ", "String should "):
        message = message.removeprefix(prefix)
    return message


def field_names_at(model, path):
    """Return the sorted field names of the document at a path below ``model``."""
    for part in path:
        if isinstance(part, int):
            continue
        annotation = model.model_fields[part].annotation
        model = next(
            (a for a in typing.get_args(annotation) if a is not Ellipsis), annotation
        )
    return sorted(model.model_fields)


def parse_row(table, name, document, *, place):
    """Validate one row and convert it to the model.

    :returns: a :class:`Route` or :class:`Pool`
    :raises FindingsError: if the row is invalid, with all its findings
    """
    try:
        row = DOCUMENTS[table].model_validate(document)
    except pydantic.ValidationError:
        row = None
    if row is None or not re.match(NAME_PATTERN, name):
        raise FindingsError(row_findings(table, name, document, place=place))
    return row.to_model(name)


def tables_findings(document, *, place):
    """Return the findings of validating a document with several tables.

    Covers the rows of ``routes`` and ``pools`` and the references between them. A
    missing table is not an error; references to it are not checked.

    :param document: the decoded JSON object
    :param place: file named in the findings
    :returns: list of :class:`monsoonline.errors.Finding`, empty if all are valid
    """
    findings = []
    for table, rows in document.items():
        if table not in DOCUMENTS:
            expected = f"a known table; valid: {', '.join(sorted(DOCUMENTS))}"
            findings.append(
                Finding(place=place, path=table, value=table, expected=expected)
            )
        elif not isinstance(rows, dict):
            expected = "an object from row names to rows"
            findings.append(
                Finding(place=place, path=table, value=rows, expected=expected)
            )
        else:
            for name, row in rows.items():
                findings.extend(row_findings(table, name, row, place=place))
    return findings + reference_findings(document, place=place)


def reference_findings(document, *, place):
    """Return a finding for each route whose pool does not exist."""
    routes, pools = document.get("routes"), document.get("pools")
    if not isinstance(routes, dict) or not isinstance(pools, dict):
        return []
    valid = ", ".join(sorted(pools)) or "none"
    return [
        Finding(
            place=place,
            path=f"routes.{name}.pool",
            value=route["pool"],
            expected=f"the name of a pool; valid: {valid}",
        )
        for name, route in routes.items()
        if isinstance(route, dict)
        and isinstance(route.get("pool"), str)
        and route["pool"] not in pools
    ]
